"""How much a backend server is to be avoided for what it did to requests.

A server that fails two requests in five looks sound to each process alone: it
seldom fails three of one process in a row. Counted over the fleet, and fading
within seconds, its failures stand out, and its work goes to the others of its
service; a share comes back by itself as the count fades, which tests it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

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
    """Points by server, and those that peers are still to be told of."""

    counts: dict[str, Count] = field(default_factory=dict)
    untold: dict[str, float] = field(default_factory=dict)


def failed(state: Suspicion, instance: str, points: float, now: float) -> None:
    """Count a failure that this process has seen."""
    _add(state, instance, points, now)
    state.untold[instance] = state.untold.get(instance, 0) + points


def take(state: Suspicion, told: Mapping[str, float], now: float) -> None:
    """Count failures that a peer has seen."""
    for instance, points in told.items():
        _add(state, instance, points, now)


def tell(state: Suspicion) -> dict[str, float]:
    """Return what peers are to be told of, once."""
    untold = state.untold
    state.untold = {}
    return untold


def points_of(state: Suspicion, instance: str, now: float) -> float:
    """Return the present points of a server."""
    count = state.counts.get(instance)
    if count is None:
        return 0
    faded: float = count.points * 0.5 ** ((now - count.at) / HALF_LIFE_S)
    if faded < LEAST:
        state.counts.pop(instance)
        return 0
    return min(faded, MOST)


def _add(state: Suspicion, instance: str, points: float, now: float) -> None:
    before = points_of(state, instance, now)
    state.counts[instance] = Count(before + points, now)
