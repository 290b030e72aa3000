"""Decides the progress of a roll-out from its evidence alone.

A stage is passed on evidence and never on time: the odds that the candidate is
bad must have fallen by at least the factor by which the next stage multiplies
its callers. Without evidence the stage is held. A candidate is stopped when
the test over all accounts or of one account rejects it, also after it was
promoted, as long as its roll-out is in the configuration. A stop is final.
"""

import functools
import itertools
from collections.abc import Callable, Iterator
from typing import Final

from beryllug.core import (
    config_data,
    evidence,
    evidence_bounds,
    evidence_data,
    exposure,
    rollout_checks,
    rollout_data,
    rpc_data,
    view_data,
)

OTHERS: Final = '*'
MAX_ACCOUNTS: Final = 256
MAX_STOPPED: Final = 32

Record = rollout_data.Record


def begin(
    declared: config_data.Rollout, accounts: int, before: Record | None
) -> Record:
    """Return the record of a newly declared roll-out.

    A candidate that was stopped stays stopped under its name, also when its
    roll-out is removed from the configuration and declared again.
    """
    stopped = () if before is None else _stopped_candidates(before)
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
    """Return the record adapted to the current declaration.

    If the stages have changed, it continues at the greatest one that does not
    exceed the share it had reached, so no stage is skipped.
    """
    if record is None or _compared_versions(record) != _declared_versions(
        declared
    ):
        return begin(declared, accounts, record)
    stages = declared.stages
    if record.stage < len(stages) and stages[record.stage] == record.percent:
        return record
    passed = [stage for stage in stages if stage <= record.percent]
    stage = max(0, len(passed) - 1)
    return record._replace(stage=stage, percent=stages[stage])


def include_report(
    record: Record,
    declared: config_data.Rollout,
    report: rpc_data.EvidenceReport,
    now: float,
) -> Record:
    """Return the record with an entry host's report added, at most once.

    Args:
        record: The roll-out.
        declared: Its declaration.
        report: The report; counts of other models are ignored.
        now: Wall-clock time in seconds.
    """
    candidate = config_data.VersionRef(record.model, record.candidate)
    heard = exposure.record_report(
        record.exposure, report, now, braked=candidate in report.braked
    )
    if heard is None:
        return record
    record = record._replace(exposure=heard)
    for account_id, counts in _by_account(record, report).items():
        record = _absorb_account(record, declared, account_id, counts)
        record = _count_exposure(record, declared, report.entry, counts)
    return record


def decide(
    record: Record, declared: config_data.Rollout
) -> rollout_data.Decision:
    """Return the decision that the evidence supports."""
    if record.verdict is view_data.Verdict.STOPPED:
        return rollout_data.Hold(record.reason)
    worst = rollout_checks.rejection(record)
    if worst is not None and worst.odds >= rollout_checks.STOP_LOG_ODDS:
        where = worst.account_id or 'all accounts'
        return rollout_data.Stop(f'{worst.measure} for {where}')
    alarm = rollout_checks.alarm(record)
    if alarm:
        return _decide_on_alarm(record, alarm)
    if record.verdict is view_data.Verdict.PROMOTED:
        return rollout_data.Hold('promoted')
    return _advance_or_hold(record, declared)


def apply_decision(
    record: Record,
    declared: config_data.Rollout,
    decision: rollout_data.Decision,
) -> Record:
    """Return the record with a decision applied."""
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
                scopes=_map_trials(record.scopes, evidence.new_stage),
            )


def allocate(
    record: Record, declared: config_data.Rollout, now: float
) -> Record:
    """Allocate the free exposure budget if the roll-out is running."""
    if record.verdict is not view_data.Verdict.RUNNING:
        return record
    kept = exposure.write_off(record.exposure, now)
    unjudged = exposure.limit(declared, rollout_checks.credit(record, declared))
    return record._replace(exposure=exposure.allocate(kept, unjudged, now))


