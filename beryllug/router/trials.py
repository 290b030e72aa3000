"""Service 'trials': the version that each request runs on in a rollout.

Selects the requests that try a new version, keeps sessions on their version,
counts the answers, and withholds requests from the new version as soon as this
process sees it fail. The fleet-wide verdict is made by the judge.
"""

import asyncio
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from beryllug.core import stamps
from beryllug.core.canary import canary_data, plan, sessions
from beryllug.core.peering import peering_data
from beryllug.kernel import log_lines
from beryllug.router import call as call_data
from beryllug.router import pins, pool, rollout_state


# Phases that are accepted from a peer. That a rollout is complete is accepted
# only from the store, since its old servers are stopped then.
PEER_PHASES = (canary_data.Phase.FULL, canary_data.Phase.ROLLED_BACK)

# Seconds after an order before a session is selected: by then the processes
# have notified one another of the sessions that already run.
SESSION_SYNC_S = 1.0


# Maximum number of replaced rollouts that are remembered.
MAX_REPLACED = 50


class VersionChoice(NamedTuple):
    """The versions that a request may run on.

    Attributes:
        versions: The versions; None for any.
        others: The versions to try after a failure on these; None for any.
        is_trial: Whether the request tries a version that is not yet proven.
        is_bound: Whether it may run on no other version, but for the first
            attempt of a trial.
    """

    versions: frozenset[str] | None = None
    others: frozenset[str] | None = None
    is_trial: bool = False
    is_bound: bool = False


