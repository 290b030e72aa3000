"""Reads rows back from a shard's log."""

from collections.abc import Iterable

from beryllug.control import segments
from beryllug.core import (
    journal,
    journal_data,
    journal_log,
    rpc_data,
    shard_state,
)
from beryllug.drivers import object_api, object_data


class RowReader:
    """Reads the rows that an index names."""

    def __init__(
        self, api: object_api.ObjectApi, shard: int, log: segments.ShardLog
    ) -> None:
        """Bind the reader to a shard; the head is read from memory."""
        self._api = api
        self._shard = shard
        self._log = log

    async def rows(self, seq: int) -> list[journal_data.Row] | None:
        """Return a segment's rows, or None when it can't be read now."""
        head = self._log.head
        if seq == head.seq:
            return [segments.decode_row(raw) for raw in head.segment.rows]
        try:
            segment = await segments.read_rows(self._api, self._shard, seq)
        except object_data.ObjectApiError:
            return None
        return [] if segment is None else segment.rows

    async def about_key(
        self, seq: int, row: journal_data.Row
    ) -> journal.Found | None:
        """Find the row that decides about the key of an intent."""
        rows = await self.rows(seq)
        if rows is None:
            return None
        chosen = journal_log.about_key(rows, row.account_id, row.shard_key)
        return journal.Found(seq, chosen)

    async def outcome(
        self, seq: int, row: journal_data.Row
    ) -> journal.Found | None:
        """Find an outcome by its request id."""
        rows = await self.rows(seq)
        if rows is None:
            return None
        wanted = shard_state.row_id(row)
        same = (known for known in rows if shard_state.row_id(known) == wanted)
        return journal.Found(seq, next(same, None))

    async def latest(
        self, seq: int, ask: rpc_data.LookupAsk
    ) -> rpc_data.LookupReply:
        """Find the latest row that a lookup asks for."""
        rows = await self.rows(seq)
        if rows is None:
            return rpc_data.LookupReply(None, available=False)
        matching = [row for row in rows if matches(row, ask)]
        return rpc_data.LookupReply(matching[-1] if matching else None)


def matches(row: journal_data.Row, ask: rpc_data.LookupAsk) -> bool:
    """Tell whether a row is of the kind and key that is asked for."""
    return (row.kind, row.account_id, row.shard_key) == (
        ask.kind,
        ask.account_id,
        ask.shard_key,
    )


async def replay(
    api: object_api.ObjectApi, shard: int, seqs: Iterable[int]
) -> shard_state.ShardState:
    """Build the state of a shard from its segments.

    Raises:
        ObjectApiError: The platform failed; start anew.
    """
    state = shard_state.ShardState()
    for seq in seqs:
        segment = await segments.read_rows(api, shard, seq)
        if segment is not None:
            journal_log.replay(state, segment.rows, seq, segment.at)
    return state
