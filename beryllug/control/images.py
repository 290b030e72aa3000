"""Storage of shard images and usage totals in the platform.

An image is a snapshot of a shard's state.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

import msgspec

from beryllug.control import segments
from beryllug.core import (
    image_data,
    journal_log,
    segment_data,
    shard_image,
    shard_state,
    usage,
    usage_data,
)
from beryllug.drivers import object_api, object_data

PREFIX = 'beryllug/journal-index'
USAGE_PREFIX = 'beryllug/usage'
ROOT = 'root'
CONCURRENT_READS = 16
NO_IMAGE = image_data.Image(
    0, 0, (), image_data.PackedTable(b'', b'', 0), float('-inf'), ()
)

_encode = msgspec.msgpack.Encoder().encode
_decode_image = msgspec.msgpack.Decoder(image_data.Image).decode
_decode_table = msgspec.msgpack.Decoder(image_data.PackedTable).decode
_decode_usage = msgspec.msgpack.Decoder(usage_data.Usage).decode


class CompactedState(NamedTuple):
    """Stored data that replaces the older segments of a shard."""

    usage: usage_data.Usage
    image: image_data.Image


class Restored(NamedTuple):
    """State of a shard that a new owner has read from the platform.

    Attributes:
        state: The shard's state.
        totals: Usage of each segment not yet added to the stored usage.
    """

    state: shard_state.ShardState
    totals: dict[int, usage.Totals]


def image_key(shard: int) -> str:
    """Return the key of a shard's image."""
    return f'{PREFIX}/{shard}/{ROOT}'


def table_key(shard: int, name: str) -> str:
    """Return the key of a table of a shard's index."""
    return f'{PREFIX}/{shard}/{name}'


def usage_key(shard: int) -> str:
    """Return the key of a shard's usage."""
    return f'{USAGE_PREFIX}/{shard}'


async def read_image(
    api: object_api.ObjectApi, shard: int
) -> tuple[int, image_data.Image | None]:
    """Return the version and content of a shard's image."""
    stored = await api.read(image_key(shard))
    if stored is None:
        return 0, None
    return stored.version, _decode_image(stored.value)


async def write_image(
    api: object_api.ObjectApi,
    shard: int,
    image: image_data.Image,
    expected: int,
) -> int:
    """Write a shard's image if its version matches; return the new one."""
    return await api.write(image_key(shard), _encode(image), expected)


async def write_table(
    api: object_api.ObjectApi,
    shard: int,
    name: str,
    table: image_data.PackedTable,
) -> None:
    """Write one full table; its name holds the owner's fencing token."""
    await api.write(table_key(shard, name), _encode(table), None)


async def read_usage(
    api: object_api.ObjectApi, shard: int
) -> tuple[int, usage_data.Usage]:
    """Return the version and content of a shard's usage."""
    stored = await api.read(usage_key(shard))
    if stored is None:
        return 0, usage_data.Usage()
    return stored.version, _decode_usage(stored.value)


async def write_usage(
    api: object_api.ObjectApi,
    shard: int,
    content: usage_data.Usage,
    expected: int,
) -> int:
    """Write a shard's usage if its version matches; return the new one."""
    return await api.write(usage_key(shard), _encode(content), expected)


async def read_base(api: object_api.ObjectApi, shard: int) -> CompactedState:
    """Read the stored usage and image of a shard."""
    _, stored_usage = await read_usage(api, shard)
    _, image = await read_image(api, shard)
    return CompactedState(stored_usage, image or NO_IMAGE)


async def restore(
    api: object_api.ObjectApi, shard: int, base: CompactedState, last: int
) -> Restored:
    """Restore a shard from its image and the rows after it.

    Args:
        api: The platform.
        shard: The shard.
        base: Its stored usage and image.
        last: Its last segment, sealed against earlier owners.

    Raises:
        ObjectApiError: The platform failed; start again.
    """
    image = base.image
    state = await _restore_state(api, shard, image)
    restored = Restored(state, {})
    unread = range(compacted_upto(base) + 1, last + 1)
    async for seq, segment in read_segments(api, shard, unread):
        if seq > image.upto:
            journal_log.replay(state, segment.rows, seq, segment.at)
        if seq > base.usage.folded:
            restored.totals[seq] = usage.sum_rows(segment.rows)
    return restored


def compacted_upto(base: CompactedState) -> int:
    """Return the last segment that is covered by both image and usage."""
    return min(base.image.upto, base.usage.folded)


async def usage_report(
    api: object_api.ObjectApi, shards: int
) -> usage_data.Usage:
    """Return the usage of all accounts, each request counted once.

    Args:
        api: The platform.
        shards: Number of shards.

    Raises:
        ObjectApiError: The platform failed.
    """
    totals = usage.Totals()
    for shard in range(shards):
        _, stored_usage = await read_usage(api, shard)
        usage.add(totals, stored_usage)
        last = await segments.find_last(api, shard, stored_usage.folded)
        unread = range(stored_usage.folded + 1, last + 1)
        async for _, segment in read_segments(api, shard, unread):
            usage.add(
                totals, usage.to_stored_usage(usage.sum_rows(segment.rows), 0)
            )
    return usage.to_stored_usage(totals, 0)


async def read_segments(
    api: object_api.ObjectApi, shard: int, seqs: Sequence[int]
) -> AsyncIterator[tuple[int, segment_data.SegmentRows]]:
    """Yield existing segments in order, reading several concurrently."""
    for start in range(0, len(seqs), CONCURRENT_READS):
        chunk = seqs[start : start + CONCURRENT_READS]
        found = await asyncio.gather(
            *(segments.read_rows(api, shard, seq) for seq in chunk)
        )
        for seq, segment in zip(chunk, found, strict=True):
            if segment is not None:
                yield seq, segment


async def _restore_state(
    api: object_api.ObjectApi, shard: int, image: image_data.Image
) -> shard_state.ShardState:
    tables = await asyncio.gather(
        *(_read_table(api, shard, ref.name) for ref in image.tables)
    )
    return shard_image.restore(image, tables)


async def _read_table(
    api: object_api.ObjectApi, shard: int, name: str
) -> image_data.PackedTable:
    stored = await api.read(table_key(shard, name))
    if stored is None:
        # Without the table the owner would forget keys and could grant them
        # again, so the takeover fails and is retried.
        raise object_data.UnavailableError(f'table {name} does not exist')
    return _decode_table(stored.value)
