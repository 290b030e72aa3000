"""Request log lines: one per attempt and one for the final result.

Each line carries the request's id, so that an operator can find which servers
were tried, which versions of the server list and route table were in use, and
what each attempt returned.
"""

import time
from collections.abc import Iterable
from typing import Any

from beryllug.core import stamps
from beryllug.core.placement import retry_delay, servers_data
from beryllug.drivers import answer_timeouts
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import call as call_data, directory, dispatch


MS = 1000
# Outcome of an attempt in the log: a status, an outcome or a plain text.
LoggedOutcome = int | str | dispatch.Outcome


class AttemptLog:
    """Service 'requests': logs and counts the results of requests."""

    def __init__(
        self,
        lines: log_lines.LineWriter,
        known: directory.Directory,
        stalled_s: answer_timeouts.StalledS,
    ) -> None:
        """Bind to the log writer and to what lines refer to.

        Args:
            lines: Writes log lines.
            known: Tells the versions of the table and of the server list.
            stalled_s: Tells the stalls of this process.
        """
        self._lines = lines
        self._known = known
        self._stalled_s = stalled_s
        self.statuses: dict[tuple[str, int], int] = {}
        self._times: dict[str, metrics_data.Histogram] = {}

    async def start(self) -> None:
        """Do nothing: the service is driven by requests."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the number of finished requests by result and status."""
        return {
            f'{event} {status}': count
            for (event, status), count in self.statuses.items()
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return counts of finished requests and of dropped log lines."""
        for (event, status), count in self.statuses.items():
            yield metrics_data.Sample(
                'requests_ended',
                count,
                'Requests by how they ended and the status sent.',
                metrics_data.Kind.COUNTER,
                {'end': event, 'status': str(status)},
            )
        yield metrics_data.Sample(
            'log_lines_dropped',
            self._lines.dropped,
            'Log lines dropped since nobody read, or beyond the bound.',
            metrics_data.Kind.COUNTER,
        )

    def times(self) -> Iterable[metrics_data.LabeledHistogram]:
        """Return request durations by the kind of their route."""
        for kind, histogram in self._times.items():
            yield metrics_data.LabeledHistogram(
                'request_seconds',
                'Time from a request to its end.',
                histogram,
                {'kind': kind},
            )

    def attempt(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        outcome: LoggedOutcome,
        took_s: float,
        **fields: object,
    ) -> None:
        """Log one attempt: server, its version, outcome and duration.

        `stalled_ms` tells how long this process stalled during the attempt.
        """
        now = time.monotonic()
        stalled_s = self._stalled_s(now - took_s, now)
        if stalled_s:
            fields['stalled_ms'] = round(stalled_s * MS, 1)
        self._lines.write(
            'attempt',
            id=call.asked.attempt_id,
            server=server.instance,
            software=server.version,
            servers=stamps.format_stamp(self._known.servers.revision),
            left_ms=round((call.deadline - now) * MS),
            came=_format_outcome(outcome),
            took_ms=round(took_s * MS, 1),
            **fields,
        )

    def no_server(
        self,
        call: call_data.Call,
        failure: retry_delay.PlacementFailure,
        excluded: Iterable[str],
    ) -> None:
        """Log that there is no server for an attempt, and why."""
        self._lines.write(
            'no_server',
            id=call.asked.attempt_id,
            cause=retry_delay.REASONS[failure.cause],
            due_s=failure.due_s,
            excluded=sorted(excluded),
        )

    def answered(
        self, call: call_data.Call, status: int, **fields: object
    ) -> None:
        """Log the end of a request that a server answered."""
        self._write_end('answered', call, status, fields)

    def refused(self, call: call_data.Call, status: int, reason: str) -> None:
        """Log the end of a request that the router itself refused."""
        self._write_end('refused', call, status, {'reason': reason})

    def cut_off(self, call: call_data.Call, reason: str) -> None:
        """Log that an answer was cut off before its end."""
        self._write_end('cut_off', call, 0, {'reason': reason})

    def caller_left(self, call: call_data.Call) -> None:
        """Log that the caller closed its connection."""
        self._write_end('caller_left', call, 0, {})

    def refused_without_route(
        self, attempt_id: str, status: int, reason: str
    ) -> None:
        """Log a request that was refused before a route was found."""
        self._count('refused', status)
        table = self._known.table
        self._lines.write(
            'refused',
            id=attempt_id,
            status=status,
            reason=reason,
            table=table.version if table else 0,
        )

    def _write_end(
        self,
        event: str,
        call: call_data.Call,
        status: int,
        fields: dict[str, object],
    ) -> None:
        self._count(event, status)
        took_s = time.monotonic() - call.arrived_at
        kind = call.route.kind.value
        histogram = self._times.setdefault(kind, metrics_data.Histogram())
        histogram.observe(took_s)
        table = self._known.table
        self._lines.write(
            event,
            id=call.asked.attempt_id,
            status=status,
            route=call.route.name,
            account=call.account_name,
            table=table.version if table else 0,
            took_ms=round(took_s * MS, 1),
            **fields,
        )

    def _count(self, event: str, status: int) -> None:
        key = (event, status)
        self.statuses[key] = self.statuses.get(key, 0) + 1


def _format_outcome(outcome: LoggedOutcome) -> str:
    match outcome:
        case int() | str():
            return str(outcome)
        case dispatch.Answered(_, head):
            return str(head.status)
        case (
            dispatch.NotRun(reason)
            | dispatch.Unknown(reason)
            | dispatch.TimedOut(reason)
            | dispatch.Withdrawn(reason)
        ):
            return f'{type(outcome).__name__}: {reason}'
