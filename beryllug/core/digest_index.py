"""A compact index from 64-bit digests to segment numbers.

A dict of ints takes about a hundred bytes an entry; a control process has a
few megabytes for millions of requests. Here an entry takes 24 bytes: open
addressing in two arrays, at most half full. Tables are filled one after the
other and dropped whole, oldest first.

Digests may collide, so a caller must check the row that an entry points at.
"""

import hashlib
from array import array
from dataclasses import dataclass, field

SLOTS = 8192
MAX_USED = SLOTS // 2
MAX_TABLES = 64


@dataclass(slots=True)
class Table:
    """One table; a digest of 0 marks a free slot.

    Attributes:
        digests: Digest of each slot.
        seqs: Segment number of each slot.
        used: Slots in use.
        newest_at: Wall-clock second of the newest row in it.
        name: Name of the object that holds a copy, or empty.
    """

    digests: 'array[int]' = field(
        default_factory=lambda: array('Q', bytes(8 * SLOTS))
    )
    seqs: 'array[int]' = field(
        default_factory=lambda: array('I', bytes(4 * SLOTS))
    )
    used: int = 0
    newest_at: float = float('-inf')
    name: str = ''


@dataclass(slots=True)
class Index:
    """Tables, the newest last.

    Attributes:
        tables: The tables.
        forgotten_at: Time of the newest dropped row, wall-clock seconds.
    """

    tables: list[Table] = field(default_factory=list)
    forgotten_at: float = float('-inf')


def digest(*parts: str) -> int:
    """Return the digest of several strings; never 0."""
    joined = '\0'.join(parts).encode()
    hashed = hashlib.blake2b(joined, digest_size=8).digest()
    return int.from_bytes(hashed, 'little') or 1


def put(index: Index, key: int, seq: int, at: float) -> None:
    """Store the segment of a digest's latest row.

    Args:
        index: The index.
        key: The digest.
        seq: Number of the segment that holds the row.
        at: Wall-clock second of the row's commit.
    """
    if not index.tables or is_full(index.tables[-1]):
        index.tables.append(Table())
        _drop_oldest(index, MAX_TABLES)
    table = index.tables[-1]
    slot = _slot(table, key)
    if not table.digests[slot]:
        table.used += 1
    table.digests[slot] = key
    table.seqs[slot] = seq
    table.newest_at = max(table.newest_at, at)


def find(index: Index, key: int) -> int | None:
    """Return the segment of a digest's latest row, or None."""
    for table in reversed(index.tables):
        slot = _slot(table, key)
        if table.digests[slot]:
            return table.seqs[slot]
    return None


def forget(index: Index, before: float) -> None:
    """Drop tables whose newest row is older than a wall-clock second."""
    while index.tables and index.tables[0].newest_at < before:
        _drop_oldest(index, len(index.tables) - 1)


def is_full(table: Table) -> bool:
    """Tell whether a table is full."""
    return table.used >= MAX_USED


def pack(table: Table) -> tuple[bytes, bytes]:
    """Return a table's digests and segments without its free slots."""
    pairs = [
        (key, seq)
        for key, seq in zip(table.digests, table.seqs, strict=True)
        if key
    ]
    digests = array('Q', (key for key, _ in pairs))
    seqs = array('I', (seq for _, seq in pairs))
    return digests.tobytes(), seqs.tobytes()


def unpack(digests: bytes, seqs: bytes, newest_at: float, name: str) -> Table:
    """Return the table that `pack` encoded."""
    table = Table(newest_at=newest_at, name=name)
    keys = array('Q', digests)
    for key, seq in zip(keys, array('I', seqs), strict=True):
        slot = _slot(table, key)
        table.digests[slot] = key
        table.seqs[slot] = seq
    table.used = len(keys)
    return table


def size(index: Index) -> int:
    """Return the number of stored digests."""
    return sum(table.used for table in index.tables)


def _slot(table: Table, key: int) -> int:
    slot = key % SLOTS
    digests = table.digests
    while digests[slot] not in {0, key}:
        slot = (slot + 1) % SLOTS
    return slot


def _drop_oldest(index: Index, count: int) -> None:
    while len(index.tables) > count:
        dropped = index.tables.pop(0)
        index.forgotten_at = max(index.forgotten_at, dropped.newest_at)
