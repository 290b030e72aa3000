"""Chooses the stage of a cascade that runs and the answer that is returned.

Three options are compared for each request: a cheaper stage whose answer is
rated before it is returned, a cheaper stage without a rating, and the last
stage. Each has an expected cost and a probability of a good answer. The
probability is weighted by a price that rises while the cascade's answers are
below the quality target and falls while they are above it. The cost is thus
minimized at the target, without a hand-tuned rating threshold.

Without the rating service no answer is rated before it is returned, and a
cheaper stage is used only if earlier ratings show that it is good enough:
the quality target is kept at a higher cost.
"""

import math
from collections.abc import Iterator, Sequence

from beryllug.core import (
    cascade_data,
    rating_health,
    rating_model,
    stage_chance,
)

RATING_COST_PART = 0.02
LOG_PRICE_STEP = 0.01
MIN_LOG_PRICE = 0.0
MAX_LOG_PRICE = 3.5
UNRATED_LOG_PRICE = 8.0
MARGIN = 0.005
MAX_LAST_STAGE_SHORTFALL = 0.4
QUALITY_WINDOW_ANSWERS = 200

CascadeRequest = cascade_data.CascadeRequest


def begin(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    now: float,
) -> cascade_data.Begin:
    """Return the stage that a request starts with."""
    last = len(question.offers) - 1
    match policy:
        case cascade_data.AlwaysStrong():
            return cascade_data.Begin(last, checked=False)
        case cascade_data.AlwaysCheap():
            return cascade_data.Begin(0, checked=False)
        case cascade_data.FixedThreshold():
            checked = last > 0 and _fits_deadlines(state, question, 0)
            return cascade_data.Begin(0 if checked else last, checked)
        case cascade_data.LearntPolicy():
            return _best_start(policy, state, question, now)


def after(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    answers: Sequence[cascade_data.Answer],
) -> cascade_data.Decision:
    """Decide what to do with the answers that were generated so far.

    Args:
        policy: The policy.
        state: The learnt state.
        question: The request, with the time that is left now.
        answers: Its complete answers, none of them returned yet.

    Returns:
        The answer to return, the stage to run next, or a request for another
        rating of the answer.
    """
    latest = answers[-1]
    last = len(question.offers) - 1
    match policy:
        case cascade_data.FixedThreshold(threshold=threshold):
            rating = latest.rating
            if latest.stage < last and (rating is None or rating < threshold):
                return cascade_data.Begin(last, checked=False)
            return cascade_data.ReturnAnswer(latest.stage)
        case cascade_data.LearntPolicy():
            return _return_or_escalate(policy, state, question, latest)
        case _:
            return cascade_data.ReturnAnswer(latest.stage)


def sample(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    given: cascade_data.CompletedAnswer,
    now: float,
    draw: float,
) -> cascade_data.Sample:
    """Decide whether an answer is rated after it was returned.

    Args:
        policy: The policy.
        state: The learnt state.
        given: The answer.
        now: The current time in seconds.
        draw: A random number from 0 to 1.
    """
    if not isinstance(policy, cascade_data.LearntPolicy):
        return cascade_data.Sample.NONE
    if not rating_health.is_reachable(state.judge, now):
        return cascade_data.Sample.NONE
    if draw < policy.audit_fraction:
        return cascade_data.Sample.AUDIT
    if given.answer.rating is not None:
        return cascade_data.Sample.NONE
    place = stage_chance.rating_key(
        given.question, given.answer.stage, given.escalated
    )
    weight = rating_model.weight(state, place)
    first = policy.learning_weight / (policy.learning_weight + weight)
    if draw < policy.audit_fraction + first:
        return cascade_data.Sample.LEARN
    return cascade_data.Sample.NONE


def record_sample(
    state: cascade_data.CascadeState,
    given: cascade_data.CompletedAnswer,
    drawn: cascade_data.Sample,
    rating: float,
) -> None:
    """Record the rating of a sampled answer."""
    if not rating_health.is_trusted(state.judge):
        return
    question = given.question
    if given.answer.rating is None:
        answer = given.answer._replace(rating=rating)
        learn(state, question, answer, given.escalated)
    if drawn is cascade_data.Sample.AUDIT:
        place = stage_chance.rating_key(
            question, given.answer.stage, given.escalated
        )
        rating_model.audit(
            _ledger(state, question),
            stage_chance.after_rating(state, question, place, given.answer),
            rating_health.corrected(state.judge, place.model, rating),
            stage_chance.reading(state, question),
        )


