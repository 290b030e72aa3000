"""What becomes of a roll-out, from its evidence alone.

A stage is passed on evidence, never on time: the odds that the candidate is
bad must have fallen by as much as the next stage multiplies its callers.
Silence holds the stage. A candidate is stopped when the test of all accounts
or of one account rejects it, also after it was promoted, as long as its
roll-out stands in the configuration; no evidence takes that back.
"""

import functools
import itertools
import math
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from beryllug.core import (
    config_data,
    evidence,
    evidence_data,
    exposure,
    rollout_data,
    rpc_data,
    view_data,
)

# Bound on the chance that a good candidate is ever stopped.
WRONG_STOP: Final = 0.01
STOP_AT: Final = -math.log(WRONG_STOP)
# The chance is spread over the measures, the greater part on all accounts
# together and the rest on the single accounts.
SPREAD: Final = (0.4, 0.2, 0.08, 0.24, 0.08)
EVERYONE_PART: Final = 0.6
# Odds of twenty against a candidate hold its stage.
WATCH_AT: Final = math.log(20)
BASE_EVIDENCE: Final = 0.5
# Odds from which on a candidate that serves nearly all is compared again. A
# wrong alarm costs time only.
ALARM_AT: Final = math.log(10000)
# Before the last stages each account with this share of the answers must
# have shown that the candidate suits it.
LARGE_ACCOUNT: Final = 0.02
EVERYONE: Final = ''
OTHERS: Final = '*'
MAX_ACCOUNTS: Final = 256
MAX_STOPPED: Final = 32
ALL_PERCENT: Final = 100

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


def begin(
    declared: config_data.Rollout, accounts: int, before: Record | None
) -> Record:
    """Return the record of a roll-out that was newly declared.

    A candidate that was stopped stays stopped under its name, also when its
    roll-out is taken out of the configuration and declared again.
    """
    stopped = () if before is None else _stopped(before)
    record = Record(
        model=declared.model,
        candidate=declared.candidate,
        incumbent=declared.incumbent,
        percent=declared.stages[0],
        scopes={},
        exposure=rollout_data.Exposure({}),
        accounts=max(1, accounts),
        stopped=stopped,
    )
    if declared.candidate in stopped:
        return record._replace(
            verdict=view_data.Verdict.STOPPED, reason='was stopped before'
        )
    return record


def resume(
    record: Record | None, declared: config_data.Rollout, accounts: int
) -> Record:
    """Return the record to go on with under the present declaration.

    With other stages than before it goes on at the greatest that is not over
    the share it had reached, so no stage is skipped.
    """
    if record is None or _subject(record) != _declared_subject(declared):
        return begin(declared, accounts, record)
    stages = declared.stages
    if record.stage < len(stages) and stages[record.stage] == record.percent:
        return record
    passed = [stage for stage in stages if stage <= record.percent]
    stage = max(0, len(passed) - 1)
    return record._replace(stage=stage, percent=stages[stage])


def absorb(
    record: Record,
    declared: config_data.Rollout,
    report: rpc_data.EvidenceReport,
    now: float,
) -> Record:
    """Take in an entry's report, once.

    Args:
        record: The roll-out.
        declared: Its declaration.
        report: The report; counts of other models are left out.
        now: Wall-clock second.
    """
    candidate = config_data.VersionRef(record.model, record.candidate)
    heard = exposure.hear(
        record.exposure, report, now, braked=candidate in report.braked
    )
    if heard is None:
        return record
    record = record._replace(exposure=heard)
    for account_id, counts in _by_account(record, report).items():
        record = _absorb_account(record, declared, account_id, counts)
        record = _expose(record, declared, report.entry, counts)
    return record


def decide(
    record: Record, declared: config_data.Rollout
) -> rollout_data.Decision:
    """Choose what becomes of the roll-out."""
    if record.verdict is view_data.Verdict.STOPPED:
        return rollout_data.Hold(record.reason)
    worst = rejection(record)
    if worst is not None and worst.odds >= STOP_AT:
        where = worst.account_id or 'all accounts'
        return rollout_data.Stop(f'{worst.measure} for {where}')
    alarm = _alarm(record)
    if alarm:
        return rollout_data.Reopen(alarm)
    if record.verdict is view_data.Verdict.PROMOTED:
        return rollout_data.Hold('promoted')
    lacking = next(_lacking(record, declared), None)
    if lacking is not None:
        return rollout_data.Hold(lacking)
    if record.stage + 1 < len(declared.stages):
        return rollout_data.Advance()
    return rollout_data.Promote()


