"""One TCP connection of the HTTP client or server, as an asyncio protocol.

asyncio's streams fall short in two ways. They can't report bytes that arrive
on a connection while no task reads it, so such bytes would be parsed as part
of the next response; and every read with a timeout costs a timer. A link has
one deadline instead, which its owner checks for all its links with one timer.

Only one task may use a link at a time.
"""

import array
import asyncio
import collections
import fcntl
import math
import select
import socket
import struct
import termios
from collections.abc import Callable

from beryllug.drivers import tcp_keepalive

# Unread bytes above which reading from the transport is paused.
READ_HIGH_WATER_BYTES = 131072
# Maximum number of bytes that one read returns.
READ_BYTES = 16384
NEVER = math.inf
# SO_LINGER on with a timeout of 0: closing sends a TCP reset.
_RESET = struct.pack('ii', 1, 0)


class RelayLostError(ConnectionResetError):
    """The process that forwards a connection is lost, not its server."""


class Link(asyncio.Protocol):
    """A TCP connection with a receive buffer and flow control.

    Attributes:
        address: ``ip:port`` or IP address of the peer.
        deadline: Loop time after which the owner calls `expire`.
        is_blocked: Whether writing is paused because the peer reads slowly.
        on_idle_end: Called when an idle connection is closed by the peer or
            receives unsolicited bytes.
        ended: Whether the peer has sent EOF or the connection is lost.
        on_end: Called once on EOF or loss of the connection.
        via: ``ip:port`` of the process that forwards to the peer, or empty.
    """

    def __init__(self, address: str = '', via: str = '') -> None:
        """Create a link that is not connected yet."""
        self.address = address
        self.via = via
        self.deadline = NEVER
        self.on_idle_end: Callable[[Link], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self.transport: asyncio.Transport
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self.ended = False
        self._loss_cause: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self.is_blocked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set the socket's keep-alive options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            tcp_keepalive.set_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; abort the connection if it was idle."""
        if self.on_idle_end is not None:
            self._abort_idle()
            return
        self._chunks.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_HIGH_WATER_BYTES:
            self.transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Record EOF; the connection stays open for writing."""
        self.ended = True
        if self.on_idle_end is not None:
            self._abort_idle()
        _wake(self._reader)
        _notify_end(self)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss; wakes a waiting read and a waiting write."""
        self.ended = True
        self._loss_cause = exc or self._loss_cause
        if self.on_idle_end is not None:
            self._abort_idle()
        _wake(self._reader)
        _wake(self._writer)
        _notify_end(self)

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self.is_blocked = True

    def resume_writing(self) -> None:
        """Wake a waiting write."""
        self.is_blocked = False
        _wake(self._writer)

    async def read(self) -> bytes:
        """Return buffered bytes, waiting for at least one.

        Returns:
            Up to `READ_BYTES`; empty at EOF.

        Raises:
            OSError: The connection broke.
            TimeoutError: The deadline has passed.
        """
        if not self._chunks and not self.ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if self._chunks:
            return self._pop_received()
        if self._loss_cause is not None:
            raise self._loss_cause
        return b''

    def write(self, payload: bytes) -> None:
        """Write to the transport, which buffers what the kernel can't take.

        Raises:
            ConnectionResetError: The connection has ended.
        """
        if self.transport.is_closing():
            raise ConnectionResetError('the remote side is gone')
        self.transport.write(payload)

    async def drain(self) -> None:
        """Wait until the write buffer has drained.

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
            raise ConnectionResetError('the remote side is gone')

    def expire(self) -> None:
        """Fail the waiting read, or abort the connection if none waits.

        A read whose bytes have just arrived succeeds, but the deadline stays
        set, so the next check fails the read after it.
        """
        if self._reader is None:
            self.deadline = NEVER
            self.abort()
        elif not self._reader.done():
            self.deadline = NEVER
            self._reader.set_exception(TimeoutError('timed out'))

    def has_unread(self) -> bool:
        """Return whether there are unread bytes or an unread EOF."""
        return self.ended or bool(self._chunks)

    def has_no_input(self) -> bool:
        """Return whether nothing was received, in the kernel buffer either.

        Checked right before an idle connection is reused: bytes or an EOF
        that arrived meanwhile may not have reached the event loop yet.
        """
        if self.has_unread() or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return not poller.poll(0)

    def abort(self, *, hard: bool = False) -> None:
        """Close the connection at once, without flushing.

        Args:
            hard: Send a TCP reset, which also discards what the peer has
                not read yet.
        """
        if hard and not self.transport.is_closing():
            sock = self.transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    def _pop_received(self) -> bytes:
        received = self._chunks
        parts = [received.popleft()]
        size = len(parts[0])
        while received and size < READ_BYTES:
            parts.append(received.popleft())
            size += len(parts[-1])
        chunk = parts[0] if len(parts) == 1 else b''.join(parts)
        if size > READ_BYTES:
            received.appendleft(chunk[READ_BYTES:])
            chunk = chunk[:READ_BYTES]
        was_paused = self._unread_bytes > READ_HIGH_WATER_BYTES
        self._unread_bytes -= len(chunk)
        if was_paused and self._unread_bytes <= READ_HIGH_WATER_BYTES:
            self.transport.resume_reading()
        return chunk

    def _abort_idle(self) -> None:
        on_idle_end = self.on_idle_end
        self.on_idle_end = None
        self.transport.abort()
        if on_idle_end is not None:
            on_idle_end(self)


def has_unacknowledged(link: Link) -> bool:
    """Return whether the host of the peer has not got all written bytes yet."""
    if link.transport.get_write_buffer_size():
        return True
    sock = link.transport.get_extra_info('socket')
    queued = array.array('i', (0,))
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except (OSError, AttributeError):
        # The connection is lost, or the kernel does not tell.
        return False
    return queued[0] > 0


async def open_link(address: str) -> Link:
    """Connect to ``ip:port``.

    Raises:
        OSError: The connection was refused, or there is no route.
    """
    link = Link(address)
    await connect(link)
    return link


async def connect(link: Link) -> None:
    """Connect a link to its address.

    Raises:
        OSError: The connection was refused, or there is no route.
    """
    host, _, port = link.address.rpartition(':')
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: link, host, int(port))


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _notify_end(link: Link) -> None:
    on_end = link.on_end
    link.on_end = None
    if on_end is not None:
        on_end()
