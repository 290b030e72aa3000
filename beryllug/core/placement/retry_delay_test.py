"""Tests of the retry-after times of refused callers."""

import random
import unittest
from typing import NamedTuple

from beryllug.core.placement import retry_delay

Cause = retry_delay.Cause
NO_TABLE = retry_delay.PlacementFailure(Cause.NO_TABLE)
CASES: tuple[tuple[str, Cause, float | None, float, float], ...] = (
    ('a short call', Cause.NO_TABLE, None, 1.5, 0.45),
    ('a long one', Cause.NO_TABLE, None, 25, 1.4),
    ('a long one, no server', Cause.NO_SERVER, None, 25, 1),
    ('stopping', Cause.STOPPING, None, 25, 0.1),
    ('no time left', Cause.NO_SERVER, None, -1, 0),
    ('a limit, due soon', Cause.LIMITED, 0.6, 25, 0.6),
    ('a low limit', Cause.LIMITED, 4, 25, 4),
    ('a low limit, a short call', Cause.LIMITED, 4, 1.5, 0.45),
    ('a limit, due now', Cause.LIMITED, 0, 25, 0.1),
)
CALLERS = 2000
# Maximum seconds for which the store stays unavailable once all processes are
# back; simulated seconds from its return until a request is served, while the
# list of servers fills; and seconds until an answer begins.
MOST_AWAY_S = 5.0
FILLED_S = 0.3
# A simulated outage: seconds from the start of all processes to the store's
# return, from then until a request is served, and until an answer begins.
AWAY_S = 1.3
LATE_FILLED_S = 0.4
LATE_FIRST_S = 0.6
TARGET_S = 3.0
FIRST_S = 0.5
PATIENCE_S = 20.0
# Retry-after seconds of callers whose requests did not wait.
WITHOUT_WAIT_S = 1.5
SHORT_S = 0.5


class Policy(NamedTuple):
    """Seconds for which a request waits, and its retry-after time then."""

    held_s: float
    after_s: float


class ReturningTest(unittest.TestCase):
    """Retry-after times, and their effect on callers."""

    def test_cases(self) -> None:
        """Each case of the table."""
        for title, cause, due_s, left_s, expected in CASES:
            with self.subTest(title):
                found = retry_delay.retry_in_s(
                    retry_delay.PlacementFailure(cause, due_s), left_s
                )
                self.assertAlmostEqual(found, expected)

    def test_outage(self) -> None:
        """All processes were killed during a store outage.

        They are back and know nothing until the store returns. Half of the
        callers have already retried, since their streams were cut, and will not
        retry again. If refused at once, these are lost, and those that retry
        meet the same cause once more.
        """
        at_once = Policy(0, WITHOUT_WAIT_S)
        held_s = retry_delay.table_wait_s(PATIENCE_S)
        after_s = retry_delay.retry_in_s(NO_TABLE, PATIENCE_S - held_s)
        waiting = Policy(held_s, after_s)
        self.assertLess(_on_time(at_once, may_return=True), 0.66)
        self.assertLess(_on_time(at_once, may_return=False), 0.15)
        for may_return in (True, False):
            with self.subTest(may_return):
                self.assertGreater(_on_time(waiting, may_return), 0.72)

    def test_short_outage(self) -> None:
        """The store is unavailable for 1.3 s once all processes are back.

        Callers that retried after half a second met the same cause and were
        lost. With the wait nearly all are answered on time.
        """
        rng = random.Random(5)
        held_s = retry_delay.table_wait_s(PATIENCE_S)
        after_s = retry_delay.retry_in_s(NO_TABLE, PATIENCE_S - held_s)
        on_time = {SHORT_S: 0, after_s: 0}
        for _ in range(CALLERS):
            came_at = rng.uniform(0, AWAY_S)
            served_at = AWAY_S + rng.uniform(0, LATE_FILLED_S)
            on_time[SHORT_S] += came_at + SHORT_S >= served_at
            took_s = max(served_at - came_at, 0)
            if took_s > held_s:
                took_s = held_s + after_s
            on_time[after_s] += took_s + LATE_FIRST_S <= TARGET_S
        self.assertLess(on_time[SHORT_S] / CALLERS, 0.6)
        self.assertGreater(on_time[after_s] / CALLERS, 0.85)

    def test_held(self) -> None:
        """A short call does not wait, nor does one without time left."""
        for left_s, expected in ((1.5, 0), (-1, 0), (5, 1.4), (25, 2.4)):
            with self.subTest(left_s):
                self.assertAlmostEqual(
                    retry_delay.table_wait_s(left_s), expected
                )


def _on_time(policy: Policy, may_return: bool) -> float:
    """Return the fraction of the callers that are answered on time."""
    rng = random.Random(5)
    on_time = 0
    for _ in range(CALLERS):
        away_s = rng.uniform(0, MOST_AWAY_S)
        served_at = away_s + rng.uniform(0, FILLED_S)
        came_at = rng.uniform(0, away_s)
        back_at = came_at + policy.held_s + policy.after_s
        if served_at <= came_at + policy.held_s:
            took_s = served_at - came_at
        elif may_return and served_at <= back_at + policy.held_s:
            took_s = max(served_at, back_at) - came_at
        else:
            continue
        on_time += took_s + FIRST_S <= TARGET_S
    return on_time / CALLERS


if __name__ == '__main__':
    unittest.main()