def record_returned(
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    answer: cascade_data.Answer,
    escalated: bool,
) -> float:
    """Record an answer that was returned, and update the price.

    The price follows the share of good answers, estimated as the mean
    probability of the recent ones plus the error that audits show.

    Returns:
        The probability that the answer is good.
    """
    place = stage_chance.rating_key(question, answer.stage, escalated)
    chance = stage_chance.of_answer(state, question, place, answer)
    ledger = _ledger(state, question)
    ledger.answers += 1
    part = 1 / min(ledger.answers, QUALITY_WINDOW_ANSWERS)
    ledger.expected_quality += part * (chance - ledger.expected_quality)
    ledger.unit += part * (question.offers[-1].cost - ledger.unit)
    least = question.cascade.min_rating
    share = ledger.expected_quality + rating_model.audit_error(ledger, least)
    shortfall = question.cascade.quality_target + MARGIN - share
    price = ledger.price + LOG_PRICE_STEP * shortfall
    ledger.price = min(max(price, MIN_LOG_PRICE), MAX_LOG_PRICE)
    return chance


def learn(
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    answer: cascade_data.Answer,
    escalated: bool,
) -> None:
    """Learn from the rating of an answer, whether it was returned or not.

    Ratings of an untrusted service are ignored. They are still requested, so
    that probes show when the service can be trusted again.
    """
    if answer.rating is None or not rating_health.is_trusted(state.judge):
        return
    place = stage_chance.rating_key(question, answer.stage, escalated)
    rating = rating_health.corrected(state.judge, place.model, answer.rating)
    noise = rating_health.noise(state.judge) / answer.ratings
    rating_model.learn(state, place, rating, noise)


def _best_start(
    policy: cascade_data.LearntPolicy,
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    now: float,
) -> cascade_data.Begin:
    last = len(question.offers) - 1
    best = cascade_data.Begin(last, checked=False)
    if not _is_plausible(state, question):
        return best
    usable = rating_health.is_usable(state.judge, now)
    price, confidence_z = _price_and_confidence(policy, state, question, usable)
    best_utility = _unchecked_utility(
        state, question, last, (price, -confidence_z)
    )
    for begin in _cheaper_starts(state, question, usable):
        if begin.checked:
            utility = _checked_utility(state, question, begin.stage)
        else:
            terms = (price, confidence_z)
            utility = _unchecked_utility(state, question, begin.stage, terms)
        if utility > best_utility:
            best = begin
            best_utility = utility
    return best


