"""Delivers answers to clients: complete, once, and ended after billing.

The end of an answer is held back until its billing record is durable, or
queued for a resend if the journal is slow. A client that has seen the end can
rely on the journal.
"""

import time

from beryllug.core import journal_data
from beryllug.drivers import (
    answer_timeouts,
    engine_stream,
    http_client,
    http_server,
)
from beryllug.entry import call_data, headers

END_MARKER = b'data: [DONE]'
EVENT_PREFIX = b'data: '


class StreamRelay:
    """Forwards the events of one answer, except its end.

    Each relay belongs to one flow.

    Attributes:
        tail: Last bytes, which show the usage and whether it is complete.
        events: Number of events received.
        unsent_end: End of the answer, not yet sent.
        collected_body: The whole body, if it is collected.
        caller_gone: Whether the client has disconnected.
        first_at: Monotonic second of the first byte, None before it.
    """

    def __init__(
        self, call: call_data.Call, exchange: http_server.Exchange, keep: bool
    ) -> None:
        """Initialize for a call and its HTTP exchange.

        Args:
            call: The call; a non-repeatable one is read to its end even if
                the client disconnects.
            exchange: Destination of the answer; its head must be sent before
                `forward` is called.
            keep: Whether to collect the whole answer.
        """
        self.tail = engine_stream.StreamTail()
        self.events = 0
        self.unsent_end = b''
        self.collected_body = bytearray()
        self.caller_gone = False
        self.first_at: float | None = None
        self._call = call
        self._exchange = exchange
        self._keep = keep or not call.facts.repeatable

    @property
    def is_abandoned(self) -> bool:
        """Return whether the rest of the answer is of no use to anyone."""
        return self.caller_gone and self._call.facts.repeatable

    async def forward(self, incoming: http_client.IncomingResponse) -> None:
        """Forward the stream of an engine to its end or until abandoned.

        Raises:
            BrokenError: The engine closed the stream early.
            TimeoutError: The deadline passed.
        """
        async with answer_timeouts.at_deadline(self._call.deadline):
            async for chunk in incoming.chunks():
                await self._send(self._hold_back_end(chunk))
                if self.is_abandoned:
                    return

    async def finish(self) -> None:
        """Send the end of the answer, which was held back."""
        if not self.caller_gone:
            await self._exchange.finish(self.unsent_end)

    async def fail(self, event: bytes) -> None:
        """End the answer with an error event and abort the connection.

        A partial answer must not look complete. Clients that parse events see
        the error event; all others see the aborted connection.
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
            self.collected_body += chunk
        pending = self.unsent_end + chunk if self.unsent_end else chunk
        position = _end_marker_start(pending)
        self.unsent_end = pending[position:]
        return pending[:position]

    async def _send(self, ready: bytes) -> None:
        if self.caller_gone or not ready:
            return
        try:
            await self._exchange.send(ready)
        except (ConnectionError, TimeoutError):
            self.caller_gone = True


async def read_whole(
    call: call_data.Call, incoming: http_client.IncomingResponse
) -> bytes:
    """Read a whole answer before the deadline.

    Raises:
        BrokenError: The server closed the connection early.
        TimeoutError: The deadline passed.
    """
    async with answer_timeouts.at_deadline(call.deadline):
        return await incoming.read()


async def replay(
    row: journal_data.Row,
    answer: journal_data.StoredAnswer,
    body: bytes,
    exchange: http_server.Exchange,
) -> None:
    """Send a stored answer: the same bytes, marked as a replay."""
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
    """Return the start of the end marker, or of its prefix at the end."""
    position = pending.find(END_MARKER)
    if position >= 0:
        return position
    for length in range(min(len(END_MARKER) - 1, len(pending)), 0, -1):
        if pending.endswith(END_MARKER[:length]):
            return len(pending) - length
    return len(pending)
