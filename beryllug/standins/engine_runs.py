"""Runs of the engine stand-in, with their responses and records."""

import time
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple

from beryllug.standins import engine_responses, notifier


class RunState(StrEnum):
    """State of a run."""

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


OPEN = (RunState.QUEUED, RunState.RUNNING)


class RunRecord(NamedTuple):
    """Record of one run; times in wall-clock seconds.

    Attributes:
        request_id: Id of the request.
        account_id: Client account in the request, or empty.
        model: Model it ran on.
        version: Version it ran on.
        prompt_hash: Short hash of the prompt.
        priority: Priority of the request.
        state: Current or final state.
        received_at: When the request was received.
        started_at: When it acquired a batch slot; 0 if it never did.
        finished_at: When it ended; 0 if it has not.
        tokens_out: Generated tokens.
        bytes_sent: Response bytes passed to connections.
        resumes: How often the response was resumed.
    """

    request_id: str
    account_id: str
    model: str
    version: str
    prompt_hash: str
    priority: int
    state: RunState
    received_at: float
    started_at: float = 0.0
    finished_at: float = 0.0
    tokens_out: int = 0
    bytes_sent: int = 0
    resumes: int = 0


class Run:
    """One run and its growing response, for any number of readers."""

    def __init__(self, chat: engine_responses.ChatRequest) -> None:
        """Create a queued run."""
        self.chat = chat
        self.record = RunRecord(
            request_id=chat.request_id,
            account_id=chat.account_id,
            model=chat.model,
            version=chat.version,
            prompt_hash=engine_responses.digest(chat.prompt),
            priority=chat.priority,
            state=RunState.QUEUED,
            received_at=time.time(),
        )
        self._body = bytearray()
        self._changed = notifier.Notifier()

    @property
    def is_open(self) -> bool:
        """Return whether the run has not ended."""
        return self.record.state in OPEN

    @property
    def size(self) -> int:
        """Number of response bytes so far."""
        return len(self._body)

    def begin(self) -> None:
        """Record that the run acquired a batch slot."""
        self.record = self.record._replace(
            state=RunState.RUNNING, started_at=time.time()
        )
        self._changed.signal()

    def append_output(self, chunk: bytes, tokens: int) -> None:
        """Append to the response."""
        self._body += chunk
        self.record = self.record._replace(
            tokens_out=self.record.tokens_out + tokens
        )
        self._changed.signal()

    def end(self, state: RunState) -> None:
        """Record the final state; only the first call takes effect."""
        if self.is_open:
            self.record = self.record._replace(
                state=state, finished_at=time.time()
            )
        self._changed.signal()

    def discard_body(self) -> None:
        """Discard the response; readers in progress keep theirs."""
        self._body = bytearray()

    def count_resume(self) -> None:
        """Count one resumption of the response."""
        self.record = self.record._replace(resumes=self.record.resumes + 1)

    async def wait_first_byte(self) -> None:
        """Wait for the first response byte or the end of the run."""
        while self.is_open and not self._body:
            await self._changed.next().wait()

    async def chunks(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the response from a byte offset until the run ends."""
        body = self._body
        while True:
            changed = self._changed.next()
            chunk = bytes(body[offset:])
            if chunk:
                offset += len(chunk)
                self._count_sent(chunk)
                yield chunk
            elif self.is_open:
                await changed.wait()
            else:
                return

    def _count_sent(self, chunk: bytes) -> None:
        sent = self.record.bytes_sent + len(chunk)
        self.record = self.record._replace(bytes_sent=sent)
