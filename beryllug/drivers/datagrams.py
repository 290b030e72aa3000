"""UDP messages between beryllug's processes, without delivery guarantee.

For data that is sent again soon anyway, such as loads, a datagram costs a
tenth of a call's processor time on both sides. Each carries a signature of
`fleet_key`; unsigned or invalid datagrams are dropped and counted.
"""

import asyncio
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from beryllug.drivers import fleet_key, wire

METHOD = 'note'
SEPARATOR = b' '
# Fits into one packet on any usual network link.
MAX_DATAGRAM_BYTES = 1400
# Datagrams received in one turn of the event loop: some milliseconds of work.
MAX_PER_TURN = 64


class Datagrams:
    """Sends messages from one address and receives those sent to it.

    Attributes:
        sent: Number of datagrams sent.
        dropped: Number of datagrams that were received without a valid
            signature or message, or too large to send, or failed.
    """

    def __init__(
        self,
        keys: fleet_key.KeyRing,
        message_type: type[Any],
        on_message: Callable[[Any], None],
    ) -> None:
        """Keep the message type and the callback for received messages."""
        self.sent = 0
        self.dropped = 0
        self._keys = keys
        self._decode = wire.decoder(message_type)
        self._on_message = on_message
        self._sock: socket.socket | None = None

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(_parse_address(address))
        except OSError:
            sock.close()
            raise
        asyncio.get_running_loop().add_reader(sock, self._drain, sock)
        self._sock = sock

    def stop(self) -> None:
        """Close the socket; messages are dropped from then on."""
        sock = self._sock
        self._sock = None
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def send(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to addresses, each ``ip:port``."""
        signature = self._keys.sign(METHOD, time.time())
        raw = signature.encode() + SEPARATOR + wire.encode(message)
        sock = self._sock
        if sock is None or len(raw) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        for address in addresses:
            try:
                sock.sendto(raw, _parse_address(address))
            except OSError:
                # As if the network had lost it.
                self.dropped += 1
            else:
                self.sent += 1

    def datagram_received(self, raw: bytes, peer: Any) -> None:
        """Verify and decode a datagram and pass its message on."""
        signature, _, encoded = raw.partition(SEPARATOR)
        text = signature.decode('latin-1')
        if not self._keys.verify(METHOD, text, time.time()):
            self.dropped += 1
            return
        try:
            message = self._decode(encoded)
        except msgspec.DecodeError:
            self.dropped += 1
            return
        self._on_message(message)

    def _drain(self, sock: socket.socket) -> None:
        """Receive all that has arrived, up to a bound.

        With one datagram per turn of the event loop, as asyncio's transports
        receive them, a process with slow turns would act on ever older ones.
        """
        for _ in range(MAX_PER_TURN):
            try:
                raw, peer = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # An earlier datagram was not delivered; an unreachable peer
                # also shows by its silence.
                self.dropped += 1
                continue
            self.datagram_received(raw, peer)
            if self._sock is not sock:
                return


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