def status(record: Record) -> view_data.RolloutStatus:
    """Return the status that is shown to entry hosts and operators."""
    return view_data.RolloutStatus(
        model=record.model,
        candidate=record.candidate,
        stage=record.stage,
        verdict=record.verdict,
        judged=record.exposure.judged,
        reason=record.reason,
    )


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
    for name in (rollout_data.ALL_ACCOUNTS, account_id):
        scopes[name] = _observe(record, declared, scopes.get(name), pair)
    return record._replace(scopes=scopes)


def _observe(
    record: Record,
    declared: config_data.Rollout,
    trials: tuple[evidence_data.SequentialTest, ...] | None,
    pair: Pair,
) -> tuple[evidence_data.SequentialTest, ...]:
    if trials is None:
        trials = tuple(evidence.begin() for _ in evidence_data.MEASURES)
    return tuple(
        evidence.observe(trial, bad, candidate, incumbent)
        for trial, bad, candidate, incumbent in zip(
            trials,
            evidence_bounds.of(declared),
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


def _count_exposure(
    record: Record,
    declared: config_data.Rollout,
    entry: str,
    pair: Pair,
) -> Record:
    state = record.exposure
    rated = evidence_bounds.needs_rating(declared)
    counts = pair.get(record.candidate)
    if counts is not None:
        state = exposure.count(state, entry, counts, needs_rating=rated)
    if rated and any(part.rated for part in pair.values()):
        state = exposure.release(state, declared)
    return record._replace(exposure=state)


def _decide_on_alarm(record: Record, alarm: str) -> rollout_data.Decision:
    """Reopen the comparison above half of the sessions, else hold."""
    promoted = record.verdict is view_data.Verdict.PROMOTED
    if promoted or 2 * record.percent > rollout_data.ALL_PERCENT:
        return rollout_data.Reopen(alarm)
    return rollout_data.Hold(alarm)


def _advance_or_hold(
    record: Record, declared: config_data.Rollout
) -> rollout_data.Decision:
    """Advance or promote if no evidence is missing, else hold."""
    missing_evidence = next(
        rollout_checks.missing_evidence(record, declared), None
    )
    if missing_evidence is not None:
        return rollout_data.Hold(missing_evidence)
    if record.stage + 1 < len(declared.stages):
        return rollout_data.Advance()
    return rollout_data.Promote()


def _reopen(
    record: Record, declared: config_data.Rollout, reason: str
) -> Record:
    """Go back to the last stage with at most half of the sessions."""
    compared = [
        stage
        for stage in declared.stages
        if 2 * stage <= rollout_data.ALL_PERCENT
    ]
    stage = max(0, len(compared) - 1)
    reopen = functools.partial(evidence.reopen, times=record.reopened)
    return record._replace(
        verdict=view_data.Verdict.RUNNING,
        stage=stage,
        percent=declared.stages[stage],
        reason=reason,
        reopened=record.reopened + 1,
        scopes=_map_trials(record.scopes, reopen),
    )


Scopes = dict[str, tuple[evidence_data.SequentialTest, ...]]


def _map_trials(
    scopes: Scopes,
    change: Callable[
        [evidence_data.SequentialTest], evidence_data.SequentialTest
    ],
) -> Scopes:
    return {
        account_id: tuple(change(trial) for trial in trials)
        for account_id, trials in scopes.items()
    }


def _compared_versions(record: Record) -> tuple[str, str]:
    return record.candidate, record.incumbent


def _declared_versions(declared: config_data.Rollout) -> tuple[str, str]:
    return declared.candidate, declared.incumbent


def _stopped_candidates(record: Record) -> tuple[str, ...]:
    if record.verdict is not view_data.Verdict.STOPPED:
        return record.stopped
    kept = [name for name in record.stopped if name != record.candidate]
    return (*kept, record.candidate)[-MAX_STOPPED:]
