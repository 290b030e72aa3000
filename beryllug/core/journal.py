r"""What the owner of a shard of the request journal decides.

A request that may not repeat goes through these states::

    begin -> WAITING -> (durable, lease still held) -> OPEN -> outcome
                 \-> denied: the wait ended first; never granted
    takeover: a durable intent without outcome -> INHERITED -> outcome

Its key is free again after an outcome NOT_RUN, and never after any other.
The intent of a denied try may still turn up in the log, when its write took
effect and the answer was lost. It was never granted, so it then gets an
outcome NOT_RUN, and its key refuses nobody.

All functions work on an explicit `ShardState` and never wait. Where a row
must be read back from the log they say so, and are called again with it.
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


class Found(NamedTuple):
    """What the segment that the index named holds about a request.

    Attributes:
        seq: The segment.
        row: The row that decides, or None when there is none: two digests
            were equal, or the segment has expired.
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


Begun = journal_data.Grant | Waiting | ReadBack


def begin(
    state: shard_state.ShardState,
    row: journal_data.Row,
    now: float,
    found: Found | None = None,
) -> Begun:
    """Decide about an intent.

    Args:
        state: The shard; a new intent is added to its pending rows.
        row: The intent.
        now: Second of the monotonic clock.
        found: What was read back after this function asked for it.

    Returns:
        The answer, or that it waits, or what must be read first.
    """
    shard_state.hear(state, row.entry)
    if shard_state.has_outcome(state, row.request_id):
        # Its entry gave this try up before the intent came here.
        return unavailable(row)
    tries = shard_state.open_tries(state, shard_state.key_of(row))
    if tries:
        return _begin_again(state, row, tries, now)
    seq = digest_index.find(state.index, shard_state.key_digest(row))
    if seq is None:
        return _add_intent(state, row, now)
    if found is None or found.seq != seq:
        return ReadBack(seq)
    if found.row is None or shard_state.is_not_run(found.row):
        return _add_intent(state, row, now)
    return _answer(row, found.row)


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
        # the caller's resend would find its key taken by a try that nobody
        # runs.
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

    It stays pending and is written when the platform is back.

    Args:
        state: The shard.
        row: The intent.
        valid_s: Seconds for which surely nobody takes the lease.
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
    """Tell whether a row ends its key: its request ran, or may have."""
    return row.state is not None and not shard_state.is_not_run(row)


def ends_soon(
    state: shard_state.ShardState, row: journal_data.Row
) -> journal_data.Row | None:
    """Return the outcome that waits to end a row's key for good, if any."""
    for attempt in shard_state.open_tries(state, shard_state.key_of(row)):
        outcome = (journal_data.RowKind.OUTCOME, attempt.row.request_id)
        ending = state.pending.get(outcome)
        if ending is not None and is_final(ending):
            return ending
    return None


def recall(
    state: shard_state.ShardState, row: journal_data.Row, now: float
) -> None:
    """Add the intent of an outcome whose try is not known, before it."""
    known = row.request_id in state.tries
    if known or shard_state.has_outcome(state, row.request_id):
        return
    if row.kind is not journal_data.RowKind.OUTCOME or not is_final(row):
        return
    intent = row._replace(
        kind=journal_data.RowKind.INTENT, state=None, stages=(), answer=None
    )
    shard_state.add_try(state, intent, shard_state.Phase.INHERITED, now)
    state.pending[shard_state.row_id(intent)] = intent


def is_new(state: shard_state.ShardState, row: journal_data.Row) -> bool:
    """Tell whether an intent is of a key of which nothing is known."""
    attempt = state.tries.get(row.request_id)
    return attempt is None or attempt.phase is shard_state.Phase.WAITING


def deny(state: shard_state.ShardState, row: journal_data.Row) -> None:
    """Give up a try whose intent did not become durable in time."""
    attempt = state.tries.get(row.request_id)
    if attempt is not None and attempt.phase is shard_state.Phase.WAITING:
        state.pending.pop(shard_state.row_id(row), None)
        shard_state.close(state, row)


def finish(
    state: shard_state.ShardState,
    row: journal_data.Row,
    found: Found | None = None,
) -> bool | Waiting | ReadBack:
    """Decide about a row that is not an intent.

    Returns:
        True when it is durable already, or that it waits, or what must be
        read first.
    """
    shard_state.hear(state, row.entry)
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
    state: shard_state.ShardState, ask: rpc_data.LookupAsk
) -> journal_data.Row | None:
    """Return the intent of a key's latest try that has no outcome."""
    tries = shard_state.open_tries(state, (ask.account_id, ask.shard_key))
    return tries[-1].row if tries else None


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
    """Answer that a try was not granted and never will be."""
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
    """Tell whether a row takes the place of one that is known.

    A bill is written once. Of the pins of a session the latest holds: an
    entry that could not reach its owner for a while sends an older one
    again, which must not put the session back on a withdrawn version.
    """
    is_outcome = row.kind is journal_data.RowKind.OUTCOME
    return not is_outcome and row.at > known.at


def _begin_again(
    state: shard_state.ShardState,
    row: journal_data.Row,
    tries: Sequence[shard_state.Try],
    now: float,
) -> Begun:
    same = state.tries.get(row.request_id)
    if same is not None:
        return _begin_same(row, same)
    latest = tries[-1]
    if latest.row.body_hash != row.body_hash:
        return _reply(journal_data.GrantKind.MISMATCH, latest.row)
    ending = ends_soon(state, row)
    if ending is not None:
        return _answer(row, ending)
    name = shard_state.entry_name(latest.row.entry)
    longest_s = latest.row.longest_s or journal_log.LONGEST_RUN_S
    young = now - latest.since < longest_s
    if young and state.boots.get(name) == latest.row.entry:
        return _reply(journal_data.GrantKind.RUNNING, latest.row)
    return _reply(journal_data.GrantKind.UNKNOWN, latest.row)


def _begin_same(row: journal_data.Row, first: shard_state.Try) -> Begun:
    """Answer an entry that asks again about its own try.

    It asks because the grant was lost on its way. An entry asks only for
    what it has not sent to a backend server, and sends each try once, so a
    second grant of one try to the same process start runs nothing twice.
    """
    if first.row.entry != row.entry:
        return _reply(journal_data.GrantKind.UNKNOWN, first.row)
    return Waiting()


def _add_intent(
    state: shard_state.ShardState, row: journal_data.Row, now: float
) -> Begun:
    shard_state.add_try(state, row, shard_state.Phase.WAITING, now)
    state.pending[shard_state.row_id(row)] = row
    return Waiting()


def _answer(
    row: journal_data.Row, first: journal_data.Row
) -> journal_data.Grant:
    """Answer a resend by the row that decides about its key."""
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
