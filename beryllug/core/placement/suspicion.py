"""How much a backend server is to be avoided for what it did to requests.

A server that fails two requests in five looks sound to each process alone: it
seldom fails three of one process in a row. Counted over the fleet, and fading
within seconds, its failures stand out, and its work goes to the others of its
service; a share comes back by itself as the count fades, which tests it.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import load_sums

# Seconds in which a count falls to half: long against the pauses between one
# process's requests to a server, short against a server's restart.
HALF_LIFE_S = 4.0
# Points of a broken connection or a silence, after which a request that may
# not run twice is lost, and of a failure that the server stated itself, which
# may be the request's fault.
BROKEN = 1.0
STATED = 0.3
# Points beyond which a server is avoided no more than at these.
MOST = 8.0
LEAST = 0.05


class Count(NamedTuple):
    """Points of a server at a second; they fade from then on."""

    points: float
    at: float


@dataclass(slots=True)
class Suspicion:
    """Points of servers.

    Attributes:
        counts: Points that this process has given, by server.
        others: What the other processes have, their points among it.
    """

    counts: dict[str, Count] = field(default_factory=dict)
    others: load_sums.Others = field(default_factory=load_sums.Others)


def failed(state: Suspicion, instance: str, points: float, now: float) -> None:
    """Count a failure that this process has seen."""
    before = own_points(state, instance, now)
    state.counts[instance] = Count(before + points, now)


def points_of(state: Suspicion, instance: str, now: float) -> float:
    """Return the present points of a server, of all processes."""
    own = own_points(state, instance, now)
    told = load_sums.of(state.others, instance, now).points / load_sums.PARTS
    if told:
        told *= _faded(now - state.others.at)
    return min(own + told, MOST)


def own_points(state: Suspicion, instance: str, now: float) -> float:
    """Return the present points that this process has given a server."""
    count = state.counts.get(instance)
    if count is None:
        return 0
    left = count.points * _faded(now - count.at)
    if left < LEAST:
        state.counts.pop(instance)
        return 0
    return left


def _faded(seconds: float) -> float:
    """Return the part of points that is left after some time."""
    part: float = 0.5 ** (seconds / HALF_LIFE_S)
    return part
