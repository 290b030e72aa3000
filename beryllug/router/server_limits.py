"""Service 'server_limits': rate limits that backend servers state.

All processes are notified when a limit begins or ends, since a process that
doesn't know the limit goes on sending.
"""

import random
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from beryllug.core.peering import peering_data
from beryllug.core.placement import permits, server_limits, servers_data
from beryllug.kernel import log_lines, metrics_data

# Maximum numbers of limits in a message that holds nothing else, and in one
# with other content, at some 40 bytes each.
MAX_CHANGED = 20
MAX_RECENT = 6
ANSWER = 'answer'
NOT_OBSERVED = server_limits.Observation(None, float('-inf'))
Claim = Callable[[str], Awaitable[bool]]


class ServerLimits:
    """Keeps the rate limit that each backend server has stated.

    Attributes:
        known: The latest observation of each server.
        permits: The permits that this process has granted or was refused.
        claim: Requests a permit to send a request to a server.
        on_changed: Called when this process observes that a limit begins or
            ends.
    """

    def __init__(self, name: str, lines: log_lines.LineWriter) -> None:
        """Start without known limits.

        Args:
            name: Name of the process.
            lines: Writes log lines.
        """
        self.permits = permits.Permits()
        self.claim: Claim = _refuse_claim
        self.on_changed: Callable[[], None] = _ignore
        self.known = server_limits.Limits()
        self._changed: set[str] = set()
        self._lines = lines
        self._rng = random.Random(name)

    async def start(self) -> None:
        """Do nothing: the service is driven by answers and by notes."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the limits in requests a second, and the refusal times."""
        now = time.monotonic()
        return {
            instance: {
                'per_s': self.per_s(instance),
                'refused_s': round(self.refused_s(instance, now), 2),
            }
            for instance in sorted(server_limits.limited(self.known))
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the number of servers with a limit."""
        yield metrics_data.Sample(
            'servers_limited',
            len(server_limits.limited(self.known)),
            'Backend servers that name a limit on requests a second.',
        )

    def per_s(self, instance: str) -> float | None:
        """Return the limit of a server; None if it has none."""
        return server_limits.per_s(self.known, instance)

    def refused_s(self, instance: str, now: float) -> float:
        """Return the seconds for which a server refuses this process."""
        return permits.refused_s(self.permits, instance, now)

    def observe(self, instance: str, seen: server_limits.Observation) -> None:
        """Record what an answer states of its server's limit."""
        before = self.per_s(instance)
        if not server_limits.take(self.known, instance, seen):
            return
        self._log(instance, before, ANSWER)
        if before is None or seen.per_s is None:
            self._changed.add(instance)
            self.on_changed()

    def merge_observations(
        self,
        told: Iterable[peering_data.RateLimitReport],
        source: str,
        now: float,
    ) -> None:
        """Merge recent observations of another process."""
        for news in told:
            if news.ago_s < server_limits.ENDED_S:
                self.merge_observation(news, source, now)

    def merge_observation(
        self, news: peering_data.RateLimitReport, source: str, now: float
    ) -> None:
        """Merge an observation of another process, whatever its age."""
        before = self.per_s(news.instance)
        seen = server_limits.Observation(news.per_s, now - news.ago_s)
        if server_limits.take_remote(self.known, news.instance, seen):
            self._log(news.instance, before, source)

    def observation(
        self, instance: str, now: float
    ) -> peering_data.RateLimitReport:
        """Return the observation of a server, to send to another process.

        If there is none, the age is infinite.
        """
        seen = self.known.observed.get(instance, NOT_OBSERVED)
        ago_s = round(now - seen.at, 3)
        return peering_data.RateLimitReport(instance, seen.per_s, ago_s)

    def permit_refused(
        self, instance: str, coordinator: str, wait_s: float | None
    ) -> None:
        """Record that a request to a server was not permitted.

        Args:
            instance: The server.
            coordinator: The process that was asked.
            wait_s: Seconds until the next permit; None if it did not answer.
        """
        again_s = permits.AGAIN_S if wait_s is None else wait_s
        permits.refuse(self.permits, instance, again_s, time.monotonic())
        self._lines.write(
            'permit_refused',
            server=instance,
            coordinator=coordinator,
            answered=wait_s is not None,
            again_s=round(again_s, 3),
        )

    def pop_changed(
        self, now: float
    ) -> tuple[peering_data.RateLimitReport, ...]:
        """Return limits that began or ended since the last call."""
        told = sorted(self._changed)[:MAX_CHANGED]
        self._changed.difference_update(told)
        return tuple(self.observation(each, now) for each in told)

    def sample_recent(
        self, now: float
    ) -> tuple[peering_data.RateLimitReport, ...]:
        """Return some recent limits and ends of limits, to send to a peer."""
        known = server_limits.recent(self.known, now)
        chosen = self._rng.sample(known, min(MAX_RECENT, len(known)))
        return tuple(self.observation(each, now) for each in chosen)

    def forget(self, listed: Iterable[servers_data.Server], now: float) -> None:
        """Forget limits that have ended and servers that are gone."""
        instances = frozenset(each.instance for each in listed)
        server_limits.forget(self.known, instances, now)
        limited = server_limits.limited(self.known)
        permits.forget(self.permits, limited, now)

    def _log(self, instance: str, before: float | None, source: str) -> None:
        self._lines.write(
            'server_limit',
            server=instance,
            per_s=self.per_s(instance),
            before=before,
            source=source,
        )


async def _refuse_claim(instance: str) -> bool:
    """Refuse permits for limited servers until a claim function is set."""
    return False


def _ignore() -> None:
    """Notify nobody of a limit."""
