"""Which stage of a cascade runs, and whether its answer is given out.

Three ways are weighed for each request: a cheaper stage whose answer is rated
before it is given out, a cheaper stage unchecked, and the last stage. Each has
an expected cost and a chance of a good answer; the chance is worth a price that
rises while an account's answers are under the quality target and falls while
they are above it. Thus the cost is least at the target, and not at a threshold
that someone guessed.

Without the rating service nothing is checked, and what is unchecked must be
proved good by earlier ratings: quality is held and cost is not.
"""

import math
from collections.abc import Sequence
from statistics import NormalDist

from beryllug.core import cascade_data, rating_health, rating_model

RATING_COST_PART = 0.02
PRICE_STEP = 0.05
LEAST_PRICE = -2.0
MOST_PRICE = 3.5
MARGIN = 0.005
STEPS = 9
GRID = tuple(
    NormalDist().inv_cdf((step + 0.5) / STEPS) for step in range(STEPS)
)

Question = cascade_data.Question


def begin(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    question: Question,
    now: float,
) -> cascade_data.Begin:
    """Choose the stage that a request starts with."""
    last = len(question.offers) - 1
    match policy:
        case cascade_data.AlwaysStrong():
            return cascade_data.Begin(last, checked=False)
        case cascade_data.AlwaysCheap():
            return cascade_data.Begin(0, checked=False)
        case cascade_data.FixedThreshold():
            checked = last > 0 and _fits(state, question, 0)
            return cascade_data.Begin(0 if checked else last, checked)
        case cascade_data.Learnt():
            return _best_begin(policy, state, question, now)


def after(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    question: Question,
    answers: Sequence[cascade_data.Answer],
) -> cascade_data.GiveOut | cascade_data.Begin:
    """Decide about the answers that have come so far.

    Args:
        policy: The policy.
        state: What was learnt.
        question: The request, with the time that is left now.
        answers: Its whole answers, none of them given out yet.

    Returns:
        Which answer is given out, or the stage that runs next.
    """
    latest = answers[-1]
    last = len(question.offers) - 1
    match policy:
        case cascade_data.FixedThreshold(threshold=threshold):
            rating = latest.rating
            if latest.stage < last and (rating is None or rating < threshold):
                return cascade_data.Begin(last, checked=False)
            return cascade_data.GiveOut(latest.stage)
        case cascade_data.Learnt():
            return _give_or_escalate(state, question, latest)
        case _:
            return cascade_data.GiveOut(latest.stage)


def wants_rating(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    question: Question,
    now: float,
    draw: float,
) -> bool:
    """Tell whether an answer that is already given out is rated to learn.

    Args:
        policy: The policy.
        state: What was learnt.
        question: The request.
        now: The present second.
        draw: A random number from 0 to 1.
    """
    if not isinstance(policy, cascade_data.Learnt):
        return False
    model = question.offers[0].model
    if not rating_health.is_usable(state.judge, model, now):
        return False
    return draw < policy.sample_part


def given_out(
    state: cascade_data.CascadeState,
    question: Question,
    answer: cascade_data.Answer,
    escalated: bool,
) -> float:
    """Enter an answer that was given out; returns its chance of being good."""
    place = _place(question, answer.stage, escalated)
    chance = _chance(state, question, place, answer.rating)
    ledger = _ledger(state, question)
    ledger.answers += 1
    ledger.good += chance
    short = question.cascade.quality_target + MARGIN - chance
    price = ledger.price + PRICE_STEP * short
    ledger.price = min(max(price, LEAST_PRICE), MOST_PRICE)
    return chance


def learn(
    state: cascade_data.CascadeState,
    question: Question,
    answer: cascade_data.Answer,
    escalated: bool,
) -> None:
    """Learn from an answer's rating, given out or not."""
    if answer.rating is None:
        return
    place = _place(question, answer.stage, escalated)
    rating = rating_health.corrected(state.judge, place.model, answer.rating)
    rating_model.learn(state, place, rating)


