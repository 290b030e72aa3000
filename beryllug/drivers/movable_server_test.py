"""Tests of calls of a server whose address changes."""

import asyncio
import functools
import unittest

from beryllug.drivers import (
    http_client,
    http_data,
    http_server,
    movable_server,
)

HOST = '127.0.0.1'
LONG_S = 30.0
TIMEOUT_S = 5.0


class MovableServerTest(unittest.IsolatedAsyncioTestCase):
    """One server at two addresses."""

    async def asyncSetUp(self) -> None:
        self.asked: list[str] = []
        self.addresses = [await self._start(name) for name in ('old', 'new')]
        self.client = http_client.HttpClient()
        self.server = movable_server.MovableServer(
            self.client, self.addresses[0]
        )
        self.addAsyncCleanup(self.client.close)

    async def test_waiting(self) -> None:
        """A call that waits at the old address is not heard of for ever."""
        get = http_data.Outgoing('GET', '/wait', {})
        waiting = asyncio.create_task(
            self.server.call(get, LONG_S, is_waiting=True)
        )
        while not self.asked:
            await asyncio.sleep(0)
        self.server.move(self.addresses[1])
        with self.assertRaises(http_data.BrokenError):
            await asyncio.wait_for(waiting, TIMEOUT_S)
        await self.server.call(http_data.Outgoing('GET', '/', {}), TIMEOUT_S)
        self.assertEqual(self.asked, ['old', 'new'])

    async def test_cancelled(self) -> None:
        """A caller that is cancelled leaves its call behind."""
        get = http_data.Outgoing('GET', '/wait', {})
        waiting = asyncio.create_task(
            self.server.call(get, LONG_S, is_waiting=True)
        )
        while not self.asked:
            await asyncio.sleep(0)
        before = len(asyncio.all_tasks())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertTrue(waiting.cancelled())
        self.assertLessEqual(len(asyncio.all_tasks()), before - 2)

    async def _start(self, name: str) -> str:
        handle = functools.partial(_handle, self.asked, name)
        server = http_server.HttpServer(handle, cancel_on_disconnect=True)
        port = await server.start(HOST, 0)
        self.addAsyncCleanup(server.stop)
        return f'{HOST}:{port}'


async def _handle(
    asked: list[str],
    name: str,
    req: http_data.Request,
    exchange: http_server.Exchange,
) -> None:
    asked.append(name)
    if req.target == '/wait':
        await asyncio.sleep(LONG_S)
    await exchange.respond(200)


if __name__ == '__main__':
    unittest.main()
