"""Servers that say in their answers that they leave, before the store does."""

import asyncio
import unittest
from types import MappingProxyType

from beryllug.core import stamps
from beryllug.platform import names
from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site, server_rules

DRAIN_S = 1.0
MS = 1000
# Seconds in which routers have sent requests to the servers they prefer.
MET_S = 1.5
PRESSED_S = 3.0
# Seconds in which all routers have been told.
TOLD_S = 1.0
OK = 200
UNAVAILABLE = 503
SERVICES = MappingProxyType(
    {
        site_test.LOOKUP: platform_site.DESK,
        site_test.HOLD: platform_site.DESK,
        site_test.DRAFT: platform_site.POOL,
    }
)


class LeavingTest(site_test.SiteCase):
    """Three routers, a server of each kind that leaves."""

    routers = 3
    settings = MappingProxyType({'drain_ms': DRAIN_S * MS})

    async def test_heard_in_answer(self) -> None:
        """A server gets requests from a router that it told it leaves."""
        for load in site_test.LOADS:
            with self.subTest(load.path):
                await self.press(load, MET_S)
                instance = self.busiest(*self._present(load))
                await self._leaves(instance, SERVICES[load.path])
                replies = await self.press(load, PRESSED_S)
                self.assertEqual({each.status for each in replies}, {OK})
                for router, came in self.arrivals(instance).items():
                    late = server_rules.after_leaving(came, DRAIN_S)
                    self.assertEqual(late, [], router)

    async def test_others_told(self) -> None:
        """A router that was not told itself sends on to a leaving server."""
        load = site_test.LOADS[0]
        await self.press(load, MET_S)
        instance = self.busiest(*load.servers)
        await self._leaves(instance, platform_site.DESK)
        await self._tell_one(instance, load)
        await asyncio.sleep(TOLD_S)
        before = len(self.site.runners[instance].arrivals)
        await self.press(load, MET_S)
        self.assertEqual(len(self.site.runners[instance].arrivals), before)

    async def test_store_returns(self) -> None:
        """The store returns from a copy by which the server is ready."""
        load = site_test.LOADS[0]
        await self.press(load, MET_S)
        copy = self.site.store_party.copy()
        instance = self.busiest(*load.servers)
        await self._leaves(instance, platform_site.DESK)
        await self.press(load, MET_S)
        self.site.list_runner(platform_site.DESK, instance, 'draining')
        await asyncio.sleep(TOLD_S)
        self.site.store_party.return_from(copy)
        await asyncio.sleep(stamps.HELD_S + TOLD_S)
        before = len(self.site.runners[instance].arrivals)
        replies = await self.press(load, MET_S)
        self.assertEqual({each.status for each in replies}, {OK})
        self.assertEqual(len(self.site.runners[instance].arrivals), before)

    async def test_all_leave(self) -> None:
        """Callers wait though all servers of their service leave."""
        for load in site_test.LOADS[1:]:
            with self.subTest(load.path):
                for instance in load.servers:
                    runner = self.site.runners[instance]
                    runner.states = runner.states._replace(is_leaving=True)
                await self.press(load, MET_S)
                replies = await self.press(load, MET_S)
                for reply in replies:
                    self.assertEqual(reply.status, UNAVAILABLE)
                    self.assertIn(names.RETRY_AFTER, reply.headers)

    async def _tell_one(self, instance: str, load: site_test.Load) -> None:
        """Ask one router until the server has told it that it leaves."""
        runner = self.site.runners[instance]
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not any(each.answered.is_leaving for each in runner.arrivals):
                await self.site.ask(self.router, load.path, load.method)

    def _present(self, load: site_test.Load) -> list[str]:
        """Return the servers that do not leave."""
        runners = self.site.runners
        return [
            each for each in load.servers if not runners[each].states.is_leaving
        ]

    async def _leaves(self, instance: str, service: str) -> None:
        """Let a server say that it leaves, with another one there for it."""
        runner = self.site.runners[instance]
        runner.states = runner.states._replace(is_leaving=True)
        await self.site.add_runner(service, f'{instance}-next')


if __name__ == '__main__':
    unittest.main()
