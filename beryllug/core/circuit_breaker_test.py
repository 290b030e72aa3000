"""Tests of the local circuit breaker of an entry host."""

import unittest

from beryllug.core import circuit_breaker

GOOD = circuit_breaker.Outcome.GOOD
FAILED = circuit_breaker.Outcome.FAILED
CRASHED = circuit_breaker.Outcome.CRASHED

Outcomes = tuple[circuit_breaker.Outcome, ...]

ACTS: tuple[tuple[str, Outcomes, bool], ...] = (
    ('good answers', (GOOD,) * 50, False),
    ('one failure', (GOOD, FAILED), False),
    ('failures far apart', (FAILED, *(GOOD,) * 5, FAILED), False),
    ('two failures running', (GOOD, FAILED, FAILED), True),
    ('every other fails', (FAILED, GOOD, FAILED, GOOD, FAILED), True),
    ('one lost server', (CRASHED,), True),
)


def _after(
    outcomes: Outcomes, total: int = 100
) -> tuple[circuit_breaker.CircuitBreaker, bool]:
    state = circuit_breaker.CircuitBreaker()
    circuit_breaker.raise_total(state, total)
    acted = False
    for outcome in outcomes:
        circuit_breaker.record_dispatch(state)
        acted = circuit_breaker.record_outcome(state, outcome, now=0.0) or acted
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
                self.assertEqual(
                    circuit_breaker.remaining(state, 0.0) == 0, expected
                )

    def test_half_open(self) -> None:
        """A blocked version that still fails costs one answer for each block.

        After a block one answer is dispatched. If it fails, the next block is
        twice as long. Several successes end the limit of one answer.
        """
        state, _ = _after((FAILED, FAILED))
        now = circuit_breaker.FIRST_BLOCK_S
        self.assertEqual(circuit_breaker.remaining(state, now), 1)
        circuit_breaker.record_dispatch(state)
        self.assertEqual(circuit_breaker.remaining(state, now), 0)
        self.assertTrue(circuit_breaker.record_outcome(state, FAILED, now))
        now += circuit_breaker.FIRST_BLOCK_S
        self.assertEqual(circuit_breaker.remaining(state, now), 0)
        now += circuit_breaker.FIRST_BLOCK_S
        for _ in range(6):
            self.assertEqual(circuit_breaker.remaining(state, now), 1)
            circuit_breaker.record_dispatch(state)
            circuit_breaker.record_outcome(state, GOOD, now)
        self.assertGreater(circuit_breaker.remaining(state, now), 1)

    def test_share(self) -> None:
        """Messages about the share arrive late, twice and out of order.

        The total never decreases, so each answer is allowed once. Pinned
        sessions may exceed the total, and new sessions then get none.
        """
        state = circuit_breaker.CircuitBreaker()
        for total, left in ((3, 3), (3, 3), (2, 3), (5, 5)):
            circuit_breaker.raise_total(state, total)
            self.assertEqual(circuit_breaker.remaining(state, 0.0), left)
        for given in range(1, 8):
            circuit_breaker.record_dispatch(state)
            self.assertEqual(
                circuit_breaker.remaining(state, 0.0), max(0, 5 - given)
            )


if __name__ == '__main__':
    unittest.main()
