"""Tests of the stage selection, learnt ratings and rating service health."""

import random
import unittest

from beryllug.core import (
    cascade,
    cascade_data,
    config_data,
    rating_health,
    rating_model,
)

LEARNT = cascade_data.LearntPolicy()
LADDER = config_data.Cascade('ladder', ('small', 'large'), 0.88, 0.7)
SMALL = cascade_data.Offer('small', 100, 0.1, 1)
LARGE = cascade_data.Offer('large', 1200, 0.4, 4)
QUESTION = cascade_data.CascadeRequest(
    'desk', 'draft', LADDER, (SMALL, LARGE), 30, 60
)
STRONG = cascade_data.Begin(1, checked=False)
CHECKED = cascade_data.Begin(0, checked=True)
NOISE = 0.006
READING = rating_model.RatingParameters(NOISE, LADDER.min_rating)


def _learn(
    state: cascade_data.CascadeState, stage: int, rating: float, times: int
) -> None:
    for _ in range(times):
        for escalated in (False, True):
            answer = cascade_data.Answer(stage, rating)
            cascade.learn(state, QUESTION, answer, escalated)


def _trained_state(small: float, large: float) -> cascade_data.CascadeState:
    """Return a state that learnt these fractions of good answers."""
    state = cascade_data.CascadeState()
    for stage, fraction in enumerate((small, large)):
        _learn(state, stage, 0.9, round(fraction * 100))
        _learn(state, stage, 0.3, round((1 - fraction) * 100))
    return state


class BeginTest(unittest.TestCase):
    """The cheapest option that keeps the quality target and the deadlines."""

    def test_begin(self) -> None:
        """The learnt quality of a kind of request decides its first stage."""
        cases = (
            ('nothing learnt', cascade_data.CascadeState(), CHECKED),
            ('small often fails', _trained_state(0.6, 0.95), CHECKED),
            ('small always fails', _trained_state(0, 0.95), STRONG),
            (
                'small never fails',
                _trained_state(1, 0.95),
                cascade_data.Begin(0, checked=False),
            ),
        )
        for name, state, expected in cases:
            with self.subTest(name=name):
                begin = cascade.begin(LEARNT, state, QUESTION, 0)
                self.assertEqual(begin, expected)

    def test_time(self) -> None:
        """A checked stage starts only if all three steps fit the time left.

        The small answer, its rating and the large answer run in sequence when
        the small one is rejected. With too little time left the caller would
        get a poor answer or a late one.
        """
        state = _trained_state(0.6, 0.95)
        longest_s = rating_health.longest_s(state.judge)
        first_s = SMALL.whole_s + longest_s + LARGE.first_token_s
        whole_s = SMALL.whole_s + longest_s + LARGE.whole_s
        cases = (
            (first_s + 0.1, whole_s + 0.1, CHECKED),
            (first_s - 0.1, whole_s + 0.1, STRONG),
            (first_s + 0.1, whole_s - 0.1, STRONG),
        )
        for first, whole, expected in cases:
            with self.subTest(first=first, whole=whole):
                query = QUESTION._replace(
                    first_token_left_s=first, whole_left_s=whole
                )
                begin = cascade.begin(LEARNT, state, query, 0)
                self.assertEqual(begin, expected)

    def test_full_pool(self) -> None:
        """No answer is checked while the large pool accepts no requests."""
        offers = (SMALL, LARGE._replace(open=False))
        query = QUESTION._replace(offers=offers)
        begin = cascade.begin(LEARNT, _trained_state(0.6, 0.95), query, 0)
        self.assertFalse(begin.checked)

    def test_without_ratings(self) -> None:
        """Without ratings the quality target is kept at a higher cost.

        The rating service fails, is slow, or rates wrong answers high. The
        small model fails a little more often than the large one. Checks would
        compensate for that, but without ratings there are none.
        """
        unreachable = _trained_state(0.9, 0.95)
        for _ in range(rating_health.FAILURES_UNREACHABLE):
            rating_health.missed(unreachable.judge, 1, 0)
        slow = _trained_state(0.9, 0.95)
        for _ in range(50):
            rating_health.rated(slow.judge, 30)
        misled = _trained_state(0.9, 0.95)
        for _ in range(5):
            rating_health.mismatched(misled.judge, 'small', 0.9)
        low = _trained_state(0.1, 0.1)
        for name, state in (
            ('gone', unreachable),
            ('slow', slow),
            ('misled', misled),
            ('rates all low', low),
        ):
            with self.subTest(name=name):
                begin = cascade.begin(LEARNT, state, QUESTION, 1)
                self.assertEqual(begin, STRONG)

    def test_backoff(self) -> None:
        """An unreachable service is retried with exponential backoff."""
        judge = cascade_data.RatingServiceHealth()
        for _ in range(rating_health.FAILURES_UNREACHABLE):
            rating_health.missed(judge, 1, 0)
        self.assertFalse(rating_health.is_reachable(judge, 3.9))
        self.assertTrue(rating_health.is_reachable(judge, 4))
        rating_health.missed(judge, 1, 4)
        self.assertFalse(rating_health.is_reachable(judge, 11.9))
        rating_health.rated(judge, 0.3)
        self.assertTrue(rating_health.is_reachable(judge, 11.9))


