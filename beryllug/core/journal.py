r"""Decisions of the owner of a shard of the request journal.

A non-idempotent request goes through these states::

    begin -> WAITING -> (durable, lease still held) -> OPEN -> outcome
                 \-> denied: the wait timed out first; never granted
    takeover: a durable intent without outcome -> INHERITED -> outcome

Its key is free again after an outcome NOT_RUN, and never after any other.
The intent of a denied attempt may still appear in the log, if its write took
effect and the reply was lost. It was never granted, so it then gets an
outcome NOT_RUN, and its key is free again.

All functions work on an explicit `ShardState` and never block. Where a row
must be read back from the log they return `ReadBack`, and the caller calls
them again with the row.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from beryllug.core import (
    digest_index,
    journal_data,
    journal_log,
    rpc_data,
    shard_state,
)

GRANT_S = 2.0
RETRY_AFTER_S = 1.0


class ReadBackResult(NamedTuple):
    """Result of a read-back of the segment that the index named.

    Attributes:
        seq: The segment.
        row: The row that decides, or None when there is none: two digests
            collided, or the segment has expired.
    """

    seq: int
    row: journal_data.Row | None


@dataclass(frozen=True, slots=True)
class Waiting:
    """The row waits to become durable."""


@dataclass(frozen=True, slots=True)
class ReadBack:
    """The segment `seq` must be read before this can be decided."""

    seq: int


BeginResult = journal_data.Grant | Waiting | ReadBack


def begin(
    state: shard_state.ShardState,
    row: journal_data.Row,
    now: float,
    found: ReadBackResult | None = None,
) -> BeginResult:
    """Decide whether a request may run.

    Args:
        state: The shard; a new intent is added to its pending rows.
        row: The intent.
        now: Second of the monotonic clock.
        found: The read-back that an earlier call asked for.

    Returns:
        The grant, or that the row waits, or which segment to read first.
    """
    shard_state.record_boot(state, row.entry)
    if shard_state.has_outcome(state, row.request_id):
        # The entry abandoned this attempt before the intent arrived here.
        return unavailable(row)
    attempts = shard_state.open_attempts(state, shard_state.key_of(row))
    if attempts:
        return _begin_resend(state, row, attempts, now)
    seq = digest_index.find(state.index, shard_state.key_digest(row))
    if seq is None:
        return _add_intent(state, row, now)
    if found is None or found.seq != seq:
        return ReadBack(seq)
    if found.row is None or shard_state.is_not_run(found.row):
        return _add_intent(state, row, now)
    return _answer_resend(row, found.row)


def grant(
    state: shard_state.ShardState, row: journal_data.Row, valid_s: float
) -> journal_data.Grant:
    """Answer an intent that has become durable.

    Args:
        state: The shard.
        row: The intent.
        valid_s: Seconds for which the lease still holds; 0 when it lapsed
            while the row was written.
    """
    attempt = state.tries.get(row.request_id)
    if attempt is None or shard_state.has_outcome(state, row.request_id):
        return unavailable(row)
    if valid_s <= 0:
        # The entry is told that the request did not run. Without this row
        # the key would stay taken by an attempt that never runs, and the
        # caller's resend would be refused.
        shard_state.add_outcome(
            state, attempt.row, journal_data.OutcomeState.NOT_RUN
        )
        return unavailable(row)
    return journal_data.Grant(
        journal_data.GrantKind.GRANTED,
        row.request_id,
        valid_s=min(valid_s, GRANT_S),
    )


def grant_unflushed(
    state: shard_state.ShardState, row: journal_data.Row, valid_s: float
) -> journal_data.Grant:
    """Answer an intent of which another process keeps a copy.

    It stays pending and is written when the platform is reachable again.

    Args:
        state: The shard.
        row: The intent.
        valid_s: Seconds for which no other process can take the lease.
    """
    attempt = state.tries.get(row.request_id)
    if attempt is None or valid_s <= 0:
        deny(state, row)
        return unavailable(row)
    if attempt.phase is shard_state.Phase.WAITING:
        attempt.phase = shard_state.Phase.OPEN
        state.unflushed.add(row.request_id)
    return grant(state, row, valid_s)


def is_final(row: journal_data.Row) -> bool:
    """Tell whether a row is a final outcome: its request ran, or may have."""
    return row.state is not None and not shard_state.is_not_run(row)


def pending_final_outcome(
    state: shard_state.ShardState, row: journal_data.Row
) -> journal_data.Row | None:
    """Return the pending final outcome of a row's key, if any."""
    for attempt in shard_state.open_attempts(state, shard_state.key_of(row)):
        outcome = (journal_data.RowKind.OUTCOME, attempt.row.request_id)
        final_outcome = state.pending.get(outcome)
        if final_outcome is not None and is_final(final_outcome):
            return final_outcome
    return None


def add_missing_intent(
    state: shard_state.ShardState, row: journal_data.Row, now: float
) -> None:
    """Add a missing intent ahead of a final outcome that has none."""
    known = row.request_id in state.tries
    if known or shard_state.has_outcome(state, row.request_id):
        return
    if row.kind is not journal_data.RowKind.OUTCOME or not is_final(row):
        return
    intent = row._replace(
        kind=journal_data.RowKind.INTENT, state=None, stages=(), answer=None
    )
    shard_state.add_attempt(state, intent, shard_state.Phase.INHERITED, now)
    state.pending[shard_state.row_id(intent)] = intent


