"""What the evidence of a roll-out says: rejected, alarming or lacking.

The chance of stopping a good candidate is bounded as a whole. It is spread
over the tests, so that looking at five measures of each account does not
multiply it.
"""

import math
from collections.abc import Iterator
from typing import Final, NamedTuple

from beryllug.core import (
    config_data,
    evidence,
    evidence_bounds,
    evidence_data,
    rollout_data,
)

# Bound on the chance that a good candidate is ever stopped.
WRONG_STOP: Final = 0.01
STOP_AT: Final = -math.log(WRONG_STOP)
# The chance is spread over the measures, the greater part on all accounts
# together and the rest on the single accounts.
SPREAD: Final = (0.5, 0.15, 0.03, 0.28, 0.04)
EVERYONE_PART: Final = 0.65
# Odds of twenty against a candidate hold its stage.
WATCH_ODDS: Final = 20
WATCH_AT: Final = math.log(WATCH_ODDS)
BASE_EVIDENCE: Final = 0.5
# Odds from which on a candidate that serves nearly all is compared again. A
# wrong alarm costs time only.
ALARM_ODDS: Final = 1000
ALARM_AT: Final = math.log(ALARM_ODDS)
# Before the last stages each account with this share of the answers must
# have shown that the candidate suits it.
LARGE_ACCOUNT: Final = 0.02
Measure = evidence_data.Measure
ERROR_PLACE: Final = evidence_data.MEASURES.index(Measure.ERROR)
LOW_PLACE: Final = evidence_data.MEASURES.index(Measure.LOW)
LEAST_ERRORS: Final = -1.0
Record = rollout_data.Record


class Rejection(NamedTuple):
    """The test that speaks most against a candidate.

    Attributes:
        odds: Logarithm of its wealth, weighted by its part of the chance.
        account_id: Its account, or empty for all.
        measure: Its measure.
    """

    odds: float
    account_id: str
    measure: Measure


def rejection(record: Record) -> Rejection | None:
    """Return the test that speaks most against the candidate."""
    found = [
        Rejection(odds, account_id, measure)
        for account_id, trials in record.scopes.items()
        for odds, measure in _odds(record, account_id, trials)
    ]
    return max(found, default=None)


def lacking(record: Record, declared: config_data.Rollout) -> Iterator[str]:
    """Yield what is missing for the next stage."""
    everyone = record.scopes.get(rollout_data.EVERYONE)
    if everyone is None:
        yield 'no evidence'
        return
    need = BASE_EVIDENCE + _growth(record, declared)
    for measure, trial in _judged_trials(everyone, declared):
        if trial.best > -need:
            yield f'too little evidence on {measure}'
    for account_id, trials in record.scopes.items():
        for measure, trial in _judged_trials(trials, declared):
            if evidence.weight(trial) >= WATCH_AT:
                yield f'{measure} of {account_id or "all"} is doubtful'
    if record.percent * 2 >= rollout_data.ALL_PERCENT:
        yield from _lacking_accounts(record, declared)


def alarm(record: Record) -> str:
    """Return which test raised the alarm, or nothing."""
    for account_id, trials in record.scopes.items():
        for measure, trial in zip(evidence_data.MEASURES, trials, strict=True):
            if trial.alarm >= ALARM_AT:
                return f'{measure} of {account_id or "all"} got worse'
    return ''


def credit(record: Record, declared: config_data.Rollout) -> float:
    """Return the evidence that the candidate is good, for the budget.

    The budget grows with what comes slowest, the ratings where there are
    any. Failures show at once and are bounded by the stage; they only take
    from it, so that a doubtful candidate meets new callers slowly while its
    present ones show more of it.
    """
    trials = record.scopes.get(rollout_data.EVERYONE)
    if trials is None:
        return 0
    errors = trials[ERROR_PLACE].credit
    if not evidence_bounds.needs_rating(declared):
        return errors
    return trials[LOW_PLACE].credit + min(0, max(errors, LEAST_ERRORS))


def _odds(
    record: Record,
    account_id: str,
    trials: tuple[evidence_data.Trial, ...],
) -> Iterator[tuple[float, Measure]]:
    part = EVERYONE_PART
    if account_id != rollout_data.EVERYONE:
        known = len(record.scopes) - 1
        part = (1 - EVERYONE_PART) / max(record.accounts, known)
    for trial, spread, measure in zip(
        trials, SPREAD, evidence_data.MEASURES, strict=True
    ):
        yield evidence.weight(trial) + math.log(part * spread), measure


def _lacking_accounts(
    record: Record, declared: config_data.Rollout
) -> Iterator[str]:
    """Yield large accounts that have not shown that it suits them.

    A version that is bad for one account only shows in that account's
    answers; the sum over all accounts would pass it.
    """
    least = LARGE_ACCOUNT * _incumbent_answers(
        record.scopes[rollout_data.EVERYONE]
    )
    for account_id, trials in record.scopes.items():
        if _incumbent_answers(trials) < least:
            continue
        for measure, trial in _judged_trials(trials, declared):
            if not evidence.suits(trial):
                yield f'too little evidence on {measure} of {account_id}'


def _growth(record: Record, declared: config_data.Rollout) -> float:
    """Return the logarithm of how much the next stage multiplies callers."""
    following = [*declared.stages[record.stage + 1 :], record.percent]
    return math.log(max(following[0], record.percent) / record.percent)


def _judged_trials(
    trials: tuple[evidence_data.Trial, ...], declared: config_data.Rollout
) -> Iterator[tuple[Measure, evidence_data.Trial]]:
    """Yield the trials that a stage waits for."""
    waited = {Measure.ERROR, Measure.LATE}
    if evidence_bounds.needs_rating(declared):
        waited.add(Measure.LOW)
    for measure, trial in zip(evidence_data.MEASURES, trials, strict=True):
        if measure in waited:
            yield measure, trial


def _incumbent_answers(trials: tuple[evidence_data.Trial, ...]) -> float:
    return trials[0].base.answers + trials[0].incumbent.answers