class Trials:
    """Chooses versions for requests and counts their answers.

    Attributes:
        bounds: The bounds of a rollout.
        pins: The version that each session runs on.
        has_open_rollout: Set while a rollout has no final result in the store.
    """

    def __init__(
        self,
        servers: pool.Pool,
        bounds: canary_data.Bounds,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the pool, which knows the versions of the servers."""
        self._pool = servers
        self.bounds = bounds
        self._lines = lines
        self._rollouts: dict[str, rollout_state.Rollout] = {}
        self._replaced: dict[tuple[str, str], rollout_state.Rollout] = {}
        self.pins = pins.Pins(bounds)
        self.has_open_rollout = asyncio.Event()

    async def start(self) -> None:
        """Do nothing: the service is driven by orders and requests."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return each rollout with its counts, and the session counts."""
        rollouts = {
            service: {
                'target': each.order.target,
                'phase': each.phase.value,
                'age_s': time.monotonic() - each.started_at,
                'tried': each.tally.tried,
                'requests': each.tally.requests,
            }
            for service, each in self._rollouts.items()
        }
        return {'rollouts': rollouts, 'pins': self.pins.dump()}

    def rollouts(self) -> Iterable[rollout_state.Rollout]:
        """Return the known rollouts."""
        return self._rollouts.values()

    def apply_order(
        self,
        order: canary_data.Order,
        phase: canary_data.Phase,
        now: float,
    ) -> None:
        """Apply an order, or a change of its status, from the store."""
        known = self._rollouts.get(order.service)
        if known is None or known.order.target != order.target:
            if known is not None:
                self._replaced[(order.service, known.order.target)] = known
            rejected = rollout_state.rejected_versions(known, order.target)
            known = _new_rollout(self._replaced, order, now)
            known.rejected = rejected
            self._rollouts[order.service] = known
            self.pins.queue_sessions(order)
            _log(self._lines, order, phase, 'ordered')
        known.order = order
        if plan.is_over(phase):
            self.settle(known, phase, 'store')
        # A store that was restored from a copy may have lost the result.
        known.is_stored = plan.is_over(phase)
        _set_if_open(self.has_open_rollout, self._rollouts.values())

    def set_phase(
        self,
        rollout: rollout_state.Rollout,
        phase: canary_data.Phase,
        source: str,
        now: float,
    ) -> None:
        """Set the phase of a rollout, unless it has ended."""
        if rollout.phase is phase or not rollout.is_open:
            return
        rollout.phase = phase
        rollout.phase_started_at = now
        _log(self._lines, rollout.order, phase, source)

    def settle(
        self,
        rollout: rollout_state.Rollout,
        phase: canary_data.Phase,
        source: str,
    ) -> None:
        """Set the final phase of a rollout to the one in the store."""
        if rollout.phase is not phase:
            _log(self._lines, rollout.order, phase, source)
        rollout.phase = phase
        rollout.is_stored = True
        _set_if_open(self.has_open_rollout, self._rollouts.values())

    def apply_digest(self, digest: peering_data.Digest, now: float) -> None:
        """Apply the phases and the counts that a peer reports."""
        self.apply_phases(digest.rollouts, digest.name, now)
        for told in digest.tallies:
            known = _find(self._rollouts, told.service, told.target)
            if known is not None:
                rollout_state.merge_tally(known, digest.name, told)

    def apply_phases(
        self,
        told: Iterable[peering_data.RolloutProgress],
        peer: str,
        now: float,
    ) -> None:
        """Apply the phases of rollouts that a peer reports."""
        for news in told:
            known = _find(self._rollouts, news.service, news.target)
            if known is None:
                continue
            known.started_at = min(known.started_at, now - news.age_s)
            rollout_state.merge_writes(known, peer, news)
            if news.phase in PEER_PHASES:
                self.set_phase(known, news.phase, peer, now)

    def choose_versions(self, call: call_data.Call) -> VersionChoice:
        """Return the versions that a request may run on."""
        rollout = self._rollouts.get(call.service)
        if rollout is None:
            return VersionChoice()
        target = frozenset((rollout.order.target,))
        listed = self._pool.versions(call.service) - target
        now = time.monotonic()
        old = rollout_state.old_versions(rollout, listed, now)
        if not old or rollout.phase is canary_data.Phase.COMPLETE:
            return VersionChoice(target)
        is_bound = rollout_state.is_bound_to_old(rollout, now)
        if rollout.is_open:
            rollout.tally.requests += 1
        on_old = VersionChoice(old, old, is_bound=is_bound)
        match rollout.phase:
            case canary_data.Phase.ROLLED_BACK:
                return on_old
            case canary_data.Phase.FULL:
                if not self._may_send_in_full(call, rollout, now):
                    return on_old
                rollout.tally.tried += 1
                return VersionChoice(target, old, is_trial=True)
        found = self._choose_trial_versions(call, rollout, target, old)
        return found._replace(is_bound=is_bound)

    def record_run(self, call: call_data.Call, version: str) -> None:
        """Record the version on which a request of a session runs."""
        session = call.asked.session
        if not session:
            return
        told = sessions.SessionVersion(call.service, session, version)
        rollout = self._rollouts.get(call.service)
        if rollout is None or not rollout.is_open:
            part = 0.0
        elif version == rollout.order.target:
            # Another process would take it for a session of the old version.
            part = 1 / self.bounds.share
        else:
            part = rollout_state.largest_part(
                rollout,
                self.bounds,
                self._pool.repeats.processes,
                time.monotonic(),
            )
        self.pins.record_run(told, part)

    def count_answer(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        *,
        is_good: bool,
        took: Sequence[rollout_state.Timing] = (),
    ) -> None:
        """Count an answer.

        Args:
            call: The request.
            choice: The server that answered.
            is_good: Whether the answer was a success.
            took: What was asked and how long it took, if that is comparable.
        """
        rollout = self._rollouts.get(call.service)
        if rollout is None:
            return
        if is_good and choice.server.version in rollout.old:
            rollout.old_answered_at = time.monotonic()
        if rollout.phase is canary_data.Phase.COMPLETE:
            _count_completed(
                self._lines, rollout, call, choice, is_good=is_good
            )
        if not rollout.is_open:
            return
        rollout_state.count(
            rollout,
            choice.server,
            call.route.name,
            is_good=is_good,
            took=took,
        )

    def _choose_trial_versions(
        self,
        call: call_data.Call,
        rollout: rollout_state.Rollout,
        target: frozenset[str],
        old: frozenset[str],
    ) -> VersionChoice:
        now = time.monotonic()
        session = call.asked.session
        pin = session and self.pins.pinned(call.service, session)
        if pin and pin in target:
            # The session stays on the version, even beyond the share: the share
            # is enforced by how many new sessions try the version.
            is_trial = True
        elif pin and plan.binds_sessions(
            rollout.order, now - rollout.started_at
        ):
            is_trial = False
        else:
            is_trial = self._is_selected(call, rollout)
        if not is_trial or rollout.is_version_bad():
            return VersionChoice(old, old)
        rollout.tally.tried += 1
        return VersionChoice(target, old, is_trial=True)

    def _may_send_in_full(
        self, call: call_data.Call, rollout: rollout_state.Rollout, now: float
    ) -> bool:
        """Return whether a request is sent to a version in its full phase."""
        session = call.asked.session
        pinned = session and self.pins.pinned(call.service, session)
        return pinned == rollout.order.target or plan.may_send_in_full(
            rollout.order,
            rollout.tally,
            now - rollout.started_at,
            self.bounds,
            self._pool.repeats.processes,
        )

    def _is_selected(
        self, call: call_data.Call, rollout: rollout_state.Rollout
    ) -> bool:
        """Return whether a request without a pin tries the new version."""
        now = time.monotonic()
        if now - rollout.started_at < SESSION_SYNC_S:
            return False
        subject = call.asked.session or call.asked.attempt_id
        processes = self._pool.repeats.processes
        part = plan.sampled_part(
            rollout.seen(),
            rollout_state.requests(rollout, processes, now),
            self.bounds,
            call.route.name,
            is_binding=plan.binds_sessions(
                rollout.order, now - rollout.started_at
            ),
        )
        return plan.is_sampled(subject, self.bounds, part) and plan.may_try(
            rollout.tally, self.bounds, processes, rollout.dither
        )


def _new_rollout(
    replaced: dict[tuple[str, str], rollout_state.Rollout],
    order: canary_data.Order,
    now: float,
) -> rollout_state.Rollout:
    """Return a new rollout, or one known from before a store restore."""
    while len(replaced) > MAX_REPLACED:
        replaced.pop(next(iter(replaced)))
    known = replaced.pop((order.service, order.target), None)
    if known and stamps.is_restored(order.revision, known.order.revision):
        return known
    return rollout_state.Rollout(order, canary_data.Phase.TRIAL, now, now)


def _set_if_open(
    event: asyncio.Event, rollouts: Iterable[rollout_state.Rollout]
) -> None:
    """Set an event while a rollout has no final result in the store."""
    if all(each.is_stored for each in rollouts):
        event.clear()
    else:
        event.set()


def _find(
    rollouts: Mapping[str, rollout_state.Rollout], service: str, target: str
) -> rollout_state.Rollout | None:
    known = rollouts.get(service)
    if known is None or known.order.target != target:
        return None
    return known


def _count_completed(
    lines: log_lines.LineWriter,
    rollout: rollout_state.Rollout,
    call: call_data.Call,
    choice: pool.Choice,
    *,
    is_good: bool,
) -> None:
    """Count an answer of a complete version, and log bad ones."""
    if rollout_state.count_completed(rollout, call.route.name, is_good=is_good):
        lines.write(
            'completed_version_failed',
            service=rollout.order.service,
            target=rollout.order.target,
            id=call.asked.attempt_id,
            server=choice.server.instance,
            running=choice.running,
            answers={
                route: list(each) for route, each in rollout.completed.items()
            },
        )


def _log(
    lines: log_lines.LineWriter,
    order: canary_data.Order,
    phase: canary_data.Phase,
    source: str,
) -> None:
    lines.write(
        'rollout',
        service=order.service,
        target=order.target,
        phase=phase.value,
        source=source,
    )
