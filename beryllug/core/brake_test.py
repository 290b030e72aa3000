"""Tests of an entry's own brake."""

import unittest

from beryllug.core import brake

GOOD = brake.Outcome.GOOD
FAILED = brake.Outcome.FAILED
CRASHED = brake.Outcome.CRASHED

Outcomes = tuple[brake.Outcome, ...]

ACTS: tuple[tuple[str, Outcomes, bool], ...] = (
    ('good answers', (GOOD,) * 50, False),
    ('one failure', (GOOD, FAILED), False),
    ('failures far apart', (FAILED, *(GOOD,) * 5, FAILED), False),
    ('two failures running', (GOOD, FAILED, FAILED), True),
    ('every other fails', (FAILED, GOOD, FAILED, GOOD, FAILED), True),
    ('one lost server', (CRASHED,), True),
)


def _after(outcomes: Outcomes, total: int = 100) -> tuple[brake.Brake, bool]:
    state = brake.Brake()
    brake.deal(state, total)
    acted = False
    for outcome in outcomes:
        brake.give(state)
        acted = brake.end(state, outcome, now=0.0) or acted
    return state, acted


class BrakeTest(unittest.TestCase):
    """When an entry holds a candidate back, and for how long."""

    def test_acts(self) -> None:
        """A version fails its first callers, and the entry sees it first.

        The failing answers come back, then the next caller asks. Waiting for
        the fleet's verdict would give that caller the bad version as well.
        """
        for title, outcomes, expected in ACTS:
            with self.subTest(title):
                state, acted = _after(outcomes)
                self.assertEqual(acted, expected)
                self.assertEqual(brake.remaining(state, 0.0) == 0, expected)

    def test_probation(self) -> None:
        """A braked version that still fails costs one answer a hold.

        The hold ends, one answer is given out; it fails, and the next hold
        is twice as long. A good stretch ends the probation.
        """
        state, _ = _after((FAILED, FAILED))
        now = brake.FIRST_HOLD_S
        self.assertEqual(brake.remaining(state, now), 1)
        brake.give(state)
        self.assertEqual(brake.remaining(state, now), 0)
        self.assertTrue(brake.end(state, FAILED, now))
        now += brake.FIRST_HOLD_S
        self.assertEqual(brake.remaining(state, now), 0)
        now += brake.FIRST_HOLD_S
        for _ in range(6):
            self.assertEqual(brake.remaining(state, now), 1)
            brake.give(state)
            brake.end(state, GOOD, now)
        self.assertGreater(brake.remaining(state, now), 1)

    def test_share(self) -> None:
        """Messages about the share come late, twice and out of order.

        The total only rises, so each deals its answers out once; pinned
        sessions may go beyond it and then block new ones.
        """
        state = brake.Brake()
        for total, left in ((3, 3), (3, 3), (2, 3), (5, 5)):
            brake.deal(state, total)
            self.assertEqual(brake.remaining(state, 0.0), left)
        for given in range(1, 8):
            brake.give(state)
            self.assertEqual(brake.remaining(state, 0.0), max(0, 5 - given))


if __name__ == '__main__':
    unittest.main()
