"""Runs of the engine stand-in: their answers and their record."""

import time
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import NamedTuple

from beryllug.standins import engine_answers, wake


class RunState(StrEnum):
    """How far a run has come."""

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


OPEN = (RunState.QUEUED, RunState.RUNNING)


class RunRecord(NamedTuple):
    """What the engine did for one request; times in wall-clock seconds.

    Attributes:
        request_id: Id of the request.
        account_id: Client account that was sent with it, or empty.
        model: Model it ran on.
        version: Version it ran on.
        prompt_hash: Short hash of the prompt.
        priority: Its priority.
        state: How it ended or how far it is.
        received_at: When it came.
        started_at: When it took its place in the batch; 0 if it never did.
        finished_at: When it ended; 0 if it has not.
        tokens_out: Tokens that were made.
        bytes_sent: Bytes of the answer that were handed to connections.
        resumes: How often its answer was taken up again.
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
    """One run: its growing answer, which any number of readers follow."""

    def __init__(self, ask: engine_answers.Ask) -> None:
        """Begin as queued."""
        self.ask = ask
        self.record = RunRecord(
            request_id=ask.request_id,
            account_id=ask.account_id,
            model=ask.model,
            version=ask.version,
            prompt_hash=engine_answers.digest(ask.prompt),
            priority=ask.priority,
            state=RunState.QUEUED,
            received_at=time.time(),
        )
        self._body = bytearray()
        self._wake = wake.Wake()

    @property
    def is_open(self) -> bool:
        """Tell whether the run has not ended."""
        return self.record.state in OPEN

    @property
    def size(self) -> int:
        """Count the bytes of the answer so far."""
        return len(self._body)

    def begin(self) -> None:
        """Note that it took its place in the batch."""
        self.record = self.record._replace(
            state=RunState.RUNNING, started_at=time.time()
        )
        self._wake.signal()

    def feed(self, piece: bytes, tokens: int) -> None:
        """Let the answer grow."""
        self._body += piece
        self.record = self.record._replace(
            tokens_out=self.record.tokens_out + tokens
        )
        self._wake.signal()

    def end(self, state: RunState) -> None:
        """Note how it ended; the first end counts."""
        if self.is_open:
            self.record = self.record._replace(
                state=state, finished_at=time.time()
            )
        self._wake.signal()

    def forget(self) -> None:
        """Forget the answer but for those who read it now."""
        self._body = bytearray()

    def note_resume(self) -> None:
        """Count a reader that took the answer up again."""
        self.record = self.record._replace(resumes=self.record.resumes + 1)

    async def wait_head(self) -> None:
        """Wait until there is a byte of the answer or the run has ended."""
        while self.is_open and not self._body:
            await self._wake.next().wait()

    async def pieces(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the answer from a byte on, as it grows, to the run's end."""
        body = self._body
        while True:
            grown = self._wake.next()
            piece = bytes(body[offset:])
            if piece:
                offset += len(piece)
                self._count(piece)
                yield piece
            elif self.is_open:
                await grown.wait()
            else:
                return

    def _count(self, piece: bytes) -> None:
        sent = self.record.bytes_sent + len(piece)
        self.record = self.record._replace(bytes_sent=sent)
