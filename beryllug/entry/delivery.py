"""Deliver answers to callers: whole, once, and ended only when billed.

The end of an answer is held back until its bill is durable (or owed where
the journal is late). A caller that has seen the end can so rely on what the
journal says.
"""

import asyncio
import time

from beryllug.core import journal_data
from beryllug.drivers import engine_stream, http_client, http_server
from beryllug.entry import call_data, headers

END_MARKER = b'data: [DONE]'
EVENT_PREFIX = b'data: '


class StreamRelay:
    """Passes one answer's events on, all but its end; owned by one flow.

    Attributes:
        tail: The last bytes, which tell whether it is whole and its usage.
        events: Events received.
        held: The end of the answer, not yet sent.
        kept: The whole body, where it is to be kept.
        caller_gone: Whether the caller went away.
        first_at: Monotonic second of the first byte, None before it.
    """

    def __init__(
        self, call: call_data.Call, exchange: http_server.Exchange, keep: bool
    ) -> None:
        """Bind a call to the exchange that its answer goes to.

        Args:
            call: The call; one that may not repeat is read to its end even
                when the caller goes away.
            exchange: Where the answer goes; its head has been sent.
            keep: Whether the whole answer is collected.
        """
        self.tail = engine_stream.StreamTail()
        self.events = 0
        self.held = b''
        self.kept = bytearray()
        self.caller_gone = False
        self.first_at: float | None = None
        self._call = call
        self._exchange = exchange
        self._keep = keep or not call.facts.repeatable

    @property
    def is_abandoned(self) -> bool:
        """Tell whether nobody will ever read the rest of the answer."""
        return self.caller_gone and self._call.facts.repeatable

    async def forward(self, incoming: http_client.Incoming) -> None:
        """Pass on what an engine sends, to its end or until unwanted.

        Raises:
            BrokenError: The engine broke the stream.
            TimeoutError: The deadline passed.
        """
        async with asyncio.timeout_at(self._call.deadline):
            async for chunk in incoming.chunks():
                await self._send(self._hold_back_end(chunk))
                if self.is_abandoned:
                    return

    async def finish(self) -> None:
        """Send the held end of the answer."""
        if not self.caller_gone:
            await self._exchange.finish(self.held)

    async def fail(self, event: bytes) -> None:
        """End the answer with an error event, and cut the connection.

        A broken answer must not look whole: the event is for clients that
        read events, the cut for all others.
        """
        if not self.caller_gone:
            await self._send(event)
            self._exchange.abort()

    def _hold_back_end(self, chunk: bytes) -> bytes:
        if self.first_at is None:
            self.first_at = time.monotonic()
        self.events += chunk.count(EVENT_PREFIX)
        self.tail.feed(chunk)
        if self._keep:
            self.kept += chunk
        pending = self.held + chunk if self.held else chunk
        position = _end_marker_start(pending)
        self.held = pending[position:]
        return pending[:position]

    async def _send(self, ready: bytes) -> None:
        if self.caller_gone or not ready:
            return
        try:
            await self._exchange.send(ready)
        except (ConnectionError, TimeoutError):
            self.caller_gone = True


async def read_whole(
    call: call_data.Call, incoming: http_client.Incoming
) -> bytes:
    """Read a whole answer before the deadline.

    Raises:
        BrokenError: The server broke it off.
        TimeoutError: The deadline passed.
    """
    async with asyncio.timeout_at(call.deadline):
        return await incoming.read()


async def replay(
    row: journal_data.Row,
    answer: journal_data.StoredAnswer,
    body: bytes,
    exchange: http_server.Exchange,
) -> None:
    """Give a kept answer again: the same bytes, marked as a repeat."""
    await exchange.respond(
        answer.status,
        body,
        {
            headers.CONTENT_TYPE: answer.content_type,
            headers.REQUEST_ID: row.request_id,
            headers.REPLAYED: 'yes',
        },
    )


def _end_marker_start(pending: bytes) -> int:
    """Return where the end marker begins, or a part of one cut by a chunk."""
    position = pending.find(END_MARKER)
    if position >= 0:
        return position
    for length in range(min(len(END_MARKER) - 1, len(pending)), 0, -1):
        if pending.endswith(END_MARKER[:length]):
            return len(pending) - length
    return len(pending)
