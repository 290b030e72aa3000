"""Permits for requests to a server whose limit holds for all processes.

One process, the first in the rank of the server, permits the requests of all
at the server's rate; each of the others asks it before a request. Shares of the
limit would be a fraction of a request each in a large fleet, and what one
process leaves another would lack.
"""

from dataclasses import dataclass, field

from beryllug.core.placement import fleet_size

# Requests that may come at once, and seconds of a limit that may.
BURST = 2.0
BURST_S = 0.25
# Least requests a second: answers tell when a limit ends.
LEAST_PER_S = 0.25
# Seconds after which a process asks again that was answered by none, or by one
# that is not the first in rank.
AGAIN_S = 0.25


@dataclass(slots=True)
class _Bucket:
    """Requests that are permitted now, as of a second."""

    tokens: float
    at: float


@dataclass(slots=True)
class Permits:
    """What one process has permitted, and was refused.

    Attributes:
        buckets: Permits left by server, where this process is the first in its
            rank.
        refused: Until when a server is not asked for, by server.
    """

    buckets: dict[str, _Bucket] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)


def permit(
    permits: Permits,
    instance: str,
    per_s: float,
    size: fleet_size.FleetSize,
    now: float,
) -> float:
    """Permit a request; returns 0, or the seconds until the next is due.

    A process that has become the first in rank begins with nothing, since the
    one before may just have permitted all that there was. One that reaches a
    part of the fleet permits that part of the limit: the others may be cut off
    with a first of their own.

    Args:
        permits: What was permitted so far.
        instance: The server.
        per_s: Its limit in requests a second.
        size: The size of the fleet.
        now: The present second.
    """
    unsettled_s = fleet_size.unsettled_s(size, now)
    if unsettled_s > 0:
        return unsettled_s
    rate = max(per_s, LEAST_PER_S) * fleet_size.part(size)
    bucket = permits.buckets.setdefault(instance, _Bucket(0, now))
    filled = bucket.tokens + (now - bucket.at) * rate
    bucket.tokens = min(filled, max(rate * BURST_S, BURST))
    bucket.at = now
    if bucket.tokens < 1:
        return (1 - bucket.tokens) / rate
    bucket.tokens -= 1
    return 0


def refuse(permits: Permits, instance: str, wait_s: float, now: float) -> None:
    """Take that no request to a server is permitted for some seconds."""
    permits.refused[instance] = now + wait_s


def refused_s(permits: Permits, instance: str, now: float) -> float:
    """Return the seconds for which a server is not asked for; 0 for none."""
    return max(permits.refused.get(instance, now) - now, 0)


def forget(permits: Permits, limited: frozenset[str], now: float) -> None:
    """Forget servers without a limit."""
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
