"""Detection of duplicate outcomes that the index may have forgotten.

An entry process that could not reach a control process for long sends its
unacknowledged outcomes afterwards. One of them may have been written before,
with its acknowledgement lost. The index forgets the oldest rows, so such an
outcome is searched for in the log, from the segments of its time on: a second
row would bill the request twice.
"""

from beryllug.control import commit, readback, segments, upkeep
from beryllug.core import journal_data, segment_data, shard_state
from beryllug.drivers import object_api, object_data

# Maximum clock difference between entry and control processes.
MAX_CLOCK_SKEW_S = 300.0
SEGMENTS_PER_CALL = 32
MAX_SEARCHES = 1024


class LateRows:
    """Searches for outcomes in the log of one shard.

    A long search is continued when the outcome is sent again.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        committer: commit.Committer,
        shard_upkeep: upkeep.Upkeep,
        reader: readback.RowReader,
    ) -> None:
        """Initialize for a shard."""
        self._api = api
        self._committer = committer
        self._upkeep = shard_upkeep
        self._reader = reader
        self._search_positions: dict[str, int] = {}

    async def is_written(self, row: journal_data.Row) -> bool | None:
        """Tell whether a row is in the log though not in the index.

        Returns:
            None if that is not known yet.
        """
        if not _may_be_forgotten(self._committer.state, row):
            return False
        try:
            return await self._search(row)
        except object_data.ObjectApiError:
            return None

    async def _search(self, row: journal_data.Row) -> bool | None:
        forgotten_until = self._committer.state.index.forgotten_at
        seq = self._search_positions.pop(row.request_id, 0)
        if not seq:
            seq = await self._first_since(row.at - MAX_CLOCK_SKEW_S)
        for _ in range(SEGMENTS_PER_CALL):
            stored = await self._read(seq)
            if (
                stored is None
                or stored.segment.at > forgotten_until + MAX_CLOCK_SKEW_S
            ):
                return False
            found = await self._reader.find_outcome(seq, row)
            if found is not None and found.row is not None:
                return True
            seq += 1
        if len(self._search_positions) < MAX_SEARCHES:
            self._search_positions[row.request_id] = seq
        return None

    async def _first_since(self, at: float) -> int:
        """Return the first segment last written at or after a time."""
        first = self._upkeep.first
        last = self._committer.log.head.seq
        while first < last:
            middle = (first + last) // 2
            stored = await self._read(middle)
            if stored is None or stored.segment.at < at:
                first = middle + 1
            else:
                last = middle
        return first

    async def _read(self, seq: int) -> segment_data.Stored | None:
        return await segments.read_segment(
            self._api, self._committer.cfg.shard, seq
        )


def _may_be_forgotten(
    state: shard_state.ShardState, row: journal_data.Row
) -> bool:
    if row.kind is not journal_data.RowKind.OUTCOME:
        return False
    known = row.request_id in state.tries
    if known or shard_state.has_outcome(state, row.request_id):
        return False
    return row.at <= state.index.forgotten_at + MAX_CLOCK_SKEW_S
