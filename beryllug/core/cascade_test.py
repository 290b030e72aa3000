"""Tests of a cascade's stages, learnt ratings and the rating service."""

import random
import unittest

from beryllug.core import (
    cascade,
    cascade_data,
    config_data,
    rating_health,
    rating_model,
)

LEARNT = cascade_data.Learnt()
LADDER = config_data.Cascade('ladder', ('small', 'large'), 0.88, 0.7)
SMALL = cascade_data.Offer('small', 100, 0.1, 1)
LARGE = cascade_data.Offer('large', 1200, 0.4, 4)
QUESTION = cascade_data.Question(
    'desk', 'draft', LADDER, (SMALL, LARGE), 30, 60
)
STRONG = cascade_data.Begin(1, checked=False)
CHECKED = cascade_data.Begin(0, checked=True)
NOISE = 0.006
READING = rating_model.Reading(NOISE, LADDER.min_rating)


def _learn(
    state: cascade_data.CascadeState, stage: int, rating: float, times: int
) -> None:
    for _ in range(times):
        for escalated in (False, True):
            answer = cascade_data.Answer(stage, rating)
            cascade.learn(state, QUESTION, answer, escalated)


def _taught(small: float, large: float) -> cascade_data.CascadeState:
    """Return a state that has seen these parts of good answers."""
    state = cascade_data.CascadeState()
    for stage, part in enumerate((small, large)):
        _learn(state, stage, 0.9, round(part * 100))
        _learn(state, stage, 0.3, round((1 - part) * 100))
    return state


class BeginTest(unittest.TestCase):
    """The cheapest way that holds the quality target and fits the time."""

    def test_begin(self) -> None:
        """What is learnt of a kind of request decides how it begins."""
        cases = (
            ('nothing learnt', cascade_data.CascadeState(), CHECKED),
            ('small often fails', _taught(0.6, 0.95), CHECKED),
            ('small always fails', _taught(0, 0.95), STRONG),
            (
                'small never fails',
                _taught(1, 0.95),
                cascade_data.Begin(0, checked=False),
            ),
        )
        for name, state, expected in cases:
            with self.subTest(name=name):
                begin = cascade.begin(LEARNT, state, QUESTION, 0)
                self.assertEqual(begin, expected)

    def test_time(self) -> None:
        """A check is begun only where all three steps fit the time left.

        Small answer, rating and large answer follow one another when the
        small one fails. Begun with too little time, the caller gets a poor
        answer or a late one.
        """
        state = _taught(0.6, 0.95)
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
                asked = QUESTION._replace(
                    first_token_left_s=first, whole_left_s=whole
                )
                begin = cascade.begin(LEARNT, state, asked, 0)
                self.assertEqual(begin, expected)

    def test_full_pool(self) -> None:
        """Nothing is checked while the large pool takes no more requests."""
        offers = (SMALL, LARGE._replace(open=False))
        asked = QUESTION._replace(offers=offers)
        begin = cascade.begin(LEARNT, _taught(0.6, 0.95), asked, 0)
        self.assertFalse(begin.checked)

    def test_without_ratings(self) -> None:
        """Without ratings quality is held and cost is not.

        The rating service fails, is slow, or rates wrong answers high. The
        small model fails a little more often than the large one, which checks
        would make up for elsewhere; without them nothing does.
        """
        gone = _taught(0.9, 0.95)
        for _ in range(rating_health.FAILURES_GONE):
            rating_health.missed(gone.judge, 1, 0)
        slow = _taught(0.9, 0.95)
        for _ in range(50):
            rating_health.rated(slow.judge, 30)
        misled = _taught(0.9, 0.95)
        for _ in range(5):
            rating_health.mismatched(misled.judge, 'small', 0.9)
        low = _taught(0.1, 0.1)
        for name, state in (
            ('gone', gone),
            ('slow', slow),
            ('misled', misled),
            ('rates all low', low),
        ):
            with self.subTest(name=name):
                begin = cascade.begin(LEARNT, state, QUESTION, 1)
                self.assertEqual(begin, STRONG)

    def test_asked_again(self) -> None:
        """A service that was gone is asked again after a growing pause."""
        judge = cascade_data.Judge()
        for _ in range(rating_health.FAILURES_GONE):
            rating_health.missed(judge, 1, 0)
        self.assertFalse(rating_health.is_reachable(judge, 3.9))
        self.assertTrue(rating_health.is_reachable(judge, 4))
        rating_health.missed(judge, 1, 4)
        self.assertFalse(rating_health.is_reachable(judge, 11.9))
        rating_health.rated(judge, 0.3)
        self.assertTrue(rating_health.is_reachable(judge, 11.9))