class AfterTest(unittest.TestCase):
    """The decision about an answer that was rated."""

    def test_after(self) -> None:
        """Good answers are returned, poor ones escalate, others are rerated."""
        again = cascade_data.LearntPolicy(most_ratings=2)
        cases = (
            (LEARNT, 0.95, QUESTION, cascade_data.ReturnAnswer(0)),
            (LEARNT, 0.3, QUESTION, STRONG),
            (again, 0.66, QUESTION, cascade_data.RateAgain(0)),
            (again, 0.95, QUESTION, cascade_data.ReturnAnswer(0)),
            (LEARNT, 0.3, QUESTION._replace(whole_left_s=1), None),
            (cascade_data.FixedThreshold(0.7), 0.69, QUESTION, STRONG),
            (
                cascade_data.FixedThreshold(0.7),
                0.71,
                QUESTION,
                cascade_data.ReturnAnswer(0),
            ),
        )
        for policy, rating, question, expected in cases:
            with self.subTest(policy=policy, rating=rating):
                answer = cascade_data.Answer(0, rating)
                decision = cascade.after(
                    policy, _trained_state(0.6, 0.95), question, (answer,)
                )
                self.assertEqual(
                    decision, expected or cascade_data.ReturnAnswer(0)
                )

    def test_price(self) -> None:
        """The price rises below the quality target and falls above it."""
        for rating, rises in ((0.3, True), (0.98, False)):
            with self.subTest(rating=rating):
                state = _trained_state(0.6, 0.95)
                before = cascade_data.CascadeQuality().price
                for _ in range(200):
                    cascade.record_returned(
                        state,
                        QUESTION,
                        cascade_data.Answer(0, rating),
                        escalated=False,
                    )
                after = state.ledgers['ladder'].price
                self.assertEqual(after > before, rises)

    def test_audit(self) -> None:
        """Audits detect answers that are worse than predicted."""
        state = _trained_state(0.6, 0.95)
        answer = cascade_data.Answer(0, 0.9)
        given = cascade_data.CompletedAnswer(QUESTION, answer, escalated=False)
        for _ in range(200):
            cascade.record_sample(
                state, given, cascade_data.Sample.AUDIT, rating=0.4
            )
        ledger = state.ledgers['ladder']
        self.assertLess(rating_model.audit_error(ledger, 0.7), -0.4)


class RatingModelTest(unittest.TestCase):
    """The share of good answers is estimated from noisy ratings."""

    def test_share(self) -> None:
        """Noise near the minimum rating does not bias the estimated share.

        Half of the answers near the minimum rating are measured on its wrong
        side. Counting the ratings above it, a model with 90 percent of good
        answers appears to have 86, which causes needless escalations.
        """
        for fraction in (0.2, 0.55, 0.9):
            with self.subTest(fraction=fraction):
                rng = random.Random(1)
                state = cascade_data.CascadeState()
                place = rating_model.RatingKey(
                    'm', False, 'draft', 'desk', False
                )
                good = 0
                for _ in range(1000):
                    shape = (14, 2.5) if rng.random() < fraction else (5, 5)
                    rating = rng.betavariate(*shape)
                    good += rating >= LADDER.min_rating
                    noisy = rating + rng.gauss(0, NOISE**0.5)
                    rating_model.learn(state, place, noisy, NOISE)
                estimate = rating_model.belief(state, place)
                chance = rating_model.chance(estimate, READING)
                self.assertAlmostEqual(chance, good / 1000, delta=0.02)

    def test_new_account(self) -> None:
        """A new account starts from the ratings of its kind of request."""
        state = _trained_state(0.9, 0.95)
        estimate = rating_model.belief(
            state, rating_model.RatingKey('small', False, 'draft', 'new', False)
        )
        self.assertGreater(rating_model.chance(estimate, READING), 0.8)

    def test_expected_best(self) -> None:
        """Rating an answer never has a lower expected value than not."""
        state = _trained_state(0.6, 0.95)
        place = rating_model.RatingKey('small', False, 'draft', 'desk', False)
        estimate = rating_model.belief(state, place)
        chance = rating_model.chance(estimate, READING)
        for alternative in (0, 0.3, 0.6, 0.9):
            with self.subTest(alternative=alternative):
                best = rating_model.expected_best(
                    estimate, READING, alternative
                )
                self.assertGreater(best, max(chance, alternative) - 0.01)


if __name__ == '__main__':
    unittest.main()
