"""Service 'crash_watch': attributes lost servers to requests."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from beryllug.core import suspects_data
from beryllug.core.placement import (
    accusations,
    poison_data,
    poison_requests,
    segment_losses,
    servers_data,
    suspect_keys,
)
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import (
    attempts,
    leaving_servers,
    server_checks,
    suspect_trials,
)
from beryllug.router import call as call_data

# Decimal places of seconds in log lines.
SECONDS_PLACES = 3
# Seconds after which the server of a trial that ended without an answer is
# checked again. In traces of busy hosts it crashed 0.1 to 0.24 s after the end.
LATE_CRASH_S = 0.5
# Segments that one log line names.
MAX_LOGGED_SEGMENTS = 32
MAX_WORST_SEGMENTS = 4


class CrashWatch:
    """Records runs that ended without an answer, and servers that were lost.

    Attributes:
        suspects: Decides what follows for the requests.
        on_accused: Called with each lost trial of this process.
    """

    def __init__(
        self,
        suspects: suspect_trials.SuspectTrials,
        checks: server_checks.ServerChecks,
        leaving: leaving_servers.LeavingServers,
        lines: log_lines.LineWriter,
    ) -> None:
        """Start without known losses.

        Args:
            suspects: Decides what follows for the requests.
            checks: Tells whether a server still accepts connections.
            leaving: Tells which servers stop as planned.
            lines: Writes log lines.
        """
        self.suspects = suspects
        self.on_accused: Callable[[poison_data.Accusation], None] = _ignore
        self._state = suspects.state
        self._checks = checks
        checks.on_gone = self._record_gone
        self._leaving = leaving
        self._lines = lines
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing: the service is driven by requests and lost servers."""

    async def stop(self, grace_s: float) -> None:
        """Cancel the checks of servers."""
        self._checks.stop()
        for task in self._tasks:
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the notes on requests under which servers were lost."""
        notes = self._state.table.notes.values()
        return {'notes': [note._asdict() for note in notes]}

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return counts of losses, of refusals, of trials and of answers."""
        for what, count in self.suspects.counts.items():
            yield metrics_data.Sample(
                'server_crash_suspicions',
                count,
                'Servers lost under a request, requests refused for that, '
                'tried on a server, or cleared by an answer.',
                metrics_data.Kind.COUNTER,
                {'what': what},
            )

    async def attempt_broke(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        progress: attempts.Progress,
    ) -> None:
        """Record that the connection of an attempt broke.

        The server is asked for another one before the request is sent to the
        next server. If it is gone, so may be those whose answers to the request
        were discarded.
        """
        self._lines.write(
            'connection_broke_under',
            id=call.asked.attempt_id,
            instance=server.instance,
            fingerprint=call.fingerprint,
            segments=_unanswered(self._state, call)[:MAX_LOGGED_SEGMENTS],
            segment_count=len(call.segment_keys),
        )
        self._record_run(call, server, progress)
        self._begin_check(call, server)
        if not call.route.is_repeatable:
            # It is sent to no other server, so its caller need not wait.
            return
        progress.is_server_gone = await self._is_gone(server)
        if progress.is_server_gone:
            await asyncio.gather(*map(self._is_gone, progress.discarded_at))

    def run_ended(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        progress: attempts.Progress,
    ) -> None:
        """Record that a server ran a request to no answer that is used.

        It may still be lost under the request, so this clears nothing. If one
        was lost before, or this was a trial, a copy of the request would run
        elsewhere before anybody connects to this one again. After a trial it
        is checked twice, and no copy is tried until then: the crash may be
        under way.
        """
        self._record_run(call, server, progress)
        if progress.trial_id:
            checking = asyncio.create_task(_check_twice(self._is_gone, server))
            self._tasks.add(checking)
            checking.add_done_callback(self._tasks.discard)
            self._begin_check(call, server, checking)
        elif poison_requests.lost_count(self._state, call.fingerprint):
            self._begin_check(call, server)

    def unreached(self, server: servers_data.Server) -> None:
        """Record that a server can't be reached, or has lost its address."""
        if server.instance in self._state.ended:
            self._record_gone(server)

    def record_lost_server(self, instance: str, now: float) -> None:
        """Record that a server is gone without having announced it."""
        attributed = poison_requests.record_server_lost(
            self._state, instance, now
        )
        _log_segments(self._lines, self._state, attributed.segments)
        for loss in attributed.found:
            self.suspects.counts['lost'] += 1
            self._lines.write(
                'server_lost_under',
                instance=instance,
                fingerprint=loss.fingerprint,
                servers=poison_requests.lost_count(
                    self._state, loss.fingerprint
                ),
                is_trial=bool(loss.run.trial_id),
                ended_ago_s=round(now - loss.run.at, SECONDS_PLACES),
            )
        for accusation in accusations.accusations(
            self._state, attributed.found, now
        ):
            self.on_accused(accusation)
        self.suspects.report_changes()

    def merge(
        self, notes: Iterable[suspects_data.SuspectNote], now: float
    ) -> None:
        """Merge what a peer knows.

        What this process ran on the servers that were lost there may have
        crashed them as well.
        """
        received = tuple(notes)
        poison_requests.merge(self._state, received, now)
        self.suspects.withdraw_waiting([each.fingerprint for each in received])
        self._record_told(
            {loss.server_id for note in received for loss in note.losses}, now
        )

    def merge_segments(
        self, lost: segment_losses.LostServer, now: float
    ) -> None:
        """Merge under which prompt segments a peer has lost a server."""
        poison_requests.merge_segments(self._state, lost, now)
        self._record_told({lost.instance}, now)

    def _record_told(self, lost: set[str], now: float) -> None:
        """Record the runs of this process on servers that peers have lost."""
        for instance in lost.intersection(self._state.ended):
            if poison_requests.is_lost(self._state, instance, now):
                self.record_lost_server(instance, now)

    def _record_run(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        progress: attempts.Progress,
    ) -> None:
        instance = server.instance
        fingerprint = call.fingerprint
        now = time.monotonic()
        poison_requests.run_ended(
            self._state,
            poison_requests.Loss(fingerprint, instance),
            poison_requests.EndedRun(
                now, progress.trial_id, call.segment_keys, progress.tried
            ),
        )
        if poison_requests.is_lost(self._state, instance, now):
            self.record_lost_server(instance, now)

    def _begin_check(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        checking: asyncio.Task[None] | None = None,
    ) -> None:
        """Tell peers that a server is checked, by a task or by a single check.

        Args:
            call: The request that ran on it.
            server: The server.
            checking: Ends with the check; None for a single one.
        """
        now = time.monotonic()
        if poison_requests.is_lost(self._state, server.instance, now):
            return
        end_check = self.suspects.begin_check(call, server)
        check: asyncio.Task[Any] = checking or self._checks.begin(server)
        check.add_done_callback(
            lambda ended: None if ended.cancelled() else end_check()
        )

    async def _is_gone(self, server: servers_data.Server) -> bool:
        now = time.monotonic()
        if poison_requests.is_lost(self._state, server.instance, now):
            return True
        return await self._checks.is_gone(server)

    def _record_gone(self, server: servers_data.Server) -> None:
        if not self._leaving.is_departing(server.instance):
            self.record_lost_server(server.instance, time.monotonic())


async def _check_twice(
    is_gone: Callable[[servers_data.Server], Awaitable[bool]],
    server: servers_data.Server,
) -> None:
    if not await is_gone(server):
        await asyncio.sleep(LATE_CRASH_S)
        await is_gone(server)


def _unanswered(
    state: poison_data.Crashers, call: call_data.Call
) -> tuple[str, ...]:
    """Return the segments of a request that were not answered lately."""
    keys = poison_requests.unanswered(
        state, call.segment_keys, time.monotonic()
    )
    return tuple(key.removeprefix(suspect_keys.SEGMENT) for key in keys)


def _log_segments(
    lines: log_lines.LineWriter,
    state: poison_data.Crashers,
    lost: segment_losses.LostServer,
) -> None:
    """Log under how many segments a server was lost, and the worst of them."""
    if not lost.keys:
        return
    worst = suspect_keys.most_lost(state.table, lost.keys, MAX_WORST_SEGMENTS)
    lines.write(
        'server_lost_under_segments',
        instance=lost.instance,
        count=len(lost.keys),
        worst={key: suspect_keys.lost_count(state.table, key) for key in worst},
    )


def _ignore(accusation: poison_data.Accusation) -> None:
    """Default of `on_accused`."""
