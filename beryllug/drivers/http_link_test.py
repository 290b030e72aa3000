"""Tests of read deadlines and flow control of HTTP connections."""

import asyncio
import socket
import unittest

from beryllug.drivers import http_link

SEND_SIZE = 16384
# Fails a test that would otherwise hang.
TEST_TIMEOUT_S = 10.0


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link over one end of a socket pair."""

    async def asyncSetUp(self) -> None:
        """Connect the link; `peer` is the other end."""
        own_end, peer_end = socket.socketpair()
        self.peer = peer_end
        self.addCleanup(peer_end.close)
        self.link = http_link.Link()
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self.link, sock=own_end)
        self.addCleanup(self.link.abort)

    async def test_expire(self) -> None:
        """An expired deadline fails one read; the next read still works."""
        reading = asyncio.create_task(self.link.read())
        await asyncio.sleep(0)
        self.link.deadline = 1.0
        self.link.expire()
        with self.assertRaises(TimeoutError):
            await reading
        self.assertEqual(self.link.deadline, http_link.NEVER)
        self.peer.send(b'late')
        self.assertEqual(await self.link.read(), b'late')

    async def test_expire_as_bytes_come(self) -> None:
        """Bytes that arrive as the deadline expires don't clear it.

        A slow sender's byte arrives in the loop iteration that checks the
        deadline. If a successful read cleared the deadline, the sender could
        hold the connection for ever.
        """
        reading = asyncio.create_task(self.link.read())
        await asyncio.sleep(0)
        self.link.deadline = 1.0
        self.link.data_received(b'x')
        self.link.expire()
        self.assertEqual(self.link.deadline, 1.0)
        self.assertEqual(await reading, b'x')

    async def test_expire_unread(self) -> None:
        """A deadline that expires with no waiting read aborts the link."""
        self.link.expire()
        self.assertTrue(self.link.transport.is_closing())

    async def test_slow_reader(self) -> None:
        """Unread bytes block the sender, which resumes after a read."""
        self.peer.setblocking(False)
        sent_sizes = [self._send_until_blocked()]
        while sent_sizes[-1] and len(sent_sizes) < 100:
            for _ in range(10):
                await asyncio.sleep(0)
            sent_sizes.append(self._send_until_blocked())
        self.assertEqual(sent_sizes[-1], 0)
        remaining = sum(sent_sizes)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while remaining:
                remaining -= len(await self.link.read())
            self.peer.send(b'more')
            self.assertEqual(await self.link.read(), b'more')

    def _send_until_blocked(self) -> int:
        sent = 0
        try:
            while sent < http_link.READ_HIGH_WATER_BYTES:
                sent += self.peer.send(bytes(SEND_SIZE))
        except BlockingIOError:
            return sent
        return sent


if __name__ == '__main__':
    unittest.main()
