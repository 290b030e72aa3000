"""Replays cascade requests through eight hosts with separate learners."""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.bench import clock, deployments, quality, workload
from beryllug.core import (
    cascade,
    cascade_data,
    config_data,
    rating_health,
)

PER_S = 10.0
TOKENS_IN = 700
MS = 1000
TOKENS_PER_PRICE = 1000


class Plan(NamedTuple):
    """Parameters of one run.

    Attributes:
        policy: The policy under test.
        seconds: Length of the run.
        seed: Seed of the requests.
        target: Quality target of the cascade.
        fault: Fault of the rating service.
        fault_at: Time at which the fault begins.
    """

    policy: cascade_data.CascadePolicy
    seconds: float
    seed: int = 1
    target: float = 0.9
    fault: quality.Fault = quality.Fault.NONE
    fault_at: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Quality, cost and lateness of the answers.

    Attributes:
        answers: Answers returned to callers.
        good: Answers whose true rating reaches the minimum.
        cost: Cost of all stages and ratings, in millionths.
        late: Answers whose first token missed its target.
        small: Answers by the small model.
        checked: Requests whose first answer was rated before its return.
    """

    answers: int = 0
    good: int = 0
    cost: float = 0.0
    late: int = 0
    small: int = 0
    checked: int = 0


@dataclass(slots=True)
class _Run:
    """State of one run."""

    plan: Plan
    declared: quality.Declared
    clock: clock.Clock
    rater: quality.RatingService
    rng: random.Random
    states: list[cascade_data.CascadeState]
    outcomes: list[Outcome] = field(default_factory=list)


def replay(plan: Plan, parts: int = 1) -> list[Outcome]:
    """Run a plan and return the outcome of each of `parts` equal intervals."""
    declared = quality.load()
    run = _Run(
        plan,
        declared,
        clock.Clock(),
        quality.RatingService(
            random.Random(plan.seed), plan.fault, plan.fault_at
        ),
        random.Random(plan.seed),
        [cascade_data.CascadeState() for _ in range(deployments.ENTRIES)],
        [Outcome() for _ in range(parts)],
    )
    for case in quality.cases(declared, PER_S, plan.seconds, plan.seed):
        run.clock.run(case.at)
        _serve(run, case, run.rng.choice(run.states))
    return run.outcomes


def _serve(
    run: _Run, case: quality.Case, state: cascade_data.CascadeState
) -> None:
    policy = run.plan.policy
    question = _question(run, case, 0)
    begin = cascade.begin(policy, state, question, case.at)
    if not begin.checked:
        _return_answer(
            run,
            case,
            state,
            cascade_data.CompletedAnswer(question, _answer(begin), False),
        )
        return
    _outcome(run, case).checked += 1
    spent_s = question.offers[begin.stage].whole_s
    answer = cascade_data.Answer(begin.stage, None, 0)
    decision: cascade_data.Decision = cascade_data.RateAgain(begin.stage)
    while isinstance(decision, cascade_data.RateAgain):
        answer, taken_s = _rate_again(run, case, state, answer)
        spent_s += taken_s
        question = _question(run, case, spent_s)
        decision = cascade.after(policy, state, question, (answer,))
    cascade.learn(state, question, answer, escalated=False)
    if isinstance(decision, cascade_data.ReturnAnswer):
        given = cascade_data.CompletedAnswer(question, answer, escalated=False)
        _return_answer(run, case, state, given)
        return
    _outcome(run, case).cost += _cost(run, case, begin.stage)
    given = cascade_data.CompletedAnswer(
        question, _answer(decision), escalated=True
    )
    _return_answer(run, case, state, given)


def _rate_again(
    run: _Run,
    case: quality.Case,
    state: cascade_data.CascadeState,
    answer: cascade_data.Answer,
) -> tuple[cascade_data.Answer, float]:
    rating, taken_s = _rate_in_line(run, case, state, answer.stage)
    if rating is None:
        ratings = max(answer.ratings, 1)
        return answer._replace(ratings=ratings), taken_s
    count = answer.ratings + 1
    mean = ((answer.rating or 0) * answer.ratings + rating) / count
    return cascade_data.Answer(answer.stage, mean, count), taken_s


def _return_answer(
    run: _Run,
    case: quality.Case,
    state: cascade_data.CascadeState,
    given: cascade_data.CompletedAnswer,
) -> None:
    stage = given.answer.stage
    offer = given.question.offers[stage]
    outcome = _outcome(run, case)
    outcome.answers += 1
    outcome.good += case.ratings[stage] >= run.declared['min_rating']
    outcome.cost += _cost(run, case, stage)
    outcome.small += stage == 0
    rated = given.answer.rating is not None
    wait_s = 0 if rated else offer.first_token_s
    outcome.late += wait_s > given.question.first_token_left_s
    cascade.record_returned(
        state, given.question, given.answer, given.escalated
    )
    drawn = cascade.sample(
        run.plan.policy, state, given, case.at, run.rng.random()
    )
    if drawn is not cascade_data.Sample.NONE:
        _rate_later(run, case, state, (given, drawn))


def _rate_in_line(
    run: _Run,
    case: quality.Case,
    state: cascade_data.CascadeState,
    stage: int,
) -> tuple[float | None, float]:
    """Rate an answer while its caller waits."""
    longest_s = rating_health.longest_s(state.judge)
    rating, delay_s = _call_rater(run, case, stage)
    if rating is None or delay_s > longest_s:
        rating_health.missed(state.judge, min(delay_s, longest_s), case.at)
        return None, longest_s
    rating_health.rated(state.judge, delay_s)
    _probe_rater(run, case, state, (stage, rating))
    return rating, delay_s


def _rate_later(
    run: _Run,
    case: quality.Case,
    state: cascade_data.CascadeState,
    sampled: tuple[cascade_data.CompletedAnswer, cascade_data.Sample],
) -> None:
    given, drawn = sampled
    stage = given.answer.stage
    rating, delay_s = _call_rater(run, case, stage)
    if rating is None:
        rating_health.missed(state.judge, 0, case.at)
        return
    run.clock.call_later(
        delay_s, cascade.record_sample, state, given, drawn, rating
    )
    run.clock.call_later(delay_s, rating_health.rated, state.judge, delay_s)
    _probe_rater(run, case, state, (stage, rating))


def _probe_rater(
    run: _Run,
    case: quality.Case,
    state: cascade_data.CascadeState,
    rated: tuple[int, float],
) -> None:
    if not isinstance(run.plan.policy, cascade_data.LearntPolicy):
        return
    stage, first = rated
    match rating_health.probe(run.rng.random()):
        case rating_health.Probe.REPEAT:
            second, _ = _call_rater(run, case, stage)
            if second is not None:
                rating_health.repeated(state.judge, first, second)
        case rating_health.Probe.MISMATCH:
            wrong = quality.mismatched_rating(run.rater)
            mismatched, _ = _call_rater(run, case, stage, wrong)
            model = run.declared['models'][stage].name
            if mismatched is not None:
                rating_health.mismatched(state.judge, model, mismatched)


def _call_rater(
    run: _Run, case: quality.Case, stage: int, wrong: float | None = None
) -> tuple[float | None, float]:
    """Call the rating service and add the cost of the call."""
    strong = _question(run, case, 0).offers[-1]
    _outcome(run, case).cost += strong.cost * cascade.RATING_COST_PART
    known = case.ratings[stage] if wrong is None else wrong
    return quality.rate(run.rater, stage, known, case.at)


def _cost(run: _Run, case: quality.Case, stage: int) -> float:
    """Return the cost of an answer, by its actual tokens."""
    model = run.declared['models'][stage]
    return (TOKENS_IN + case.tokens) * model.cost_micro / TOKENS_PER_PRICE


def _question(
    run: _Run, case: quality.Case, spent_s: float
) -> cascade_data.CascadeRequest:
    declared = run.declared
    offers = tuple(
        cascade_data.Offer(
            model.name,
            cost=(TOKENS_IN + case.kind.tokens)
            * model.cost_micro
            / TOKENS_PER_PRICE,
            first_token_s=model.first_token_s,
            whole_s=model.first_token_s + case.kind.tokens * model.token_s,
        )
        for model in declared['models']
    )
    names = tuple(model.name for model in declared['models'])
    return cascade_data.CascadeRequest(
        workload.account_name(case.account),
        case.kind.name,
        config_data.Cascade(
            'ladder', names, run.plan.target, declared['min_rating']
        ),
        offers,
        case.kind.first_token_ms / MS - spent_s,
        case.kind.total_ms / MS - spent_s,
    )


def _answer(begin: cascade_data.Begin) -> cascade_data.Answer:
    return cascade_data.Answer(begin.stage, None)


def _outcome(run: _Run, case: quality.Case) -> Outcome:
    interval = int(case.at / run.plan.seconds * len(run.outcomes))
    return run.outcomes[interval]
