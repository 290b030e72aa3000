"""How many repeated requests a process may send to a service.

A repeat is any send of a request to a service after the first one. The bound
holds for the whole fleet over a sliding window: a ratio of the requests plus a
slack. Processes exchange the numbers of both that they have sent, as sums that
are about a second old, and each process uses what the fleet has left. A process
without a sum keeps to the ratio of its own requests and to its part of the
slack, which keeps the bound without messages. In a large fleet, however, a
process that sees few requests then cannot use what others have left over.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from types import MappingProxyType
from typing import NamedTuple


class RepeatReason(Enum):
    """Why a request is repeated."""

    FAILED = auto()
    LARGER = auto()


# Fraction of the bound that a process without sums uses. The window of each
# process slides as that of the bound does; the rest allows for clock drift.
# Escalations to a larger model leave a part for failed requests, which would
# otherwise get no answer.
FRACTIONS_WITHOUT_SUMS: Mapping[RepeatReason, float] = MappingProxyType(
    {RepeatReason.FAILED: 0.9, RepeatReason.LARGER: 0.72}
)
# The same with sums, besides what others may have sent since.
FRACTIONS_WITH_SUMS: Mapping[RepeatReason, float] = MappingProxyType(
    {RepeatReason.FAILED: 0.95, RepeatReason.LARGER: 0.85}
)
# Maximum repeats of one request: routes permit three servers.
MAX_REPEATS_PER_REQUEST = 2
# Maximum age of the last sums of the others, unless messages were lost.
MAX_SUM_AGE_S = 1.0
# Lower bound of the number of processes among which the slack is divided, since
# the number may have grown without this process knowing it.
MIN_PROCESSES = 8


class Bound(NamedTuple):
    """Maximum repeats in a window: `ratio` of the requests plus `slack`."""

    ratio: float
    slack: float
    window_s: float


class SentCounts(NamedTuple):
    """Numbers of requests and of repeats within a window."""

    asked: int
    repeated: int


@dataclass(slots=True)
class Window:
    """Times of a service's requests and repeats within the window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


def record_request(window: Window, now: float) -> None:
    """Count a request."""
    window.requests.append(now)


def count_sent(window: Window, bound: Bound, now: float) -> SentCounts:
    """Return how much this process sent within the window."""
    _drop_until(window, now - bound.window_s)
    return SentCounts(len(window.requests), len(window.repeats))


def may_repeat(
    own: SentCounts,
    bound: Bound,
    processes: int,
    others: SentCounts | None,
    use: RepeatReason,
) -> bool:
    """Return whether one more repeat is within the bound.

    Args:
        own: What this process sent within the window.
        bound: The fleet's bound.
        processes: Number of processes that share it.
        others: What all others have sent by their last sums; None without.
        use: The reason for the repeat.
    """
    if others is None:
        slack = bound.slack / max(processes, MIN_PROCESSES)
        allowed = FRACTIONS_WITHOUT_SUMS[use] * (
            bound.ratio * own.asked + slack
        )
        return own.repeated + 1 <= allowed
    # What others may have sent since their sums, if all of their requests
    # fail: each process sees the same remaining bound, and they all use the
    # same servers, so their requests fail together.
    recent_requests = others.asked * MAX_SUM_AGE_S / bound.window_s
    asked = own.asked + others.asked
    repeated_estimate = (
        own.repeated
        + others.repeated
        + MAX_REPEATS_PER_REQUEST * recent_requests
    )
    fleet_bound = bound.ratio * asked + bound.slack
    return repeated_estimate + 1 <= FRACTIONS_WITH_SUMS[use] * fleet_bound


def record_repeat(window: Window, now: float) -> None:
    """Count a repeat."""
    window.repeats.append(now)


def _drop_until(window: Window, until: float) -> None:
    for times in (window.requests, window.repeats):
        while times and times[0] < until:
            times.popleft()
