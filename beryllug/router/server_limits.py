"""Service 'server_limits': rate limits that backend servers state.

All processes are told when a limit begins and when it ends, since one that
doesn't know it goes on sending.
"""

import random
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from beryllug.core.peering import peering_data
from beryllug.core.placement import permits, server_limits, servers_data
from beryllug.kernel import log_lines, metrics_data

# Limits in a message of nothing else, and in one with other things, of some 40
# bytes each.
MAX_CHANGED = 20
MAX_RECENT = 6
ANSWER = 'answer'
NOT_OBSERVED = server_limits.Observation(None, float('-inf'))
Claim = Callable[[str], Awaitable[bool]]


class ServerLimits:
    """Knows which backend servers have named a limit, and which one.

    Attributes:
        known: The latest observation of each server.
        permits: What this process has permitted, and was refused.
        claim: Asks whether a request may be sent to a server.
        on_changed: Told of each limit that this process hears begin or end.
    """

    def __init__(self, name: str, lines: log_lines.LineWriter) -> None:
        """Begin without a limit.

        Args:
            name: Name of the process.
            lines: Takes log lines.
        """
        self.permits = permits.Permits()
        self.claim: Claim = _refuse_claim
        self.on_changed: Callable[[], None] = _ignore
        self.known = server_limits.Limits()
        self._changed: set[str] = set()
        self._lines = lines
        self._rng = random.Random(name)

    async def start(self) -> None:
        """Do nothing: it is driven by answers and by notes."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the limits, in requests a second, and who is refused."""
        now = time.monotonic()
        return {
            instance: {
                'per_s': self.per_s(instance),
                'refused_s': round(self.refused_s(instance, now), 2),
            }
            for instance in sorted(server_limits.limited(self.known))
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return how many servers are limited."""
        yield metrics_data.Sample(
            'servers_limited',
            len(server_limits.limited(self.known)),
            'Backend servers that name a limit on requests a second.',
        )

    def per_s(self, instance: str) -> float | None:
        """Return the limit of a server; None where there is none."""
        return server_limits.per_s(self.known, instance)

    def refused_s(self, instance: str, now: float) -> float:
        """Return the seconds for which a server takes no more from here."""
        return permits.refused_s(self.permits, instance, now)

    def observe(self, instance: str, seen: server_limits.Observation) -> None:
        """Take what an answer says of its server's limit."""
        before = self.per_s(instance)
        if not server_limits.take(self.known, instance, seen):
            return
        self._log(instance, before, ANSWER)
        if before is None or seen.per_s is None:
            self._changed.add(instance)
            self.on_changed()

    def take(
        self, told: Iterable[peering_data.LimitNews], source: str, now: float
    ) -> None:
        """Take what another process has heard of servers lately."""
        for news in told:
            if news.ago_s < server_limits.ENDED_S:
                self.take_observation(news, source, now)

    def take_observation(
        self, news: peering_data.LimitNews, source: str, now: float
    ) -> None:
        """Take what another process has heard of a server at any time."""
        before = self.per_s(news.instance)
        seen = server_limits.Observation(news.per_s, now - news.ago_s)
        if server_limits.take_remote(self.known, news.instance, seen):
            self._log(news.instance, before, source)

    def news(self, instance: str, now: float) -> peering_data.LimitNews:
        """Return what is known of a server, to tell another process.

        Where nothing is known the age is infinite.
        """
        seen = self.known.observed.get(instance, NOT_OBSERVED)
        ago_s = round(now - seen.at, 3)
        return peering_data.LimitNews(instance, seen.per_s, ago_s)

    def changed(self, now: float) -> tuple[peering_data.LimitNews, ...]:
        """Return limits that began or ended since this was last asked."""
        told = sorted(self._changed)[:MAX_CHANGED]
        self._changed.difference_update(told)
        return tuple(self.news(each, now) for each in told)

    def recent(self, now: float) -> tuple[peering_data.LimitNews, ...]:
        """Return some limits that were heard of lately, to tell a peer."""
        known = [
            instance
            for instance in sorted(server_limits.limited(self.known))
            if now - self.known.observed[instance].at < server_limits.ENDED_S
        ]
        chosen = self._rng.sample(known, min(MAX_RECENT, len(known)))
        return tuple(self.news(each, now) for each in chosen)

    def forget(self, listed: Iterable[servers_data.Server], now: float) -> None:
        """Forget what is over, and servers that are gone."""
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
    """Permit nothing to a limited server while there is nobody to ask."""
    return False


def _ignore() -> None:
    """Tell nobody of a limit."""
