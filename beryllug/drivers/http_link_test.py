"""Deadlines and idle connections of a link, at the step that matters."""

import asyncio
import socket
import unittest

from beryllug.drivers import http_link

READ_SIZE = 16384
# A test that would hang fails after so long.
HANG_S = 10.0


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link on one end of a socket pair."""

    async def asyncSetUp(self) -> None:
        """Connect the link; `other` is the far end."""
        near, far = socket.socketpair()
        self.other = far
        self.addCleanup(far.close)
        self.link = http_link.Link()
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self.link, sock=near)
        self.addCleanup(self.link.abort)

    async def test_expire(self) -> None:
        """A deadline fails one read; the link can still be read after it."""
        reading = asyncio.create_task(self.link.read())
        await asyncio.sleep(0)
        self.link.deadline = 1.0
        self.link.expire()
        with self.assertRaises(TimeoutError):
            await reading
        self.assertEqual(self.link.deadline, http_link.NEVER)
        self.other.send(b'late')
        self.assertEqual(await self.link.read(), b'late')

    async def test_expire_as_bytes_come(self) -> None:
        """Bytes that come just as the time is over don't lift the deadline.

        A slow sender's byte arrives in the same turn of the loop in which
        the deadline is looked at. The read has its byte; were the deadline
        taken as used up, the sender could go on for ever.
        """
        reading = asyncio.create_task(self.link.read())
        await asyncio.sleep(0)
        self.link.deadline = 1.0
        self.link.data_received(b'x')
        self.link.expire()
        self.assertEqual(self.link.deadline, 1.0)
        self.assertEqual(await reading, b'x')

    async def test_expire_unread(self) -> None:
        """A deadline that passes while nobody reads cuts the connection."""
        self.link.expire()
        self.assertTrue(self.link.transport.is_closing())

    async def test_slow_reader(self) -> None:
        """Bytes that nobody reads make the other side wait, and it goes on."""
        self.other.setblocking(False)
        added = [self._send_all()]
        while added[-1] and len(added) < 100:
            for _ in range(10):
                await asyncio.sleep(0)
            added.append(self._send_all())
        self.assertEqual(added[-1], 0)
        left = sum(added)
        async with asyncio.timeout(HANG_S):
            while left:
                left -= len(await self.link.read())
            self.other.send(b'more')
            self.assertEqual(await self.link.read(), b'more')

    def _send_all(self) -> int:
        sent = 0
        try:
            while sent < http_link.READ_HIGH:
                sent += self.other.send(bytes(READ_SIZE))
        except BlockingIOError:
            return sent
        return sent


if __name__ == '__main__':
    unittest.main()
