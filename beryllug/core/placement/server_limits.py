"""Rate limits that backend servers state in their answers.

A limit, in requests a second, applies to all processes together, from the first
answer that states it to the first one that does not. Answers may arrive out of
order, so one without a limit ends it only if its request was sent after the
limit was observed.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

# Seconds for which the end of a limit is remembered, so that an older
# observation of another process does not restore it, and for which an
# observation is sent to others.
ENDED_S = 10.0
# Seconds by which an observation of another process must be newer. Each hop's
# delay makes an observation look younger; without this margin one that is
# gossiped in a circle would be renewed forever.
HOP_MARGIN_S = 0.25
# Seconds for which the limit of an unlisted server is remembered: its entry may
# be missing for a moment.
UNLISTED_RETENTION_S = 60.0


class Observation(NamedTuple):
    """A server's limit at a point in time.

    Attributes:
        per_s: Requests a second; None where it states no limit.
        at: Monotonic second.
        since: Monotonic second since which nothing else was observed.
    """

    per_s: float | None
    at: float
    since: float = float('inf')


@dataclass(slots=True)
class Limits:
    """The latest observation of each server, by instance."""

    observed: dict[str, Observation] = field(default_factory=dict)


def read(text: str) -> float | None:
    """Parse a limit in requests a second; None if it is not valid."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def take(limits: Limits, instance: str, observation: Observation) -> bool:
    """Record an observation; returns whether the limit has changed.

    Older observations and the end of an unknown limit are ignored.
    """
    before = limits.observed.get(instance)
    if before is None and observation.per_s is None:
        return False
    if before is not None and observation.at <= before.at:
        return False
    has_changed = before is None or observation.per_s != before.per_s
    since = observation.at if before is None or has_changed else before.since
    limits.observed[instance] = observation._replace(since=since)
    return has_changed


def take_remote(
    limits: Limits, instance: str, observation: Observation
) -> bool:
    """Record another process's observation; returns whether it changed."""
    before = limits.observed.get(instance)
    if before is not None and observation.at <= before.at + HOP_MARGIN_S:
        return False
    return take(limits, instance, observation)


def per_s(limits: Limits, instance: str) -> float | None:
    """Return the limit of a server; None where there is none."""
    observation = limits.observed.get(instance)
    return observation and observation.per_s


def limited(limits: Limits) -> frozenset[str]:
    """Return the servers that have a limit."""
    return frozenset(
        instance
        for instance, observation in limits.observed.items()
        if observation.per_s is not None
    )


def recent(limits: Limits, now: float) -> list[str]:
    """Return the servers whose observation is sent to other processes.

    The end of a limit is sent as long as another process may still send that
    limit: one that missed the first message would keep the limit, and refuse
    requests that the server would accept.
    """
    return sorted(
        instance
        for instance, observation in limits.observed.items()
        if now - _recent_at(observation) < ENDED_S
    )


def forget(limits: Limits, listed: frozenset[str], now: float) -> None:
    """Remove limits that ended long ago or whose servers are gone."""
    limits.observed = {
        instance: observation
        for instance, observation in limits.observed.items()
        if now - observation.at
        < _retention_s(observation, is_listed=instance in listed)
    }


def _retention_s(observation: Observation, *, is_listed: bool) -> float:
    if observation.per_s is None:
        return ENDED_S
    return math.inf if is_listed else UNLISTED_RETENTION_S


def _recent_at(observation: Observation) -> float:
    """Return when a limit was last observed, or when it was seen to end."""
    if observation.per_s is None:
        return observation.since
    return observation.at
