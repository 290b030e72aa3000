"""Service 'judge': decides and stores the results of rollouts.

Every process evaluates the evidence it has received. The judges of a rollout,
chosen by a hash over the live processes, receive all evidence and write the
verdict to the store, in the order of `core.canary.verdict_write`. The write
succeeds only if the order has not changed since, so the second of two writes is
refused and that process adopts the stored verdict.
"""

import asyncio
import time
from typing import Any

from beryllug.core import stamps
from beryllug.core.canary import canary_data, plan, verdict, verdict_write
from beryllug.drivers import object_data
from beryllug.kernel import background_tasks, log_lines
from beryllug.platform import documents, store
from beryllug.router import peering, rollout_state, sharing, trials

# Seconds between two evaluations of each open rollout. A verdict is due in all
# processes seconds after the evidence for it.
PERIOD_S = 0.25


class Judge:
    """Writes the results of rollouts to the store."""

    def __init__(
        self,
        canaries: trials.Trials,
        peers: peering.Peering,
        notes: sharing.Sharing,
        api: store.Store,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the evidence, the peers and the store."""
        self._trials = canaries
        self._peers = peers
        self._notes = notes
        self._api = api
        self._lines = lines
        self._pending: dict[str, verdict_write.PendingWrite] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to evaluate rollouts."""
        self._task = background_tasks.start('judge', self._run)

    async def stop(self, grace_s: float) -> None:
        """Stop evaluating; a peer takes over."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return since when each verdict that is not yet stored is due."""
        pending = {
            rollout.order.service: self._pending.get(rollout.order.service)
            for rollout in self._trials.rollouts()
            if not rollout.is_stored
        }
        return {
            service: write.since for service, write in pending.items() if write
        }

    async def _run(self) -> None:
        while True:
            # Without a rollout there is nothing to evaluate, and each iteration
            # wakes the process.
            await self._trials.has_open_rollout.wait()
            await asyncio.sleep(self._pause_s())
            for rollout in list(self._trials.rollouts()):
                if rollout.is_stored:
                    self._pending.pop(rollout.order.service, None)
                else:
                    await self._evaluate(rollout)

    def _pause_s(self) -> float:
        """Return the seconds until the next evaluation."""
        is_waiting = any(
            not each.has_written for each in self._pending.values()
        )
        return verdict_write.CHECK_S if is_waiting else PERIOD_S

    async def _evaluate(self, rollout: rollout_state.Rollout) -> None:
        now = time.monotonic()
        seen = rollout.seen()
        rollout.lowest = verdict.lowest_scores(seen, rollout.lowest)
        phase = plan.next_phase(
            rollout.order,
            rollout.phase,
            seen,
            plan.Ages(now - rollout.started_at, now - rollout.phase_started_at),
            self._trials.bounds,
            rollout.lowest,
        )
        if phase is not rollout.phase:
            self._log(rollout, phase, seen)
            if self._is_told(rollout, phase, now):
                self._trials.set_phase(rollout, phase, 'judged', now)
                self._notes.broadcast_phase(rollout, now)
        if plan.is_over(phase):
            await self._write_when_due(rollout, phase, now)

    def _is_told(
        self,
        rollout: rollout_state.Rollout,
        phase: canary_data.Phase,
        now: float,
    ) -> bool:
        """Return whether others are told of a phase before it is stored.

        Within its time, only the judges, who have all evidence, may say that
        there is not enough, and they write.
        """
        if phase is canary_data.Phase.FULL:
            return self._rank(rollout.order.service) < verdict_write.JUDGES
        if phase is not canary_data.Phase.ROLLED_BACK:
            return False
        is_late = now - rollout.started_at >= rollout.order.duration_s
        return is_late or rollout.is_version_bad()

    async def _write_when_due(
        self,
        rollout: rollout_state.Rollout,
        phase: canary_data.Phase,
        now: float,
    ) -> None:
        service = rollout.order.service
        if rollout.written_on >= rollout.order.revision:
            self._pending.pop(service, None)
            return
        write = self._pending_write(rollout, now)
        match verdict_write.next_step(write, self._rank(service)):
            case verdict_write.Step.ANNOUNCE:
                write.is_announced = True
                self._announce(rollout, now)
            case verdict_write.Step.WRITE:
                write.has_written = True
                self._announce(rollout, now)
                await self._write(rollout, phase)

    def _pending_write(
        self, rollout: rollout_state.Rollout, now: float
    ) -> verdict_write.PendingWrite:
        """Return the write of a verdict that is due, after one more check."""
        order = rollout.order
        writers = rollout_state.count_writers(rollout)
        write = self._pending.get(order.service)
        if write is None or write.revision != order.revision:
            # Another process may have written the verdict of the previous one.
            write = verdict_write.PendingWrite(order.revision, now, writers)
            self._pending[order.service] = write
        else:
            verdict_write.count_check(write, writers)
        return write

    def _rank(self, service: str) -> int:
        """Return the rank of this process, as far as ranks differ."""
        return next(
            (
                rank
                for rank in range(verdict_write.RANKS)
                if self._peers.is_judge(service, rank)
            ),
            verdict_write.RANKS,
        )

    def _announce(self, rollout: rollout_state.Rollout, now: float) -> None:
        """Tell the others, once, that this process writes a verdict."""
        if rollout.announced_on != rollout.order.revision:
            rollout.announced_on = rollout.order.revision
            self._notes.broadcast_phase(rollout, now)

    async def _write(
        self, rollout: rollout_state.Rollout, phase: canary_data.Phase
    ) -> None:
        """Write a verdict, and tell the others once it is stored."""
        order = rollout.order
        began_at = time.monotonic()
        error = await self._set_status(order, phase)
        self._log_write(order, phase, began_at, error)
        if error is None or isinstance(error, object_data.ConflictError):
            # After a conflict no write on this revision can succeed. The watch
            # on the store delivers the newer one.
            rollout.written_on = max(rollout.written_on, order.revision)
        if error is None:
            self._trials.settle(rollout, phase, 'stored')
            self._notes.broadcast_phase(rollout, time.monotonic())

    async def _set_status(
        self, order: canary_data.Order, phase: canary_data.Phase
    ) -> object_data.ObjectApiError | None:
        """Write a verdict; return the error if the store did not accept it."""
        try:
            await self._api.set_status(
                store.ROLLOUTS,
                order.service,
                order.revision,
                documents.order_status(order.target, phase),
            )
        except object_data.ObjectApiError as exc:
            return exc
        return None

    def _log_write(
        self,
        order: canary_data.Order,
        phase: canary_data.Phase,
        began_at: float,
        error: object_data.ObjectApiError | None,
    ) -> None:
        """Log who wrote a verdict, on which revision of the order, and when."""
        write = self._pending[order.service]
        now = time.monotonic()
        self._lines.write(
            'verdict_not_stored' if error else 'verdict_stored',
            service=order.service,
            target=order.target,
            phase=phase.value,
            revision=stamps.format_stamp(order.revision),
            rank=self._rank(order.service),
            due_s=round(began_at - write.since, 3),
            took_s=round(now - began_at, 3),
            **({'error': str(error)} if error else {}),
        )

    def _log(
        self,
        rollout: rollout_state.Rollout,
        phase: canary_data.Phase,
        seen: canary_data.Tally,
    ) -> None:
        self._lines.write(
            'verdict',
            service=rollout.order.service,
            target=rollout.order.target,
            phase=phase.value,
            age_s=round(time.monotonic() - rollout.started_at, 2),
            judged=verdict.count_new_answers(seen),
            requests=seen.requests,
            tried=seen.tried,
            scores={
                name: round(score, 2)
                for name, score in verdict.scores(seen)._asdict().items()
            },
            failures=_counts_by_route(verdict.failures(seen)),
            slowness=_counts_by_route(verdict.slowness(seen)),
        )


def _counts_by_route(routes: dict[str, canary_data.Seen]) -> dict[str, Any]:
    """Return good and bad answers by route, in the form of the log."""
    return {
        route: {
            'new': {
                name: list(each) for name, each in seen.by_instance.items()
            },
            'old': list(seen.old),
        }
        for route, seen in routes.items()
    }
