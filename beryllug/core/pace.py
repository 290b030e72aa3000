"""Limits the rate of writes, with bursts: the generic cell rate algorithm.

An idle shard commits at once. A busy one is limited to its rate, and the rows
that arrive in the meantime share a commit.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Pace:
    """A rate limit and its state.

    Attributes:
        interval_s: Time between two events at the full rate.
        burst: Maximum number of events at once after an idle period.
        due: Theoretical arrival time of the next event at the full rate.
    """

    interval_s: float
    burst: int
    due: float = float('-inf')


def wait_s(pace: Pace, now: float) -> float:
    """Return the time to wait before the next event is allowed."""
    earliest = pace.due - (pace.burst - 1) * pace.interval_s
    return max(0.0, earliest - now)


def spend(pace: Pace, now: float) -> None:
    """Count an event at this time."""
    pace.due = max(pace.due, now) + pace.interval_s
