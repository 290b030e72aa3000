"""One TCP connection of the HTTP drivers, on an asyncio protocol.

Streams of asyncio would do but for two things. They can't tell whether bytes
arrived on a connection that nobody reads, and such bytes would be taken for
the next answer; and they cost a timer for every bounded read. Here a link
has one deadline, which its owner checks for all its links at once.

A link belongs to one task at a time.
"""

import asyncio
import math
import select
import socket
import struct
from collections.abc import Callable

from beryllug.drivers import socket_guard

# What may wait to be read before the other side is made to wait.
READ_HIGH = 131072
NEVER = math.inf
# Linger on, for no time: closing sends a TCP reset.
_RESET = struct.pack('ii', 1, 0)


class Link(asyncio.Protocol):
    """A connection: what arrived on it, and what may still be written.

    Attributes:
        address: ``ip:port`` or IP address of the other side.
        deadline: Loop time after which the owner calls `expire`.
        is_blocked: Whether a write must wait for the other side to read.
        on_idle_end: Called when an idle connection ends or speaks unasked.
        ended: Whether the other side has closed or the link is broken.
        on_end: Called once when the other side closes or the link breaks.
    """

    def __init__(self, address: str = '') -> None:
        """Make a link that is not yet connected."""
        self.address = address
        self.deadline = NEVER
        self.on_idle_end: Callable[[Link], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self.transport: asyncio.Transport
        self._received: list[bytes] = []
        self._waiting = 0
        self.ended = False
        self._exc: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self.is_blocked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            socket_guard.guard(sock)

    def data_received(self, data: bytes) -> None:
        """Keep what arrived until it is read."""
        if self.on_idle_end is not None:
            self._end_idle()
            return
        self._received.append(data)
        self._waiting += len(data)
        if self._waiting > READ_HIGH:
            self.transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Note that the other side writes no more; it may still read."""
        self.ended = True
        if self.on_idle_end is not None:
            self._end_idle()
        _wake(self._reader)
        _tell_end(self)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end; reads and writes that wait fail."""
        self.ended = True
        self._exc = exc or self._exc
        if self.on_idle_end is not None:
            self._end_idle()
        _wake(self._reader)
        _wake(self._writer)
        _tell_end(self)

    def pause_writing(self) -> None:
        """Note that the other side reads too slowly."""
        self.is_blocked = True

    def resume_writing(self) -> None:
        """Go on with a write that waits."""
        self.is_blocked = False
        _wake(self._writer)

    async def read(self) -> bytes:
        """Return all that has arrived, waiting for the first byte.

        Returns:
            The bytes, or none when the other side writes no more.

        Raises:
            OSError: The connection broke.
            TimeoutError: The deadline has passed.
        """
        if not self._received and not self.ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if self._received:
            return self._take()
        if self._exc is not None:
            raise self._exc
        return b''

    def write(self, payload: bytes) -> None:
        """Write as much as goes out at once and queue the rest.

        Raises:
            ConnectionResetError: The connection has ended.
        """
        if self.transport.is_closing():
            raise ConnectionResetError('the other side has gone')
        self.transport.write(payload)

    async def drain(self) -> None:
        """Wait while the other side reads too slowly.

        Raises:
            ConnectionResetError: The connection has ended.
        """
        if self.is_blocked and not self.transport.is_closing():
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None
        if self.transport.is_closing():
            raise ConnectionResetError('the other side has gone')

    def expire(self) -> None:
        """Fail the read that waits, or cut the connection if none does.

        A read that has just got its bytes is let be; the deadline stands, so
        the next read is failed by the next look at it.
        """
        if self._reader is None:
            self.deadline = NEVER
            self.abort()
        elif not self._reader.done():
            self.deadline = NEVER
            self._reader.set_exception(TimeoutError('too slow'))

    def has_unread(self) -> bool:
        """Tell whether bytes or the end have come that nobody has read."""
        return self.ended or bool(self._received)

    def is_quiet(self) -> bool:
        """Tell whether nothing at all has come, not even into the kernel.

        A kept connection is asked this right before it is used again. Bytes
        or an end that came while it was idle may not have reached the loop.
        """
        if self.has_unread() or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return not poller.poll(0)

    def abort(self, *, hard: bool = False) -> None:
        """Cut the connection now.

        Args:
            hard: Cut with a TCP reset, which also discards what the other
                side has not read yet.
        """
        if hard and not self.transport.is_closing():
            sock = self.transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    def _take(self) -> bytes:
        received = self._received
        chunk = received[0] if len(received) == 1 else b''.join(received)
        received.clear()
        if self._waiting > READ_HIGH:
            self.transport.resume_reading()
        self._waiting = 0
        return chunk

    def _end_idle(self) -> None:
        on_idle_end = self.on_idle_end
        self.on_idle_end = None
        self.transport.abort()
        if on_idle_end is not None:
            on_idle_end(self)


def _wake(fut: 'asyncio.Future[None] | None') -> None:
    if fut is not None and not fut.done():
        fut.set_result(None)


def _tell_end(link: Link) -> None:
    on_end = link.on_end
    link.on_end = None
    if on_end is not None:
        on_end()
