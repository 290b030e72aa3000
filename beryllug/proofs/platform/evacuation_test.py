"""An availability zone is evacuated and reopened."""

import asyncio
import time
import unittest
from collections.abc import Iterable

from beryllug.platform import names, store
from beryllug.proofs.platform import site_test
from beryllug.router import directory
from beryllug.standins import platform_site

OTHER_ZONE = 'b'
# Seconds for which a server of the table below is cold, and requests per
# second that it can serve meanwhile.
COLD_S = 1.0
COLD_PER_S = 2
REQUESTS = 12


class EvacuationTest(site_test.SiteCase):
    """Zone `a` has the usual servers, zone `b` one of each service."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        services = [
            {
                'name': name,
                'cold_start_s': COLD_S,
                'cold_per_s': COLD_PER_S,
            }
            for name in (platform_site.POOL, platform_site.DESK)
        ]
        self.site.put_table(platform_site.table(2, services=services))
        for service, instance in (
            (platform_site.POOL, 'far-m'),
            (platform_site.DESK, 'far-d'),
        ):
            await self.site.add_runner(service, instance, zone=OTHER_ZONE)
        known = self.router.services.find('directory', directory.Directory)
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not self._is_known(known):
                await asyncio.sleep(platform_site.POLL_S)

    async def test_no_new_requests(self) -> None:
        """No router sends a request of any kind to the zone.

        This includes a router that starts later and cannot read the store: a
        peer informs it. The other zone answers all requests.
        """
        routers = [self.router, await self.site.add_router()]
        self._evacuate(platform_site.ZONE)
        await self._until_told(routers, {platform_site.ZONE})
        before = self._runs_in_zone()
        self.site.store_stand_in.put_faults(refuse=True)
        await self.site.store_stand_in.settle()
        late = await self.site.add_router()
        await self.site.until_ready(late)
        for router in (*routers, late):
            for path in (site_test.LOOKUP, site_test.HOLD, site_test.DRAFT):
                reply = await self.site.ask(router, path)
                self.assertEqual(reply.status, 200)
        self.assertEqual(self._runs_in_zone(), before)

    async def test_running_stream(self) -> None:
        """A stream that runs in the zone is completed there."""
        self._evacuate(OTHER_ZONE)
        await self._until_told([self.router], {OTHER_ZONE})
        asking = asyncio.create_task(self.ask(site_test.REPORT))
        while not self.runs('p1', 'p2'):
            await asyncio.sleep(platform_site.POLL_S)
        self._reopen(OTHER_ZONE)
        self._evacuate(platform_site.ZONE)
        self.assertFalse(asking.done())
        reply = await asking
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.runs('p1', 'p2')), 1)

    async def test_all_zones(self) -> None:
        """With all zones evacuated a request is refused at once.

        The reply has Retry-After, and the request has run nowhere.
        """
        self._evacuate(platform_site.ZONE)
        self._evacuate(OTHER_ZONE)
        await self._until_told([self.router], {platform_site.ZONE, OTHER_ZONE})
        for path in (site_test.LOOKUP, site_test.HOLD, site_test.DRAFT):
            with self.subTest(path):
                reply = await self.ask(path)
                self.assertEqual(reply.status, 503)
                self.assertIn(names.RETRY_AFTER, reply.headers)
        self.assertEqual(self._runs_in_zone() + len(self.runs('far-d')), 0)

    async def test_reopened(self) -> None:
        """The reopened zone takes requests, its servers as cold ones.

        They may have become cold meanwhile, and report it only with the next
        heartbeat. All waiting requests at once would crash them.
        """
        self._evacuate(platform_site.ZONE)
        await self._until_told([self.router], {platform_site.ZONE})
        warm_at = time.monotonic() + COLD_S
        self._reopen(platform_site.ZONE)
        await self._until_told([self.router], set())
        for _ in range(REQUESTS):
            await self.ask(site_test.LOOKUP)
        for instance in ('d1', 'd2'):
            runs = self.site.runners[instance].runs
            cold_runs = [run for run in runs if run.at < warm_at]
            self.assertLessEqual(len(cold_runs), COLD_PER_S)
        await asyncio.sleep(COLD_S)
        before = self._runs_in_zone()
        for _ in range(REQUESTS):
            await self.ask(site_test.LOOKUP)
        self.assertGreater(self._runs_in_zone(), before + COLD_PER_S * 2)

    def _evacuate(self, zone: str) -> None:
        """Order the evacuation of a zone."""
        self.site.store_behaviour.put(store.EVACUATIONS, zone, {})

    def _reopen(self, zone: str) -> None:
        """Revoke an evacuation."""
        self.site.store_behaviour.remove(store.EVACUATIONS, zone)

    def _is_known(self, known: directory.Directory) -> bool:
        """Return whether the test's table and servers are known."""
        table = known.table
        listed = known.servers.dump()['listed']
        return table is not None and table.version == 2 and len(listed) == 6

    def _runs_in_zone(self) -> int:
        """Return the requests that ran in zone `a`."""
        return sum(
            len(runner.runs)
            for instance, runner in self.site.runners.items()
            if not instance.startswith('far')
        )

    async def _until_told(
        self, routers: Iterable[platform_site.Router], zones: set[str]
    ) -> None:
        for router in routers:
            known = router.services.find('directory', directory.Directory)
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                while known.zones.evacuated != zones:
                    await asyncio.sleep(platform_site.POLL_S)


if __name__ == '__main__':
    unittest.main()
