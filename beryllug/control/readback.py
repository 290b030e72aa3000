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


class Read(NamedTuple):
    """Rows of a segment, in order and by what they are deduplicated by."""

    rows: list[journal_data.Row]
    by_id: dict[shard_state.RowId, journal_data.Row]


class RowReader:
    """Reads the rows that an index names.

    Readers of one segment at one time share the read: an entry that sends
    hundreds of outcomes again would else have each read the same rows.
    """

    def __init__(
        self, api: object_api.ObjectApi, shard: int, log: segments.ShardLog
    ) -> None:
        """Bind the reader to a shard; the head is read from memory."""
        self._api = api
        self._shard = shard
        self._log = log
        self._reading: dict[int, asyncio.Task[Read | None]] = {}

    async def read(self, seq: int) -> Read | None:
        """Return a segment's rows, or None when it can't be read now."""
        task = self._reading.get(seq)
        if task is None:
            task = asyncio.create_task(self._read(seq))
            self._reading[seq] = task
            task.add_done_callback(lambda _: self._reading.pop(seq))
        return await asyncio.shield(task)

    async def about_key(
        self, seq: int, row: journal_data.Row
    ) -> journal.Found | None:
        """Find the row that decides about the key of an intent."""
        found = await self.read(seq)
        if found is None:
            return None
        chosen = journal_log.about_key(
            found.rows, row.account_id, row.shard_key
        )
        return journal.Found(seq, chosen)

    async def outcome(
        self, seq: int, row: journal_data.Row
    ) -> journal.Found | None:
        """Find an outcome by its request id."""
        found = await self.read(seq)
        if found is None:
            return None
        return journal.Found(seq, found.by_id.get(shard_state.row_id(row)))

    async def latest(
        self, seq: int, ask: rpc_data.LookupAsk
    ) -> rpc_data.LookupReply:
        """Find the latest row that a lookup asks for."""
        found = await self.read(seq)
        if found is None:
            return rpc_data.LookupReply(None, available=False)
        matching = [row for row in found.rows if matches(row, ask)]
        return rpc_data.LookupReply(matching[-1] if matching else None)

    async def _read(self, seq: int) -> Read | None:
        rows = await self._rows(seq)
        if rows is None:
            return None
        return Read(rows, {shard_state.row_id(row): row for row in rows})

    async def _rows(self, seq: int) -> list[journal_data.Row] | None:
        head = self._log.head
        if seq == head.seq:
            return [segments.decode_row(raw) for raw in head.segment.rows]
        try:
            segment = await segments.read_rows(self._api, self._shard, seq)
        except object_data.ObjectApiError:
            return None
        return [] if segment is None else segment.rows


def matches(row: journal_data.Row, ask: rpc_data.LookupAsk) -> bool:
    """Tell whether a row is of the kind and key that is asked for."""
    return (row.kind, row.account_id, row.shard_key) == (
        ask.kind,
        ask.account_id,
        ask.shard_key,
    )