def _is_plausible(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> bool:
    """Return whether the last stage's ratings come close to the target.

    A rating service that rates everything low makes all stages look equally
    bad, and then the cheapest would win. In that case the ratings are ignored
    and the last stage, declared the strongest, is used.
    """
    chance = stage_chance.of_last(state, question)
    return chance > question.cascade.quality_target - MAX_LAST_STAGE_SHORTFALL


def _cheaper_starts(
    state: cascade_data.CascadeState, question: CascadeRequest, usable: bool
) -> Iterator[cascade_data.Begin]:
    """Yield the options, besides the last stage, that meet the deadlines."""
    for stage, offer in enumerate(question.offers[:-1]):
        in_time = offer.first_token_s <= question.first_token_left_s
        if offer.open and in_time:
            yield cascade_data.Begin(stage, checked=False)
        if offer.open and usable and _fits_deadlines(state, question, stage):
            yield cascade_data.Begin(stage, checked=True)


def _fits_deadlines(
    state: cascade_data.CascadeState, question: CascadeRequest, stage: int
) -> bool:
    """Return whether a stage, its rating and the last stage fit in time."""
    spent = question.offers[stage].whole_s
    spent += rating_health.longest_s(state.judge)
    last_offer = question.offers[-1]
    if not last_offer.open:
        return False
    if spent + last_offer.first_token_s > question.first_token_left_s:
        return False
    return spent + last_offer.whole_s <= question.whole_left_s


def _unchecked_utility(
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    stage: int,
    terms: tuple[float, float],
) -> float:
    """Return the utility of a stage at a price and a confidence bound."""
    price, confidence_z = terms
    place = stage_chance.rating_key(question, stage, escalated=False)
    chance = rating_model.chance(
        rating_model.belief(state, place),
        stage_chance.reading(state, question),
        confidence_z,
    )
    return price * chance - question.offers[stage].cost


def _checked_utility(
    state: cascade_data.CascadeState, question: CascadeRequest, stage: int
) -> float:
    """Return the expected utility over the ratings the answer may get."""
    place = stage_chance.rating_key(question, stage, escalated=False)
    known = rating_model.belief(state, place)
    reading = stage_chance.reading(state, question)
    price = _quality_price(state, question)
    last_offer = question.offers[-1]
    escalated = stage_chance.of_last(state, question) - last_offer.cost / price
    best = rating_model.expected_best(known, reading, escalated)
    rating_cost = RATING_COST_PART * last_offer.cost
    return price * best - question.offers[stage].cost - rating_cost


def _return_or_escalate(
    policy: cascade_data.LearntPolicy,
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    latest: cascade_data.Answer,
) -> cascade_data.Decision:
    last = len(question.offers) - 1
    last_offer = question.offers[last]
    too_late = last_offer.whole_s > question.whole_left_s
    if latest.stage == last or too_late or not last_offer.open:
        return cascade_data.ReturnAnswer(latest.stage)
    place = stage_chance.rating_key(question, latest.stage, escalated=False)
    price = _quality_price(state, question)
    chance = stage_chance.of_answer(state, question, place, latest)
    escalated = stage_chance.of_last(state, question) - last_offer.cost / price
    if _is_worth_rating(policy, state, question, latest, (chance, escalated)):
        return cascade_data.RateAgain(latest.stage)
    if escalated > chance:
        return cascade_data.Begin(last, checked=False)
    return cascade_data.ReturnAnswer(latest.stage)


def _is_worth_rating(
    policy: cascade_data.LearntPolicy,
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    answer: cascade_data.Answer,
    utilities: tuple[float, float],
) -> bool:
    """Return whether the benefit of one more rating exceeds its cost.

    It does for answers close to the decision boundary, where a wrong choice
    costs a needless second answer or returns a poor one.
    """
    if answer.rating is None or answer.ratings >= policy.most_ratings:
        return False
    if not _rerating_fits_deadlines(state, question):
        return False
    place = stage_chance.rating_key(question, answer.stage, escalated=False)
    known = stage_chance.after_rating(state, question, place, answer)
    best = rating_model.expected_best(
        known, stage_chance.reading(state, question), utilities[1]
    )
    last_offer = question.offers[-1]
    rating_cost = (
        RATING_COST_PART * last_offer.cost / _quality_price(state, question)
    )
    return best - max(utilities) > rating_cost


def _rerating_fits_deadlines(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> bool:
    """Return whether another rating and the last stage fit in time."""
    last_offer = question.offers[-1]
    spent = rating_health.longest_s(state.judge)
    if spent + last_offer.first_token_s > question.first_token_left_s:
        return False
    return spent + last_offer.whole_s <= question.whole_left_s


def _quality_price(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> float:
    """Return the value of a good answer, in the unit of costs."""
    ledger = _ledger(state, question)
    return math.exp(ledger.price) * _cost_unit(ledger, question)


def _price_and_confidence(
    policy: cascade_data.LearntPolicy,
    state: cascade_data.CascadeState,
    question: CascadeRequest,
    usable: bool,
) -> tuple[float, float]:
    """Return the price and confidence bound, with or without ratings."""
    if usable:
        return _quality_price(state, question), policy.confidence_z
    return _unrated_price(state, question), policy.unrated_confidence_z


def _unrated_price(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> float:
    """Return the price without ratings, so high that cost hardly matters.

    Poor answers that a rating would have caught are returned then, so quality
    must not be traded for a lower cost.
    """
    unit = _cost_unit(_ledger(state, question), question)
    return math.exp(UNRATED_LOG_PRICE) * unit


def _cost_unit(
    ledger: cascade_data.CascadeQuality, question: CascadeRequest
) -> float:
    return ledger.unit or question.offers[-1].cost


def _ledger(
    state: cascade_data.CascadeState, question: CascadeRequest
) -> cascade_data.CascadeQuality:
    name = question.cascade.name
    return state.ledgers.setdefault(name, cascade_data.CascadeQuality())
