"""The platform's store returns from an older copy."""

import asyncio
import time
import unittest
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from beryllug.core import stamps
from beryllug.core.canary import canary_data
from beryllug.platform import store
from beryllug.proofs.platform import site_test
from beryllug.router import directory, trials
from beryllug.standins import platform_site, platform_store

FAR = 'b'
# Seconds for which the store is away before it returns.
AWAY_S = 0.3
# Seconds in which all routers are current again.
CURRENT_S = 1.0
UNAUTHORIZED = 401
VERDICT = MappingProxyType({'state': 'rolled_back', 'target': 'v2'})
ORDER = MappingProxyType(
    {'service': platform_site.POOL, 'target': 'v2', 'duration_s': 60}
)


class ReturnsTest(site_test.SiteCase):
    """Four routers, of which three follow the store."""

    routers = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for service, instance in (
            (platform_site.POOL, 'far-m'),
            (platform_site.DESK, 'far-d'),
        ):
            await self.site.add_runner(service, instance, zone=FAR)
        self.party = self.site.store_party
        await self._until(lambda known: len(self._listed(known)) == 6)

    async def test_given_out_again(self) -> None:
        """A watch goes on from a revision that was given out again."""
        copy = self.party.copy()
        for _ in range(4):
            self._relist('d1')
        await self._until(self._is_current)
        self.party.return_from(copy)
        await self.site.add_runner(platform_site.DESK, 'd3')
        while self.party.revision < copy.revision + 4:
            self._relist('d1')
        await self._until(lambda known: 'd3' in self._listed(known))

    async def test_in_force(self) -> None:
        """What was acknowledged before the return is forgotten with it."""
        copy = self.party.copy()
        self.party.put(store.EVACUATIONS, FAR, {})
        self.site.put_table(platform_site.table(5, tenants=[]))
        self.site.list_runner(platform_site.DESK, 'd1', 'draining')
        self.party.drop(store.SERVERS, 'p1')
        await self._until(self._is_current)
        await self._return(copy)
        for router in self.site.routers:
            known = _directory(router)
            self.assertIn(FAR, known.zones.evacuated)
            assert known.table is not None
            self.assertEqual(known.table.version, 5)
            listed, _ = known.servers.usable(time.monotonic())
            names = {server.name for server in listed}
            self.assertTrue(names.isdisjoint({'d1', 'p1'}), names)
            reply = await self.site.ask(router, site_test.LOOKUP)
            self.assertEqual(reply.status, UNAUTHORIZED)

    async def test_written_again(self) -> None:
        """What the operator and the servers write again is not taken."""
        copy = self.party.copy()
        self.party.put(store.EVACUATIONS, FAR, {})
        self.site.list_runner(platform_site.DESK, 'd1', 'draining')
        await self._until(self._is_current)
        await self._return(copy)
        self.party.put(store.EVACUATIONS, FAR, {})
        self.site.list_runner(platform_site.DESK, 'd1', 'draining')
        await self._until(lambda known: FAR in known.zones.stated)
        self.party.drop(store.EVACUATIONS, FAR)
        self.site.list_runner(platform_site.DESK, 'd1')
        await self._until(lambda known: not known.zones.evacuated)
        await self._until(lambda known: 'd1' in self._usable(known))

    async def test_missing(self) -> None:
        """Servers that the copy lacks are dropped although they are there."""
        self.party.drop(store.SERVERS, 'd2')
        self.party.drop(store.SERVERS, 'far-d')
        await self._until(lambda known: len(self._listed(known)) == 4)
        self.party.drop(store.SERVERS, 'd1')
        copy = self.party.copy()
        self.site.list_runner(platform_site.DESK, 'd2')
        await self._until(lambda known: 'd2' in self._listed(known))
        await self._return(copy)
        for router in self.site.routers:
            reply = await self.site.ask(router, site_test.LOOKUP)
            self.assertEqual(reply.status, 200)
        self.site.list_runner(platform_site.DESK, 'd2')
        await self._until(lambda known: 'd2' in self._listed(known))

    async def test_verdict(self) -> None:
        """A verdict is gone from the store: a bad version is tried again."""
        self.party.put(store.ROLLOUTS, platform_site.POOL, dict(ORDER))
        copy = self.party.copy()
        revision = self.party.put(
            store.ROLLOUTS, platform_site.POOL, dict(ORDER), dict(VERDICT)
        )
        await self._until(self._is_current)
        self.assertGreater(self.party.revision, revision - 1)
        await self._return(copy)
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while self.party.status(store.ROLLOUTS, platform_site.POOL) is None:
                await asyncio.sleep(platform_site.POLL_S)
        status = self.party.status(store.ROLLOUTS, platform_site.POOL)
        self.assertEqual(status, dict(VERDICT))
        written = self.party.calls['status']
        await asyncio.sleep(CURRENT_S)
        self.assertEqual(self.party.calls['status'], written)
        for phase in self._phases():
            self.assertIs(phase, canary_data.Phase.ROLLED_BACK)

    async def test_replaced_order(self) -> None:
        """An order that was replaced is back, and its version tried again."""
        self.party.put(
            store.ROLLOUTS, platform_site.POOL, dict(ORDER), dict(VERDICT)
        )
        await self._until(self._is_current)
        copy = self.party.copy()
        later = dict(ORDER) | {'target': 'v3'}
        self.party.put(
            store.ROLLOUTS,
            platform_site.POOL,
            later,
            dict(VERDICT) | {'target': 'v3'},
        )
        await self._until(self._is_current)
        await self._return(copy)
        for router in self.site.routers:
            rollouts = router.services.find('trials', trials.Trials).rollouts()
            targets = [each.order.target for each in rollouts]
            self.assertEqual(targets, ['v3'])
        self.party.put(store.ROLLOUTS, platform_site.POOL, later)
        await self._until(self._is_current)
        for phase in self._phases():
            self.assertIs(phase, canary_data.Phase.ROLLED_BACK)

    async def test_started_after(self) -> None:
        """A process that starts after a return believes the older copy."""
        self.party.put(store.ROLLOUTS, platform_site.POOL, dict(ORDER))
        await self._until(self._is_current)
        copy = self.party.copy()
        self.party.put(store.EVACUATIONS, FAR, {})
        self.site.list_runner(platform_site.DESK, 'd1', 'draining')
        self.party.drop(store.SERVERS, 'p1')
        later = dict(ORDER) | {'target': 'v3'}
        self.party.put(store.ROLLOUTS, platform_site.POOL, later)
        await self._until(self._is_current)
        await self._return(copy)
        late = await self.site.add_router()
        await self.site.until_ready(late)
        known = _directory(late)
        await asyncio.sleep(CURRENT_S)
        self.assertEqual(known.zones.evacuated, {FAR})
        self.assertTrue(self._usable(known).isdisjoint({'d1', 'p1'}))
        order = known.orders.orders[platform_site.POOL]
        self.assertEqual(order.spec['target'], 'v3')

    async def test_twice(self) -> None:
        """Two returns one right after the other leave the routers apart."""
        copy = self.party.copy()
        self.party.put(store.EVACUATIONS, FAR, {})
        await self._until(self._is_current)
        self.party.return_from(copy)
        late = await self.site.add_router()
        self.party.put(store.EVACUATIONS, FAR, {})
        self.party.return_from(copy)
        self.party.put(store.EVACUATIONS, FAR, {})
        await self.site.until_ready(late)
        await self._until(self._is_current)
        await self._until(lambda known: FAR in known.zones.evacuated)

    async def test_requests(self) -> None:
        """Requests fail for the return itself, or the store is pressed."""
        copy = self.party.copy()
        for _ in range(4):
            self._relist('d1')
        await self._until(self._is_current)
        asking = asyncio.create_task(self._ask_on())
        before = sum(self.party.calls.values())
        await self._return(copy)
        await self._until(self._is_current)
        statuses = await asking
        self.assertEqual(statuses, {200})
        # Three list four kinds each and watch them; some are cut off and list
        # twice.
        calls = sum(self.party.calls.values()) - before
        self.assertLess(calls, 3 * 4 * 5)
        noticed = {line['era'] for line in self.site.logged('store_returned')}
        self.assertEqual(noticed, {2})

    async def _ask_on(self) -> set[int]:
        until = time.monotonic() + 2 * CURRENT_S
        statuses = set()
        while time.monotonic() < until:
            for router in self.site.routers:
                for path in (site_test.LOOKUP, site_test.HOLD, site_test.DRAFT):
                    reply = await self.site.ask(router, path)
                    statuses.add(reply.status)
        return statuses

    async def _return(self, copy: platform_store.Copy) -> None:
        """Let the store be away, return, and be followed again."""
        self.site.store_stand_in.put_faults(refuse=True)
        await asyncio.sleep(AWAY_S)
        self.party.return_from(copy)
        self.site.store_stand_in.put_faults()
        await self._until(
            lambda known: stamps.era(known.servers.revision) == self.party.era
        )

    def _is_current(self, known: directory.Directory) -> bool:
        """Tell whether a router knows the store as it is."""
        rows = [
            (known.servers.revision, store.SERVERS),
            (known.orders.revision(), store.ROLLOUTS),
            (known.zones.revision, store.EVACUATIONS),
        ]
        newest = [(each, self._newest(kind)) for each, kind in rows]
        return all(
            known_at >= stamps.stamp(self.party.era, revision)
            for known_at, revision in newest
            if revision
        )

    def _newest(self, kind: str) -> int:
        """Return the revision of the newest change of a kind, or 0."""
        changes = (each for each in self.party.history if each.kind == kind)
        return max((each.revision for each in changes), default=0)

    def _relist(self, instance: str) -> None:
        self.site.list_runner(platform_site.DESK, instance)

    def _listed(self, known: directory.Directory) -> list[str]:
        listed: list[str] = known.servers.dump()['listed']
        return listed

    def _usable(self, known: directory.Directory) -> set[str]:
        listed, _ = known.servers.usable(time.monotonic())
        return {server.name for server in listed}

    def _phases(self) -> list[Any]:
        return [
            rollout.phase
            for router in self.site.routers
            for rollout in router.services.find(
                'trials', trials.Trials
            ).rollouts()
        ]

    async def _until(
        self, holds: Callable[[directory.Directory], bool]
    ) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            for router in self.site.routers:
                while not holds(_directory(router)):
                    await asyncio.sleep(platform_site.POLL_S)


def _directory(router: platform_site.Router) -> directory.Directory:
    return router.services.find('directory', directory.Directory)


if __name__ == '__main__':
    unittest.main()
