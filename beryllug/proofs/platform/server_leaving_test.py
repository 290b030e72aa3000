"""Servers that announce in answers that they leave, before the store."""

import asyncio
import unittest
from types import MappingProxyType

from beryllug.core import stamps
from beryllug.platform import names
from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site, router_checks

DRAIN_S = 1.0
MS = 1000
# Seconds within which routers have sent requests to preferred servers.
WARM_UP_S = 1.5
LOAD_S = 3.0
# Seconds within which all routers have been informed.
PROPAGATION_S = 1.0
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
    """Three routers, and a leaving server of each kind."""

    routers = 3
    settings = MappingProxyType({'drain_ms': DRAIN_S * MS})

    async def test_told_in_answer(self) -> None:
        """A router that is told in an answer stops sending."""
        for load in site_test.LOADS:
            with self.subTest(load.path):
                await self.send_load(load, WARM_UP_S)
                instance = self.busiest(*self._remaining(load))
                await self._announce_leaving(instance, SERVICES[load.path])
                replies = await self.send_load(load, LOAD_S)
                self.assertEqual({each.status for each in replies}, {OK})
                for router, came in self.arrivals(instance).items():
                    late = router_checks.find_after_leaving(came, DRAIN_S)
                    self.assertEqual(late, [], router)

    async def test_others_told(self) -> None:
        """Routers that were not told themselves stop sending, too."""
        load = site_test.LOADS[0]
        await self.send_load(load, WARM_UP_S)
        instance = self.busiest(*load.servers)
        await self._announce_leaving(instance, platform_site.DESK)
        await self._tell_one(instance, load)
        await asyncio.sleep(PROPAGATION_S)
        before = len(self.site.runners[instance].received_requests)
        await self.send_load(load, WARM_UP_S)
        self.assertEqual(
            len(self.site.runners[instance].received_requests), before
        )

    async def test_store_returns(self) -> None:
        """A leaving server gets no requests after a restore of the store.

        The restored copy lists the server as ready.
        """
        load = site_test.LOADS[0]
        await self.send_load(load, WARM_UP_S)
        copy = self.site.store_behaviour.take_snapshot()
        instance = self.busiest(*load.servers)
        await self._announce_leaving(instance, platform_site.DESK)
        await self.send_load(load, WARM_UP_S)
        self.site.list_runner(platform_site.DESK, instance, 'draining')
        await asyncio.sleep(PROPAGATION_S)
        self.site.store_behaviour.restore(copy)
        await asyncio.sleep(stamps.RESTORE_HOLD_S + PROPAGATION_S)
        before = len(self.site.runners[instance].received_requests)
        replies = await self.send_load(load, WARM_UP_S)
        self.assertEqual({each.status for each in replies}, {OK})
        self.assertEqual(
            len(self.site.runners[instance].received_requests), before
        )

    async def test_all_leave(self) -> None:
        """If all servers leave, callers get 503 with Retry-After."""
        for load in site_test.LOADS[1:]:
            with self.subTest(load.path):
                for instance in load.servers:
                    runner = self.site.runners[instance]
                    runner.reported_status = runner.reported_status._replace(
                        is_leaving=True
                    )
                await self.send_load(load, WARM_UP_S)
                replies = await self.send_load(load, WARM_UP_S)
                for reply in replies:
                    self.assertEqual(reply.status, UNAVAILABLE)
                    self.assertIn(names.RETRY_AFTER, reply.headers)

    async def _tell_one(self, instance: str, load: site_test.Load) -> None:
        """Send requests to one router until the server tells it."""
        runner = self.site.runners[instance]
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not any(
                each.answered.is_leaving for each in runner.received_requests
            ):
                await self.site.ask(self.router, load.path, load.method)

    def _remaining(self, load: site_test.Load) -> list[str]:
        """Return the servers that are not leaving."""
        runners = self.site.runners
        return [
            each
            for each in load.servers
            if not runners[each].reported_status.is_leaving
        ]

    async def _announce_leaving(self, instance: str, service: str) -> None:
        """Let a server announce that it leaves, and add another one."""
        runner = self.site.runners[instance]
        runner.reported_status = runner.reported_status._replace(
            is_leaving=True
        )
        await self.site.add_runner(service, f'{instance}-next')


if __name__ == '__main__':
    unittest.main()