class AfterTest(unittest.TestCase):
    """What is done with an answer that was rated."""

    def test_after(self) -> None:
        """Good answers go out, poor ones escalate, doubtful ones wait."""
        again = cascade_data.Learnt(most_ratings=2)
        cases = (
            (LEARNT, 0.95, QUESTION, cascade_data.GiveOut(0)),
            (LEARNT, 0.3, QUESTION, STRONG),
            (again, 0.66, QUESTION, cascade_data.RateAgain(0)),
            (again, 0.95, QUESTION, cascade_data.GiveOut(0)),
            (LEARNT, 0.3, QUESTION._replace(whole_left_s=1), None),
            (cascade_data.FixedThreshold(0.7), 0.69, QUESTION, STRONG),
            (
                cascade_data.FixedThreshold(0.7),
                0.71,
                QUESTION,
                cascade_data.GiveOut(0),
            ),
        )
        for policy, rating, question, expected in cases:
            with self.subTest(policy=policy, rating=rating):
                answer = cascade_data.Answer(0, rating)
                decision = cascade.after(
                    policy, _taught(0.6, 0.95), question, (answer,)
                )
                self.assertEqual(decision, expected or cascade_data.GiveOut(0))

    def test_price(self) -> None:
        """The price of a good answer rises under the target and falls above."""
        for rating, rises in ((0.3, True), (0.98, False)):
            with self.subTest(rating=rating):
                state = _taught(0.6, 0.95)
                before = cascade_data.Ledger().price
                for _ in range(200):
                    cascade.given_out(
                        state,
                        QUESTION,
                        cascade_data.Answer(0, rating),
                        escalated=False,
                    )
                after = state.ledgers['ladder'].price
                self.assertEqual(after > before, rises)

    def test_audit(self) -> None:
        """Audits find out that answers are worse than they were meant to be."""
        state = _taught(0.6, 0.95)
        answer = cascade_data.Answer(0, 0.9)
        given = cascade_data.Given(QUESTION, answer, escalated=False)
        for _ in range(200):
            cascade.take_sample(
                state, given, cascade_data.Sample.AUDIT, rating=0.4
            )
        ledger = state.ledgers['ladder']
        self.assertLess(rating_model.audited_error(ledger, 0.7), -0.4)


class RatingModelTest(unittest.TestCase):
    """The share of good answers is found behind noisy ratings."""

    def test_share(self) -> None:
        """Neither noise nor the edge of a good rating shifts the share.

        Half of the answers near the least rating are read on its wrong side.
        Counting ratings above it, a model with 90 percent of good answers
        seems to have 86, and escalations are paid for that nobody needs.
        """
        for part in (0.2, 0.55, 0.9):
            with self.subTest(part=part):
                rng = random.Random(1)
                state = cascade_data.CascadeState()
                place = rating_model.Place('m', False, 'draft', 'desk', False)
                good = 0
                for _ in range(1000):
                    shape = (14, 2.5) if rng.random() < part else (5, 5)
                    rating = rng.betavariate(*shape)
                    good += rating >= LADDER.min_rating
                    noisy = rating + rng.gauss(0, NOISE**0.5)
                    rating_model.learn(state, place, noisy, NOISE)
                known = rating_model.belief(state, place)
                chance = rating_model.chance(known, READING)
                self.assertAlmostEqual(chance, good / 1000, delta=0.02)

    def test_new_account(self) -> None:
        """A new account starts from what is known of its kind of request."""
        state = _taught(0.9, 0.95)
        known = rating_model.belief(
            state, rating_model.Place('small', False, 'draft', 'new', False)
        )
        self.assertGreater(rating_model.chance(known, READING), 0.8)

    def test_expected_best(self) -> None:
        """Rating an answer is never worth less than not rating it."""
        state = _taught(0.6, 0.95)
        place = rating_model.Place('small', False, 'draft', 'desk', False)
        known = rating_model.belief(state, place)
        chance = rating_model.chance(known, READING)
        for otherwise in (0, 0.3, 0.6, 0.9):
            with self.subTest(otherwise=otherwise):
                best = rating_model.expected_best(known, READING, otherwise)
                self.assertGreater(best, max(chance, otherwise) - 0.01)


if __name__ == '__main__':
    unittest.main()
