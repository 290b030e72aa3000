"""The log of one shard: segment objects in the platform.

Rows are appended by rewriting the newest segment on the condition of its
version; a full one is followed by the next number, created on the condition
that it is not there. A new owner first closes the newest segment under its
fencing token and creates the next one. An earlier owner that was paused past
its lease then fails whatever it tries: its rewrite meets another version,
its creation meets an existing object.
"""

import contextlib
import time
from collections.abc import Iterable, Sequence

import msgspec

from beryllug.control import lasting
from beryllug.core import journal_data, segment_data
from beryllug.drivers import object_api, object_data

PREFIX = 'beryllug/journal'
SEQ_DIGITS = 12
# A segment takes more rows until it holds about as many bytes as a few
# commits bring: small ones cost objects, large ones are rewritten often.
LEAST_SEAL_BYTES = 16384
MOST_SEAL_BYTES = 131072
SEAL_COMMITS = 3
SMOOTHING = 0.1
BATCH_BYTES = 262144

_encode = msgspec.msgpack.Encoder().encode
_decode_segment = msgspec.msgpack.Decoder(segment_data.Segment).decode
_decode_rows = msgspec.msgpack.Decoder(segment_data.SegmentRows).decode
_decode_row = msgspec.msgpack.Decoder(journal_data.Row).decode


class LostError(lasting.DoneError):
    """Another process owns the shard now; nothing more can be appended."""


def encode_row(row: journal_data.Row) -> msgspec.Raw:
    """Encode a row once, for all the rewrites of its segment."""
    return msgspec.Raw(_encode(row))


def decode_row(raw: msgspec.Raw) -> journal_data.Row:
    """Decode a row."""
    return _decode_row(raw)


def prefix_of(shard: int) -> str:
    """Return the prefix of a shard's segments."""
    return f'{PREFIX}/{shard}/'


def key_of(shard: int, seq: int) -> str:
    """Return the key of a segment."""
    return f'{prefix_of(shard)}{seq:0{SEQ_DIGITS}d}'


async def list_seqs(api: object_api.ObjectApi, shard: int) -> list[int]:
    """Return the numbers of a shard's segments in order."""
    prefix = prefix_of(shard)
    listing = await api.list_keys(prefix)
    return sorted(
        int(listed.key.removeprefix(prefix)) for listed in listing.entries
    )


def decode(value_bytes: bytes) -> segment_data.SegmentRows:
    """Decode a segment with its rows."""
    return _decode_rows(value_bytes)


