"""Paces writes to a rate, with bursts: the generic cell rate algorithm.

A quiet shard commits at once; a busy one is held to its rate, and the rows
that come meanwhile share a commit.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Pace:
    """A rate and how much of it is used.

    Attributes:
        interval_s: Time between two at the full rate.
        burst: How many may come at once after a quiet time.
        due: When the next would be due at the full rate.
    """

    interval_s: float
    burst: int
    due: float = float('-inf')


def wait_s(pace: Pace, now: float) -> float:
    """Return how long to wait before the next may come."""
    earliest = pace.due - (pace.burst - 1) * pace.interval_s
    return max(0.0, earliest - now)


def spend(pace: Pace, now: float) -> None:
    """Count one that comes now."""
    pace.due = max(pace.due, now) + pace.interval_s
