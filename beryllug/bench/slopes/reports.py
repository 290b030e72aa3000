"""Evidence of a roll-out, as entries of a large fleet report it."""

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
    """Return a document with a roll-out under way."""
    return documents.document()._replace(rollouts=(ROLLOUT,))


def entry_name(number: int) -> str:
    """Return the name of an entry process and of its start."""
    return f'entry-host-{number:04}/0123456789ab'


def state(entries: int) -> rpc_data.RolloutState:
    """Return the state that is pushed, with the share of each entry."""
    made = record(entries)
    shares = made.exposure.shares.items()
    budgets = {entry: share.dealt for entry, share in shares}
    return rpc_data.RolloutState(1, rollout.status(made), budgets)


def report(entry: str, sequence: int, accounts: int) -> rpc_data.EvidenceReport:
    """Return a report with some answers of both versions."""
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
    """Return the record of a roll-out that so many entries reported on."""
    made = rollout.begin(ROLLOUT, accounts, None)
    for number in range(entries):
        told = report(entry_name(number), 1, accounts)
        made = rollout.absorb(made, ROLLOUT, told, number)
        made = rollout.deal(made, ROLLOUT, number)
    return made
