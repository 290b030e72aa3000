"""The store falls silent for those who follow it, and serves the others."""

import asyncio
import time
import unittest

from beryllug.soak import proxy
from beryllug.standins import platform_site

# Seconds in which a change is in force in all routers.
IN_FORCE_S = 2.0
ROUTERS = 6
# Seconds in which the routers have settled who follows the store.
SETTLED_S = 3.0
CALM_S = 5.0
# Calls a second of all routers, where nothing changes, and the part of a call
# that one counts which may be answered by old data.
MOST_CALLS_PER_S = 2.0
STALE_PART = 0.1


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """Six routers, each with a way of its own to the store."""

    async def asyncSetUp(self) -> None:
        self.site = platform_site.Site()
        await self.site.open()
        self.ways: dict[str, proxy.Proxy] = {}
        for _ in range(ROUTERS):
            way = proxy.Proxy(self.site.store_stand_in.address)
            await way.start('127.0.0.1')
            router = await self.site.add_router(store=way.address)
            self.ways[router.name] = way
        for router in self.site.routers:
            await self.site.until_ready(router)
        await asyncio.sleep(SETTLED_S)

    async def asyncTearDown(self) -> None:
        await self.site.close()
        for way in self.ways.values():
            await way.stop()

    async def test_table(self) -> None:
        """A new route table is in force late, as all who follow are deaf."""
        for version, is_all in ((2, False), (3, True)):
            with self.subTest(is_all=is_all):
                following = self._following()
                self.assertTrue(following)
                silenced = following if is_all else following[:1]
                for name in silenced:
                    self.ways[name].link.is_cut_down = True
                took_s = await self._put_table(version)
                self.assertLess(took_s, IN_FORCE_S)
                for name in silenced:
                    self.ways[name].link.is_cut_down = False
                await asyncio.sleep(SETTLED_S)

    async def test_old_connections(self) -> None:
        """Connections that are open fall silent, and new ones work."""
        for name in self._following():
            self.ways[name].silence()
        self.assertLess(await self._put_table(2), IN_FORCE_S)

    async def test_calm(self) -> None:
        """To notice it costs calls of the store while nothing changes."""
        before = self._calls()
        await asyncio.sleep(CALM_S)
        calls = self._calls() - before
        self.assertLess(calls / CALM_S, MOST_CALLS_PER_S)

    def _following(self) -> list[str]:
        """Return the routers that follow the store."""
        return [
            router.name
            for router in self.site.routers
            if router.services.dump()['directory']['is_current']
        ]

    async def _put_table(self, version: int) -> float:
        """Write a table; returns the seconds until it is in force in all."""
        began = time.monotonic()
        self.site.put_table(platform_site.table(version))
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not all(
                router.services.dump()['directory']['table_version'] == version
                for router in self.site.routers
            ):
                await asyncio.sleep(platform_site.POLL_S)
        return time.monotonic() - began

    def _calls(self) -> float:
        """Return the calls of the store by their price."""
        calls = self.site.store_party.calls
        stale = calls.get('stale', 0)
        return sum(calls.values()) - stale * (1 - STALE_PART)


if __name__ == '__main__':
    unittest.main()