def carry_out(
    record: Record,
    declared: config_data.Rollout,
    decision: rollout_data.Decision,
) -> Record:
    """Return the record after a decision."""
    match decision:
        case rollout_data.Hold(reason):
            return record._replace(reason=reason)
        case rollout_data.Stop(reason):
            verdict = view_data.Verdict.STOPPED
            return record._replace(verdict=verdict, reason=reason)
        case rollout_data.Reopen(reason):
            return _reopen(record, declared, reason)
        case rollout_data.Promote():
            return record._replace(verdict=view_data.Verdict.PROMOTED)
        case rollout_data.Advance():
            stage = record.stage + 1
            return record._replace(
                stage=stage,
                percent=declared.stages[stage],
                scopes=_each(record.scopes, evidence.new_stage),
            )


def deal(record: Record, declared: config_data.Rollout, now: float) -> Record:
    """Deal what the exposure budget allows; nothing without a running one."""
    if record.verdict is not view_data.Verdict.RUNNING:
        return record
    kept = exposure.write_off(record.exposure, now)
    unjudged = exposure.limit(declared, _credit(record, declared))
    return record._replace(exposure=exposure.deal(kept, unjudged, now))


def status(record: Record) -> view_data.RolloutStatus:
    """Return what entries and operators see of it."""
    return view_data.RolloutStatus(
        model=record.model,
        candidate=record.candidate,
        stage=record.stage,
        verdict=record.verdict,
        judged=record.exposure.judged,
        reason=record.reason,
    )


def rejection(record: Record) -> Rejection | None:
    """Return the test that speaks most against the candidate."""
    found = [
        Rejection(odds, account_id, measure)
        for account_id, trials in record.scopes.items()
        for odds, measure in _odds(record, account_id, trials)
    ]
    return max(found, default=None)


def needs_rating(declared: config_data.Rollout) -> bool:
    """Tell whether the candidate must be judged by ratings."""
    return declared.min_rating > 0


def _odds(
    record: Record,
    account_id: str,
    trials: tuple[evidence_data.Trial, ...],
) -> Iterator[tuple[float, Measure]]:
    part = EVERYONE_PART
    if account_id != EVERYONE:
        part = (1 - EVERYONE_PART) / record.accounts
    for trial, spread, measure in zip(
        trials, SPREAD, evidence_data.MEASURES, strict=True
    ):
        yield evidence.weight(trial) + math.log(part * spread), measure


def _lacking(record: Record, declared: config_data.Rollout) -> Iterator[str]:
    """Yield what is missing for the next stage."""
    everyone = record.scopes.get(EVERYONE)
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
    if record.percent * 2 >= ALL_PERCENT:
        yield from _lacking_accounts(record, declared)


def _lacking_accounts(
    record: Record, declared: config_data.Rollout
) -> Iterator[str]:
    """Yield large accounts that have not shown that it suits them.

    A version that is bad for one account only shows in that account's
    answers; the sum over all accounts would pass it.
    """
    least = LARGE_ACCOUNT * _incumbent_answers(record.scopes[EVERYONE])
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
    if needs_rating(declared):
        waited.add(Measure.LOW)
    for measure, trial in zip(evidence_data.MEASURES, trials, strict=True):
        if measure in waited:
            yield measure, trial


def _credit(record: Record, declared: config_data.Rollout) -> float:
    """Return the evidence that the candidate is good, for the budget.

    The budget grows with what comes slowest, the ratings where there are
    any. Failures show at once and are bounded by the stage; they only take
    from it, so that a doubtful candidate meets new callers slowly while its
    present ones show more of it.
    """
    trials = record.scopes.get(EVERYONE)
    if trials is None:
        return 0
    errors = trials[ERROR_PLACE].credit
    if not needs_rating(declared):
        return errors
    return trials[LOW_PLACE].credit + min(0, max(errors, LEAST_ERRORS))


