"""Short notes between our processes by UDP: sent, not answered, perhaps lost.

For what is told again a moment later anyway, such as loads, a datagram costs
a tenth of a call's processor time on both sides. Each carries the signature
of `fleet_key`; one that is not signed, or no note, is dropped and counted.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from beryllug.drivers import fleet_key, wire

METHOD = 'note'
SEPARATOR = b' '
# What fits one packet on any usual link.
MOST_BYTES = 1400


class Datagrams(asyncio.DatagramProtocol):
    """Sends notes from one address and takes those that arrive there.

    Attributes:
        sent: Notes that were sent.
        dropped: Datagrams that were no note of ours, or too large to send.
    """

    def __init__(
        self,
        keys: fleet_key.KeyRing,
        kind: type[Any],
        take: Callable[[Any], None],
    ) -> None:
        """Bind to the record of a note, and to who takes it."""
        self.sent = 0
        self.dropped = 0
        self._keys = keys
        self._decode = wire.decoder(kind)
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        made = await loop.create_datagram_endpoint(
            lambda: self, (host, int(port))
        )
        self._transport = made[0]

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, addresses: Iterable[str], note: Any) -> None:
        """Send a note to some addresses, each ``ip:port``."""
        signature = self._keys.sign(METHOD, time.time())
        raw = signature.encode() + SEPARATOR + wire.encode(note)
        if self._transport is None or len(raw) > MOST_BYTES:
            self.dropped += 1
            return
        for address in addresses:
            host, _, port = address.rpartition(':')
            self._transport.sendto(raw, (host, int(port)))
            self.sent += 1

    def datagram_received(self, raw: bytes, peer: Any) -> None:
        """Take a note, if it is one of ours."""
        signature, _, encoded = raw.partition(SEPARATOR)
        text = signature.decode('latin-1')
        if not self._keys.verify(METHOD, text, time.time()):
            self.dropped += 1
            return
        try:
            note = self._decode(encoded)
        except msgspec.DecodeError:
            self.dropped += 1
            return
        self._take(note)

    def error_received(self, exc: Exception) -> None:
        """Pass over that a peer was not there: its silence says the same."""
        self.dropped += 1
