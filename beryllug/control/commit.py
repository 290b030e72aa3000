"""The commit task of one shard: makes rows durable in groups.

One write is under way at a time; the next takes all rows that came
meanwhile. So the number of platform writes is bounded whatever the number of
requests, and the order of rows in the log is the order of decisions.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from absl import logging

from beryllug.control import lasting, segments, takeover, waiters
from beryllug.core import (
    journal_data,
    journal_log,
    pace,
    shard_state,
    usage,
)
from beryllug.drivers import object_api, object_data

RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
MAX_FAILURES = 3
# A quiet shard may use so many seconds of its rate at once.
BURST_S = 0.5


class OwnerCfg(NamedTuple):
    """What an owner is bound to.

    Attributes:
        shard: Its shard.
        fencing: Fencing token of its lease.
        boot: Random id of this process start.
        commits_per_s: Most platform writes a second.
        retention_s: How long rows are kept.
    """

    shard: int
    fencing: int
    boot: str
    commits_per_s: float
    retention_s: float


class Committer:
    """Takes a shard over and appends its pending rows.

    Attributes:
        cfg: What it is bound to.
        state: What is remembered of the shard.
        totals: Usage of each segment that the stored usage lacks.
        log: The shard's log.
        serving: Whether it has taken over and not lost the shard since.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        cfg: OwnerCfg,
        prepare: takeover.Prepare,
    ) -> None:
        """Make a committer; it takes over after `start`.

        Args:
            api: The platform.
            cfg: What it is bound to.
            prepare: Completes the state before it is served.
        """
        self.cfg = cfg
        self.state = shard_state.ShardState()
        self.totals: dict[int, usage.Totals] = {}
        self.log = segments.ShardLog(api, cfg.shard, cfg.fencing, cfg.boot)
        self.serving = False
        self._api = api
        self._prepare = prepare
        self._waiters = waiters.Waiters()
        self._wake = asyncio.Event()
        self._served = asyncio.Event()
        self._unsettled = False
        self._failures = 0
        burst = max(1, round(cfg.commits_per_s * BURST_S))
        self._pace = pace.Pace(1 / cfg.commits_per_s, burst)
        self._task: asyncio.Task[None] | None = None

    @property
    def down(self) -> bool:
        """Tell whether the platform counts as down."""
        return self._failures >= MAX_FAILURES

    def start(self) -> None:
        """Take the shard over, then commit."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; whoever waits learns that nothing was promised."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._end()

    async def ready(self, wait_s: float) -> bool:
        """Wait for the end of the takeover; tell whether rows are taken."""
        await waiters.set_within(self._served, wait_s)
        return self.serving

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

    async def wait(self, row: journal_data.Row, wait_s: float) -> bool:
        """Wait until a row is durable; False at once in an outage.

        Rows of a shard that was lost or handed over meanwhile wait for
        nobody.
        """
        row_id = shard_state.row_id(row)
        if row_id not in self.state.pending:
            return True
        self._wake.set()
        hopeless = self.down or not self.serving
        return not hopeless and await self._waiters.wait(row_id, wait_s)

    def dump(self) -> dict[str, Any]:
        """Return the state."""
        return {
            'serving': self.serving,
            'fencing': self.cfg.fencing,
            'segment': self.log.head.seq,
            'writes': self.log.writes,
            'tries': len(self.state.tries),
            'pending': len(self.state.pending),
            'unflushed': len(self.state.unflushed),
            'platform_down': self.down,
        }

    async def _run(self) -> None:
        await lasting.repeat(f'shard {self.cfg.shard}', self._round)
        logging.warning('event=shard_lost shard=%d', self.cfg.shard)
        self._end()

    async def _round(self) -> None:
        if not self.serving:
            await self._take_over()
        await self._wake.wait()
        await self._commit()

    def _end(self) -> None:
        self.serving = False
        self._served.set()
        self._waiters.give_up()

    async def _take_over(self) -> None:
        restored = await takeover.take_over(
            self._api, self.cfg.shard, self.log, self._prepare
        )
        self.state = restored.state
        self.totals = restored.totals
        self.serving = True
        self._served.set()
        self._wake.set()
        logging.info(
            'event=shard_owned shard=%d fencing=%d tries=%d',
            self.cfg.shard,
            self.cfg.fencing,
            len(self.state.tries),
        )

    async def _commit(self) -> None:
        await asyncio.sleep(pace.wait_s(self._pace, time.monotonic()))
        pace.spend(self._pace, time.monotonic())
        pause_s = 0.0
        try:
            await self._commit_once()
        except object_data.ConflictError:
            self._unsettled = True
        except object_data.RateLimitedError as exc:
            pause_s = exc.retry_after_s
        except object_data.ObjectApiError as exc:
            self._fail(exc)
            pause_s = min(RETRY_S * self._failures, LONGEST_RETRY_S)
        finally:
            if self.state.pending or self._failures:
                self._wake.set()
        await asyncio.sleep(pause_s)

    def _fail(self, exc: Exception) -> None:
        """Count a failure; while the platform is down nobody waits for it.

        Until it is back, a read of the head is the probe.
        """
        self._unsettled = True
        self._failures += 1
        if self._failures == MAX_FAILURES:
            logging.warning(
                'event=platform_down shard=%d error=%s', self.cfg.shard, exc
            )
            self._waiters.give_up()

    async def _commit_once(self) -> None:
        self._wake.clear()
        if self._unsettled:
            found = await self.log.settle()
            self._unsettled = False
            self._take_in([segments.decode_row(raw) for raw in found])
        rows = list(self.state.pending.values())
        raws = segments.batch_of(map(segments.encode_row, rows))
        if raws:
            await self.log.append(raws)
            self._take_in(rows[: len(raws)])
        self._failures = 0

    def _take_in(self, rows: Sequence[journal_data.Row]) -> None:
        head = self.log.head
        totals = self.totals.setdefault(head.seq, usage.Totals())
        for row in rows:
            usage.add_row(totals, row)
            journal_log.committed(self.state, row, head.seq, head.segment.at)
        row_ids = map(shard_state.row_id, rows)
        done = [rid for rid in row_ids if rid not in self.state.pending]
        self._waiters.settle(done, durable=True)