def is_new(state: shard_state.ShardState, row: journal_data.Row) -> bool:
    """Tell whether no granted or inherited attempt has this request id."""
    attempt = state.tries.get(row.request_id)
    return attempt is None or attempt.phase is shard_state.Phase.WAITING


def deny(state: shard_state.ShardState, row: journal_data.Row) -> None:
    """Remove an attempt whose intent did not become durable in time."""
    attempt = state.tries.get(row.request_id)
    if attempt is not None and attempt.phase is shard_state.Phase.WAITING:
        state.pending.pop(shard_state.row_id(row), None)
        shard_state.remove_attempt(state, row)


def finish(
    state: shard_state.ShardState,
    row: journal_data.Row,
    found: ReadBackResult | None = None,
) -> bool | Waiting | ReadBack:
    """Decide about a row that is not an intent.

    Returns:
        True when it is durable already, or that it waits, or which segment
        to read first.
    """
    shard_state.record_boot(state, row.entry)
    row_id = shard_state.row_id(row)
    waiting = state.pending.get(row_id)
    if waiting is not None:
        if _supersedes(row, waiting):
            state.pending[row_id] = row
        return Waiting()
    seq = digest_index.find(state.index, _finish_digest(row))
    if seq is not None:
        if found is None or found.seq != seq:
            return ReadBack(seq)
        if found.row is not None and not _supersedes(row, found.row):
            return True
    state.pending[row_id] = row
    return Waiting()


def open_intent(
    state: shard_state.ShardState, request: rpc_data.LookupRequest
) -> journal_data.Row | None:
    """Return the intent of a key's latest attempt without outcome."""
    attempts = shard_state.open_attempts(
        state, (request.account_id, request.shard_key)
    )
    return attempts[-1].row if attempts else None


def find_latest(
    state: shard_state.ShardState,
    kind: journal_data.RowKind,
    account_id: str,
    shard_key: str,
) -> int | None:
    """Return the segment with the latest row of a kind under a key."""
    digest = shard_state.kind_digest(kind, account_id, shard_key)
    return digest_index.find(state.index, digest)


def unavailable(row: journal_data.Row) -> journal_data.Grant:
    """Answer that an attempt was not granted and never will be."""
    return journal_data.Grant(
        journal_data.GrantKind.UNAVAILABLE,
        row.request_id,
        retry_after_s=RETRY_AFTER_S,
    )


def _finish_digest(row: journal_data.Row) -> int:
    if row.kind is journal_data.RowKind.OUTCOME:
        return shard_state.request_digest(row.request_id)
    return shard_state.kind_digest(row.kind, row.account_id, row.shard_key)


def _supersedes(row: journal_data.Row, known: journal_data.Row) -> bool:
    """Tell whether a row replaces one that is known.

    An outcome, the billing record, is written once. Of the pins of a session
    the latest wins: an entry that could not reach its owner for a while
    sends an older pin again, which must not return the session to a
    withdrawn version.
    """
    is_outcome = row.kind is journal_data.RowKind.OUTCOME
    return not is_outcome and row.at > known.at


def _begin_resend(
    state: shard_state.ShardState,
    row: journal_data.Row,
    attempts: Sequence[shard_state.Attempt],
    now: float,
) -> BeginResult:
    same = state.tries.get(row.request_id)
    if same is not None:
        return _answer_same_attempt(row, same)
    latest = attempts[-1]
    if latest.row.body_hash != row.body_hash:
        return _reply(journal_data.GrantKind.MISMATCH, latest.row)
    final_outcome = pending_final_outcome(state, row)
    if final_outcome is not None:
        return _answer_resend(row, final_outcome)
    name = shard_state.entry_name(latest.row.entry)
    longest_s = latest.row.longest_s or journal_log.MAX_RUN_S
    is_recent = now - latest.since < longest_s
    if is_recent and state.boots.get(name) == latest.row.entry:
        return _reply(journal_data.GrantKind.RUNNING, latest.row)
    return _reply(journal_data.GrantKind.UNKNOWN, latest.row)


def _answer_same_attempt(
    row: journal_data.Row, first: shard_state.Attempt
) -> BeginResult:
    """Answer an entry that repeats the intent of its own attempt.

    It repeats it because the grant was lost in transit. An entry asks only
    for attempts that it has not sent to a backend server, and sends each
    attempt once, so a second grant to the same process start runs nothing
    twice.
    """
    if first.row.entry != row.entry:
        return _reply(journal_data.GrantKind.UNKNOWN, first.row)
    return Waiting()


def _add_intent(
    state: shard_state.ShardState, row: journal_data.Row, now: float
) -> BeginResult:
    shard_state.add_attempt(state, row, shard_state.Phase.WAITING, now)
    state.pending[shard_state.row_id(row)] = row
    return Waiting()


def _answer_resend(
    row: journal_data.Row, first: journal_data.Row
) -> journal_data.Grant:
    """Answer a resend from the row that decides about its key."""
    if first.body_hash != row.body_hash:
        return _reply(journal_data.GrantKind.MISMATCH, first)
    if first.state in {None, journal_data.OutcomeState.UNKNOWN}:
        return _reply(journal_data.GrantKind.UNKNOWN, first)
    return journal_data.Grant(
        journal_data.GrantKind.FINISHED, first.request_id, first
    )


def _reply(
    kind: journal_data.GrantKind, first: journal_data.Row
) -> journal_data.Grant:
    return journal_data.Grant(kind, first.request_id)
