"""In-memory state of the owner of a shard of the request journal.

`core.journal` decides about rows that arrive, `core.journal_log` applies
rows that are durable; both work on this state.
"""

import zlib
from dataclasses import dataclass, field
from enum import StrEnum

from beryllug.core import digest_index, journal_data

BOOT_SEPARATOR = '/'

Key = tuple[str, str]
RowId = tuple[journal_data.RowKind, str]


class Phase(StrEnum):
    """State of an attempt that has no durable outcome."""

    WAITING = 'waiting'
    OPEN = 'open'
    INHERITED = 'inherited'


@dataclass(slots=True)
class Attempt:
    """One attempt of a non-idempotent request, without outcome yet.

    Attributes:
        row: Its intent.
        phase: Its state.
        since: When this owner first saw it, monotonic seconds.
        seq: Segment of its intent, 0 while it is not durable.
    """

    row: journal_data.Row
    phase: Phase
    since: float
    seq: int = 0


@dataclass(slots=True)
class ShardState:
    """State of one shard at its owner.

    Attributes:
        tries: Attempts without durable outcome by request id.
        keys: Request ids of the attempts of each key, in order. Only the
            last can have been granted by this owner; any one of them can
            have been granted by an earlier owner.
        pending: Rows that wait to become durable, in order.
        index: Segment of the latest row by digest, for all durable rows.
        unflushed: Request ids of attempts that may run although their intent
            is not durable yet: another process holds copies of them.
        boots: The latest process start seen of each entry process that has
            attempts, by the entry's name; empty when none was seen yet.
    """

    tries: dict[str, Attempt] = field(default_factory=dict)
    keys: dict[Key, tuple[str, ...]] = field(default_factory=dict)
    pending: dict[RowId, journal_data.Row] = field(default_factory=dict)
    index: digest_index.Index = field(default_factory=digest_index.Index)
    unflushed: set[str] = field(default_factory=set)
    boots: dict[str, str] = field(default_factory=dict)


def shard_of(account_id: str, shard_key: str, shards: int) -> int:
    """Return the shard of a row."""
    return zlib.crc32(f'{account_id}\0{shard_key}'.encode()) % shards


def row_id(row: journal_data.Row) -> RowId:
    """Return the identity of a row; rows sent again have the same one."""
    if row.kind in {journal_data.RowKind.INTENT, journal_data.RowKind.OUTCOME}:
        return row.kind, row.request_id
    return row.kind, f'{row.account_id}\0{row.shard_key}'


def key_of(row: journal_data.Row) -> Key:
    """Return the account and shard key of a row."""
    return row.account_id, row.shard_key


def kind_digest(
    kind: journal_data.RowKind, account_id: str, shard_key: str
) -> int:
    """Return the digest of the latest row of a kind under a key."""
    name = 'key' if kind is journal_data.RowKind.OUTCOME else kind
    return digest_index.digest(name, account_id, shard_key)


def key_digest(row: journal_data.Row) -> int:
    """Return the digest of a row by account and key."""
    return digest_index.digest('key', row.account_id, row.shard_key)


def request_digest(request_id: str) -> int:
    """Return the digest of an outcome by its request id."""
    return digest_index.digest('request', request_id)


def add_attempt(
    state: ShardState, row: journal_data.Row, phase: Phase, now: float
) -> None:
    """Add an attempt without outcome."""
    state.tries[row.request_id] = Attempt(row, phase, now)
    other_ids = _other_attempts(state, row)
    state.keys[key_of(row)] = (*other_ids, row.request_id)
    state.boots[entry_name(row.entry)] = row.entry


def add_outcome(
    state: ShardState,
    row: journal_data.Row,
    outcome: journal_data.OutcomeState,
) -> None:
    """Add an outcome on behalf of the entry; a pending outcome is kept."""
    outcome_row = row._replace(kind=journal_data.RowKind.OUTCOME, state=outcome)
    state.pending.setdefault(row_id(outcome_row), outcome_row)


def remove_attempt(state: ShardState, row: journal_data.Row) -> None:
    """Remove an attempt that ended or was denied."""
    state.tries.pop(row.request_id, None)
    other_ids = _other_attempts(state, row)
    if other_ids:
        state.keys[key_of(row)] = other_ids
    else:
        state.keys.pop(key_of(row), None)
    if not state.tries:
        state.boots.clear()


def open_attempts(state: ShardState, key: Key) -> list[Attempt]:
    """Return the attempts of a key that have no outcome, in order."""
    return [state.tries[name] for name in state.keys.get(key, ())]


def has_outcome(state: ShardState, request_id: str) -> bool:
    """Tell whether a request has a durable or a pending outcome."""
    if (journal_data.RowKind.OUTCOME, request_id) in state.pending:
        return True
    digest = request_digest(request_id)
    return digest_index.find(state.index, digest) is not None


def is_not_run(row: journal_data.Row) -> bool:
    """Tell whether a row says that its request did not run."""
    return row.state is journal_data.OutcomeState.NOT_RUN


def record_boot(state: ShardState, entry: str) -> None:
    """Record the latest process start seen of an entry."""
    name = entry_name(entry)
    if name in state.boots.keys():
        state.boots[name] = entry


def entry_name(entry: str) -> str:
    """Return the name of an entry process without its start id."""
    return entry.partition(BOOT_SEPARATOR)[0]


def _other_attempts(
    state: ShardState, row: journal_data.Row
) -> tuple[str, ...]:
    """Return the request ids of a key's attempts other than the row's own."""
    names = state.keys.get(key_of(row), ())
    return tuple(name for name in names if name != row.request_id)
