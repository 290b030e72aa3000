"""Monitors the engine stand-ins of a deployment for invariant violations.

The engines are polled every few milliseconds, so that states which last only
briefly are detected too.
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

POLL_INTERVAL_S = 0.01


class ObservedOrder(NamedTuple):
    """An order and the wall-clock time in seconds of its first observation."""

    server: str
    order: engine_models.OrderRecord
    observed_at: float


class EngineWatch:
    """Polls loaded versions, open runs and orders of all engines.

    Attributes:
        live: Names of versions that each pool must keep loaded on an engine.
        violations: Descriptions of the violations found.
        orders: Every order that an engine received.
    """

    def __init__(self, fleet: harness.Fleet) -> None:
        """Bind to a running deployment."""
        self.live: set[str] = set()
        self.violations: list[str] = []
        self.orders: list[ObservedOrder] = []
        self._workers: dict[str, engine_worker.Worker] = {
            name: stand_in.service_behaviour.worker
            for name, stand_in in fleet.servers.items()
            if isinstance(stand_in.service_behaviour, engine.EngineBehaviour)
        }
        self._orders_read: Counter[str] = Counter()
        self._poll_count = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start polling."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def loaded(self, server: str) -> set[str]:
        """Return the names of the versions loaded on an engine."""
        models = self._workers[server].models
        return {ref.version for ref in models.loaded}

    def is_running(self) -> bool:
        """Tell whether any engine has a run in progress."""
        return any(
            run.state is engine_runs.RunState.RUNNING
            for worker in self._workers.values()
            for run in worker.records
        )

    def was_ordered(self, pool: str, names: tuple[str, ...]) -> bool:
        """Tell whether an engine of a pool received an order for a version."""
        return any(
            observed.order.version in names
            for observed in self.orders
            if observed.server.startswith(pool)
        )

    def highest_tokens(self) -> dict[str, int]:
        """Return the highest fencing token that each engine accepted."""
        highest: Counter[str] = Counter()
        for observed in self.orders:
            if observed.order.accepted:
                previous = highest[observed.server]
                highest[observed.server] = max(previous, observed.order.fencing)
        return dict(highest)

    def stale_orders(
        self, tokens: dict[str, int], since: float
    ) -> list[ObservedOrder]:
        """Return orders with lower tokens that engines accepted since then."""
        return [
            observed
            for observed in self.orders
            if observed.order.accepted
            and observed.observed_at > since
            and observed.order.fencing < tokens.get(observed.server, 0)
        ]

    def summary(self) -> str:
        """Return counts for the output of a test."""
        accepted_counts = Counter(
            observed.order.kind
            for observed in self.orders
            if observed.order.accepted
        )
        rejected_count = sum(
            not observed.order.accepted for observed in self.orders
        )
        kinds = engine_data.OrderKind
        return (
            f'polls={self._poll_count} loads={accepted_counts[kinds.LOAD]} '
            f'unloads={accepted_counts[kinds.UNLOAD]} refused={rejected_count} '
            f'violations={len(self.violations)}'
        )

    async def _run(self) -> None:
        while True:
            self._poll(time.time())
            await asyncio.sleep(POLL_INTERVAL_S)

    def _poll(self, now: float) -> None:
        self._poll_count += 1
        for server, worker in self._workers.items():
            models = worker.models
            for order in models.orders[self._orders_read[server] :]:
                self._orders_read[server] += 1
                self.orders.append(ObservedOrder(server, order, now))
            for run in worker.records:
                is_open = run.state in engine_runs.OPEN
                if is_open and not models.has(run.model, run.version):
                    self._add_violation(
                        f'{server} unloaded {run.version} in use'
                    )
        self._check_copies()

    def _check_copies(self) -> None:
        """Check that each pool has every live version loaded."""
        pools: dict[str, set[str]] = {}
        for server in self._workers:
            pool = server.rpartition('-')[0]
            pools.setdefault(pool, set()).update(self.loaded(server))
        for pool, loaded in pools.items():
            for name in self.live - loaded:
                self._add_violation(f'{pool} has no copy of {name}')

    def _add_violation(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)
