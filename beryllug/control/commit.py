"""The commit task of one shard: makes rows durable by group commit.

At most one write is in progress; the next one takes all rows that arrived
meanwhile. So the rate of platform writes is bounded whatever the request
rate, and rows stand in the log in the order of decisions.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from absl import logging

from beryllug.control import segments, takeover, waiters
from beryllug.core import (
    journal_data,
    journal_log,
    pace,
    shard_state,
    usage,
)
from beryllug.drivers import object_api, object_data
from beryllug.kernel import background_tasks

RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
MAX_FAILURES = 3
# An idle shard may use this many seconds of its commit rate in a burst.
BURST_S = 0.5


class OwnerCfg(NamedTuple):
    """Settings of a shard owner.

    Attributes:
        shard: Its shard.
        fencing: Fencing token of its lease.
        boot: Random id of this process start.
        commits_per_s: Maximum number of platform writes per second.
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
        cfg: Settings of the shard owner.
        state: The in-memory state of the shard.
        totals: Usage of each segment not yet added to the stored usage.
        log: The shard's log.
        serving: Whether it has taken the shard over and still owns it.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        cfg: OwnerCfg,
        prepare: takeover.Prepare,
    ) -> None:
        """Initialize the committer; `start` takes the shard over.

        Args:
            api: The platform.
            cfg: Settings of the shard owner.
            prepare: Completes the restored state before it is served.
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
        self._takeover_ended = asyncio.Event()
        self._append_uncertain = False
        self._failures = 0
        burst = max(1, round(cfg.commits_per_s * BURST_S))
        self._pace = pace.Pace(1 / cfg.commits_per_s, burst)
        self._task: asyncio.Task[None] | None = None

    @property
    def is_platform_down(self) -> bool:
        """Tell whether the platform is considered down."""
        return self._failures >= MAX_FAILURES

    def start(self) -> None:
        """Start the task that takes the shard over and commits rows."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; callers still waiting get no durability guarantee."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._stop_serving()

    async def ready(self, wait_s: float) -> bool:
        """Wait for the end of the takeover; tell whether rows are accepted."""
        await waiters.wait_for_event(self._takeover_ended, wait_s)
        return self.serving

    async def flush(self, grace_s: float) -> bool:
        """Wait until no row is pending; False on timeout."""
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

        It also returns False at once if the shard has been lost or handed
        over, as its rows are no longer committed here.
        """
        row_id = shard_state.row_id(row)
        if row_id not in self.state.pending:
            return True
        self._wake.set()
        is_unavailable = self.is_platform_down or not self.serving
        return not is_unavailable and await self._waiters.wait(row_id, wait_s)

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
            'platform_down': self.is_platform_down,
        }

    async def _run(self) -> None:
        await background_tasks.run_repeatedly(
            f'shard {self.cfg.shard}', self._round
        )
        logging.warning('event=shard_lost shard=%d', self.cfg.shard)
        self._stop_serving()

    async def _round(self) -> None:
        if not self.serving:
            await self._take_over()
        await self._wake.wait()
        await self._commit()

    def _stop_serving(self) -> None:
        self.serving = False
        self._takeover_ended.set()
        self._waiters.fail_all()

    async def _take_over(self) -> None:
        restored = await takeover.take_over(
            self._api, self.cfg.shard, self.log, self._prepare
        )
        self.state = restored.state
        self.totals = restored.totals
        self.serving = True
        self._takeover_ended.set()
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
            self._append_uncertain = True
        except object_data.RateLimitedError as exc:
            pause_s = exc.retry_after_s
        except object_data.ObjectApiError as exc:
            self._record_failure(exc)
            pause_s = min(RETRY_S * self._failures, LONGEST_RETRY_S)
        finally:
            if self.state.pending or self._failures:
                self._wake.set()
        await asyncio.sleep(pause_s)

    def _record_failure(self, exc: Exception) -> None:
        """Count a failure; once the platform is down, release all waiters.

        While it is down, it is probed by reading the head segment.
        """
        self._append_uncertain = True
        self._failures += 1
        if self._failures == MAX_FAILURES:
            logging.warning(
                'event=platform_down shard=%d error=%s', self.cfg.shard, exc
            )
            self._waiters.fail_all()

    async def _commit_once(self) -> None:
        self._wake.clear()
        if self._append_uncertain:
            appended = await self.log.resolve_append()
            self._append_uncertain = False
            self._apply_durable([segments.decode_row(raw) for raw in appended])
        rows = list(self.state.pending.values())
        raws = segments.first_batch(map(segments.encode_row, rows))
        if raws:
            await self.log.append(raws)
            self._apply_durable(rows[: len(raws)])
        self._failures = 0

    def _apply_durable(self, rows: Sequence[journal_data.Row]) -> None:
        head = self.log.head
        totals = self.totals.setdefault(head.seq, usage.Totals())
        for row in rows:
            usage.add_row(totals, row)
            journal_log.apply_committed(
                self.state, row, head.seq, head.segment.at
            )
        row_ids = map(shard_state.row_id, rows)
        durable_ids = [rid for rid in row_ids if rid not in self.state.pending]
        self._waiters.complete(durable_ids, durable=True)
