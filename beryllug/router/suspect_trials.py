"""Whether, and where, a request may run under which servers were lost.

The decisions are those of `core.placement.poison_requests`; all processes
decide alike by what they have told each other.
"""

import functools
import secrets
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

from beryllug.core import suspects_data
from beryllug.core.placement import (
    accusations,
    crash_checks,
    poison_requests,
    retry_delay,
    servers_data,
    suspect_keys,
)
from beryllug.kernel import log_lines
from beryllug.router import attempts, waiting_attempts
from beryllug.router import call as call_data

TRIAL_ID_BYTES = 4
CHECK_ID_BYTES = 3
# Seconds after which a check whose end is not told counts no more.
MAX_CHECK_S = 3.0
LOST = 'backend servers were lost while this request ran'
TRIED = 'backend servers were lost while this request ran; it is being tried'
IN_TRIAL = retry_delay.PlacementFailure(retry_delay.Cause.IN_TRIAL)


class Suspicion(NamedTuple):
    """Under what condition a request may be sent to a server.

    Attributes:
        refusal: Why it may not be sent at all; None if it may.
        is_suspect: Whether it may be sent as a trial only.
        is_waiting: Whether another request that shares what is suspected is
            being tried.
        avoided: Servers that a trial must not run on.
    """

    refusal: call_data.RefusedError | None = None
    is_suspect: bool = False
    is_waiting: bool = False
    avoided: frozenset[str] = frozenset()


UNSUSPECTED = Suspicion()


