"""Apply durable rows to the state of a shard's owner.

Rows are applied in the order of the log: those this owner wrote, and at a
takeover those of earlier owners.
"""

from collections.abc import Iterable

from beryllug.core import digest_index, journal_data, shard_state

MAX_RUN_S = 3600.0
WRITTEN_ONCE = frozenset(
    (journal_data.RowKind.INTENT, journal_data.RowKind.OUTCOME)
)


def apply_committed(
    state: shard_state.ShardState, row: journal_data.Row, seq: int, at: float
) -> None:
    """Apply a row that has become durable.

    Args:
        state: The shard; a durable intent that was denied in the meantime
            gets an outcome NOT_RUN among its pending rows.
        row: The row as it is in the log.
        seq: Its segment.
        at: Wall-clock second of the commit.
    """
    row_id = shard_state.row_id(row)
    if row.kind in WRITTEN_ONCE or state.pending.get(row_id) == row:
        # A later pin of the same session may have arrived since; it waits
        # for its own commit.
        state.pending.pop(row_id, None)
    match row.kind:
        case journal_data.RowKind.INTENT:
            _apply_intent(state, row, seq, at)
        case journal_data.RowKind.OUTCOME:
            _apply_outcome(state, row, seq, at)
        case _:
            digest = shard_state.kind_digest(
                row.kind, row.account_id, row.shard_key
            )
            digest_index.put(state.index, digest, seq, at)


def replay(
    state: shard_state.ShardState,
    rows: Iterable[journal_data.Row],
    seq: int,
    at: float,
) -> None:
    """Apply a segment written by earlier owners, in the order of the log."""
    for row in rows:
        ended = shard_state.has_outcome(state, row.request_id)
        if row.kind is journal_data.RowKind.INTENT and not ended:
            shard_state.add_attempt(
                state, row, shard_state.Phase.INHERITED, float('-inf')
            )
        apply_committed(state, row, seq, at)


def finish_replay(state: shard_state.ShardState, now: float) -> None:
    """Finish the replay; `now` is in monotonic seconds."""
    state.boots = {name: '' for name in state.boots}
    for attempt in state.tries.values():
        attempt.since = now


def add_gathered_intent(
    state: shard_state.ShardState, row: journal_data.Row, now: float
) -> None:
    """Add the copy of an intent that an earlier owner may have granted.

    Its key must not have a final outcome.
    """
    known = row.request_id in state.tries
    if known or shard_state.has_outcome(state, row.request_id):
        return
    shard_state.add_attempt(state, row, shard_state.Phase.INHERITED, now)
    state.boots[shard_state.entry_name(row.entry)] = ''
    state.pending[shard_state.row_id(row)] = row
    state.unflushed.add(row.request_id)


def expire(state: shard_state.ShardState, now: float) -> None:
    """Add outcomes to attempts that are past the run limit.

    Their entry processes will not send one any more.
    """
    for attempt in state.tries.values():
        waits = attempt.phase is shard_state.Phase.WAITING
        if not waits and now - attempt.since > MAX_RUN_S:
            _add_outcome(state, attempt, journal_data.OutcomeState.UNKNOWN)


def about_key(
    rows: Iterable[journal_data.Row], account_id: str, shard_key: str
) -> journal_data.Row | None:
    """Choose the row of a segment that decides about a key.

    An outcome other than NOT_RUN comes first, then an intent without
    outcome, then the latest row.
    """
    chosen = None
    ended: set[str] = set()
    for row in rows:
        if (row.account_id, row.shard_key) != (account_id, shard_key):
            continue
        match row.kind:
            case journal_data.RowKind.OUTCOME if not shard_state.is_not_run(
                row
            ):
                return row
            case journal_data.RowKind.OUTCOME:
                ended.add(row.request_id)
                if chosen is None or chosen.request_id in ended:
                    chosen = row
            case journal_data.RowKind.INTENT if row.request_id not in ended:
                chosen = row
    return chosen


def _apply_intent(
    state: shard_state.ShardState, row: journal_data.Row, seq: int, at: float
) -> None:
    state.unflushed.discard(row.request_id)
    attempt = state.tries.get(row.request_id)
    if attempt is None:
        # Denied while its write was in flight, and the write took effect.
        # Without an outcome its key would stay taken for ever by an attempt
        # that never ran.
        if not shard_state.has_outcome(state, row.request_id):
            shard_state.add_outcome(
                state, row, journal_data.OutcomeState.NOT_RUN
            )
        return
    if attempt.phase is shard_state.Phase.WAITING:
        attempt.phase = shard_state.Phase.OPEN
    attempt.seq = seq
    digest_index.put(state.index, shard_state.key_digest(row), seq, at)


def _apply_outcome(
    state: shard_state.ShardState, row: journal_data.Row, seq: int, at: float
) -> None:
    digest = shard_state.request_digest(row.request_id)
    digest_index.put(state.index, digest, seq, at)
    attempt = state.tries.get(row.request_id)
    shard_state.remove_attempt(state, row)
    others = shard_state.open_attempts(state, shard_state.key_of(row))
    if shard_state.is_not_run(row):
        decides = attempt is not None and not others
    else:
        decides = attempt is not None or row.answer is not None
        # Only one attempt of a key runs: the others were denied, or are
        # copies that arrived late. Left open they would hide this outcome
        # from a resend.
        for other in others:
            _add_outcome(state, other, journal_data.OutcomeState.NOT_RUN)
            shard_state.remove_attempt(state, other.row)
            state.unflushed.discard(other.row.request_id)
    if decides:
        digest_index.put(state.index, shard_state.key_digest(row), seq, at)


def _add_outcome(
    state: shard_state.ShardState,
    attempt: shard_state.Attempt,
    outcome: journal_data.OutcomeState,
) -> None:
    shard_state.add_outcome(state, attempt.row, outcome)
