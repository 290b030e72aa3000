"""Periodic maintenance of a shard by its owner.

It adds complete segments to the shard's usage, writes an image for the next
owner, deletes segments past the retention, and ends attempts that got no
outcome. After a failure the next round repeats the work: each write is
conditional and states which segments it covers.
"""

import asyncio
import time

from absl import logging

from beryllug.control import commit, images, segments
from beryllug.core import digest_index, journal_log, shard_image, usage
from beryllug.drivers import object_api, object_data

ROUND_S = 30.0
MAX_DELETES_PER_ROUND = 100


class Upkeep:
    """Periodic maintenance of one shard.

    Attributes:
        first: Lower bound of the numbers of existing segments.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        committer: commit.Committer,
        retention_s: float,
    ) -> None:
        """Initialize with the shard's commit task."""
        self._api = api
        self._committer = committer
        self._retention_s = retention_s
        self._shard = committer.cfg.shard
        self._image_version: int | None = None
        self._stored_tables: set[str] = set()
        self._image_upto = 0
        self.first = 1
        self._first_at = float('-inf')

    async def run(self) -> None:
        """Wait for the interval, then run one round."""
        await asyncio.sleep(ROUND_S)
        if self._committer.serving:
            await self._try_round()

    async def run_round(self, now: float) -> None:
        """Run one round; `now` is the wall-clock time in seconds.

        Raises:
            ObjectApiError: The platform failed; the next round continues.
        """
        state = self._committer.state
        before = now - self._retention_s
        journal_log.expire(state, time.monotonic())
        digest_index.forget(state.index, before)
        upto = self._committer.log.head.seq - 1
        await self._fold(upto)
        if upto > self._image_upto:
            await self._write_image(upto)
        await self._delete_expired(upto, before)

    async def _try_round(self) -> None:
        try:
            await self.run_round(time.time())
        except object_data.ObjectApiError as exc:
            self._image_version = None
            logging.warning(
                'event=upkeep_failed shard=%d error=%s', self._shard, exc
            )

    async def _fold(self, upto: int) -> None:
        """Add complete segments to the shard's usage."""
        totals = self._committer.totals
        complete = [seq for seq in totals if seq <= upto]
        if not complete:
            return
        version, before = await images.read_usage(self._api, self._shard)
        after = usage.fold(before, totals, upto)
        if after.folded > before.folded:
            await images.write_usage(self._api, self._shard, after, version)
        for seq in complete:
            totals.pop(seq)

    async def _write_image(self, upto: int) -> None:
        """Write an image for the next owner."""
        state = self._committer.state
        fencing = self._committer.cfg.fencing
        if self._image_version is None:
            self._image_version = await self._read_version()
        for table in shard_image.unsaved(state):
            name = f'{fencing}-{upto}-{len(self._stored_tables)}'
            await images.write_table(
                self._api, self._shard, name, shard_image.pack(table)
            )
            table.name = name
            self._stored_tables.add(name)
        image = shard_image.take(state, upto, fencing, self.first)
        self._image_version = await images.write_image(
            self._api, self._shard, image, self._image_version
        )
        self._image_upto = upto
        await self._delete_unlisted_tables({ref.name for ref in image.tables})

    async def _read_version(self) -> int:
        version, image = await images.read_image(self._api, self._shard)
        if image is None:
            return version
        if image.fencing > self._committer.cfg.fencing:
            raise object_data.ConflictError(version)
        self._stored_tables = {ref.name for ref in image.tables}
        self.first = max(self.first, image.first)
        return version

    async def _delete_unlisted_tables(self, listed: set[str]) -> None:
        """Delete tables that are no longer part of the index."""
        for name in self._stored_tables - listed:
            key = images.table_key(self._shard, name)
            await self._api.delete(key, None)
        self._stored_tables = listed

    async def _delete_expired(self, upto: int, before: float) -> None:
        """Delete segments that were last written before a time."""
        for _ in range(MAX_DELETES_PER_ROUND):
            if self.first > upto or self._first_at >= before:
                return
            await self._delete_first(before)

    async def _delete_first(self, before: float) -> None:
        stored = await segments.read_segment(self._api, self._shard, self.first)
        if stored is not None:
            self._first_at = stored.segment.at
            if self._first_at >= before:
                return
            key = segments.key_of(self._shard, self.first)
            await self._api.delete(key, stored.version)
        self.first += 1
        self._first_at = float('-inf')
