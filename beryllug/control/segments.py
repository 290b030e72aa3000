"""The log of one shard: segment objects in the platform.

Rows are appended by rewriting the newest segment, conditional on its version.
After a full segment the one with the next number is created, on condition that
it does not exist. A new owner first seals the newest segment under its fencing
token and creates the next one. Writes of an earlier owner that was paused past
its lease then fail: a rewrite finds another version, a creation finds an
existing object.
"""

import contextlib
import time
from collections.abc import Iterable, Sequence

import msgspec

from beryllug.core import journal_data, segment_data
from beryllug.drivers import object_api, object_data
from beryllug.kernel import background_tasks

PREFIX = 'beryllug/journal'
SEQ_DIGITS = 12
# A segment is full when it holds about as many bytes as a few commits add:
# small segments need many objects, large ones are rewritten often.
MIN_SEAL_BYTES = 16384
MAX_SEAL_BYTES = 131072
SEAL_COMMITS = 3
SMOOTHING = 0.1
BATCH_BYTES = 262144

_encode = msgspec.msgpack.Encoder().encode
_decode_segment = msgspec.msgpack.Decoder(segment_data.Segment).decode
_decode_rows = msgspec.msgpack.Decoder(segment_data.SegmentRows).decode
_decode_row = msgspec.msgpack.Decoder(journal_data.Row).decode


class ShardLostError(background_tasks.DoneError):
    """Another process owns the shard; nothing more can be appended."""


def encode_row(row: journal_data.Row) -> msgspec.Raw:
    """Encode a row once for all rewrites of its segment."""
    return msgspec.Raw(_encode(row))


def decode_row(raw: msgspec.Raw) -> journal_data.Row:
    """Decode a row."""
    return _decode_row(raw)


def prefix_of(shard: int) -> str:
    """Return the key prefix of a shard's segments."""
    return f'{PREFIX}/{shard}/'


def key_of(shard: int, seq: int) -> str:
    """Return the key of a segment."""
    return f'{prefix_of(shard)}{seq:0{SEQ_DIGITS}d}'


async def list_seqs(api: object_api.ObjectApi, shard: int) -> list[int]:
    """Return the numbers of a shard's segments in ascending order."""
    prefix = prefix_of(shard)
    listing = await api.list_keys(prefix)
    return sorted(
        int(listed.key.removeprefix(prefix)) for listed in listing.entries
    )


def decode_segment(value_bytes: bytes) -> segment_data.SegmentRows:
    """Decode a segment with its rows."""
    return _decode_rows(value_bytes)


async def find_last(api: object_api.ObjectApi, shard: int, after: int) -> int:
    """Return the number of a shard's last segment, 0 when there is none.

    Segment numbers have no gaps from `after` on, so an exponential search
    needs few reads; listing the segments of a day would take megabytes.

    Args:
        api: The platform.
        shard: The shard.
        after: A segment that is known to have existed, 0 for none.
    """
    known, step = after, 1
    while await api.read(key_of(shard, known + step)) is not None:
        known += step
        step *= 2
    while step > 1:
        step //= 2
        if await api.read(key_of(shard, known + step)) is not None:
            known += step
    if known > after or not after:
        return known
    # The segment after `after` must exist, unless `after` is out of date.
    return max(await list_seqs(api, shard), default=0)


async def read_rows(
    api: object_api.ObjectApi, shard: int, seq: int
) -> segment_data.SegmentRows | None:
    """Read one segment with its rows; None when it has expired."""
    stored = await api.read(key_of(shard, seq))
    return None if stored is None else _decode_rows(stored.value)


async def read_segment(
    api: object_api.ObjectApi, shard: int, seq: int
) -> segment_data.Stored | None:
    """Read one segment with its rows encoded; None if it does not exist."""
    found = await api.read(key_of(shard, seq))
    if found is None:
        return None
    segment = _decode_segment(found.value)
    return segment_data.Stored(seq, found.version, segment)


