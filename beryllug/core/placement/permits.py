"""Permits for requests to a server whose rate limit is shared.

The limit applies to all processes together. One process, the first in the
server's rank, issues permits at the server's rate; each of the others asks it
before a request. Static shares of the limit would be a fraction of a request
each in a large fleet, and unused shares of one process would be missing
elsewhere.
"""

from dataclasses import dataclass, field

from beryllug.core.placement import fleet_size

# Burst size: this many requests, or those of some seconds if these are more.
BURST = 2.0
BURST_S = 0.25
# Minimum rate in requests a second: only answers tell when a limit ends.
MIN_PER_S = 0.25
# Seconds after which a process asks again if no process answered, or one that
# is not the first in rank.
AGAIN_S = 0.25


@dataclass(slots=True)
class _TokenBucket:
    """A token bucket, as of a second."""

    tokens: float
    at: float


@dataclass(slots=True)
class Permits:
    """Permits that one process has issued, and refusals it received.

    Attributes:
        buckets: Token buckets by server, where this process is first in rank.
        refused: Until when no permit is requested, by server.
    """

    buckets: dict[str, _TokenBucket] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)


def permit(
    permits: Permits,
    instance: str,
    per_s: float,
    size: fleet_size.FleetSize,
    now: float,
) -> float:
    """Permit a request; returns 0, or the seconds until the next permit.

    A process that has become the first in rank starts with an empty bucket,
    since its predecessor may just have issued all permits. A process that
    reaches only a part of the fleet issues that part of the limit: the others
    may be partitioned off with a first of their own.

    Args:
        permits: Permits issued so far.
        instance: The server.
        per_s: Its limit in requests a second.
        size: The fleet size.
        now: The present second.
    """
    until_settled_s = fleet_size.until_settled_s(size, now)
    if until_settled_s > 0:
        return until_settled_s
    rate = max(per_s, MIN_PER_S) * fleet_size.part(size)
    bucket = permits.buckets.setdefault(instance, _TokenBucket(0, now))
    filled = bucket.tokens + (now - bucket.at) * rate
    bucket.tokens = min(filled, max(rate * BURST_S, BURST))
    bucket.at = now
    if bucket.tokens < 1:
        return (1 - bucket.tokens) / rate
    bucket.tokens -= 1
    return 0


def refuse(permits: Permits, instance: str, wait_s: float, now: float) -> None:
    """Record that no request to a server is permitted for some seconds."""
    permits.refused[instance] = now + wait_s


def refused_s(permits: Permits, instance: str, now: float) -> float:
    """Return the seconds for which no permit is requested; 0 for none."""
    return max(permits.refused.get(instance, now) - now, 0)


def forget(permits: Permits, limited: frozenset[str], now: float) -> None:
    """Remove the buckets of servers without a limit and expired refusals."""
    permits.buckets = {
        instance: bucket
        for instance, bucket in permits.buckets.items()
        if instance in limited
    }
    permits.refused = {
        instance: until
        for instance, until in permits.refused.items()
        if until > now
    }
