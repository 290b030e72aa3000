"""Tests of notes by UDP."""

import asyncio
import socket
import unittest
from typing import NamedTuple

from beryllug.drivers import datagrams, fleet_key

KEYS = fleet_key.KeyRing(('a-key-of-this-test',))
OTHER = fleet_key.KeyRing(('another-key-of-it',))


class Note(NamedTuple):
    """A note of the test."""

    text: str


def _free_address() -> str:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


class DatagramsTest(unittest.IsolatedAsyncioTestCase):
    """Notes that arrive, and what is dropped."""

    async def asyncSetUp(self) -> None:
        self.taken: list[Note] = []
        self.address = _free_address()
        self.receiver = datagrams.Datagrams(KEYS, Note, self.taken.append)
        await self.receiver.start(self.address)

    async def asyncTearDown(self) -> None:
        self.receiver.stop()

    async def test_notes(self) -> None:
        """A signed note arrives; others are dropped and counted."""
        for keys, taken, dropped in ((KEYS, 1, 0), (OTHER, 1, 1)):
            sender = datagrams.Datagrams(keys, Note, print)
            await sender.start(_free_address())
            sender.send((self.address,), Note('hello'))
            await asyncio.sleep(0.05)
            sender.stop()
            self.assertEqual(len(self.taken), taken)
            self.assertEqual(self.receiver.dropped, dropped)

    async def test_no_note(self) -> None:
        """Bytes of a stranger end nothing."""
        self.receiver.datagram_received(b'\x93\x01garbage', ('127.0.0.1', 9))
        self.assertEqual((self.taken, self.receiver.dropped), ([], 1))

    async def test_too_large(self) -> None:
        """A note that no packet holds is not sent."""
        self.receiver.send((self.address,), Note('x' * datagrams.MOST_BYTES))
        self.assertEqual((self.receiver.sent, self.receiver.dropped), (0, 1))


if __name__ == '__main__':
    unittest.main()
