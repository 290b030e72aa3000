"""The owner of one shard: processes intents, outcomes and lookups."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from beryllug.control import (
    commit,
    late_rows,
    readback,
    outage_replicator,
    upkeep,
)
from beryllug.core import journal, journal_data, rpc_data, shard_state
from beryllug.drivers import object_api
from beryllug.kernel import background_tasks

BEGIN_WAIT_S = 2.0
# A write that takes longer is treated as a possible platform outage.
SLOW_WRITE_S = 0.8
FINISH_WAIT_S = 2.0
MAX_PENDING = 20000
COPY_CHECK_INTERVAL_S = 0.2


class ShardOwner:
    """Processes the rows of one shard while its lease is valid.

    Attributes:
        fencing: Fencing token of its lease.
        upkeep: Its periodic maintenance.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        cfg: commit.OwnerCfg,
        valid_s: Callable[[], float],
        replicator: outage_replicator.OutageReplicator,
    ) -> None:
        """Initialize the owner; it serves after `start`.

        Args:
            api: The platform.
            cfg: Settings of the shard and its lease.
            valid_s: Returns for how many more seconds the lease is
                guaranteed.
            replicator: Replicates intents while the platform is down.
        """
        self.fencing = cfg.fencing
        self._lease_valid_s = valid_s
        self._replicator = replicator
        self._committer = commit.Committer(api, cfg, self._gather_copies)
        self.upkeep = upkeep.Upkeep(api, self._committer, cfg.retention_s)
        self._tasks: list[asyncio.Task[None]] = []
        self._reader = readback.RowReader(api, cfg.shard, self._committer.log)
        self._late_rows = late_rows.LateRows(
            api, self._committer, self.upkeep, self._reader
        )

    @property
    def state(self) -> shard_state.ShardState:
        """The in-memory state of the shard."""
        return self._committer.state

    @property
    def serving(self) -> bool:
        """Whether it has taken the shard over and still owns it."""
        return self._committer.serving

    def start(self) -> None:
        """Take the shard over, then serve."""
        self._committer.start()
        self._tasks = [
            asyncio.create_task(
                background_tasks.run_repeatedly('upkeep', self.upkeep.run)
            ),
            asyncio.create_task(
                background_tasks.run_repeatedly('cover', self._maintain_copies)
            ),
        ]

    async def stop(self) -> None:
        """Stop; callers still waiting get no durability guarantee."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._committer.stop()
        self._replicator.store_unflushed(self.state)

    async def flush(self, grace_s: float) -> bool:
        """Make all rows durable; False if some stay in memory only."""
        await self._committer.flush(grace_s)
        if not self._committer.serving:
            return False
        return await self._replicator.end_ownership(self.state)

    def can_hand_over(self) -> bool:
        """Tell whether the shard can be handed over now."""
        return not self._replicator.refuses_new(time.monotonic())

    def dump(self) -> dict[str, Any]:
        """Return the owner's state."""
        return {**self._committer.dump(), 'cover': self._replicator.dump()}

    async def begin(self, row: journal_data.Row) -> journal_data.Grant:
        """Grant an intent once it is durable, or return why it is refused."""
        if (
            not await self._committer.ready(BEGIN_WAIT_S)
            or self._valid_s() <= 0
        ):
            return journal.unavailable(row)
        decision = journal.begin(self.state, row, time.monotonic())
        while isinstance(decision, journal.ReadBack):
            found = await self._reader.find_deciding_row(decision.seq, row)
            if found is None:
                return journal.unavailable(row)
            decision = journal.begin(self.state, row, time.monotonic(), found)
        if isinstance(decision, journal_data.Grant):
            return decision
        return await self._grant(row)

    async def finish(self, row: journal_data.Row) -> bool:
        """Return whether a row is durable; if not, it may still be pending."""
        if (
            not await self._committer.ready(FINISH_WAIT_S)
            or len(self.state.pending) >= MAX_PENDING
        ):
            return False
        is_in_log = await self._late_rows.is_written(row)
        if is_in_log is not False:
            return is_in_log is True and self._valid_s() > 0
        self._add_missing_intent(row)
        decision = journal.finish(self.state, row)
        while isinstance(decision, journal.ReadBack):
            found = await self._reader.find_outcome(decision.seq, row)
            if found is None:
                return False
            decision = journal.finish(self.state, row, found)
        durable = decision is True or await self._committer.wait(
            row, FINISH_WAIT_S
        )
        return durable and self._valid_s() > 0

    async def lookup(
        self, request: rpc_data.LookupRequest
    ) -> rpc_data.LookupReply:
        """Return the latest row of a kind for a key."""
        if not await self._committer.ready(FINISH_WAIT_S):
            return rpc_data.LookupReply(None, available=False)
        if request.kind is journal_data.RowKind.INTENT:
            return rpc_data.LookupReply(
                journal.open_intent(self.state, request)
            )
        for row in reversed(self.state.pending.values()):
            if readback.matches(row, request):
                return rpc_data.LookupReply(row)
        seq = journal.find_latest(
            self.state, request.kind, request.account_id, request.shard_key
        )
        if seq is None:
            return rpc_data.LookupReply(None)
        return await self._reader.find_latest_row(seq, request)

    async def _grant(self, row: journal_data.Row) -> journal_data.Grant:
        """Grant an intent once it is durable, or replicated in an outage.

        The lease may expire during any await, and a new owner may have
        decided about this key since: the remaining validity is read after
        each await.
        """
        now = time.monotonic()
        is_new = journal.is_new(self.state, row)
        if is_new and self._replicator.refuses_new(now):
            journal.deny(self.state, row)
            return journal.unavailable(row)
        if await self._committer.wait(row, SLOW_WRITE_S):
            return journal.grant(self.state, row, self._valid_s())
        if await self._replicator.replicate(row):
            valid_s = self._replicator.valid_s()
            return journal.grant_unflushed(self.state, row, valid_s)
        if await self._committer.wait(row, BEGIN_WAIT_S):
            return journal.grant(self.state, row, self._valid_s())
        journal.deny(self.state, row)
        return journal.unavailable(row)

    def _add_missing_intent(self, row: journal_data.Row) -> None:
        """Add the intent of an attempt of which only the outcome is known.

        If copies of intents may be missing, the outcome can be the only
        record of a key. With the intent in the log, a resend finds it.
        """
        if self._replicator.refuses_new(time.monotonic()):
            journal.add_missing_intent(self.state, row, time.monotonic())

    def _valid_s(self) -> float:
        """Return for how long no other process can own the shard."""
        return max(self._lease_valid_s(), self._replicator.valid_s())

    async def _gather_copies(self, state: shard_state.ShardState) -> None:
        await self._replicator.prepare(state, self._reader)

    async def _maintain_copies(self) -> None:
        await asyncio.sleep(COPY_CHECK_INTERVAL_S)
        if self._committer.serving:
            await self._replicator.maintain(self.state, self._reader)
