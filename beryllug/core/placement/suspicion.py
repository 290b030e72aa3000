"""Suspicion scores that steer requests away from failing servers.

A server that fails two requests in five looks healthy to each single process:
it rarely fails three of one process in a row. Counted over the fleet, with
decay within seconds, its failures stand out, and its requests go to the other
servers of its service. As the score decays some requests return, which tests
whether the server has recovered.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import load_sums

# Half-life of a score in seconds: long compared with the pauses between one
# process's requests to a server, short compared with a server's restart.
HALF_LIFE_S = 4.0
# Points for a broken connection or a missing answer, after which a request that
# must not run twice is lost, and for a failure that the server reported itself,
# which may be the request's fault.
BROKEN = 1.0
STATED = 0.3
# Points for an answer that had no end: no sound server sends one.
EXCESS = 4.0
# Upper bound on the points of a server, and the points below which they count
# as none.
MOST = 8.0
MIN_POINTS = 0.05


class Count(NamedTuple):
    """Points of a server as of a second, from which they decay."""

    points: float
    at: float


@dataclass(slots=True)
class Suspicion:
    """Suspicion points of servers.

    Attributes:
        counts: Points that this process has given, by server.
        others: Loads reported by the other processes, with their points.
    """

    counts: dict[str, Count] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)


def failed(state: Suspicion, instance: str, points: float, now: float) -> None:
    """Record a failure that this process observed."""
    before = own_points(state, instance, now)
    state.counts[instance] = Count(before + points, now)


def forget_own(state: Suspicion, instance: str) -> None:
    """Forget failures that were not the server's fault."""
    state.counts.pop(instance, None)


def points_of(state: Suspicion, instance: str, now: float) -> float:
    """Return the present points of a server, from all processes."""
    own = own_points(state, instance, now)
    remote = (
        load_sums.remote_load(state.others, instance, now).points
        / load_sums.UNITS
    )
    if remote:
        remote *= _decay(now - state.others.at)
    return min(own + remote, MOST)


def own_points(state: Suspicion, instance: str, now: float) -> float:
    """Return the present points that this process has given a server."""
    count = state.counts.get(instance)
    if count is None:
        return 0
    left = count.points * _decay(now - count.at)
    if left < MIN_POINTS:
        state.counts.pop(instance)
        return 0
    return left


def _decay(seconds: float) -> float:
    """Return the fraction of points that is left after some time."""
    part: float = 0.5 ** (seconds / HALF_LIFE_S)
    return part
