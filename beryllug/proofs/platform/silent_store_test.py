"""The store stops answering the routers that watch it, but not others."""

import asyncio
import time
import unittest

from beryllug.soak import proxy
from beryllug.standins import platform_site

# Seconds within which all routers apply a change.
APPLY_S = 2.0
ROUTERS = 6
# Seconds within which the routers agree on who watches the store.
SETTLE_S = 3.0
IDLE_S = 5.0
# Maximum calls per second of all routers without changes, and the weight of a
# call that may be answered with stale data.
MAX_CALLS_PER_S = 2.0
STALE_CALL_WEIGHT = 0.1


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """Six routers, each with a proxy of its own to the store."""

    async def asyncSetUp(self) -> None:
        self.site = platform_site.Site()
        await self.site.open()
        self.proxies: dict[str, proxy.Proxy] = {}
        for _ in range(ROUTERS):
            store_proxy = proxy.Proxy(self.site.store_stand_in.address)
            await store_proxy.start('127.0.0.1')
            router = await self.site.add_router(store=store_proxy.address)
            self.proxies[router.name] = store_proxy
        for router in self.site.routers:
            await self.site.until_ready(router)
        await asyncio.sleep(SETTLE_S)

    async def asyncTearDown(self) -> None:
        await self.site.close()
        for store_proxy in self.proxies.values():
            await store_proxy.stop()

    async def test_table(self) -> None:
        """A table is applied in time while watches get no answer."""
        for version, are_all_silenced in ((2, False), (3, True)):
            with self.subTest(are_all_silenced=are_all_silenced):
                watching = self._watching()
                self.assertTrue(watching)
                silenced = watching if are_all_silenced else watching[:1]
                for name in silenced:
                    self.proxies[name].link.is_cut_down = True
                took_s = await self._put_table(version)
                self.assertLess(took_s, APPLY_S)
                for name in silenced:
                    self.proxies[name].link.is_cut_down = False
                await asyncio.sleep(SETTLE_S)

    async def test_old_connections(self) -> None:
        """A table is applied in time when only old connections stall."""
        for name in self._watching():
            self.proxies[name].silence()
        self.assertLess(await self._put_table(2), APPLY_S)

    async def test_idle(self) -> None:
        """Detecting stalls costs few calls while nothing changes."""
        before = self._calls()
        await asyncio.sleep(IDLE_S)
        calls = self._calls() - before
        self.assertLess(calls / IDLE_S, MAX_CALLS_PER_S)

    def _watching(self) -> list[str]:
        """Return the routers that watch the store."""
        return [
            router.name
            for router in self.site.routers
            if router.services.dump()['directory']['is_current']
        ]

    async def _put_table(self, version: int) -> float:
        """Write a table; return the seconds until all routers apply it."""
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
        """Return the number of store calls, weighted by their cost."""
        calls = self.site.store_behaviour.calls
        stale = calls.get('stale', 0)
        return sum(calls.values()) - stale * (1 - STALE_CALL_WEIGHT)


if __name__ == '__main__':
    unittest.main()
