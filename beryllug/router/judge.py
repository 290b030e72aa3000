"""Service 'judge': decides and stores the results of rollouts.

Every process evaluates the evidence it has received. The judges of a rollout,
chosen by a hash over the live processes, receive all evidence and write the
verdict to the store. The write succeeds only if the order has not changed
since, so the second of two writes is refused and that process adopts the stored
verdict.
"""

import asyncio
import time
from typing import Any, NamedTuple

from beryllug.core import stamps
from beryllug.core.canary import canary_data, plan, verdict
from beryllug.drivers import object_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import peering, rollout_state, sharing, trials

# Seconds between two evaluations of each open rollout. A verdict is due in all
# processes seconds after the evidence for it.
PERIOD_S = 0.25
# Seconds that the second judge waits for the first one's verdict, and any other
# process for the second one's. When the store refused both judges, a process
# that waited for twice 0.4 s wrote a fifth of a second before the order's time
# was over, which was too late. If two processes write, the second write is
# refused.
TAKEOVER_DELAY_S = 0.2


class _Due(NamedTuple):
    """A verdict that is due.

    Attributes:
        revision: Revision of the order that it is written on.
        since: Monotonic second since which it is due here.
    """

    revision: int
    since: float


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
        self._due: dict[str, _Due] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to evaluate rollouts."""
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop evaluating; a peer takes over."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return since when each verdict that is not yet stored is due."""
        return {service: each.since for service, each in self._due.items()}

    async def _run(self) -> None:
        while True:
            # Without a rollout there is nothing to evaluate, and each iteration
            # wakes the process.
            await self._trials.has_open_rollout.wait()
            await asyncio.sleep(PERIOD_S)
            for rollout in list(self._trials.rollouts()):
                if not rollout.is_stored:
                    await self._evaluate(rollout)

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
        if phase in trials.PEER_PHASES and phase is not rollout.phase:
            self._trials.set_phase(rollout, phase, 'judged', now)
            self._notes.broadcast_phase(rollout, now)
        if plan.is_over(phase):
            await self._write_when_due(rollout, phase, now)

    async def _write_when_due(
        self,
        rollout: rollout_state.Rollout,
        phase: canary_data.Phase,
        now: float,
    ) -> None:
        service = rollout.order.service
        due = self._due.get(service)
        if due is None or due.revision != rollout.order.revision:
            # Another process may have written the verdict of the previous one.
            due = _Due(rollout.order.revision, now)
            self._due[service] = due
        if now - due.since < self._rank(service) * TAKEOVER_DELAY_S:
            return
        if await self._write(rollout, phase):
            self._due.pop(service, None)

    def _rank(self, service: str) -> int:
        """Return the rank of this process; `JUDGES` if it is no judge.

        Both judges may be gone, so any process takes over in the end.
        """
        return next(
            (
                rank
                for rank in range(peering.JUDGES)
                if self._peers.is_judge(service, rank)
            ),
            peering.JUDGES,
        )

    async def _write(
        self, rollout: rollout_state.Rollout, phase: canary_data.Phase
    ) -> bool:
        order = rollout.order
        began_at = time.monotonic()
        try:
            await self._api.set_status(
                store.ROLLOUTS,
                order.service,
                order.revision,
                documents.order_status(order.target, phase),
            )
        except object_data.ObjectApiError as exc:
            # After a conflict, the watch on the store delivers the stored
            # verdict.
            self._log_write(order, phase, began_at, exc)
            return False
        self._log_write(order, phase, began_at)
        self._trials.settle(rollout, phase, 'stored')
        return True

    def _log_write(
        self,
        order: canary_data.Order,
        phase: canary_data.Phase,
        began_at: float,
        exc: object_data.ObjectApiError | None = None,
    ) -> None:
        """Log who wrote a verdict, on which revision of the order, and when."""
        due = self._due[order.service]
        now = time.monotonic()
        self._lines.write(
            'verdict_not_stored' if exc else 'verdict_stored',
            service=order.service,
            target=order.target,
            phase=phase.value,
            revision=stamps.format_stamp(order.revision),
            rank=self._rank(order.service),
            due_s=round(began_at - due.since, 3),
            took_s=round(now - began_at, 3),
            **({'error': str(exc)} if exc else {}),
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
