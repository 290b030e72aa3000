"""Connections that are opened in several ways."""

import asyncio
import functools
import unittest

from beryllug.drivers import http_link
from beryllug.router import link_race

HOST = '127.0.0.1'
HEAD_START_S = 0.05


class RaceTest(unittest.IsolatedAsyncioTestCase):
    """Ways of which some hang, fail or succeed."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(_ignore, HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        self.begun: list[str] = []
        self.links = link_race.LinkRace()

    async def asyncTearDown(self) -> None:
        self.links.cancel()
        self.server.close()
        await self.server.wait_closed()

    async def test_ways(self) -> None:
        """A way that works is not tried, or one that is not needed is."""
        table = (
            (('opens', 'opens'), ['opens']),
            (('fails', 'opens'), ['fails', 'opens']),
            (('hangs', 'opens', 'fails'), ['hangs', 'opens']),
            (('hangs', 'fails', 'opens'), ['hangs', 'fails', 'opens']),
        )
        for ways, begun in table:
            with self.subTest(ways):
                self.begun.clear()
                link = await self._open(*ways)
                link.abort()
                self.assertEqual(self.begun, begun)

    async def test_none(self) -> None:
        """A connection waits for ever, or fails without an OSError."""
        for ways in ((), ('fails',), ('fails', 'fails')):
            with self.subTest(ways), self.assertRaises(OSError):
                await self._open(*ways)

    async def test_late(self) -> None:
        """A link that is opened after another one stays open."""
        late: list[http_link.Link] = []
        first = functools.partial(self._open_late, late)
        second = functools.partial(self._go, 'opens')
        link = await self.links.open((first, second), HEAD_START_S)
        link.abort()
        await asyncio.sleep(3 * HEAD_START_S)
        self.assertEqual([each.transport.is_closing() for each in late], [True])

    async def _open(self, *ways: str) -> http_link.Link:
        return await self.links.open(
            [functools.partial(self._go, way) for way in ways], HEAD_START_S
        )

    async def _go(self, way: str) -> http_link.Link:
        self.begun.append(way)
        match way:
            case 'fails':
                raise ConnectionRefusedError(self.address)
            case 'hangs':
                await asyncio.Event().wait()
        return await http_link.open_link(self.address)

    async def _open_late(self, late: list[http_link.Link]) -> http_link.Link:
        await asyncio.sleep(2 * HEAD_START_S)
        link = await http_link.open_link(self.address)
        late.append(link)
        return link


async def _ignore(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    writer.close()


if __name__ == '__main__':
    unittest.main()