class ShardLog:
    """Appends to one shard's log under one fencing token.

    It must be called by one task only: the shard's commit task.

    Attributes:
        head: The newest segment as last read or written.
        writes: Number of platform writes made.
    """

    def __init__(
        self, api: object_api.ObjectApi, shard: int, fencing: int, boot: str
    ) -> None:
        """Initialize the log; `take_over` must be called first."""
        self.head = _empty_segment(0, fencing, '')
        self.writes = 0
        self._head_bytes = 0
        self._commit_bytes = 0.0
        self._api = api
        self._shard = shard
        self._fencing = fencing
        self._boot = boot

    async def take_over(self, after: int) -> int:
        """Fence off earlier owners; return the number of their last segment.

        Args:
            after: A segment that is known to have existed, 0 for none.

        Raises:
            ShardLostError: A later owner has already taken over.
            ObjectApiError: The platform failed; call again.
        """
        last = await find_last(self._api, self._shard, after)
        while True:
            if last:
                await self._seal(last)
            if await self._create(last + 1):
                return last
            last += 1

    async def append(self, raws: Sequence[msgspec.Raw]) -> int:
        """Append rows and return the number of their segment.

        Raises:
            ConflictError: The head has changed; call `resolve_append`.
            UncertainError: They may have been appended; call `resolve_append`.
            UnavailableError: They were not appended.
        """
        base = self._append_target()
        nonce = self._nonce()
        added = sum(map(size_of, raws))
        segment = segment_data.Segment(
            self._fencing,
            sealed=False,
            nonce=nonce,
            at=time.time(),
            rows=[*base.segment.rows, *raws],
        )
        version = await self._write(base.seq, segment, base.version)
        head_bytes = self._head_bytes if base.version else 0
        self.head = segment_data.Stored(base.seq, version, segment)
        self._head_bytes = head_bytes + added
        self._commit_bytes += SMOOTHING * (added - self._commit_bytes)
        return base.seq

    async def resolve_append(self) -> list[msgspec.Raw]:
        """Resolve the result of an append that failed or is uncertain.

        Returns:
            The rows that have been appended after all. They can belong to an
            earlier append that was believed to have failed.

        Raises:
            ShardLostError: Another owner has sealed the log.
            ObjectApiError: The platform failed; call again.
        """
        base = self._append_target()
        found = await self._read(base.seq)
        if found is None or found.version <= base.version:
            return []
        self._check_owner(found.segment)
        self.head = found
        self._head_bytes = sum(map(size_of, found.segment.rows))
        return found.segment.rows[len(base.segment.rows) :]

    def _append_target(self) -> segment_data.Stored:
        """Return the segment for the next append: the head or a new one."""
        seal_bytes = SEAL_COMMITS * self._commit_bytes
        seal_bytes = min(max(seal_bytes, MIN_SEAL_BYTES), MAX_SEAL_BYTES)
        if self._head_bytes < seal_bytes:
            return self.head
        return _empty_segment(self.head.seq + 1, self._fencing, '')

    async def _seal(self, seq: int) -> None:
        """Seal a segment under this token, despite writes of its owner."""
        while True:
            found = await self._read(seq)
            if found is None:
                return
            self._check_owner(found.segment, sealing=True)
            if found.segment.sealed and found.segment.fencing == self._fencing:
                return
            sealed_segment = found.segment._replace(
                fencing=self._fencing, sealed=True, nonce=self._nonce()
            )
            with contextlib.suppress(
                object_data.ConflictError, object_data.UncertainError
            ):
                await self._write(seq, sealed_segment, found.version)

    async def _create(self, seq: int) -> bool:
        """Create an empty segment; False if an earlier owner created it."""
        empty = _empty_segment(seq, self._fencing, self._nonce())
        try:
            version = await self._write(seq, empty.segment, 0)
        except (object_data.ConflictError, object_data.UncertainError):
            return await self._resolve_create(empty)
        self.head = empty._replace(version=version)
        return True

    async def _resolve_create(self, empty: segment_data.Stored) -> bool:
        found = await self._read(empty.seq)
        if found is None:
            # It was not created, or the write is delayed: try again.
            return await self._create(empty.seq)
        if found.segment.nonce != empty.segment.nonce:
            return False
        self.head = found
        return True

    async def _read(self, seq: int) -> segment_data.Stored | None:
        return await read_segment(self._api, self._shard, seq)

    async def _write(
        self, seq: int, segment: segment_data.Segment, expected: int
    ) -> int:
        self.writes += 1
        return await self._api.write(
            key_of(self._shard, seq), _encode(segment), expected
        )

    def _check_owner(
        self, segment: segment_data.Segment, *, sealing: bool = False
    ) -> None:
        is_closed = segment.sealed and not sealing
        if segment.fencing > self._fencing or is_closed:
            raise ShardLostError(f'shard {self._shard} has another owner')

    def _nonce(self) -> str:
        return f'{self._boot}:{self.writes}'


def first_batch(raws: Iterable[msgspec.Raw]) -> list[msgspec.Raw]:
    """Return as many of the first rows as one append may hold."""
    batch: list[msgspec.Raw] = []
    bytes_left = BATCH_BYTES
    for raw in raws:
        bytes_left -= size_of(raw)
        if batch and bytes_left < 0:
            break
        batch.append(raw)
    return batch


def size_of(raw: msgspec.Raw) -> int:
    """Return the size of an encoded row in bytes."""
    return memoryview(raw).nbytes


def _empty_segment(seq: int, fencing: int, nonce: str) -> segment_data.Stored:
    segment = segment_data.Segment(fencing, False, nonce, time.time(), [])
    return segment_data.Stored(seq, 0, segment)
