"""Reads rows back from a shard's log."""

import asyncio
from typing import NamedTuple

from beryllug.control import segments
from beryllug.core import (
    journal,
    journal_data,
    journal_log,
    rpc_data,
    shard_state,
)
from beryllug.drivers import object_api, object_data


class IndexedRows(NamedTuple):
    """Rows of a segment, in order and by their deduplication key."""

    rows: list[journal_data.Row]
    by_id: dict[shard_state.RowId, journal_data.Row]


class RowReader:
    """Reads the rows that the index of a shard refers to.

    Concurrent readers of a segment share one read. Otherwise, when an entry
    process sends hundreds of outcomes again, each would read the same rows.
    """

    def __init__(
        self, api: object_api.ObjectApi, shard: int, log: segments.ShardLog
    ) -> None:
        """Initialize for a shard; the head segment is read from memory."""
        self._api = api
        self._shard = shard
        self._log = log
        self._pending_reads: dict[int, asyncio.Task[IndexedRows | None]] = {}

    async def read(self, seq: int) -> IndexedRows | None:
        """Return a segment's rows, or None if it can't be read at present."""
        task = self._pending_reads.get(seq)
        if task is None:
            task = asyncio.create_task(self._read(seq))
            self._pending_reads[seq] = task
            task.add_done_callback(lambda _: self._pending_reads.pop(seq))
        return await asyncio.shield(task)

    async def find_deciding_row(
        self, seq: int, row: journal_data.Row
    ) -> journal.ReadBackResult | None:
        """Find the row that determines the state of an intent's key."""
        found = await self.read(seq)
        if found is None:
            return None
        deciding_row = journal_log.about_key(
            found.rows, row.account_id, row.shard_key
        )
        return journal.ReadBackResult(seq, deciding_row)

    async def find_outcome(
        self, seq: int, row: journal_data.Row
    ) -> journal.ReadBackResult | None:
        """Find an outcome by its request id."""
        found = await self.read(seq)
        if found is None:
            return None
        return journal.ReadBackResult(
            seq, found.by_id.get(shard_state.row_id(row))
        )

    async def find_latest_row(
        self, seq: int, request: rpc_data.LookupRequest
    ) -> rpc_data.LookupReply:
        """Find the latest row that matches a lookup."""
        found = await self.read(seq)
        if found is None:
            return rpc_data.LookupReply(None, available=False)
        matching = [row for row in found.rows if matches(row, request)]
        return rpc_data.LookupReply(matching[-1] if matching else None)

    async def _read(self, seq: int) -> IndexedRows | None:
        rows = await self._rows(seq)
        if rows is None:
            return None
        return IndexedRows(rows, {shard_state.row_id(row): row for row in rows})

    async def _rows(self, seq: int) -> list[journal_data.Row] | None:
        head = self._log.head
        if seq == head.seq:
            return [segments.decode_row(raw) for raw in head.segment.rows]
        try:
            segment = await segments.read_rows(self._api, self._shard, seq)
        except object_data.ObjectApiError:
            return None
        return [] if segment is None else segment.rows


def matches(row: journal_data.Row, request: rpc_data.LookupRequest) -> bool:
    """Tell whether a row has the kind and key of a lookup."""
    return (row.kind, row.account_id, row.shard_key) == (
        request.kind,
        request.account_id,
        request.shard_key,
    )
