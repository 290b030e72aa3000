"""A backend server restarts under its id; others write to its list."""

import asyncio
import unittest

from beryllug.platform import store
from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site

BORN = 1_700_000_000_000


class RestartTest(site_test.SiteCase):
    """What callers get after a server has crashed and restarted."""

    async def test_same_id(self) -> None:
        """Both servers of a service crash and restart under their ids.

        The failures exclude the old instances for seconds. The new ones have
        other addresses and serve at once, since no state of the old instances
        applies to them.
        """
        for instance in ('d1', 'd2'):
            self.site.list_runner(platform_site.DESK, instance, born=BORN)
        await self._until_listed(f'd1@{BORN}', f'd2@{BORN}')
        for instance in ('d1', 'd2'):
            await self.site.stand_ins[instance].stop()
        refused = await self.ask(site_test.LOOKUP)
        self.assertEqual(refused.status, 503)
        for instance in ('d1', 'd2'):
            await self.site.restart_runner(
                platform_site.DESK, instance, BORN + 1
            )
        await self._until_listed(f'd1@{BORN + 1}', f'd2@{BORN + 1}')
        for _ in range(4):
            reply = await self.ask(site_test.LOOKUP)
            self.assertEqual(reply.status, 200)

    async def test_late_entry(self) -> None:
        """The entry of the first start arrives after that of the second.

        Its state and address are outdated, and no request is sent there.
        """
        self.site.list_runner(platform_site.DESK, 'd1', born=BORN + 1)
        self.site.list_runner(platform_site.DESK, 'd1', 'draining', BORN)
        self.site.list_runner(platform_site.DESK, 'd2', 'draining')
        await self._until_listed(f'd1@{BORN + 1}')
        reply = await self.ask(site_test.LOOKUP)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.runs('d1')), 1)

    async def test_foreign_entries(self) -> None:
        """Another writer puts invalid entries next to those of servers.

        The valid entries are still read, requests are served, and each invalid
        entry is logged at most once per process.
        """
        invalid_specs = (
            7,
            None,
            {'service': platform_site.DESK},
            ['x', {'y': 1}],
        )
        for number, spec in enumerate(invalid_specs):
            for kind in (store.SERVERS, store.ROLLOUTS):
                self.site.store_behaviour.put(kind, f'foreign-{number}', spec)
        router = await self.site.add_router()
        await self.site.until_ready(router)
        for _ in range(4):
            reply = await self.site.ask(router, site_test.LOOKUP)
            self.assertEqual(reply.status, 200)
        refused = [
            line['name']
            for line in self.site.log_records
            if line['event'] == 'server_refused'
        ]
        self.assertEqual(len(set(refused)), len(invalid_specs))
        self.assertLessEqual(len(refused), 2 * len(invalid_specs))

    async def _until_listed(self, *instances: str) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not set(instances) <= self._ever_listed():
                await asyncio.sleep(platform_site.POLL_S)

    def _ever_listed(self) -> set[str]:
        """Return all instances that the router has ever listed."""
        return {
            line['instance']
            for line in self.site.log_records
            if line['event'] == 'server_listed'
        }


if __name__ == '__main__':
    unittest.main()
