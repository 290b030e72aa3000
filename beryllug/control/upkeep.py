"""What the owner of a shard does now and then.

It adds complete segments to the shard's usage, writes an image for the next
owner, deletes segments whose time is over, and ends tries that never ended.
A failure leaves all for the next round: each write is conditional, and says
itself which segments it covers.
"""

import asyncio
import time

from absl import logging

from beryllug.control import commit, images, segments
from beryllug.core import digest_index, journal_log, shard_image, usage
from beryllug.drivers import object_api, object_data

ROUND_S = 30.0
DELETES_A_ROUND = 100


class Upkeep:
    """The upkeep of one shard by its owner.

    Attributes:
        first: The oldest segment, as far as it is known here.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        commits: commit.Committer,
        retention_s: float,
    ) -> None:
        """Bind to the shard's commit task."""
        self._api = api
        self._commits = commits
        self._retention_s = retention_s
        self._shard = commits.cfg.shard
        self._image_version: int | None = None
        self._tables: set[str] = set()
        self._saved = 0
        self.first = 1
        self._first_at = float('-inf')

    async def run(self) -> None:
        """Do one round after a while; to be repeated."""
        await asyncio.sleep(ROUND_S)
        if self._commits.serving:
            await self._try_round()

    async def round(self, now: float) -> None:
        """Do one round; `now` is in seconds of the wall clock.

        Raises:
            ObjectApiError: The platform failed; the next round goes on.
        """
        state = self._commits.state
        before = now - self._retention_s
        journal_log.expire(state, time.monotonic())
        digest_index.forget(state.index, before)
        upto = self._commits.log.head.seq - 1
        await self._fold(upto)
        if upto > self._saved:
            await self._save(upto)
        await self._delete_old(upto, before)

    async def _try_round(self) -> None:
        try:
            await self.round(time.time())
        except object_data.ObjectApiError as exc:
            self._image_version = None
            logging.warning(
                'event=upkeep_failed shard=%d error=%s', self._shard, exc
            )

    async def _fold(self, upto: int) -> None:
        """Add complete segments to the shard's usage."""
        totals = self._commits.totals
        complete = [seq for seq in totals if seq <= upto]
        if not complete:
            return
        version, before = await images.read_usage(self._api, self._shard)
        after = usage.fold(before, totals, upto)
        if after.folded > before.folded:
            await images.write_usage(self._api, self._shard, after, version)
        for seq in complete:
            totals.pop(seq)

    async def _save(self, upto: int) -> None:
        """Write an image for the next owner."""
        state = self._commits.state
        fencing = self._commits.cfg.fencing
        if self._image_version is None:
            self._image_version = await self._read_version()
        for table in shard_image.unsaved(state):
            name = f'{fencing}-{upto}-{len(self._tables)}'
            await images.write_table(
                self._api, self._shard, name, shard_image.pack(table)
            )
            table.name = name
            self._tables.add(name)
        image = shard_image.take(state, upto, fencing, self.first)
        self._image_version = await images.write_image(
            self._api, self._shard, image, self._image_version
        )
        self._saved = upto
        await self._drop_tables({ref.name for ref in image.tables})

    async def _read_version(self) -> int:
        version, image = await images.read_image(self._api, self._shard)
        if image is None:
            return version
        if image.fencing > self._commits.cfg.fencing:
            raise object_data.ConflictError(version)
        self._tables = {ref.name for ref in image.tables}
        self.first = max(self.first, image.first)
        return version

    async def _drop_tables(self, listed: set[str]) -> None:
        """Delete tables that the index has forgotten."""
        for name in self._tables - listed:
            key = images.table_key(self._shard, name)
            await self._api.delete(key, None)
        self._tables = listed

    async def _delete_old(self, upto: int, before: float) -> None:
        """Delete segments that were last written before a second."""
        for _ in range(DELETES_A_ROUND):
            if self.first > upto or self._first_at >= before:
                return
            await self._delete_first(before)

    async def _delete_first(self, before: float) -> None:
        stored = await segments.read(self._api, self._shard, self.first)
        if stored is not None:
            self._first_at = stored.segment.at
            if self._first_at >= before:
                return
            key = segments.key_of(self._shard, self.first)
            await self._api.delete(key, stored.version)
        self.first += 1
        self._first_at = float('-inf')
