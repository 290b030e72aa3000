"""Build and restore snapshots (images) of a shard's state.

Without a snapshot a new owner would read the rows of a whole day. A snapshot
holds the effects of all rows up to one segment; the new owner replays the
rows after it. It may already hold the effects of some of those: replaying a
row again, in the order of the log, changes nothing.
"""

from collections.abc import Iterable

from beryllug.core import (
    digest_index,
    image_data,
    journal_data,
    shard_state,
)


def pack(table: digest_index.Table) -> image_data.PackedTable:
    """Return a table in its stored form."""
    return image_data.PackedTable(*digest_index.pack(table), table.newest_at)


def unsaved(state: shard_state.ShardState) -> list[digest_index.Table]:
    """Return the full tables that are not stored in the platform yet."""
    return [
        table
        for table in state.index.tables
        if digest_index.is_full(table) and not table.name
    ]


def take(
    state: shard_state.ShardState, upto: int, fencing: int, first: int
) -> image_data.Image:
    """Return the snapshot of a shard; full tables must have been saved.

    Args:
        state: The shard.
        upto: The last segment of which all rows have been applied.
        fencing: Fencing token of its owner.
        first: Its oldest segment.
    """
    tables = state.index.tables
    saved = [table for table in tables if table.name]
    rest = [table for table in tables if not table.name]
    partial = rest[-1] if rest else digest_index.Table()
    waiting = shard_state.Phase.WAITING
    return image_data.Image(
        upto,
        fencing,
        tuple(
            image_data.TableRef(table.name, table.newest_at) for table in saved
        ),
        pack(partial),
        state.index.forgotten_at,
        tuple(
            attempt.row
            for attempt in state.tries.values()
            if attempt.phase is not waiting
        ),
        first,
    )


def restore(
    image: image_data.Image, tables: Iterable[image_data.PackedTable]
) -> shard_state.ShardState:
    """Return the state that a snapshot holds.

    Args:
        image: The snapshot.
        tables: The contents of its full tables, in their order.
    """
    state = shard_state.ShardState()
    refs = zip(image.tables, tables, strict=True)
    for ref, packed in refs:
        state.index.tables.append(digest_index.unpack(*packed, ref.name))
    state.index.tables.append(digest_index.unpack(*image.partial, ''))
    state.index.forgotten_at = image.forgotten_at
    for row in image.tries:
        add_inherited(state, row)
    return state


def add_inherited(state: shard_state.ShardState, row: journal_data.Row) -> None:
    """Add an intent of an earlier owner that has no outcome."""
    shard_state.add_attempt(
        state, row, shard_state.Phase.INHERITED, float('-inf')
    )
