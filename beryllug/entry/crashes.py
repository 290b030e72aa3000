"""Reports of crashed backend servers, and refusal of suspected requests.

When a connection breaks and the server then refuses connections, the server
has crashed, and each request that this process ran on it is a suspect. No
suspect is retried before the report is acknowledged, so the other entry
processes know of it before it can reach another server.
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
    suspects_sync,
    control_calls,
    control_link,
    liveness,
    routing,
    known_suspects,
)

# Seconds by which a report is known on all hosts, of which a control process
# waits one for its peers.
REPORT_TIMEOUT_S = 2.0
ID_BYTES = 8
# Minimum seconds that a server needs to restart after a crash.
MIN_RESTART_S = 0.3
RETRY_AFTER_S = 1.0


class Ticks(suspects_sync.Ticks, Protocol):
    """The part of the process clock that this service uses."""

    def ran_before(self, noticed: float) -> float:
        """Return the latest time at which an event had not yet happened."""


class Crashes:
    """Service 'crashes' of an entry process.

    Attributes:
        known: The known suspected requests.
        suspect_sync: Fetches the suspects missed while this process was
            stalled.
    """

    def __init__(
        self,
        entry: str,
        calls: control_calls.ControlCalls,
        link: control_link.ControlLink,
        client: http_client.HttpClient,
        ticks: Ticks,
    ) -> None:
        """Use the given control calls, probe client and process clock."""
        self.known = known_suspects.KnownSuspects(link)
        self.suspect_sync = suspects_sync.SuspectSync(calls, self.known, ticks)
        self._entry = entry
        self._calls = calls
        self._client = client
        self._ticks = ticks
        self._counts = {'reported': 0, 'unknown': 0, 'trials': 0}
        self._inspecting: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Do nothing: tasks are started on demand."""

    async def stop(self, grace_s: float) -> None:
        """Finish the open reports, within a bounded time."""
        if self._tasks:
            _, late = await asyncio.wait(self._tasks, timeout=REPORT_TIMEOUT_S)
            for task in late:
                task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return counts of reports, trials and refusals."""
        return {**self._counts, **self.known.dump()}

    def refuse_suspect(self, call: call_data.Call) -> None:
        """Refuse a call early if the server of its trial crashed.

        A non-repeatable call is not refused here: it may have run under its
        key, so the journal must be asked before "not run" is reported. It is
        refused when an attempt is made.

        Raises:
            RefusedError: The call is refused for now.
        """
        if call.facts.repeatable:
            self.known.needs_trial(call)

    async def ask_trial(
        self, call: call_data.Call, server_id: str, trial_id: str
    ) -> suspects_data.Verdict:
        """Ask whether a suspected call may run on a server.

        Raises:
            RefusedError: It is refused, or no control process answered.
        """
        request = suspects_data.TrialRequest(
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
            raise known_suspects.refused(RETRY_AFTER_S) from exc
        match reply.verdict:
            case suspects_data.Verdict.REFUSE:
                raise known_suspects.refused(reply.retry_after_s)
            case suspects_data.Verdict.RUN:
                self.known.forget(call.fingerprint)
            case suspects_data.Verdict.TRY:
                self._counts['trials'] += 1
        return reply.verdict

    async def report_if_gone(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        fingerprints: Sequence[str],
    ) -> liveness.ServerLiveness:
        """Report a crash if the server that closed an attempt is gone.

        A server that was checked too late may have crashed and restarted. It
        is reported as well; otherwise a request that crashes servers would be
        sent to the next one.
        """
        return await self._inspect(call, attempt, fingerprints, cut=True)

    def report_alive(
        self, call: call_data.Call, attempt: routing.Attempt, *, answered: bool
    ) -> None:
        """Report that an attempt ended and its server is alive."""
        fingerprint = call.fingerprint
        clears = answered and self.known.forget(fingerprint)
        if attempt.trial_id or clears:
            end = suspects_data.TrialEnd(
                fingerprint, attempt.trial_id, answered
            )
            self._start_task(self._report_trial_end(end))

    def report_answer_started(
        self, call: call_data.Call, attempt: routing.Attempt
    ) -> None:
        """Report that the answer of an attempt has begun.

        This frees the server for another trial: an answer may take minutes,
        and all other suspects of the same crash would wait for it. If the
        server crashes later, the report still names this trial.
        """
        if attempt.trial_id:
            self.abandon_trial(call, attempt.trial_id)

    def abandon_trial(self, call: call_data.Call, trial_id: str) -> None:
        """End a trial without a result."""
        end = suspects_data.TrialEnd(call.fingerprint, trial_id, answered=False)
        self._start_task(self._report_trial_end(end))

    def check_in_background(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        fingerprints: Sequence[str],
        *,
        cut: bool = False,
    ) -> None:
        """Check in the background whether a server is alive.

        Used after an answer broke off. A server is checked once at a time:
        clients that disconnect interrupt answers as well, and each of these
        would cost the server a connection.

        Args:
            call: The call.
            attempt: The attempt that was interrupted.
            fingerprints: Requests of this process on its server.
            cut: Whether the server closed the connection.
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
    ) -> liveness.ServerLiveness:
        found = await self._check_server(attempt, cut=cut)
        if found is liveness.ServerLiveness.ALIVE:
            self.report_alive(call, attempt, answered=False)
        else:
            await self._report(call, attempt, fingerprints)
        return found

    async def _check_server(
        self, attempt: routing.Attempt, *, cut: bool
    ) -> liveness.ServerLiveness:
        now = time.monotonic()
        last_alive_at = max(attempt.started, self._ticks.ran_before(now))
        check = await liveness.check_server(
            self._client, attempt.server.address
        )
        if check.gone:
            return liveness.ServerLiveness.GONE
        # The process may have been stalled before the check or during it.
        unobserved_s = check.at - last_alive_at
        stood_until = self._ticks.stood_until(time.monotonic())
        is_late = unobserved_s > MIN_RESTART_S or stood_until > check.at
        if not cut or not is_late:
            return liveness.ServerLiveness.ALIVE
        self._counts['unknown'] += 1
        logging.warning(
            'event=server_seen_late server=%s unseen_s=%.3f',
            attempt.server.server_id,
            unobserved_s,
        )
        return liveness.ServerLiveness.UNKNOWN

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
        self.known.record_report(report)
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
    """Return a random trial id."""
    return os.urandom(ID_BYTES).hex()
