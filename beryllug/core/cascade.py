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
from collections.abc import Iterator, Sequence

from beryllug.core import (
    cascade_data,
    rating_health,
    rating_model,
    stage_chance,
)

RATING_COST_PART = 0.02
PRICE_STEP = 0.01
LEAST_PRICE = 0.0
MOST_PRICE = 3.5
BLIND_PRICE = 8.0
MARGIN = 0.005
MOST_DOUBTED = 0.4
MEANT_KEPT = 200

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
) -> cascade_data.Decision:
    """Decide about the answers that have come so far.

    Args:
        policy: The policy.
        state: What was learnt.
        question: The request, with the time that is left now.
        answers: Its whole answers, none of them given out yet.

    Returns:
        Which answer is given out, the stage that runs next, or that the
        answer is rated again.
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
            return _give_or_escalate(policy, state, question, latest)
        case _:
            return cascade_data.GiveOut(latest.stage)


def sample(
    policy: cascade_data.CascadePolicy,
    state: cascade_data.CascadeState,
    given: cascade_data.Given,
    now: float,
    draw: float,
) -> cascade_data.Sample:
    """Tell whether an answer that was given out is rated afterwards.

    Args:
        policy: The policy.
        state: What was learnt.
        given: The answer.
        now: The present second.
        draw: A random number from 0 to 1.
    """
    if not isinstance(policy, cascade_data.Learnt):
        return cascade_data.Sample.NONE
    if not rating_health.is_reachable(state.judge, now):
        return cascade_data.Sample.NONE
    if draw < policy.audit_part:
        return cascade_data.Sample.AUDIT
    if given.answer.rating is not None:
        return cascade_data.Sample.NONE
    place = stage_chance.place_of(
        given.question, given.answer.stage, given.escalated
    )
    weight = rating_model.weight(state, place)
    first = policy.learn_first / (policy.learn_first + weight)
    if draw < policy.audit_part + first:
        return cascade_data.Sample.LEARN
    return cascade_data.Sample.NONE


def take_sample(
    state: cascade_data.CascadeState,
    given: cascade_data.Given,
    drawn: cascade_data.Sample,
    rating: float,
) -> None:
    """Take the rating of a sample."""
    if not rating_health.is_trusted(state.judge):
        return
    question = given.question
    if given.answer.rating is None:
        answer = given.answer._replace(rating=rating)
        learn(state, question, answer, given.escalated)
    if drawn is cascade_data.Sample.AUDIT:
        place = stage_chance.place_of(
            question, given.answer.stage, given.escalated
        )
        rating_model.audit(
            _ledger(state, question),
            stage_chance.after_rating(state, question, place, given.answer),
            rating_health.corrected(state.judge, place.model, rating),
            stage_chance.reading(state, question),
        )


def given_out(
    state: cascade_data.CascadeState,
    question: Question,
    answer: cascade_data.Answer,
    escalated: bool,
) -> float:
    """Enter an answer that was given out, and move the price.

    The price follows the share of good answers: the mean chance of the last
    ones, corrected by what audits show.

    Returns:
        The answer's chance of being good.
    """
    place = stage_chance.place_of(question, answer.stage, escalated)
    chance = stage_chance.of_answer(state, question, place, answer)
    ledger = _ledger(state, question)
    ledger.answers += 1
    part = 1 / min(ledger.answers, MEANT_KEPT)
    ledger.meant += part * (chance - ledger.meant)
    ledger.unit += part * (question.offers[-1].cost - ledger.unit)
    least = question.cascade.min_rating
    share = ledger.meant + rating_model.audited_error(ledger, least)
    short = question.cascade.quality_target + MARGIN - share
    price = ledger.price + PRICE_STEP * short
    ledger.price = min(max(price, LEAST_PRICE), MOST_PRICE)
    return chance


def learn(
    state: cascade_data.CascadeState,
    question: Question,
    answer: cascade_data.Answer,
    escalated: bool,
) -> None:
    """Learn from an answer's rating, given out or not.

    Ratings of a service that is not trusted teach nothing; they are still
    asked for, so that its probes show when it can be trusted again.
    """
    if answer.rating is None or not rating_health.is_trusted(state.judge):
        return
    place = stage_chance.place_of(question, answer.stage, escalated)
    rating = rating_health.corrected(state.judge, place.model, answer.rating)
    noise = rating_health.noise(state.judge) / answer.ratings
    rating_model.learn(state, place, rating, noise)


def _best_begin(
    policy: cascade_data.Learnt,
    state: cascade_data.CascadeState,
    question: Question,
    now: float,
) -> cascade_data.Begin:
    last = len(question.offers) - 1
    best = cascade_data.Begin(last, checked=False)
    if not _is_plausible(state, question):
        return best
    usable = rating_health.is_usable(state.judge, now)
    price, caution = _terms(policy, state, question, usable)
    best_worth = _worth_unchecked(state, question, last, (price, -caution))
    for begin in _cheaper(state, question, usable):
        if begin.checked:
            worth = _worth_checked(state, question, begin.stage)
        else:
            terms = (price, caution)
            worth = _worth_unchecked(state, question, begin.stage, terms)
        if worth > best_worth:
            best = begin
            best_worth = worth
    return best


def _is_plausible(state: cascade_data.CascadeState, question: Question) -> bool:
    """Tell whether the last stage is rated as its declaration promises.

    A service that rates everything low makes all stages look equally bad, and
    then the cheapest looks best. The last stage is trusted before that.
    """
    chance = stage_chance.of_last(state, question)
    return chance > question.cascade.quality_target - MOST_DOUBTED


def _cheaper(
    state: cascade_data.CascadeState, question: Question, usable: bool
) -> Iterator[cascade_data.Begin]:
    """Yield the ways to begin that fit the time, but for the last stage."""
    for stage, offer in enumerate(question.offers[:-1]):
        in_time = offer.first_token_s <= question.first_token_left_s
        if offer.open and in_time:
            yield cascade_data.Begin(stage, checked=False)
        if offer.open and usable and _fits(state, question, stage):
            yield cascade_data.Begin(stage, checked=True)


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
    state: cascade_data.CascadeState,
    question: Question,
    stage: int,
    terms: tuple[float, float],
) -> float:
    """Return the worth at a price and with a caution."""
    price, caution = terms
    place = stage_chance.place_of(question, stage, escalated=False)
    chance = rating_model.chance(
        rating_model.belief(state, place),
        stage_chance.reading(state, question),
        caution,
    )
    return price * chance - question.offers[stage].cost


def _worth_checked(
    state: cascade_data.CascadeState, question: Question, stage: int
) -> float:
    """Return the expected worth over the ratings the answer may get."""
    place = stage_chance.place_of(question, stage, escalated=False)
    known = rating_model.belief(state, place)
    reading = stage_chance.reading(state, question)
    price = _price(state, question)
    strong = question.offers[-1]
    escalated = stage_chance.of_last(state, question) - strong.cost / price
    best = rating_model.expected_best(known, reading, escalated)
    rating_cost = RATING_COST_PART * strong.cost
    return price * best - question.offers[stage].cost - rating_cost


def _give_or_escalate(
    policy: cascade_data.Learnt,
    state: cascade_data.CascadeState,
    question: Question,
    latest: cascade_data.Answer,
) -> cascade_data.Decision:
    last = len(question.offers) - 1
    strong = question.offers[last]
    late = strong.whole_s > question.whole_left_s
    if latest.stage == last or late or not strong.open:
        return cascade_data.GiveOut(latest.stage)
    place = stage_chance.place_of(question, latest.stage, escalated=False)
    price = _price(state, question)
    chance = stage_chance.of_answer(state, question, place, latest)
    escalated = stage_chance.of_last(state, question) - strong.cost / price
    if _is_worth_rating(policy, state, question, latest, (chance, escalated)):
        return cascade_data.RateAgain(latest.stage)
    if escalated > chance:
        return cascade_data.Begin(last, checked=False)
    return cascade_data.GiveOut(latest.stage)


def _is_worth_rating(
    policy: cascade_data.Learnt,
    state: cascade_data.CascadeState,
    question: Question,
    answer: cascade_data.Answer,
    worths: tuple[float, float],
) -> bool:
    """Tell whether one more rating is worth its cost.

    It is where the answer stands on the edge: a wrong choice there costs a
    second answer, or a poor one given out.
    """
    if answer.rating is None or answer.ratings >= policy.most_ratings:
        return False
    if not _fits_again(state, question):
        return False
    place = stage_chance.place_of(question, answer.stage, escalated=False)
    known = stage_chance.after_rating(state, question, place, answer)
    best = rating_model.expected_best(
        known, stage_chance.reading(state, question), worths[1]
    )
    strong = question.offers[-1]
    rating_cost = RATING_COST_PART * strong.cost / _price(state, question)
    return best - max(worths) > rating_cost


def _fits_again(state: cascade_data.CascadeState, question: Question) -> bool:
    """Tell whether another rating and the last stage fit the time."""
    strong = question.offers[-1]
    spent = rating_health.longest_s(state.judge)
    if spent + strong.first_token_s > question.first_token_left_s:
        return False
    return spent + strong.whole_s <= question.whole_left_s


def _price(state: cascade_data.CascadeState, question: Question) -> float:
    """Return what a good answer is worth, in the unit of costs."""
    ledger = _ledger(state, question)
    return math.exp(ledger.price) * _unit(ledger, question)


def _terms(
    policy: cascade_data.Learnt,
    state: cascade_data.CascadeState,
    question: Question,
    usable: bool,
) -> tuple[float, float]:
    """Return the price and the caution that hold with or without ratings."""
    if usable:
        return _price(state, question), policy.caution
    return _most_price(state, question), policy.blind_caution


def _most_price(state: cascade_data.CascadeState, question: Question) -> float:
    """Return the price without ratings, at which only quality counts.

    What a check would have caught is then given out, so nothing may be
    traded against it: quality is held and cost is not.
    """
    unit = _unit(_ledger(state, question), question)
    return math.exp(BLIND_PRICE) * unit


def _unit(ledger: cascade_data.Ledger, question: Question) -> float:
    return ledger.unit or question.offers[-1].cost


def _ledger(
    state: cascade_data.CascadeState, question: Question
) -> cascade_data.Ledger:
    name = question.cascade.name
    return state.ledgers.setdefault(name, cascade_data.Ledger())
