"""Watches the engine stand-ins of a deployment for what must never be.

It looks at them every few milliseconds, so that a state which is put right a
moment later is seen too.
"""

import asyncio
import time
from collections import Counter
from typing import NamedTuple

from beryllug.drivers import engine_data
from beryllug.standins import (
    engine,
    engine_models,
    engine_runs,
    engine_worker,
    harness,
)

LOOK_S = 0.01


class Seen(NamedTuple):
    """An order and when it was first seen, in seconds of the wall clock."""

    server: str
    order: engine_models.OrderRecord
    seen_at: float


class EngineWatch:
    """Looks at loaded versions, open runs and orders of all engines.

    Attributes:
        live: Names of versions of which each pool must keep a copy.
        violations: What was seen and must not be.
        orders: Every order that an engine got.
    """

    def __init__(self, fleet: harness.Fleet) -> None:
        """Bind to a running deployment."""
        self.live: set[str] = set()
        self.violations: list[str] = []
        self.orders: list[Seen] = []
        self._workers: dict[str, engine_worker.Worker] = {
            name: made.party.worker
            for name, made in fleet.servers.items()
            if isinstance(made.party, engine.EngineParty)
        }
        self._taken: Counter[str] = Counter()
        self._looks = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Look no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def loaded(self, server: str) -> set[str]:
        """Return the names of the versions that an engine has."""
        models = self._workers[server].models
        return {ref.version for ref in models.loaded}

    def is_running(self) -> bool:
        """Tell whether some engine runs something."""
        return any(
            run.state is engine_runs.RunState.RUNNING
            for worker in self._workers.values()
            for run in worker.records
        )

    def ordered(self, pool: str, names: tuple[str, ...]) -> bool:
        """Tell whether an engine of a pool was ordered to load a version."""
        return any(
            seen.order.version in names
            for seen in self.orders
            if seen.server.startswith(pool)
        )

    def highest_token(self) -> dict[str, int]:
        """Return the highest token that each engine obeyed."""
        highest: Counter[str] = Counter()
        for seen in self.orders:
            if seen.order.accepted:
                known = highest[seen.server]
                highest[seen.server] = max(known, seen.order.fencing)
        return dict(highest)

    def older_than(self, tokens: dict[str, int], since: float) -> list[Seen]:
        """Return orders with older tokens that engines obeyed since then."""
        return [
            seen
            for seen in self.orders
            if seen.order.accepted
            and seen.seen_at > since
            and seen.order.fencing < tokens.get(seen.server, 0)
        ]

    def line(self) -> str:
        """Return counts for the report of a proof."""
        obeyed = Counter(
            seen.order.kind for seen in self.orders if seen.order.accepted
        )
        refused = sum(not seen.order.accepted for seen in self.orders)
        kinds = engine_data.OrderKind
        return (
            f'looks={self._looks} loads={obeyed[kinds.LOAD]} '
            f'unloads={obeyed[kinds.UNLOAD]} refused={refused} '
            f'violations={len(self.violations)}'
        )

    async def _run(self) -> None:
        while True:
            self._look(time.time())
            await asyncio.sleep(LOOK_S)

    def _look(self, now: float) -> None:
        self._looks += 1
        for server, worker in self._workers.items():
            models = worker.models
            for order in models.orders[self._taken[server] :]:
                self._taken[server] += 1
                self.orders.append(Seen(server, order, now))
            for run in worker.records:
                is_open = run.state in engine_runs.OPEN
                if is_open and not models.has(run.model, run.version):
                    self._violate(f'{server} unloaded {run.version} in use')
        self._look_at_copies()

    def _look_at_copies(self) -> None:
        """Each pool must always have a copy of every live version."""
        pools: dict[str, set[str]] = {}
        for server in self._workers:
            pool = server.rpartition('-')[0]
            pools.setdefault(pool, set()).update(self.loaded(server))
        for pool, loaded in pools.items():
            for name in self.live - loaded:
                self._violate(f'{pool} has no copy of {name}')

    def _violate(self, title: str) -> None:
        if title not in self.violations:
            self.violations.append(title)
