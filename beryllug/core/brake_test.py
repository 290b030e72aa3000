"""Tests of the local circuit breaker of an entry host."""

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
    """When an entry host blocks a candidate, and for how long."""

    def test_acts(self) -> None:
        """A version that fails its first callers is blocked at once.

        The entry host observes the failures before the fleet-wide verdict. If
        it waited for that, the next caller would get the bad version as well.
        """
        for title, outcomes, expected in ACTS:
            with self.subTest(title):
                state, acted = _after(outcomes)
                self.assertEqual(acted, expected)
                self.assertEqual(brake.remaining(state, 0.0) == 0, expected)

    def test_half_open(self) -> None:
        """A blocked version that still fails costs one answer for each block.

        After a block one answer is dispatched. If it fails, the next block is
        twice as long. Several successes end the limit of one answer.
        """
        state, _ = _after((FAILED, FAILED))
        now = brake.FIRST_BLOCK_S
        self.assertEqual(brake.remaining(state, now), 1)
        brake.give(state)
        self.assertEqual(brake.remaining(state, now), 0)
        self.assertTrue(brake.end(state, FAILED, now))
        now += brake.FIRST_BLOCK_S
        self.assertEqual(brake.remaining(state, now), 0)
        now += brake.FIRST_BLOCK_S
        for _ in range(6):
            self.assertEqual(brake.remaining(state, now), 1)
            brake.give(state)
            brake.end(state, GOOD, now)
        self.assertGreater(brake.remaining(state, now), 1)

    def test_share(self) -> None:
        """Messages about the share arrive late, twice and out of order.

        The total never decreases, so each answer is allowed once. Pinned
        sessions may exceed the total, and new sessions then get none.
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
