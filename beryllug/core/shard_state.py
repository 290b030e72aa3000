"""What the owner of a shard of the request journal remembers.

`core.journal` decides about rows that arrive, `core.journal_log` takes in
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
    """How far a try has come."""

    WAITING = 'waiting'
    OPEN = 'open'
    INHERITED = 'inherited'


@dataclass(slots=True)
class Try:
    """One try of a request that may not repeat, without outcome yet.

    Attributes:
        row: Its intent.
        phase: How far it has come.
        since: When this owner met it, monotonic seconds.
        seq: Segment of its intent, 0 while it is not durable.
    """

    row: journal_data.Row
    phase: Phase
    since: float
    seq: int = 0


@dataclass(slots=True)
class ShardState:
    """All that the owner of a shard remembers.

    Attributes:
        tries: Tries without durable outcome by request id.
        keys: Request ids of the tries of each key, in order. Only the last
            can have been granted by this owner; of earlier owners' tries it
            can be any one.
        pending: Rows that wait to become durable, in order.
        index: Segment of the latest row by digest, for all that is durable.
        unflushed: Request ids of tries that may run although their intent
            is not durable yet: copies of them stand in another process.
        boots: The process start last heard of each entry process that has
            tries, by the entry's name; empty when not heard yet.
    """

    tries: dict[str, Try] = field(default_factory=dict)
    keys: dict[Key, tuple[str, ...]] = field(default_factory=dict)
    pending: dict[RowId, journal_data.Row] = field(default_factory=dict)
    index: digest_index.Index = field(default_factory=digest_index.Index)
    unflushed: set[str] = field(default_factory=set)
    boots: dict[str, str] = field(default_factory=dict)


def shard_of(account_id: str, shard_key: str, shards: int) -> int:
    """Return the shard of a row."""
    return zlib.crc32(f'{account_id}\0{shard_key}'.encode()) % shards


def row_id(row: journal_data.Row) -> RowId:
    """Return what tells a row from all others, and a repeat from a new one."""
    if row.kind in {journal_data.RowKind.INTENT, journal_data.RowKind.OUTCOME}:
        return row.kind, row.request_id
    return row.kind, f'{row.account_id}\0{row.shard_key}'


def key_of(row: journal_data.Row) -> Key:
    """Return account and key of a row."""
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


def add_try(
    state: ShardState, row: journal_data.Row, phase: Phase, now: float
) -> None:
    """Remember a try without outcome."""
    state.tries[row.request_id] = Try(row, phase, now)
    earlier = _without(state, row)
    state.keys[key_of(row)] = (*earlier, row.request_id)
    state.boots[entry_name(row.entry)] = row.entry


def add_outcome(
    state: ShardState,
    row: journal_data.Row,
    outcome: journal_data.OutcomeState,
) -> None:
    """Let the owner itself end a try; an outcome that waits stays."""
    ended = row._replace(kind=journal_data.RowKind.OUTCOME, state=outcome)
    state.pending.setdefault(row_id(ended), ended)


def close(state: ShardState, row: journal_data.Row) -> None:
    """Forget a try that ended or was given up."""
    state.tries.pop(row.request_id, None)
    others = _without(state, row)
    if others:
        state.keys[key_of(row)] = others
    else:
        state.keys.pop(key_of(row), None)
    if not state.tries:
        state.boots.clear()


def open_tries(state: ShardState, key: Key) -> list[Try]:
    """Return the tries of a key that have no outcome, in order."""
    return [state.tries[name] for name in state.keys.get(key, ())]


def has_outcome(state: ShardState, request_id: str) -> bool:
    """Tell whether a request has ended, durably or soon."""
    if (journal_data.RowKind.OUTCOME, request_id) in state.pending:
        return True
    digest = request_digest(request_id)
    return digest_index.find(state.index, digest) is not None


def is_not_run(row: journal_data.Row) -> bool:
    """Tell whether a row says that its request did not run."""
    return row.state is journal_data.OutcomeState.NOT_RUN


def hear(state: ShardState, entry: str) -> None:
    """Note which process start of an entry was last heard."""
    name = entry_name(entry)
    if name in state.boots.keys():
        state.boots[name] = entry


def entry_name(entry: str) -> str:
    """Return the name of an entry without its process start."""
    return entry.partition(BOOT_SEPARATOR)[0]


def _without(state: ShardState, row: journal_data.Row) -> tuple[str, ...]:
    """Return the tries of a row's key other than its own."""
    names = state.keys.get(key_of(row), ())
    return tuple(name for name in names if name != row.request_id)
