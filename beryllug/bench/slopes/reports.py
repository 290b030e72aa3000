"""Builds evidence of a roll-out as entries of a large fleet report it."""

from beryllug.bench.slopes import documents
from beryllug.core import (
    config_data,
    rollout,
    rollout_data,
    rpc_data,
)

CANDIDATE = 'v1'
INCUMBENT = 'v0'
MAX_ERROR_RATE = 0.05
ROLLOUT = config_data.Rollout(
    model=documents.MODEL,
    incumbent=INCUMBENT,
    candidate=CANDIDATE,
    stages=(5, 25, 100),
    exposure_budget=1000,
    max_error_rate=MAX_ERROR_RATE,
    min_rating=0,
)
ANSWERS = 9


def document() -> config_data.Document:
    """Return a document with a roll-out in progress."""
    return documents.document()._replace(rollouts=(ROLLOUT,))


def entry_name(number: int) -> str:
    """Return the name of an entry process and the identifier of its start."""
    return f'entry-host-{number:04}/0123456789ab'


def state(entries: int) -> rpc_data.RolloutState:
    """Return the state pushed to entries, with the budget of each entry."""
    rollout_record = record(entries)
    shares = rollout_record.exposure.shares.items()
    budgets = {entry: share.dealt for entry, share in shares}
    return rpc_data.RolloutState(1, rollout.status(rollout_record), budgets)


def report(entry: str, sequence: int, accounts: int) -> rpc_data.EvidenceReport:
    """Return a report with answers of both versions for each account."""
    return rpc_data.EvidenceReport(
        entry,
        sequence,
        tuple(
            rpc_data.VersionEvidence(
                config_data.VersionRef(documents.MODEL, version),
                f'account-{number:05}',
                ANSWERS,
                0,
                0,
            )
            for number in range(accounts)
            for version in (INCUMBENT, CANDIDATE)
        ),
    )


def record(entries: int, accounts: int = 1) -> rollout_data.Record:
    """Return the record of a roll-out with reports from many entries."""
    rollout_record = rollout.begin(ROLLOUT, accounts, None)
    for number in range(entries):
        evidence = report(entry_name(number), 1, accounts)
        rollout_record = rollout.include_report(
            rollout_record, ROLLOUT, evidence, number
        )
        rollout_record = rollout.allocate(rollout_record, ROLLOUT, number)
    return rollout_record
