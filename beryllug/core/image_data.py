"""Records of a shard's image: what a new owner reads instead of old rows."""

from typing import NamedTuple

from beryllug.core import journal_data


class PackedTable(NamedTuple):
    """A table of the index: digests and segments, as packed arrays."""

    digests: bytes
    seqs: bytes
    newest_at: float


class TableRef(NamedTuple):
    """A full table that stands in an object of its own."""

    name: str
    newest_at: float


class Image(NamedTuple):
    """The state of a shard after all rows of its segments up to one.

    Attributes:
        upto: The last segment whose rows are all in it.
        fencing: Fencing token of the owner that wrote it.
        tables: Full tables of the index, oldest first.
        partial: The table that is being filled.
        forgotten_at: Newest row that the index has forgotten.
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