def _best_begin(
    policy: cascade_data.Learnt,
    state: cascade_data.CascadeState,
    question: Question,
    now: float,
) -> cascade_data.Begin:
    last = len(question.offers) - 1
    best = cascade_data.Begin(last, checked=False)
    best_worth = _worth_unchecked(policy, state, question, last)
    for stage, offer in enumerate(question.offers[:-1]):
        if not offer.open:
            continue
        if offer.first_token_s <= question.first_token_left_s:
            worth = _worth_unchecked(policy, state, question, stage)
            if worth > best_worth:
                best = cascade_data.Begin(stage, checked=False)
                best_worth = worth
        usable = rating_health.is_usable(state.judge, offer.model, now)
        if usable and _fits(state, question, stage):
            worth = _worth_checked(state, question, stage)
            if worth > best_worth:
                best = cascade_data.Begin(stage, checked=True)
                best_worth = worth
    return best


def _fits(
    state: cascade_data.CascadeState, question: Question, stage: int
) -> bool:
    """Tell whether a stage, its rating and the last stage fit the time."""
    spent = question.offers[stage].whole_s
    spent += rating_health.longest_s(state.judge)
    strong = question.offers[-1]
    if not strong.open:
        return False
    if spent + strong.first_token_s > question.first_token_left_s:
        return False
    return spent + strong.whole_s <= question.whole_left_s


def _worth_unchecked(
    policy: cascade_data.Learnt,
    state: cascade_data.CascadeState,
    question: Question,
    stage: int,
) -> float:
    place = _place(question, stage, escalated=False)
    caution = 0 if place.last else policy.caution
    chance = rating_model.chance_unrated(
        rating_model.spread(state, place),
        rating_health.noise(state.judge),
        question.cascade.min_rating,
        caution,
    )
    return _price(state, question) * chance - question.offers[stage].cost


def _worth_checked(
    state: cascade_data.CascadeState, question: Question, stage: int
) -> float:
    """Return the expected worth over the ratings the answer may get."""
    place = _place(question, stage, escalated=False)
    belief = rating_model.spread(state, place)
    price = _price(state, question)
    strong = question.offers[-1]
    escalated = price * _strong_chance(state, question) - strong.cost
    deviation = math.sqrt(belief.variance)
    total = 0.0
    for point in GRID:
        chance = rating_model.chance_rated(
            belief,
            belief.mean + point * deviation,
            rating_health.noise(state.judge),
            question.cascade.min_rating,
        )
        total += max(price * chance, escalated)
    rating_cost = RATING_COST_PART * strong.cost
    return total / STEPS - question.offers[stage].cost - rating_cost


def _give_or_escalate(
    state: cascade_data.CascadeState,
    question: Question,
    latest: cascade_data.Answer,
) -> cascade_data.GiveOut | cascade_data.Begin:
    last = len(question.offers) - 1
    strong = question.offers[last]
    late = strong.whole_s > question.whole_left_s
    if latest.stage == last or late or not strong.open:
        return cascade_data.GiveOut(latest.stage)
    place = _place(question, latest.stage, escalated=False)
    chance = _chance(state, question, place, latest.rating)
    gain = _strong_chance(state, question) - chance
    if _price(state, question) * gain > strong.cost:
        return cascade_data.Begin(last, checked=False)
    return cascade_data.GiveOut(latest.stage)


def _chance(
    state: cascade_data.CascadeState,
    question: Question,
    place: rating_model.Place,
    rating: float | None,
) -> float:
    belief = rating_model.spread(state, place)
    noise = rating_health.noise(state.judge)
    least = question.cascade.min_rating
    if rating is None:
        return rating_model.chance_unrated(belief, noise, least, 0)
    corrected = rating_health.corrected(state.judge, place.model, rating)
    return rating_model.chance_rated(belief, corrected, noise, least)


def _strong_chance(
    state: cascade_data.CascadeState, question: Question
) -> float:
    place = _place(question, len(question.offers) - 1, escalated=True)
    return _chance(state, question, place, None)


def _price(state: cascade_data.CascadeState, question: Question) -> float:
    """Return what a good answer is worth, in the unit of costs."""
    return math.exp(_ledger(state, question).price) * question.offers[-1].cost


def _ledger(
    state: cascade_data.CascadeState, question: Question
) -> cascade_data.Ledger:
    key = (question.account_id, question.cascade.name)
    return state.ledgers.setdefault(key, cascade_data.Ledger())


def _place(
    question: Question, stage: int, escalated: bool
) -> rating_model.Place:
    return rating_model.Place(
        question.offers[stage].model,
        escalated,
        question.kind,
        question.account_id,
        last=stage == len(question.offers) - 1,
    )
