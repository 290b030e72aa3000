"""Service 'server_capacity': speeds and KV caches of model runners.

`pool` asks it at each choice of a runner, and reports what it learned to the
other processes. With the setting `server_speeds` off it knows nothing, and all
runners count as equal.
"""

import time
from collections.abc import Iterable
from typing import Any

from beryllug.core import settings_data
from beryllug.core.placement import (
    event_pauses,
    kv_memory,
    load_sums,
    server_speeds,
    servers_data,
)
from beryllug.core.routes import routes_data
from beryllug.kernel import metrics_data


class ServerCapacity:
    """Holds what placement knows of the capacity of each model runner.

    Attributes:
        speeds: Speeds of the runners; None if they are not in use.
        memory: Use of their KV caches; None if it does not count.
    """

    def __init__(
        self, switch: settings_data.Switch, others: load_sums.RemoteLoads
    ) -> None:
        """Bind to the loads that the other processes report."""
        self.speeds: server_speeds.Speeds | None = None
        self.memory: kv_memory.Memory | None = None
        self._pauses = event_pauses.Pauses()
        if switch is settings_data.Switch.ON:
            self.speeds = server_speeds.Speeds(others=others)
            self.memory = kv_memory.Memory(others=others)

    async def start(self) -> None:
        """Do nothing: the service is driven by requests."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def take_table(self, table: routes_data.RouteTable) -> None:
        """Use the capacities of the route table in force."""
        if self.memory is not None:
            self.memory.capacities = {
                name: service.engine.kv_tokens
                for name, service in table.services.items()
                if service.engine is not None and service.engine.kv_tokens > 0
            }

    def begin(self, instance: str, tokens: int) -> None:
        """Count the tokens of a request that is sent to a runner."""
        if self.memory is not None and tokens:
            kv_memory.begin(self.memory, instance, tokens)

    def end(self, instance: str, tokens: int) -> None:
        """Count the end of a request at a runner."""
        if self.memory is not None and tokens:
            kv_memory.end(self.memory, instance, tokens)

    def record_pause(
        self,
        server: servers_data.Server,
        model: str,
        pause_s: float,
        running: int,
    ) -> None:
        """Learn from a short pause between two events of an answer."""
        if self.speeds is not None and event_pauses.is_calm(
            running, server.slots
        ):
            event_pauses.record(
                self._pauses,
                self.speeds,
                server.instance,
                model,
                pause_s,
                time.monotonic(),
            )

    def reported(self, now: float) -> dict[str, load_sums.Load]:
        """Return what to report to the other processes, by subject."""
        if self.speeds is None or self.memory is None:
            return {}
        return server_speeds.reported(self.speeds, now) | kv_memory.reported(
            self.memory
        )

    def dump(self) -> dict[str, Any]:
        """Return factors that differ from 1, and tokens held, by runner."""
        if self.speeds is None or self.memory is None:
            return {}
        now = time.monotonic()
        return {
            'factors': {
                instance: round(factor, 3)
                for instance, factor in self.speeds.factors.items()
            },
            'answers': {
                instance: round(evidence.weight, 1)
                for instance, evidence in self.speeds.own.items()
            },
            'kv_tokens_own': dict(self.memory.own),
            'kv_tokens': {
                instance: kv_memory.used(self.memory, instance, now)
                for instance in self.speeds.used_at
            },
            'invalid_reports': self.speeds.invalid_reports
            + self.memory.invalid_reports,
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return how many runners are faster or slower than the others."""
        if self.speeds is None or self.memory is None:
            return
        server_speeds.refresh(self.speeds, time.monotonic())
        factors = self.speeds.factors.values()
        yield metrics_data.Sample(
            'servers_slow',
            sum(factor > 1 for factor in factors),
            'Model runners that are known to be slower than the mean one.',
        )
        yield metrics_data.Sample(
            'servers_fast',
            sum(factor < 1 for factor in factors),
            'Model runners that are known to be faster than the mean one.',
        )
        yield metrics_data.Sample(
            'kv_tokens_held',
            sum(self.memory.own.values()),
            'Tokens of KV caches that requests of this process hold.',
        )
