"""Reports of crashed backend servers, and refusal of suspected requests.

When a connection breaks and the server then refuses connections, the server
was lost, and each of our requests on it is under suspicion. The report is
answered before any of them is tried again, so that the suspicion is known to
the other entry processes before it can meet another server.
"""

import asyncio
import os
import time
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from absl import logging

from beryllug.core import rpc_data, suspects_data
from beryllug.drivers import http_client, methods, rpc
from beryllug.entry import (
    call_data,
    catching_up,
    control_calls,
    control_link,
    liveness,
    routing,
    suspicions,
)

# Seconds in which a report is known on all hosts: a control process waits
# one for its peers.
REPORT_TIMEOUT_S = 2.0
ID_BYTES = 8
# Seconds that a server takes at least to start again after a crash.
MIN_RESTART_S = 0.3
RETRY_AFTER_S = 1.0


class Ticks(catching_up.Ticks, Protocol):
    """What the service needs of the clock of this process."""

    def ran_before(self, noticed: float) -> float:
        """Return the last time when an event had not yet happened."""


class Crashes:
    """Service 'crashes' of an entry process.

    Attributes:
        known: What is known of suspected requests.
        catching_up: Learns what was missed as this process stood still.
    """

    def __init__(
        self,
        entry: str,
        calls: control_calls.ControlCalls,
        link: control_link.ControlLink,
        client: http_client.HttpClient,
        ticks: Ticks,
    ) -> None:
        """Bind the link to control, the client for probes and the clock."""
        self.known = suspicions.KnownSuspects(link)
        self.suspect_sync = catching_up.SuspectSync(calls, self.known, ticks)
        self._entry = entry
        self._calls = calls
        self._client = client
        self._ticks = ticks
        self._counts = {'reported': 0, 'unknown': 0, 'trials': 0}
        self._inspecting: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Do nothing: it works when it is called."""

    async def stop(self, grace_s: float) -> None:
        """Send what is still to be told, for a bounded time."""
        if self._tasks:
            _, late = await asyncio.wait(self._tasks, timeout=REPORT_TIMEOUT_S)
            for task in late:
                task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return counts of reports, trials and refusals."""
        return {**self._counts, **self.known.dump()}

    def refuse_suspect(self, call: call_data.Call) -> None:
        """Refuse a call at once that has cost the server of its trial.

        Not one that may run only once: it may have run under its key, and
        the journal must be asked before "not run" is said. The attempt at a
        server refuses that one.

        Raises:
            RefusedError: It is refused for now.
        """
        if call.facts.repeatable:
            self.known.needs_trial(call)

    async def ask_trial(
        self, call: call_data.Call, server_id: str, trial_id: str
    ) -> suspects_data.Verdict:
        """Ask whether a suspected call may run on a server.

        Raises:
            RefusedError: It is refused, or nobody could decide.
        """
        request = suspects_data.TrialAsk(
            call.fingerprint,
            server_id,
            trial_id,
            max(call.deadline - time.monotonic(), 0),
        )
        try:
            reply = await self._calls.call(
                methods.TRY_SUSPECT, request, REPORT_TIMEOUT_S
            )
        except rpc.RpcError as exc:
            raise suspicions.refused(RETRY_AFTER_S) from exc
        match reply.verdict:
            case suspects_data.Verdict.REFUSE:
                raise suspicions.refused(reply.retry_after_s)
            case suspects_data.Verdict.RUN:
                self.known.forget(call.fingerprint)
            case suspects_data.Verdict.TRY:
                self._counts['trials'] += 1
        return reply.verdict

    async def suspect(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        fingerprints: Sequence[str],
    ) -> liveness.Found:
        """Report a crash if the server of an attempt that it cut is gone.

        One that this process looked for too late may have crashed and
        started again: it is reported, too, or a request that crashes servers
        would go on to the next one.
        """
        return await self._inspect(call, attempt, fingerprints, cut=True)

    def ended(
        self, call: call_data.Call, attempt: routing.Attempt, *, answered: bool
    ) -> None:
        """Tell that an attempt ended and its server lives."""
        fingerprint = call.fingerprint
        clears = answered and self.known.forget(fingerprint)
        if attempt.trial_id or clears:
            end = suspects_data.TrialEnd(
                fingerprint, attempt.trial_id, answered
            )
            self._start_task(self._report_trial_end(end))

    def answers(self, call: call_data.Call, attempt: routing.Attempt) -> None:
        """Tell that an attempt's answer has begun.

        The server is free for another trial: an answer may take minutes, and
        all others that shared the crash would wait for it. Should the server
        be lost after all, the report still names this trial.
        """
        if attempt.trial_id:
            self.abandon_trial(call, attempt.trial_id)

    def abandon_trial(self, call: call_data.Call, trial_id: str) -> None:
        """End a trial, without saying how."""
        end = suspects_data.TrialEnd(call.fingerprint, trial_id, answered=False)
        self._start_task(self._report_trial_end(end))

    def watch(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        fingerprints: Sequence[str],
        *,
        cut: bool = False,
    ) -> None:
        """Look after an answer that broke off whether its server lives.

        One look at a time for a server: callers that go away cut answers
        off too, and each would else cost the server a connection.

        Args:
            call: The call.
            attempt: The attempt that did not end well.
            fingerprints: Of the requests of this process on its server.
            cut: The server's side closed the connection.
        """
        server_id = attempt.server.server_id
        if server_id in self._inspecting and not attempt.trial_id:
            return
        self._inspecting.add(server_id)
        inspection = self._inspect(call, attempt, tuple(fingerprints), cut=cut)
        self._start_task(inspection).add_done_callback(
            lambda _: self._inspecting.discard(server_id)
        )

    async def _inspect(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        fingerprints: Sequence[str],
        *,
        cut: bool,
    ) -> liveness.Found:
        found = await self._check_server(attempt, cut=cut)
        if found is liveness.Found.LIVES:
            self.ended(call, attempt, answered=False)
        else:
            await self._report(call, attempt, fingerprints)
        return found

    async def _check_server(
        self, attempt: routing.Attempt, *, cut: bool
    ) -> liveness.Found:
        now = time.monotonic()
        last_alive_at = max(attempt.started, self._ticks.ran_before(now))
        check = await liveness.look(self._client, attempt.server.address)
        if check.gone:
            return liveness.Found.GONE
        # The process may have stood still before the look, or within it.
        unobserved_s = check.at - last_alive_at
        stood_until = self._ticks.stood_until(time.monotonic())
        is_late = unobserved_s > MIN_RESTART_S or stood_until > check.at
        if not cut or not is_late:
            return liveness.Found.LIVES
        self._counts['unknown'] += 1
        logging.warning(
            'event=server_seen_late server=%s unseen_s=%.3f',
            attempt.server.server_id,
            unobserved_s,
        )
        return liveness.Found.UNKNOWN

    async def _report(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        fingerprints: Sequence[str],
    ) -> None:
        self._counts['reported'] += 1
        report = rpc_data.CrashReport(
            entry=self._entry,
            server_id=attempt.server.server_id,
            version=attempt.version,
            fingerprints=tuple(fingerprints),
            at=time.time(),
            tried=call.fingerprint if attempt.trial_id else '',
            trial_id=attempt.trial_id,
        )
        self.known.reported(report)
        try:
            await self._calls.call(methods.CRASH, report, REPORT_TIMEOUT_S)
        except rpc.RpcError as exc:
            logging.warning('event=crash_report_failed error=%s', exc)

    async def _report_trial_end(self, end: suspects_data.TrialEnd) -> None:
        try:
            await self._calls.call(methods.END_SUSPECT, end, REPORT_TIMEOUT_S)
        except rpc.RpcError as exc:
            logging.warning('event=trial_end_not_told error=%s', exc)

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def new_trial_id() -> str:
    """Return the id of a trial."""
    return os.urandom(ID_BYTES).hex()