class SuspectTrials:
    """Refuses suspects, and begins and ends their trials.

    Attributes:
        state: What this process and its peers know of such requests.
        waiting: The attempts that wait at a server.
        counts: Numbers of what was recorded or decided, for metrics.
        on_changed: Called when there is something to report to peers.
        on_cleared: Called with lost trials that accuse nothing any more.
    """

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Start without suspects."""
        self.state = poison_requests.Crashers()
        self.waiting = waiting_attempts.WaitingAttempts()
        self.counts = {'lost': 0, 'refused': 0, 'tried': 0, 'cleared': 0}
        self.on_changed: Callable[[], None] = _ignore
        self.on_cleared: Callable[[Collection[str]], None] = _ignore_trials
        self._lines = lines

    def check(self, call: call_data.Call) -> None:
        """Check on its arrival that a request may run.

        Raises:
            RefusedError: It is refused for now; it has not run.
        """
        refusal = self.suspicion(call).refusal
        if refusal is not None:
            raise refusal

    def suspicion(self, call: call_data.Call) -> Suspicion:
        """Return whether, and on which servers, a request may run."""
        table = self.state.table
        if not (table.notes or table.segment_losses):
            return UNSUSPECTED
        now = time.monotonic()
        keys = call.keys
        refused_s = suspect_keys.refused_s(table, keys, now)
        if refused_s:
            return Suspicion(self._refuse(call, LOST, refused_s))
        if not suspect_keys.suspected(table, keys, now):
            return UNSUSPECTED
        if suspect_keys.is_tried(table, keys[:1], now):
            return Suspicion(self.refuse_trial(call))
        return Suspicion(
            is_suspect=True,
            is_waiting=suspect_keys.is_tried(table, keys, now),
            avoided=poison_requests.avoided(self.state, now),
        )

    def refuse_trial(self, call: call_data.Call) -> call_data.RefusedError:
        """Return the error for a suspect that can't be tried now."""
        left_s = call.deadline - time.monotonic()
        return self._refuse(
            call, TRIED, retry_delay.retry_in_s(IN_TRIAL, left_s)
        )

    def begin(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        progress: attempts.Progress,
    ) -> bool:
        """Begin the trial of a suspect; returns whether it may run there."""
        now = time.monotonic()
        request = suspects_data.TrialRequest(
            call.fingerprint,
            server.instance,
            secrets.token_hex(TRIAL_ID_BYTES),
            call.deadline - now,
            segments=call.segment_keys,
        )
        verdict = poison_requests.may_begin(self.state, request, now)
        if verdict is suspects_data.Verdict.TRY:
            progress.trial_id = request.trial_id
            progress.tried = poison_requests.tried_keys(
                self.state, request, now
            )
            self.counts['tried'] += 1
            self._lines.write(
                'suspect_tried',
                id=call.asked.attempt_id,
                fingerprint=request.fingerprint,
                instance=server.instance,
                tried=progress.tried,
            )
            self.report_changes()
        return verdict in {suspects_data.Verdict.TRY, suspects_data.Verdict.RUN}

    def begin_check(
        self, call: call_data.Call, server: servers_data.Server
    ) -> Callable[[], None]:
        """Tell peers that a server is checked that may have crashed.

        Returns:
            What ends the check.
        """
        now = time.monotonic()
        check_id = f'{crash_checks.CHECK}{secrets.token_hex(CHECK_ID_BYTES)}'
        check = suspects_data.Trial(
            check_id, server.instance, now + MAX_CHECK_S
        )
        keys = poison_requests.begin_check(
            self.state,
            call.keys,
            check,
            now,
            runs_once=not call.route.is_repeatable,
        )
        self.report_changes()
        return functools.partial(self._end_check, check_id, keys)

    def end(self, call: call_data.Call, progress: attempts.Progress) -> None:
        """Record that a trial, if it was one, ended or began to answer.

        Its server is free for the trial of another suspect. If it is lost
        later, that still counts against this trial.
        """
        if progress.trial_id:
            poison_requests.trial_ended(
                self.state,
                call.fingerprint,
                progress.trial_id,
                progress.tried,
            )
            self.report_changes()

    def answered(
        self, call: call_data.Call, progress: attempts.Progress
    ) -> None:
        """Record that a request was answered to its end."""
        cleared = poison_requests.answered(
            self.state,
            call.fingerprint,
            progress.trial_id,
            time.monotonic(),
            call.segment_keys,
        )
        for key, servers in cleared.items():
            self.counts['cleared'] += 1
            self._lines.write(
                'suspect_cleared',
                id=call.asked.attempt_id,
                fingerprint=key,
                servers=servers,
            )
        self.report_cleared(cleared)
        self.report_changes()

    def report_cleared(self, keys: Collection[str]) -> None:
        """Have lost trials forgotten whose keys were all answered."""
        trials = accusations.cleared(self.state, keys)
        if trials:
            self.on_cleared(trials)

    def report_changes(self) -> None:
        """Have peers told of what has changed, if anything has."""
        state = self.state
        if state.untold:
            self.withdraw_waiting(state.untold)
        if state.untold or state.untold_lost or state.untold_answered:
            self.on_changed()

    def withdraw_waiting(self, changed: Collection[str]) -> None:
        """Withdraw what waits at a server and may not run there any more.

        What a trial of it on another server may clear is withdrawn if it can
        be sent again then. A segment that is a suspect only withdraws nothing:
        all that waits may share it.

        Args:
            changed: Keys whose note has changed.
        """
        now = time.monotonic()
        binding = frozenset(
            suspect_keys.binding(self.state.table, changed, now)
        )
        if binding:
            self.waiting.withdraw(
                lambda each: self._is_withdrawn(each, binding, now)
            )

    def _end_check(self, check_id: str, keys: suspect_keys.Keys) -> None:
        if keys:
            poison_requests.trial_ended(self.state, keys[0], check_id, keys)
            self.report_changes()

    def _is_withdrawn(
        self,
        each: waiting_attempts.Waiting,
        changed: frozenset[str],
        now: float,
    ) -> bool:
        keys = each.call.keys
        table = self.state.table
        if changed.isdisjoint(keys):
            return False
        if suspect_keys.refused_s(table, keys, now):
            return True
        return (
            keys[0] in changed
            and bool(suspect_keys.suspected(table, keys[:1], now))
            and each.call.route.is_repeatable
            and not each.progress.trial_id
        )

    def _refuse(
        self, call: call_data.Call, reason: str, retry_after_s: float
    ) -> call_data.RefusedError:
        self.counts['refused'] += 1
        self._lines.write(
            'suspect_refused',
            id=call.asked.attempt_id,
            fingerprint=call.fingerprint,
            reason=reason,
        )
        return call_data.RefusedError(
            call_data.UNAVAILABLE, reason, retry_after_s
        )


def _ignore_trials(trials: Collection[str]) -> None:
    """Default of `on_cleared`."""


def _ignore() -> None:
    """Default of `on_changed`."""
