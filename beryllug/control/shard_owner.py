"""The owner of one shard: answers intents, outcomes and lookups."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from beryllug.control import commit, readback, upkeep
from beryllug.core import journal, journal_data, rpc_data, shard_state
from beryllug.drivers import object_api

BEGIN_WAIT_S = 2.0
FINISH_WAIT_S = 2.0
MAX_PENDING = 20000


class ShardOwner:
    """Decides about the rows of one shard while its lease holds.

    Attributes:
        upkeep: Its occasional work.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        cfg: commit.OwnerCfg,
        valid_s: Callable[[], float],
    ) -> None:
        """Make an owner; it serves after `start`.

        Args:
            api: The platform.
            cfg: What it is bound to.
            valid_s: Tells for how many more seconds the lease surely holds.
        """
        self._valid_s = valid_s
        self._commits = commit.Committer(api, cfg)
        self.upkeep = upkeep.Upkeep(api, self._commits, cfg.retention_s)
        self._task: asyncio.Task[None] | None = None
        self._reader = readback.RowReader(api, cfg.shard, self._commits.log)

    @property
    def state(self) -> shard_state.ShardState:
        """What is remembered of the shard."""
        return self._commits.state

    def start(self) -> None:
        """Take the shard over, then serve."""
        self._commits.start()
        self._task = asyncio.create_task(self.upkeep.run())

    async def stop(self) -> None:
        """Stop; whoever waits learns that nothing was promised."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._commits.stop()

    async def flush(self, grace_s: float) -> bool:
        """Wait until no row is pending; False when that takes too long."""
        return await self._commits.flush(grace_s)

    def dump(self) -> dict[str, Any]:
        """Return the owner's state."""
        return self._commits.dump()

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
        if not await self._commits.wait(row, BEGIN_WAIT_S):
            journal.deny(self.state, row)
            return journal.unavailable(row)
        # The await above can have taken longer than the lease held: a new
        # owner may have answered for this key meanwhile.
        return journal.grant(self.state, row, self._valid_s())

    async def finish(self, row: journal_data.Row) -> bool:
        """Return whether a row is durable; when not it is kept pending."""
        if (
            not await self._commits.ready(FINISH_WAIT_S)
            or len(self.state.pending) >= MAX_PENDING
        ):
            return False
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
        for row in reversed(self.state.pending.values()):
            if readback.matches(row, ask):
                return rpc_data.LookupReply(row)
        seq = journal.find_latest(
            self.state, ask.kind, ask.account_id, ask.shard_key
        )
        if seq is None:
            return rpc_data.LookupReply(None)
        return await self._reader.latest(seq, ask)
