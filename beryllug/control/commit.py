"""The owner of one shard: makes rows durable in groups.

One write is under way at a time; the next takes all rows that came
meanwhile. So the number of platform writes is bounded whatever the number of
requests, and the order of rows in the log is the order of decisions.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from absl import logging

from beryllug.control import readback, segments, waiters
from beryllug.core import (
    journal,
    journal_data,
    journal_log,
    rpc_data,
    shard_state,
)
from beryllug.drivers import object_api, object_data

BEGIN_WAIT_S = 2.0
FINISH_WAIT_S = 2.0
RETRY_S = 0.2
MAX_PENDING = 20000


class OwnerCfg(NamedTuple):
    """What an owner is bound to.

    Attributes:
        shard: Its shard.
        fencing: Fencing token of its lease.
        boot: Random id of this process start.
        commits_per_s: Most platform writes a second.
    """

    shard: int
    fencing: int
    boot: str
    commits_per_s: float


class ShardOwner:
    """Decides about the rows of one shard while its lease holds.

    Attributes:
        cfg: What it is bound to.
        state: What it remembers.
        serving: Whether it has taken over and not lost the shard since.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        cfg: OwnerCfg,
        valid_s: Callable[[], float],
    ) -> None:
        """Make an owner; it serves after `start`.

        Args:
            api: The platform.
            cfg: What it is bound to.
            valid_s: Tells for how many more seconds the lease surely holds.
        """
        self.cfg = cfg
        self.state = shard_state.ShardState()
        self.serving = False
        self._api = api
        self._valid_s = valid_s
        self._log = segments.ShardLog(api, cfg.shard, cfg.fencing, cfg.boot)
        self._reader = readback.RowReader(api, cfg.shard, self._log)
        self._waiters = waiters.Waiters()
        self._wake = asyncio.Event()
        self._served = asyncio.Event()
        self._unsettled = False
        self._down = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Take the shard over, then serve."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; whoever waits learns that nothing was promised."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._end()

    async def flush(self, grace_s: float) -> bool:
        """Wait until no row is pending; False when that takes too long."""
        deadline = time.monotonic() + grace_s
        while self.state.pending and self.serving:
            left_s = deadline - time.monotonic()
            row_id = next(iter(self.state.pending))
            self._wake.set()
            if left_s <= 0 or not await self._waiters.wait(row_id, left_s):
                break
        return not self.state.pending

    def dump(self) -> dict[str, Any]:
        """Return the owner's state."""
        return {
            'serving': self.serving,
            'fencing': self.cfg.fencing,
            'segment': self._log.head.seq,
            'writes': self._log.writes,
            'tries': len(self.state.tries),
            'pending': len(self.state.pending),
            'platform_down': self._down,
        }

    async def begin(self, row: journal_data.Row) -> journal_data.Grant:
        """Answer an intent when it is durable, or why it is not."""
        await waiters.set_within(self._served, BEGIN_WAIT_S)
        if not self.serving:
            return journal.unavailable(row)
        decision = journal.begin(self.state, row, time.monotonic())
        while isinstance(decision, journal.ReadBack):
            found = await self._reader.about_key(decision.seq, row)
            if found is None:
                return journal.unavailable(row)
            decision = journal.begin(self.state, row, time.monotonic(), found)
        if isinstance(decision, journal_data.Grant):
            return decision
        if not await self._wait(row, BEGIN_WAIT_S):
            journal.deny(self.state, row)
            return journal.unavailable(row)
        # The await above can have taken longer than the lease held: a new
        # owner may have answered for this key meanwhile.
        return journal.grant(self.state, row, self._valid_s())

    async def finish(self, row: journal_data.Row) -> bool:
        """Return whether a row is durable; when not it is kept pending."""
        await waiters.set_within(self._served, FINISH_WAIT_S)
        if not self.serving or len(self.state.pending) >= MAX_PENDING:
            return False
        decision = journal.finish(self.state, row)
        while isinstance(decision, journal.ReadBack):
            found = await self._reader.outcome(decision.seq, row)
            if found is None:
                return False
            decision = journal.finish(self.state, row, found)
        durable = decision is True or await self._wait(row, FINISH_WAIT_S)
        return durable and self._valid_s() > 0

    async def lookup(self, ask: rpc_data.LookupAsk) -> rpc_data.LookupReply:
        """Return the latest row of a kind under a key."""
        await waiters.set_within(self._served, FINISH_WAIT_S)
        if not self.serving:
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

    async def _run(self) -> None:
        try:
            await self._take_over()
            while True:
                await self._wake.wait()
                await self._commit()
        except segments.LostError:
            logging.warning('event=shard_lost shard=%d', self.cfg.shard)
        self._end()

    def _end(self) -> None:
        self.serving = False
        self._served.set()
        self._waiters.give_up()

    async def _take_over(self) -> None:
        while not self.serving:
            try:
                await self._read_log()
            except object_data.ObjectApiError as exc:
                logging.warning(
                    'event=takeover_failed shard=%d error=%s',
                    self.cfg.shard,
                    exc,
                )
                await asyncio.sleep(RETRY_S)
        self._served.set()
        self._wake.set()
        logging.info(
            'event=shard_owned shard=%d fencing=%d tries=%d',
            self.cfg.shard,
            self.cfg.fencing,
            len(self.state.tries),
        )

    async def _read_log(self) -> None:
        seqs = await self._log.take_over()
        self.state = await readback.replay(self._api, self.cfg.shard, seqs)
        journal_log.replayed(self.state, time.monotonic())
        self.serving = True

    async def _commit(self) -> None:
        started = time.monotonic()
        try:
            await self._commit_once()
        except object_data.ConflictError:
            self._unsettled = True
        except object_data.ObjectApiError:
            # While the platform is down a read of the head is the probe.
            self._unsettled = True
            self._down = True
        if self.state.pending or self._down:
            self._wake.set()
        pause_s = RETRY_S if self._down else 1 / self.cfg.commits_per_s
        await asyncio.sleep(started + pause_s - time.monotonic())

    async def _commit_once(self) -> None:
        self._wake.clear()
        if self._unsettled:
            found = await self._log.settle()
            self._unsettled = False
            self._take_in([segments.decode_row(raw) for raw in found])
        rows = list(self.state.pending.values())
        raws = segments.batch_of(map(segments.encode_row, rows))
        if raws:
            await self._log.append(raws)
            self._take_in(rows[: len(raws)])
        self._down = False

    def _take_in(self, rows: Sequence[journal_data.Row]) -> None:
        head = self._log.head
        for row in rows:
            journal_log.committed(self.state, row, head.seq, head.segment.at)
        row_ids = map(shard_state.row_id, rows)
        done = [rid for rid in row_ids if rid not in self.state.pending]
        self._waiters.settle(done, durable=True)

    async def _wait(self, row: journal_data.Row, wait_s: float) -> bool:
        row_id = shard_state.row_id(row)
        if row_id not in self.state.pending:
            return True
        self._wake.set()
        return not self._down and await self._waiters.wait(row_id, wait_s)