async def find_last(api: object_api.ObjectApi, shard: int, after: int) -> int:
    """Return the number of a shard's last segment, 0 when there is none.

    Segments have no gaps from `after` on, so a few reads find the end; a
    listing of a day of segments would be megabytes.

    Args:
        api: The platform.
        shard: The shard.
        after: A segment up to which all is known, 0 for none.
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
    # The next segment must be there, unless what was read is old.
    return max(await list_seqs(api, shard), default=0)


async def read_rows(
    api: object_api.ObjectApi, shard: int, seq: int
) -> segment_data.SegmentRows | None:
    """Read one segment with its rows; None when it has expired."""
    stored = await api.read(key_of(shard, seq))
    return None if stored is None else _decode_rows(stored.value)


async def read(
    api: object_api.ObjectApi, shard: int, seq: int
) -> segment_data.Stored | None:
    """Read one segment as it stands; None where there is none."""
    found = await api.read(key_of(shard, seq))
    if found is None:
        return None
    segment = _decode_segment(found.value)
    return segment_data.Stored(seq, found.version, segment)


class ShardLog:
    """Appends to one shard's log under one fencing token.

    It has one caller at a time: the shard's commit task.

    Attributes:
        head: The newest segment as it was last known.
        writes: Platform writes made.
    """

    def __init__(
        self, api: object_api.ObjectApi, shard: int, fencing: int, boot: str
    ) -> None:
        """Bind the log to its shard; `take_over` must come first."""
        self.head = _empty(0, fencing, '')
        self.writes = 0
        self._head_bytes = 0
        self._commit_bytes = 0.0
        self._api = api
        self._shard = shard
        self._fencing = fencing
        self._boot = boot

    async def take_over(self, after: int) -> int:
        """Shut out earlier owners; return their last segment's number.

        Args:
            after: A segment up to which all is known, 0 for none.

        Raises:
            LostError: A later owner was here already.
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
            ConflictError: The head is another; call `settle`.
            UncertainError: They may have been appended; call `settle`.
            UnavailableError: They surely were not appended.
        """
        base = self._base()
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
        kept = self._head_bytes if base.version else 0
        self.head = segment_data.Stored(base.seq, version, segment)
        self._head_bytes = kept + added
        self._commit_bytes += SMOOTHING * (added - self._commit_bytes)
        return base.seq

    async def settle(self) -> list[msgspec.Raw]:
        """Find out what became of an append that went wrong.

        Returns:
            The rows that turned out to have been appended, which can be of
            an earlier append that was believed to have failed.

        Raises:
            LostError: Another owner has closed the log.
            ObjectApiError: The platform failed; call again.
        """
        base = self._base()
        found = await self._read(base.seq)
        if found is None or found.version <= base.version:
            return []
        self._check_owner(found.segment)
        self.head = found
        self._head_bytes = sum(map(size_of, found.segment.rows))
        return found.segment.rows[len(base.segment.rows) :]

    def _base(self) -> segment_data.Stored:
        """Return what the next append goes onto."""
        full = SEAL_COMMITS * self._commit_bytes
        full = min(max(full, LEAST_SEAL_BYTES), MOST_SEAL_BYTES)
        if self._head_bytes < full:
            return self.head
        return _empty(self.head.seq + 1, self._fencing, '')

    async def _seal(self, seq: int) -> None:
        """Close a segment under our token, whatever its owner does."""
        while True:
            found = await self._read(seq)
            if found is None:
                return
            self._check_owner(found.segment, sealing=True)
            if found.segment.sealed and found.segment.fencing == self._fencing:
                return
            closed = found.segment._replace(
                fencing=self._fencing, sealed=True, nonce=self._nonce()
            )
            with contextlib.suppress(
                object_data.ConflictError, object_data.UncertainError
            ):
                await self._write(seq, closed, found.version)

    async def _create(self, seq: int) -> bool:
        """Create an empty segment; False when an earlier owner has."""
        empty = _empty(seq, self._fencing, self._nonce())
        try:
            version = await self._write(seq, empty.segment, 0)
        except (object_data.ConflictError, object_data.UncertainError):
            return await self._created(empty)
        self.head = empty._replace(version=version)
        return True

    async def _created(self, empty: segment_data.Stored) -> bool:
        found = await self._read(empty.seq)
        if found is None:
            # Surely not created, or not to be seen yet: try again.
            return await self._create(empty.seq)
        if found.segment.nonce != empty.segment.nonce:
            return False
        self.head = found
        return True

    async def _read(self, seq: int) -> segment_data.Stored | None:
        return await read(self._api, self._shard, seq)

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
        closed = segment.sealed and not sealing
        if segment.fencing > self._fencing or closed:
            raise LostError(f'shard {self._shard} has another owner')

    def _nonce(self) -> str:
        return f'{self._boot}:{self.writes}'


def batch_of(raws: Iterable[msgspec.Raw]) -> list[msgspec.Raw]:
    """Return as many rows of the front as one append may carry."""
    batch: list[msgspec.Raw] = []
    room = BATCH_BYTES
    for raw in raws:
        room -= size_of(raw)
        if batch and room < 0:
            break
        batch.append(raw)
    return batch


def size_of(raw: msgspec.Raw) -> int:
    """Return the bytes of an encoded row."""
    return memoryview(raw).nbytes


def _empty(seq: int, fencing: int, nonce: str) -> segment_data.Stored:
    segment = segment_data.Segment(fencing, False, nonce, time.time(), [])
    return segment_data.Stored(seq, 0, segment)
