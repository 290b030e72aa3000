"""Records of a shard's snapshot, which a new owner reads first."""

from typing import NamedTuple

from beryllug.core import journal_data


class PackedTable(NamedTuple):
    """A table of the index: digests and segments, as packed arrays."""

    digests: bytes
    seqs: bytes
    newest_at: float


class TableRef(NamedTuple):
    """A full table that is stored in a separate object."""

    name: str
    newest_at: float


class Image(NamedTuple):
    """The state of a shard after all rows of its segments up to one.

    Attributes:
        upto: The last segment of which all rows are included.
        fencing: Fencing token of the owner that wrote it.
        tables: Full tables of the index, oldest first.
        partial: The table that is being filled.
        forgotten_at: Time of the newest row removed from the index.
        tries: Intents without outcome.
        first: The oldest segment that has not been deleted.
    """

    upto: int
    fencing: int
    tables: tuple[TableRef, ...]
    partial: PackedTable
    forgotten_at: float
    tries: tuple[journal_data.Row, ...]
    first: int = 1
