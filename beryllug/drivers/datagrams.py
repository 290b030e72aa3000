"""UDP messages between beryllug's processes, without delivery guarantee.

For data that is sent again soon anyway, such as loads, a datagram costs a
tenth of a call's processor time on both sides. Each carries a signature of
`fleet_key`; unsigned or invalid datagrams are dropped and counted.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from beryllug.drivers import fleet_key, wire

METHOD = 'note'
SEPARATOR = b' '
# Fits into one packet on any usual network link.
MAX_DATAGRAM_BYTES = 1400


class Datagrams(asyncio.DatagramProtocol):
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
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, (host, int(port))
        )
        self._transport = endpoint[0]

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to addresses, each ``ip:port``."""
        signature = self._keys.sign(METHOD, time.time())
        raw = signature.encode() + SEPARATOR + wire.encode(message)
        if self._transport is None or len(raw) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._transport.sendto(raw, (host, int(port)))
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

    def error_received(self, exc: Exception) -> None:
        """Count the error; an unreachable peer also shows by its silence."""
        self.dropped += 1
