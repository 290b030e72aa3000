"""Tests of the sequential comparison."""

import itertools
import math
import random
import unittest
from collections.abc import Iterator

from beryllug.core import config_data, evidence, evidence_bounds, evidence_data

DECLARED = config_data.Rollout(
    'desk', 'v1', 'v2', (5, 100), 100, max_error_rate=0.05, min_rating=0.7
)
ERROR, _, _, _, LOSS = evidence_bounds.of(DECLARED)
Sample = evidence_data.Sample
Trial = evidence_data.SequentialTest

COMMON_RATES = (0.001, 0.02, 0.3, 0.7, 0.99)


def _outcomes(
    answers: int, rate: float, bad_parts: tuple[float, ...]
) -> Iterator[tuple[float, float]]:
    """Yield each sum of bad outcomes with its probability."""
    for drawn in itertools.product(bad_parts, repeat=answers):
        bad = sum(1 for part in drawn if part)
        yield sum(drawn), rate**bad * (1 - rate) ** (answers - bad)


def _expected(
    bad: evidence_data.BadRateBounds, rate: float, bad_part: float
) -> float:
    """Return the greatest expected wealth of any bet after two blocks.

    Both versions have the same rate. All outcomes are enumerated.
    """
    totals = dict.fromkeys(range(evidence.ALTERNATIVES), 0.0)
    bad_parts = (0.0, bad_part)
    blocks = list(
        itertools.product(
            _outcomes(1, rate, bad_parts), _outcomes(2, rate, bad_parts)
        )
    )
    for first, second in itertools.product(blocks, repeat=2):
        trial = evidence.begin()
        chance = 1.0
        for (new, new_chance), (old, old_chance) in (first, second):
            trial = evidence.observe(trial, bad, Sample(1, new), Sample(2, old))
            chance *= new_chance * old_chance
        for place, wealth in enumerate(trial.wealth):
            totals[place] += chance * math.exp(wealth)
    return max(totals.values())


def _simulate(
    seed: int, rates: Iterator[tuple[float, float]], old_answers: int
) -> Iterator[Trial]:
    """Yield the state after each answer of the candidate."""
    rng = random.Random(seed)
    trial = evidence.begin()
    for new, old in rates:
        failed = sum(rng.random() < old for _ in range(old_answers))
        trial = evidence.observe(
            trial,
            ERROR,
            Sample(1, rng.random() < new),
            Sample(old_answers, failed),
        )
        yield trial


def _answers_to_detection(
    seed: int, rates: Iterator[tuple[float, float]]
) -> int | None:
    """Return the number of answers after which the wealth exceeds 1000."""
    for answers, trial in enumerate(_simulate(seed, rates, 4)):
        if evidence.weight(trial) > math.log(1000):
            return answers
    return None


class EvidenceTest(unittest.TestCase):
    """A good candidate is not stopped by chance; a bad one is stopped soon."""

    def test_wealth_is_not_expected_to_grow(self) -> None:
        """A good version must not be stopped by repeated evaluation.

        Tests with a fixed sample size fail that way. Here the expected wealth
        of every bet stays below the stake, for every rate that both versions
        share and for fractional outcomes as well.
        """
        for bad, rate, bad_part in itertools.product(
            (ERROR, LOSS), COMMON_RATES, (1.0, 0.4)
        ):
            with self.subTest(bad=bad.rate, rate=rate, bad_part=bad_part):
                self.assertLessEqual(_expected(bad, rate, bad_part), 0.86)

    def test_wrong_stops(self) -> None:
        """An outage of both versions does not stop a good candidate.

        Both versions fail alike. The probability that the wealth ever reaches
        20 is at most 0.85 / 20, which is 8.5 of 200 runs.
        """
        rates = [
            *itertools.repeat((0.01, 0.01), 100),
            *itertools.repeat((0.4, 0.4), 100),
        ]
        runs = 0
        for seed in range(200):
            states = _simulate(seed, iter(rates), 2)
            most = max(evidence.weight(trial) for trial in states)
            runs += most > math.log(20)
        self.assertLessEqual(runs, 8)

    def test_detection(self) -> None:
        """A version that fails for some callers from the start is detected."""
        for rate, most in ((0.5, 12), (0.2, 40), (0.1, 110)):
            found = [
                _answers_to_detection(
                    seed, itertools.repeat((rate, 0.005), 1000)
                )
                for seed in range(11)
            ]
            with self.subTest(rate=rate):
                answers = sorted(one if one else 1000 for one in found)
                self.assertLessEqual(answers[5], most)

    def test_turns_bad(self) -> None:
        """A version that turns bad after a long good period is detected.

        One in five of its answers then fails. A bet placed at the start has
        lost nearly all its wealth by then; only the stake that is paid in
        later detects the change within a few dozen answers.
        """
        found = [
            _answers_to_detection(
                seed,
                itertools.chain(
                    itertools.repeat((0.005, 0.005), 1500),
                    itertools.repeat((0.2, 0.005), 1000),
                ),
            )
            for seed in range(5)
        ]
        answers = sorted(one if one else 2500 for one in found)
        self.assertLessEqual(answers[2], 1580)

    def test_alone(self) -> None:
        """An outage while only the candidate answers raises the alarm.

        All new sessions go to the candidate, so there is no comparison. Both
        versions receive requests again after the alarm, but the wealth does
        not change.
        """
        trial = evidence.observe(
            evidence.begin(), ERROR, Sample(), Sample(500, 2)
        )
        before = evidence.observe(trial, ERROR, Sample(50, 0), Sample())
        self.assertEqual(before.alarm, 0)
        after = evidence.observe(before, ERROR, Sample(50, 20), Sample())
        self.assertGreater(after.alarm, 10)
        self.assertEqual(evidence.weight(after), evidence.weight(before))


if __name__ == '__main__':
    unittest.main()
