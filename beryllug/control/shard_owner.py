"""The owner of one shard: answers intents, outcomes and lookups."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from beryllug.control import (
    commit,
    lasting,
    late_rows,
    readback,
    shard_cover,
    upkeep,
)
from beryllug.core import journal, journal_data, rpc_data, shard_state
from beryllug.drivers import object_api

BEGIN_WAIT_S = 2.0
# A write that takes longer counts as a sign of an outage.
SLOW_S = 0.8
FINISH_WAIT_S = 2.0
MAX_PENDING = 20000
TEND_S = 0.2


class ShardOwner:
    """Decides about the rows of one shard while its lease holds.

    Attributes:
        fencing: Fencing token of its lease.
        upkeep: Its occasional work.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        cfg: commit.OwnerCfg,
        valid_s: Callable[[], float],
        cover: shard_cover.ShardCover,
    ) -> None:
        """Make an owner; it serves after `start`.

        Args:
            api: The platform.
            cfg: What it is bound to.
            valid_s: Tells for how many more seconds the lease surely holds.
            cover: Covers grants while the platform is down.
        """
        self.fencing = cfg.fencing
        self._lease_s = valid_s
        self._cover = cover
        self._commits = commit.Committer(api, cfg, self._complete)
        self.upkeep = upkeep.Upkeep(api, self._commits, cfg.retention_s)
        self._tasks: list[asyncio.Task[None]] = []
        self._reader = readback.RowReader(api, cfg.shard, self._commits.log)
        self._late = late_rows.LateRows(
            api, self._commits, self.upkeep, self._reader
        )

    @property
    def state(self) -> shard_state.ShardState:
        """What is remembered of the shard."""
        return self._commits.state

    @property
    def serving(self) -> bool:
        """Whether it has taken over and not lost the shard since."""
        return self._commits.serving

    def start(self) -> None:
        """Take the shard over, then serve."""
        self._commits.start()
        self._tasks = [
            asyncio.create_task(lasting.repeat('upkeep', self.upkeep.run)),
            asyncio.create_task(lasting.repeat('cover', self._tend)),
        ]

    async def stop(self) -> None:
        """Stop; whoever waits learns that nothing was promised."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._commits.stop()
        self._cover.keep_own(self.state)

    async def flush(self, grace_s: float) -> bool:
        """Make all durable; False when something stays in memory only."""
        await self._commits.flush(grace_s)
        if not self._commits.serving:
            return False
        return await self._cover.end(self.state)

    def may_end(self) -> bool:
        """Tell whether the shard can be handed over now."""
        return not self._cover.refuses_new(time.monotonic())

    def dump(self) -> dict[str, Any]:
        """Return the owner's state."""
        return {**self._commits.dump(), 'cover': self._cover.dump()}

    async def begin(self, row: journal_data.Row) -> journal_data.Grant:
        """Answer an intent when it is durable, or why it is not."""
        if not await self._commits.ready(BEGIN_WAIT_S) or self._valid_s() <= 0:
            return journal.unavailable(row)
        decision = journal.begin(self.state, row, time.monotonic())
        while isinstance(decision, journal.ReadBack):
            found = await self._reader.about_key(decision.seq, row)
            if found is None:
                return journal.unavailable(row)
            decision = journal.begin(self.state, row, time.monotonic(), found)
        if isinstance(decision, journal_data.Grant):
            return decision
        return await self._grant(row)

    async def finish(self, row: journal_data.Row) -> bool:
        """Return whether a row is durable; when not it is kept pending."""
        if (
            not await self._commits.ready(FINISH_WAIT_S)
            or len(self.state.pending) >= MAX_PENDING
        ):
            return False
        written = await self._late.is_written(row)
        if written is not False:
            return written is True and self._valid_s() > 0
        self._recall(row)
        decision = journal.finish(self.state, row)
        while isinstance(decision, journal.ReadBack):
            found = await self._reader.outcome(decision.seq, row)
            if found is None:
                return False
            decision = journal.finish(self.state, row, found)
        durable = decision is True or await self._commits.wait(
            row, FINISH_WAIT_S
        )
        return durable and self._valid_s() > 0

    async def lookup(self, ask: rpc_data.LookupAsk) -> rpc_data.LookupReply:
        """Return the latest row of a kind under a key."""
        if not await self._commits.ready(FINISH_WAIT_S):
            return rpc_data.LookupReply(None, available=False)
        if ask.kind is journal_data.RowKind.INTENT:
            return rpc_data.LookupReply(journal.open_intent(self.state, ask))
        for row in reversed(self.state.pending.values()):
            if readback.matches(row, ask):
                return rpc_data.LookupReply(row)
        seq = journal.find_latest(
            self.state, ask.kind, ask.account_id, ask.shard_key
        )
        if seq is None:
            return rpc_data.LookupReply(None)
        return await self._reader.latest(seq, ask)

    async def _grant(self, row: journal_data.Row) -> journal_data.Grant:
        """Grant an intent once it is durable, or copied in an outage.

        Each await can have taken longer than the lease held, and a new owner
        may have answered for this key meanwhile: the time that is left is
        read after it.
        """
        now = time.monotonic()
        is_new = journal.is_new(self.state, row)
        if is_new and self._cover.refuses_new(now):
            journal.deny(self.state, row)
            return journal.unavailable(row)
        if await self._commits.wait(row, SLOW_S):
            return journal.grant(self.state, row, self._valid_s())
        if await self._cover.cover(row):
            valid_s = self._cover.valid_s()
            return journal.grant_unflushed(self.state, row, valid_s)
        if await self._commits.wait(row, BEGIN_WAIT_S):
            return journal.grant(self.state, row, self._valid_s())
        journal.deny(self.state, row)
        return journal.unavailable(row)

    def _recall(self, row: journal_data.Row) -> None:
        """Remember a try of which only the outcome is left.

        Where copies may be missing, an outcome can be all that is known of
        a key; with its intent in the log a resend finds it.
        """
        if self._cover.refuses_new(time.monotonic()):
            journal.recall(self.state, row, time.monotonic())

    def _valid_s(self) -> float:
        """Return for how long surely no other process owns the shard."""
        return max(self._lease_s(), self._cover.valid_s())

    async def _complete(self, state: shard_state.ShardState) -> None:
        await self._cover.prepare(state, self._reader)

    async def _tend(self) -> None:
        await asyncio.sleep(TEND_S)
        if self._commits.serving:
            await self._cover.tend(self.state, self._reader)
