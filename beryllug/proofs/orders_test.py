"""Tests that orders bring engines to the state of the newest lease holder.

Real processes run with one pool of engines that check the fencing token and one
of engines that ignore it. The results are checked against the orders that the
engines accepted and the versions that they loaded.
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
TIMEOUT_S = 60.0
LEASE_S = 2.0
ENGINE_TIMEOUT_S = 2.0
SETTINGS = ('heartbeat_s = 0.3', f'lease_s = {LEASE_S}', 'cut_off_s = 2')
# Engines of the first pool check the fencing token.
MODELS = MappingProxyType({sample.SMALL: 'desk-small', sample.LARGE: 'roster'})
WITHDRAWN = ('v2', 'v3', 'v4', 'v5', 'v6')
BODY = b'{"messages": [{"role": "user", "content": "x"}], "max_tokens": 120}'


def _document(
    *names: str, withdrawn: tuple[str, ...] = ()
) -> config_data.Document:
    """Return a document that declares some versions in each pool."""
    sample_document = sample.document()
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
        for pool in sample_document.pools
    )
    allowed = tuple(
        config_data.VersionRef(model, '*') for model in MODELS.values()
    )
    accounts = tuple(
        account._replace(allowed=allowed, cascades=())
        for account in sample_document.accounts
    )
    return sample_document._replace(
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
    """Three control processes and two pools."""

    async def asyncSetUp(self) -> None:
        """Start the deployment and monitor its engines."""
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
        """The lease holder of each pool is frozen amid its load orders.

        Meanwhile these versions are withdrawn and another one is added. Other
        processes acquire the leases and order the new state. The frozen holder
        resumes after its lease expired, with the old document and pending load
        orders. No engine accepts a stale token, and all engines end in the
        state of the newest holder.
        """
        await self.fleet.apply(_document('v1', *WITHDRAWN))
        frozen = await self._holders_with_loads_sent(*WITHDRAWN)
        for name in frozen:
            self.fleet.processes.pause(name)
        await self.fleet.apply(
            _document('v1', *WITHDRAWN, 'v9', withdrawn=WITHDRAWN)
        )
        await self._wait_until(lambda: self._is_settled({'v1', 'v9'}))
        newest_tokens = self.watch.highest_tokens()
        thawed_at = time.time()
        for resumed in frozen:
            self.fleet.processes.resume(resumed)
            await self.fleet.wait_ready(resumed)
        await asyncio.sleep(3 * LEASE_S)
        self.assertEqual(self.watch.stale_orders(newest_tokens, thawed_at), [])
        self.assertTrue(self._is_settled({'v1', 'v9'}))
        self._check_violations('holder frozen past its lease')

    async def test_killed_half_way(self) -> None:
        """The lease holder of each pool is killed while loads are in progress.

        The next holder derives the missing versions from the load reports and
        orders them on every engine.
        """
        await self.fleet.apply(_document('v1', 'v2', 'v3'))
        for name in await self._holders_with_loads_sent('v2', 'v3'):
            await self.fleet.processes.kill(name)
        self.assertFalse(self._is_settled({'v1', 'v2', 'v3'}))
        await self._wait_until(lambda: self._is_settled({'v1', 'v2', 'v3'}))
        self._check_violations('holder killed half way')

    async def test_work_ends_first(self) -> None:
        """A version is withdrawn while an engine generates a long answer on it.

        Idle engines unload it after the grace period. The busy engine unloads
        it after the end of the answer, which is therefore complete. In the
        pool that ignores the token, one copy remains loaded.
        """
        await self.fleet.apply(_document('v1', 'v2'))
        await self._wait_until(lambda: self._is_settled({'v1', 'v2'}))
        self.watch.live = {'v2'}
        answering = asyncio.create_task(self._long_answer())
        await self._wait_until(self.watch.is_running)
        await self.fleet.apply(_document('v1', 'v2', withdrawn=('v1',)))
        await self._wait_until(
            lambda: len(self._servers_with(sample.SMALL, 'v1')) == 1
        )
        self.assertFalse(answering.done())
        await answering
        await self._wait_until(lambda: self._is_settled({'v2'}))
        await asyncio.sleep(2 * LEASE_S)
        self.assertEqual(len(self._servers_with(sample.LARGE, 'v1')), 1)
        self._check_violations('withdrawn under a long answer')

    def _check_violations(self, title: str) -> None:
        print(f'orders {title}: {self.watch.summary()}')  # noqa: WPS421
        self.assertEqual(self.watch.violations, [])

    async def _holders_with_loads_sent(self, *names: str) -> set[str]:
        """Return the lease holders of both pools after each ordered a load."""
        for pool in MODELS:
            await self._wait_until(partial(self.watch.was_ordered, pool, names))
        return {await self._holder(model_pool) for model_pool in MODELS}

    async def _holder(self, pool: str) -> str:
        for index in range(HOSTS):
            name = fleet_settings.control_name(index)
            state = await self.fleet.dump(name)
            if state['leases'][f'orders/{pool}']['held']:
                return name
        raise LookupError(f'nobody holds the lease of {pool}')

    def _is_settled(self, wanted: set[str]) -> bool:
        """Tell whether engines have the wanted versions.

        In the pool that ignores the token, one engine may keep a copy of each
        other version.
        """
        checking = [self.watch.loaded(name) for name in self._server_names(0)]
        ignoring = [self.watch.loaded(name) for name in self._server_names(1)]
        extra = Counter(ref for found in ignoring for ref in found - wanted)
        return (
            all(found == wanted for found in checking)
            and all(found >= wanted for found in ignoring)
            and all(count == 1 for count in extra.values())
        )

    def _server_names(self, pool_index: int) -> list[str]:
        pool = tuple(MODELS)[pool_index]
        return [f'{pool}-{index}' for index in range(ENGINES)]

    def _servers_with(self, pool: str, name: str) -> list[str]:
        return [
            server
            for server in self._server_names(tuple(MODELS).index(pool))
            if name in self.watch.loaded(server)
        ]

    async def _long_answer(self) -> None:
        """Run an answer of about 12 s on an engine that checks tokens."""
        address = self.fleet.servers[self._server_names(0)[0]].address
        engine_client = engine_driver.HttpEngine(
            self.fleet.client, ENGINE_TIMEOUT_S
        )
        ref = config_data.VersionRef(MODELS[sample.SMALL], 'v1')
        chat_request = engine_data.ChatRequest('long', 'kutch', ref, BODY)
        response = await engine_client.chat(address, chat_request)
        await response.read()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        async def is_met() -> bool:  # noqa: WPS430
            return condition()

        await harness.wait_for(is_met, TIMEOUT_S)


if __name__ == '__main__':
    unittest.main()
