"""Orders to engines reach the newest holder's state, whatever is paused.

Real processes; one pool of engines that check the fencing token and one of
engines that ignore it. Checked against what the engines obeyed and loaded.
"""

import asyncio
import time
import unittest
from collections import Counter
from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from beryllug.core import config_data
from beryllug.drivers import engine as engine_driver, engine_data
from beryllug.proofs import engine_watch
from beryllug.standins import (
    engine_worker,
    fleet_settings,
    harness,
    sample,
)

HOSTS = 3
ENGINES = 3
WITHIN_S = 60.0
LEASE_S = 2.0
ENGINE_S = 2.0
SETTINGS = ('heartbeat_s = 0.3', f'lease_s = {LEASE_S}', 'cut_off_s = 2')
# Engines of the first pool check the fencing token.
MODELS = MappingProxyType({sample.SMALL: 'desk-small', sample.LARGE: 'roster'})
OLD = ('v2', 'v3', 'v4', 'v5', 'v6')
BODY = b'{"messages": [{"role": "user", "content": "x"}], "max_tokens": 120}'


def _document(
    *names: str, withdrawn: tuple[str, ...] = ()
) -> config_data.Document:
    """Return a document that declares some versions in each pool."""
    declared = sample.document()
    models = tuple(
        config_data.Model(
            model,
            tuple(
                config_data.Version(
                    config_data.VersionRef(model, name),
                    pool,
                    1,
                    withdrawn=name in withdrawn,
                )
                for name in names
            ),
        )
        for pool, model in MODELS.items()
    )
    pools = tuple(
        pool._replace(checks_fencing=pool.name == sample.SMALL)
        for pool in declared.pools
    )
    allowed = tuple(
        config_data.VersionRef(model, '*') for model in MODELS.values()
    )
    accounts = tuple(
        account._replace(allowed=allowed, cascades=())
        for account in declared.accounts
    )
    return declared._replace(
        accounts=accounts, models=models, pools=pools, rollouts=(), cascades=()
    )