def _incumbent_answers(trials: tuple[evidence_data.Trial, ...]) -> float:
    return trials[0].base.answers + trials[0].incumbent.answers


Pair = dict[str, rpc_data.VersionEvidence]


def _by_account(
    record: Record, report: rpc_data.EvidenceReport
) -> dict[str, Pair]:
    """Group a report's counts of the two versions by account."""
    versions = {record.candidate, record.incumbent}
    grouped: dict[str, Pair] = {}
    for counts in report.counts:
        ref = counts.version
        if ref.model == record.model and ref.version in versions:
            grouped.setdefault(counts.account_id, {})[ref.version] = counts
    return grouped


def _absorb_account(
    record: Record,
    declared: config_data.Rollout,
    account_id: str,
    pair: Pair,
) -> Record:
    listed = account_id in record.scopes
    if not listed and len(record.scopes) > MAX_ACCOUNTS:
        account_id = OTHERS
    scopes = dict(record.scopes)
    for name in (EVERYONE, account_id):
        scopes[name] = _observe(record, declared, scopes.get(name), pair)
    return record._replace(scopes=scopes)


def _observe(
    record: Record,
    declared: config_data.Rollout,
    trials: tuple[evidence_data.Trial, ...] | None,
    pair: Pair,
) -> tuple[evidence_data.Trial, ...]:
    if trials is None:
        trials = tuple(evidence.begin() for _ in evidence_data.MEASURES)
    return tuple(
        evidence.observe(trial, bad, candidate, incumbent)
        for trial, bad, candidate, incumbent in zip(
            trials,
            evidence.bads_of(declared),
            _samples(pair.get(record.candidate)),
            _samples(pair.get(record.incumbent)),
            strict=True,
        )
    )


def _samples(
    counts: rpc_data.VersionEvidence | None,
) -> Iterator[evidence_data.Sample]:
    if counts is None:
        empty = evidence_data.Sample()
        return itertools.repeat(empty, len(evidence_data.MEASURES))
    return evidence.samples(counts)


def _expose(
    record: Record,
    declared: config_data.Rollout,
    entry: str,
    pair: Pair,
) -> Record:
    state = record.exposure
    counts = pair.get(record.candidate)
    if counts is not None:
        rated = needs_rating(declared)
        state = exposure.count(state, entry, counts, needs_rating=rated)
    if any(part.rated for part in pair.values()):
        state = exposure.release(state, declared)
    return record._replace(exposure=state)


def _alarm(record: Record) -> str:
    """Return which test raised the alarm, or nothing."""
    for account_id, trials in record.scopes.items():
        for measure, trial in zip(evidence_data.MEASURES, trials, strict=True):
            if trial.alarm >= ALARM_AT:
                return f'{measure} of {account_id or "all"} got worse'
    return ''


def _reopen(
    record: Record, declared: config_data.Rollout, reason: str
) -> Record:
    """Go back to a stage at which the incumbent answers as well."""
    compared = [stage for stage in declared.stages if 2 * stage <= ALL_PERCENT]
    stage = max(0, len(compared) - 1)
    reopen = functools.partial(evidence.reopen, times=record.reopened)
    return record._replace(
        verdict=view_data.Verdict.RUNNING,
        stage=stage,
        percent=declared.stages[stage],
        reason=reason,
        reopened=record.reopened + 1,
        scopes=_each(record.scopes, reopen),
    )


Scopes = dict[str, tuple[evidence_data.Trial, ...]]


def _each(
    scopes: Scopes,
    change: Callable[[evidence_data.Trial], evidence_data.Trial],
) -> Scopes:
    return {
        account_id: tuple(change(trial) for trial in trials)
        for account_id, trials in scopes.items()
    }


def _subject(record: Record) -> tuple[str, str]:
    return record.candidate, record.incumbent


def _declared_subject(declared: config_data.Rollout) -> tuple[str, str]:
    return declared.candidate, declared.incumbent


def _stopped(record: Record) -> tuple[str, ...]:
    if record.verdict is not view_data.Verdict.STOPPED:
        return record.stopped
    kept = [name for name in record.stopped if name != record.candidate]
    return (*kept, record.candidate)[-MAX_STOPPED:]
