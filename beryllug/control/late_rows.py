"""Outcomes that come so late that the index may have forgotten them.

An entry that reached no control process for long sends what it owes when it
does. Its first try may have been written, and its acknowledgement lost. The
index forgets the oldest rows, so such an outcome is looked for in the log
itself, from the segments of its time on; a second row would be a second bill.
"""

from beryllug.control import commit, readback, segments, upkeep
from beryllug.core import journal_data, segment_data, shard_state
from beryllug.drivers import object_api, object_data

# Clocks of entries and control processes differ by no more than this.
SKEW_S = 300.0
SEGMENTS_A_CALL = 32
MAX_SEARCHES = 1024


class LateRows:
    """Looks for outcomes in the log of one shard.

    A search that takes long goes on when the outcome is sent again.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        commits: commit.Committer,
        chores: upkeep.Upkeep,
        reader: readback.RowReader,
    ) -> None:
        """Bind to a shard."""
        self._api = api
        self._commits = commits
        self._upkeep = chores
        self._reader = reader
        self._searched: dict[str, int] = {}

    async def is_written(self, row: journal_data.Row) -> bool | None:
        """Tell whether a row was written and forgotten, None if not known."""
        if not _may_be_forgotten(self._commits.state, row):
            return False
        try:
            return await self._search(row)
        except object_data.ObjectApiError:
            return None

    async def _search(self, row: journal_data.Row) -> bool | None:
        until = self._commits.state.index.forgotten_at
        seq = self._searched.pop(row.request_id, 0)
        if not seq:
            seq = await self._first_since(row.at - SKEW_S)
        for _ in range(SEGMENTS_A_CALL):
            stored = await self._read(seq)
            if stored is None or stored.segment.at > until + SKEW_S:
                return False
            found = await self._reader.outcome(seq, row)
            if found is not None and found.row is not None:
                return True
            seq += 1
        if len(self._searched) < MAX_SEARCHES:
            self._searched[row.request_id] = seq
        return None

    async def _first_since(self, at: float) -> int:
        """Return the first segment that was last written since a second."""
        first = self._upkeep.first
        last = self._commits.log.head.seq
        while first < last:
            middle = (first + last) // 2
            stored = await self._read(middle)
            if stored is None or stored.segment.at < at:
                first = middle + 1
            else:
                last = middle
        return first

    async def _read(self, seq: int) -> segment_data.Stored | None:
        return await segments.read(self._api, self._commits.cfg.shard, seq)


def _may_be_forgotten(
    state: shard_state.ShardState, row: journal_data.Row
) -> bool:
    if row.kind is not journal_data.RowKind.OUTCOME:
        return False
    known = row.request_id in state.tries
    if known or shard_state.has_outcome(state, row.request_id):
        return False
    return row.at <= state.index.forgotten_at + SKEW_S
