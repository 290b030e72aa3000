"""Tests of UDP messages."""

import asyncio
import socket
import unittest
from typing import NamedTuple

from beryllug.drivers import datagrams, fleet_key

VALID_KEYS = fleet_key.KeyRing(('a-key-of-this-test',))
OTHER_KEYS = fleet_key.KeyRing(('another-key-of-it',))


class Message(NamedTuple):
    """A message of the test."""

    text: str


def _free_address() -> str:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


class DatagramsTest(unittest.IsolatedAsyncioTestCase):
    """Delivered messages and dropped datagrams."""

    async def asyncSetUp(self) -> None:
        self.received: list[Message] = []
        self.address = _free_address()
        self.receiver = datagrams.Datagrams(
            VALID_KEYS, Message, self.received.append
        )
        await self.receiver.start(self.address)

    async def asyncTearDown(self) -> None:
        self.receiver.stop()

    async def test_notes(self) -> None:
        """A message with a valid signature arrives; others are dropped."""
        for keys, received, dropped in ((VALID_KEYS, 1, 0), (OTHER_KEYS, 1, 1)):
            sender = datagrams.Datagrams(keys, Message, print)
            await sender.start(_free_address())
            sender.send((self.address,), Message('hello'))
            await asyncio.sleep(0.05)
            sender.stop()
            self.assertEqual(len(self.received), received)
            self.assertEqual(self.receiver.dropped, dropped)

    async def test_no_note(self) -> None:
        """Invalid bytes of an unknown sender are dropped."""
        self.receiver.datagram_received(b'\x93\x01garbage', ('127.0.0.1', 9))
        self.assertEqual((self.received, self.receiver.dropped), ([], 1))

    async def test_too_large(self) -> None:
        """A message that exceeds one packet is not sent."""
        self.receiver.send(
            (self.address,), Message('x' * datagrams.MAX_DATAGRAM_BYTES)
        )
        self.assertEqual((self.receiver.sent, self.receiver.dropped), (0, 1))

    async def test_after_stall(self) -> None:
        """What arrived while the process stalled is received in one turn."""
        sender = datagrams.Datagrams(VALID_KEYS, Message, print)
        await sender.start(_free_address())
        texts = [str(number) for number in range(datagrams.MAX_PER_TURN // 2)]
        for text in texts:
            sender.send((self.address,), Message(text))
        sender.stop()
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertEqual([each.text for each in self.received], texts)

    async def test_stopped(self) -> None:
        """A task that outlives the service sends nothing and does not fail."""
        self.receiver.stop()
        self.receiver.send((self.address,), Message('late'))
        self.assertEqual((self.receiver.sent, self.receiver.dropped), (0, 1))


if __name__ == '__main__':
    unittest.main()
