"""Evaluates the evidence of a roll-out: rejection, alarm, missing evidence.

The probability of ever stopping a good candidate is bounded. The bound is
divided among the tests, so that testing five measures of each account does
not multiply it.
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

# Bound on the probability that a good candidate is ever stopped.
FALSE_STOP_PROBABILITY: Final = 0.01
STOP_LOG_ODDS: Final = -math.log(FALSE_STOP_PROBABILITY)
# The bound is divided among the measures, and within each measure between the
# test over all accounts, which gets the greater part, and single accounts.
SPREAD: Final = (0.5, 0.15, 0.03, 0.28, 0.04)
ALL_ACCOUNTS_PART: Final = 0.65
# Odds of 20 against a candidate hold its stage.
HOLD_ODDS: Final = 20
HOLD_LOG_ODDS: Final = math.log(HOLD_ODDS)
BASE_EVIDENCE: Final = 0.5
# Odds at which a candidate that serves nearly all requests is compared with
# its incumbent again. A false alarm only costs time.
ALARM_ODDS: Final = 1000
ALARM_LOG_ODDS: Final = math.log(ALARM_ODDS)
# Before the last stages, the candidate must be shown to be acceptable for
# each account with at least this share of the incumbent's answers.
LARGE_ACCOUNT_SHARE: Final = 0.02
Measure = evidence_data.Measure
ERROR_INDEX: Final = evidence_data.MEASURES.index(Measure.ERROR)
LOW_INDEX: Final = evidence_data.MEASURES.index(Measure.LOW)
MIN_ERROR_CREDIT: Final = -1.0
Record = rollout_data.Record


class Rejection(NamedTuple):
    """The test with the strongest evidence against a candidate.

    Attributes:
        odds: Logarithm of its wealth, weighted by its part of the bound on
            false stops.
        account_id: Its account, or empty for all.
        measure: Its measure.
    """

    odds: float
    account_id: str
    measure: Measure


def rejection(record: Record) -> Rejection | None:
    """Return the test with the strongest evidence against the candidate."""
    found = [
        Rejection(odds, account_id, measure)
        for account_id, trials in record.scopes.items()
        for odds, measure in _odds(record, account_id, trials)
    ]
    return max(found, default=None)


def missing_evidence(
    record: Record, declared: config_data.Rollout
) -> Iterator[str]:
    """Yield the reasons why the next stage cannot start."""
    all_accounts = record.scopes.get(rollout_data.ALL_ACCOUNTS)
    if all_accounts is None:
        yield 'no evidence'
        return
    needed = BASE_EVIDENCE + _growth(record, declared)
    for measure, trial in _judged_trials(all_accounts, declared):
        if trial.min_stage_ratio > -needed:
            yield f'too little evidence on {measure}'
    for account_id, trials in record.scopes.items():
        for measure, trial in _judged_trials(trials, declared):
            if evidence.weight(trial) >= HOLD_LOG_ODDS:
                yield f'{measure} of {account_id or "all"} is doubtful'
    if record.percent * 2 >= rollout_data.ALL_PERCENT:
        yield from _accounts_missing_evidence(record, declared)


def alarm(record: Record) -> str:
    """Return a description of a test that raised the alarm, or ''."""
    for account_id, trials in record.scopes.items():
        for measure, trial in zip(evidence_data.MEASURES, trials, strict=True):
            if trial.alarm >= ALARM_LOG_ODDS:
                return f'{measure} of {account_id or "all"} got worse'
    return ''


def credit(record: Record, declared: config_data.Rollout) -> float:
    """Return the evidence that the candidate is good, for the budget.

    The budget grows with the slowest evidence: the ratings, if there are any.
    Failures are seen at once and are bounded by the stage. They only reduce
    the budget, so that a doubtful candidate gets new callers slowly while its
    current ones produce more evidence.
    """
    trials = record.scopes.get(rollout_data.ALL_ACCOUNTS)
    if trials is None:
        return 0
    errors = trials[ERROR_INDEX].credit
    if not evidence_bounds.needs_rating(declared):
        return errors
    return trials[LOW_INDEX].credit + min(0, max(errors, MIN_ERROR_CREDIT))


def _odds(
    record: Record,
    account_id: str,
    trials: tuple[evidence_data.SequentialTest, ...],
) -> Iterator[tuple[float, Measure]]:
    part = ALL_ACCOUNTS_PART
    if account_id != rollout_data.ALL_ACCOUNTS:
        known = len(record.scopes) - 1
        part = (1 - ALL_ACCOUNTS_PART) / max(record.accounts, known)
    for trial, spread, measure in zip(
        trials, SPREAD, evidence_data.MEASURES, strict=True
    ):
        yield evidence.weight(trial) + math.log(part * spread), measure


def _accounts_missing_evidence(
    record: Record, declared: config_data.Rollout
) -> Iterator[str]:
    """Yield reasons for large accounts with too little evidence.

    A version that is bad for a single account is only detected in the answers
    of that account; the sum over all accounts would pass it.
    """
    least = LARGE_ACCOUNT_SHARE * _incumbent_answers(
        record.scopes[rollout_data.ALL_ACCOUNTS]
    )
    for account_id, trials in record.scopes.items():
        if _incumbent_answers(trials) < least:
            continue
        for measure, trial in _judged_trials(trials, declared):
            if not evidence.is_acceptable(trial):
                yield f'too little evidence on {measure} of {account_id}'


def _growth(record: Record, declared: config_data.Rollout) -> float:
    """Return the logarithm of the growth in callers at the next stage."""
    following = [*declared.stages[record.stage + 1 :], record.percent]
    return math.log(max(following[0], record.percent) / record.percent)


def _judged_trials(
    trials: tuple[evidence_data.SequentialTest, ...],
    declared: config_data.Rollout,
) -> Iterator[tuple[Measure, evidence_data.SequentialTest]]:
    """Yield the tests that must pass before the next stage."""
    required = {Measure.ERROR, Measure.LATE}
    if evidence_bounds.needs_rating(declared):
        required.add(Measure.LOW)
    for measure, trial in zip(evidence_data.MEASURES, trials, strict=True):
        if measure in required:
            yield measure, trial


def _incumbent_answers(
    trials: tuple[evidence_data.SequentialTest, ...],
) -> float:
    return trials[0].base.answers + trials[0].incumbent.answers
