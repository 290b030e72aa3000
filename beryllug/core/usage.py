"""Usage totals of client accounts, from the outcome rows of the journal.

The platform stores the totals of a shard together with the number of the last
segment that they include. Both change in one conditional update, so a segment
is counted once, however often owners change or writes are repeated.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from beryllug.core import journal_data, usage_data


@dataclass(slots=True)
class Totals:
    """Running totals.

    Attributes:
        accounts: Requests and cost by account.
        versions: Stages, input and output tokens, and cost by account, model
            and version.
    """

    accounts: dict[str, tuple[int, int]] = field(default_factory=dict)
    versions: dict[tuple[str, str, str], tuple[int, int, int, int]] = field(
        default_factory=dict
    )


def add_row(totals: Totals, row: journal_data.Row) -> None:
    """Add a row of the journal; only outcomes of runs are billed."""
    if row.kind is not journal_data.RowKind.OUTCOME:
        return
    if row.state is journal_data.OutcomeState.NOT_RUN:
        return
    cost = sum(stage.cost_micro for stage in row.stages)
    _add_account(totals, row.account_id, 1, cost)
    for stage in row.stages:
        key = (row.account_id, stage.model, stage.version)
        use = (1, stage.tokens_in, stage.tokens_out, stage.cost_micro)
        _add_version(totals, key, use)


def add(totals: Totals, usage: usage_data.Usage) -> None:
    """Add stored totals."""
    for account in usage.accounts:
        _add_account(
            totals, account.account_id, account.requests, account.cost_micro
        )
    for account_id, model, version, *use in usage.versions:
        stages, tokens_in, tokens_out, cost = use
        _add_version(
            totals,
            (account_id, model, version),
            (stages, tokens_in, tokens_out, cost),
        )


def sum_rows(rows: Iterable[journal_data.Row]) -> Totals:
    """Return the totals of some rows."""
    totals = Totals()
    for row in rows:
        add_row(totals, row)
    return totals


def to_stored_usage(totals: Totals, folded: int) -> usage_data.Usage:
    """Return totals in the stored form, in a stable order."""
    return usage_data.Usage(
        folded,
        tuple(
            usage_data.AccountUse(account_id, *use)
            for account_id, use in sorted(totals.accounts.items())
        ),
        tuple(
            usage_data.VersionUse(*key, *use)
            for key, use in sorted(totals.versions.items())
        ),
    )


def fold(
    before: usage_data.Usage, segments: dict[int, Totals], upto: int
) -> usage_data.Usage:
    """Add complete segments to the totals of a shard, each once.

    Args:
        before: The totals that the platform stores.
        segments: Totals of single segments by segment number.
        upto: The last segment to add; all up to it must be complete.
    """
    totals = Totals()
    add(totals, before)
    for seq, segment in segments.items():
        # Another owner may have added some in the meantime.
        if before.folded < seq <= upto:
            add(totals, to_stored_usage(segment, seq))
    return to_stored_usage(totals, max(before.folded, upto))


def _add_account(
    totals: Totals, account_id: str, requests: int, cost: int
) -> None:
    previous = totals.accounts.get(account_id, (0, 0))
    totals.accounts[account_id] = (previous[0] + requests, previous[1] + cost)


def _add_version(
    totals: Totals, key: tuple[str, str, str], use: tuple[int, int, int, int]
) -> None:
    previous = totals.versions.get(key, (0, 0, 0, 0))
    stages, tokens_in, tokens_out, cost = map(
        sum, zip(previous, use, strict=True)
    )
    totals.versions[key] = (stages, tokens_in, tokens_out, cost)
