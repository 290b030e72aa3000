"""Connections to backend servers through another process of the fleet.

The other process is asked with the CONNECT method (RFC 9110, section 9.3.6)
under the fleet key, connects to the server, and then forwards bytes in both
directions. What is sent through it is thus what a direct connection carries.

What the server sends comes in frames, see `drivers.relay_frames`. A relay of an
older release sends it bare: the end of its connection then means nothing, and
only an answer with a length or in chunks has a known end.
"""

import asyncio
import time

import h11

from beryllug.drivers import fleet_key, http_link, relay_frames

METHOD = 'CONNECT'
OK = 200


class RefusedError(OSError):
    """The other process does not forward to the server.

    Attributes:
        status: HTTP status of its answer.
    """

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(f'the relay answered {status}')
        self.status = status


class RelayedLink(http_link.Link):
    """A link to a server through a relay."""

    def __init__(self, address: str, relay: str) -> None:
        """Create a link that is not connected yet."""
        super().__init__(address, via=relay)
        self._is_open = False
        self._frames: relay_frames.FrameReader | None = None

    def opened(self, received: bytes, *, is_framed: bool) -> None:
        """Begin to receive from the server.

        Args:
            received: What came after the head of the relay's answer.
            is_framed: Whether the relay sends frames.
        """
        self._is_open = True
        if is_framed:
            self._frames = relay_frames.FrameReader()
        if received:
            self.data_received(received)

    def data_received(self, data: bytes) -> None:
        """Receive what the server sent, or the answer of the relay."""
        if self._frames is None:
            super().data_received(data)
            return
        try:
            for frame in self._frames.feed(data):
                self._handle(frame)
        except ValueError as exc:
            self.connection_lost(exc)
            self.abort()

    def eof_received(self) -> bool:
        """Take the end of the connection for the loss of the relay."""
        if not self._is_open:
            return super().eof_received()
        self.connection_lost(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the relay was lost, unless the server has ended."""
        if self.ended:
            super().connection_lost(None)
        elif self._is_open:
            super().connection_lost(_relay_lost(self.via, exc))
        else:
            super().connection_lost(exc)

    def _handle(self, frame: relay_frames.Frame) -> None:
        match frame.kind:
            case relay_frames.Kind.BYTES:
                http_link.Link.data_received(self, frame.payload)
            case relay_frames.Kind.END:
                http_link.Link.eof_received(self)
            case relay_frames.Kind.BROKEN:
                http_link.Link.connection_lost(
                    self,
                    ConnectionResetError('broken between relay and server'),
                )


def signed_method(address: str) -> str:
    """Return what is signed when a connection to an address is asked for."""
    return f'{METHOD} {address}'


async def open_link(
    relay: str, address: str, keys: fleet_key.KeyRing
) -> http_link.Link:
    """Connect to a server through a relay.

    Args:
        relay: ``ip:port`` of the relay.
        address: ``ip:port`` of the server.
        keys: The fleet keys.

    Returns:
        A link whose address is the server's.

    Raises:
        OSError: The relay can't be reached.
        RefusedError: It does not forward to the server, or can't reach it.
    """
    link = RelayedLink(address, relay)
    host, _, port = relay.rpartition(':')
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: link, host, int(port))
    try:
        await _ask(link, keys)
    except BaseException:
        link.abort()
        raise
    return link


async def _ask(link: RelayedLink, keys: fleet_key.KeyRing) -> None:
    parser = h11.Connection(h11.CLIENT)
    signature = keys.sign(signed_method(link.address), time.time())
    head = h11.Request(
        method=METHOD,
        target=link.address,
        headers=[
            ('host', link.address),
            (fleet_key.METADATA_KEY, signature),
            (relay_frames.FIELD, relay_frames.VERSION),
        ],
    )
    link.write(parser.send(head) or b'')
    link.write(parser.send(h11.EndOfMessage()) or b'')
    event = _next_event(parser)
    while event is h11.NEED_DATA:
        parser.receive_data(await link.read())
        event = _next_event(parser)
    if not isinstance(event, h11.Response):
        raise ConnectionResetError('the relay closed the connection')
    if event.status_code != OK:
        raise RefusedError(event.status_code)
    link.opened(
        parser.trailing_data[0], is_framed=relay_frames.is_named(event.headers)
    )


def _relay_lost(relay: str, exc: Exception | None) -> http_link.RelayLostError:
    cause = repr(exc) if exc else 'it closed the connection'
    return http_link.RelayLostError(f'the relay {relay} is lost: {cause}')


def _next_event(parser: h11.Connection) -> object:
    try:
        return parser.next_event()
    except h11.RemoteProtocolError as exc:
        raise ConnectionResetError(f'no answer of a relay: {exc}') from exc