def _servers() -> tuple[harness.ServerPlan, ...]:
    return tuple(
        harness.ServerPlan(
            f'{pool}-{index}',
            pool,
            sample.ZONES[index],
            engine_worker.EngineCfg(
                loaded=(f'{model}@v1',),
                load_s=0.3,
                token_s=0.1,
                checks_fencing=pool == sample.SMALL,
            ),
        )
        for pool, model in MODELS.items()
        for index in range(ENGINES)
    )


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Three control processes before two pools."""

    async def asyncSetUp(self) -> None:
        """Start the deployment and watch its engines."""
        plan = harness.Plan(
            _document('v1'),
            _servers(),
            HOSTS,
            sample.ZONES,
            control_settings=SETTINGS,
        )
        self.fleet = harness.Fleet(plan)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        self.watch = engine_watch.EngineWatch(self.fleet)
        self.watch.live = {'v1'}
        self.watch.start()
        self.addAsyncCleanup(self.watch.stop)

    async def test_frozen_holder(self) -> None:
        """The holder of each pool is frozen with few of many loads ordered.

        Meanwhile these versions are withdrawn and another is declared; others
        take its leases and bring the engines there. It wakes past its lease
        with the old document and loads left to order. No engine obeys an old
        token, and all end in the newest holder's state.
        """
        await self.fleet.apply(_document('v1', *OLD))
        frozen = await self._holders_at_work(*OLD)
        for name in frozen:
            self.fleet.processes.freeze(name)
        await self.fleet.apply(_document('v1', *OLD, 'v9', withdrawn=OLD))
        await self._until(lambda: self._is_settled({'v1', 'v9'}))
        newest = self.watch.highest_token()
        thawed_at = time.time()
        for woken in frozen:
            self.fleet.processes.thaw(woken)
            await self.fleet.wait_ready(woken)
        await asyncio.sleep(3 * LEASE_S)
        self.assertEqual(self.watch.older_than(newest, thawed_at), [])
        self.assertTrue(self._is_settled({'v1', 'v9'}))
        self._report('holder frozen past its lease')

    async def test_killed_half_way(self) -> None:
        """The holder of each pool is killed with loads under way.

        The next holder finds in the load reports what is missing, and brings
        every engine there.
        """
        await self.fleet.apply(_document('v1', 'v2', 'v3'))
        for name in await self._holders_at_work('v2', 'v3'):
            await self.fleet.processes.kill(name)
        self.assertFalse(self._is_settled({'v1', 'v2', 'v3'}))
        await self._until(lambda: self._is_settled({'v1', 'v2', 'v3'}))
        self._report('holder killed half way')

    async def test_work_ends_first(self) -> None:
        """A version is withdrawn while an engine runs a long answer on it.

        Idle engines unload it after the grace time; the one that runs the
        answer when that has ended, so the answer comes whole. Engines that
        ignore the token keep one copy.
        """
        await self.fleet.apply(_document('v1', 'v2'))
        await self._until(lambda: self._is_settled({'v1', 'v2'}))
        self.watch.live = {'v2'}
        answering = asyncio.create_task(self._long_answer())
        await self._until(self.watch.is_running)
        await self.fleet.apply(_document('v1', 'v2', withdrawn=('v1',)))
        await self._until(lambda: len(self._having(sample.SMALL, 'v1')) == 1)
        self.assertFalse(answering.done())
        await answering
        await self._until(lambda: self._is_settled({'v2'}))
        await asyncio.sleep(2 * LEASE_S)
        self.assertEqual(len(self._having(sample.LARGE, 'v1')), 1)
        self._report('withdrawn under a long answer')

    def _report(self, title: str) -> None:
        print(f'orders {title}: {self.watch.line()}')  # noqa: WPS421
        self.assertEqual(self.watch.violations, [])

    async def _holders_at_work(self, *names: str) -> set[str]:
        """Return the senders of both pools once each has sent a load."""
        for pool in MODELS:
            await self._until(partial(self.watch.ordered, pool, names))
        return {await self._holder(held) for held in MODELS}

    async def _holder(self, pool: str) -> str:
        for index in range(HOSTS):
            name = fleet_settings.control_name(index)
            state = await self.fleet.dump(name)
            if state['leases'][f'orders/{pool}']['held']:
                return name
        raise LookupError(f'nobody holds the lease of {pool}')

    def _is_settled(self, wanted: set[str]) -> bool:
        """Tell whether engines have the versions, and at most a kept one."""
        checking = [self.watch.loaded(name) for name in self._names(0)]
        ignoring = [self.watch.loaded(name) for name in self._names(1)]
        extra = Counter(ref for found in ignoring for ref in found - wanted)
        return (
            all(found == wanted for found in checking)
            and all(found >= wanted for found in ignoring)
            and all(count == 1 for count in extra.values())
        )

    def _names(self, place: int) -> list[str]:
        pool = tuple(MODELS)[place]
        return [f'{pool}-{index}' for index in range(ENGINES)]

    def _having(self, pool: str, name: str) -> list[str]:
        return [
            server
            for server in self._names(tuple(MODELS).index(pool))
            if name in self.watch.loaded(server)
        ]

    async def _long_answer(self) -> None:
        """Run an answer of some twelve seconds on an engine that checks."""
        address = self.fleet.servers[self._names(0)[0]].address
        engines = engine_driver.HttpEngine(self.fleet.client, ENGINE_S)
        ref = config_data.VersionRef(MODELS[sample.SMALL], 'v1')
        ask = engine_data.ChatAsk('long', 'kutch', ref, BODY)
        incoming = await engines.chat(address, ask)
        await incoming.read()

    async def _until(self, is_true: Callable[[], bool]) -> None:
        async def holds() -> bool:  # noqa: WPS430
            return is_true()

        await harness.wait_for(holds, WITHIN_S)


if __name__ == '__main__':
    unittest.main()
