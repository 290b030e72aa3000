"""Log lines of requests: one for each attempt and one for the end.

They share the request's id, so an operator finds by it what was tried, on
what knowledge, and what came of it.
"""

import time

from beryllug.core.placement import servers_data
from beryllug.kernel import log_lines
from beryllug.router import call as call_data, directory, dispatch


class AttemptLog:
    """Writes what became of requests, and counts it."""

    def __init__(
        self, lines: log_lines.LineWriter, known: directory.Directory
    ) -> None:
        """Bind to the writer, and to the directory for its version."""
        self._lines = lines
        self._known = known
        self.statuses: dict[str, int] = {}

    def attempt(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        came: int | dispatch.Outcome,
        took_s: float,
        **fields: object,
    ) -> None:
        """Tell an attempt: where, on which version, what came, how fast."""
        self._lines.write(
            'attempt',
            id=call.asked.attempt_id,
            server=server.instance,
            software=server.version,
            came=_told(came),
            took_ms=round(took_s * 1000, 1),
            **fields,
        )

    def answered(
        self, call: call_data.Call, status: int, **fields: object
    ) -> None:
        """Tell the end of a request that a server has answered."""
        self._end('answered', call, status, fields)

    def refused(self, call: call_data.Call, status: int, reason: str) -> None:
        """Tell the end of a request that gets an answer of our own."""
        self._end('refused', call, status, {'reason': reason})

    def broken(self, call: call_data.Call, reason: str) -> None:
        """Tell that an answer was cut off before its end."""
        self._end('cut_off', call, 0, {'reason': reason})

    def left(self, call: call_data.Call) -> None:
        """Tell that the caller has closed its connection."""
        self._end('caller_left', call, 0, {})

    def unrouted(self, attempt_id: str, status: int, reason: str) -> None:
        """Tell a request that was refused before it had a route."""
        self._count('refused', status)
        table = self._known.table
        self._lines.write(
            'refused',
            id=attempt_id,
            status=status,
            reason=reason,
            table=table.version if table else 0,
        )

    def _end(
        self,
        event: str,
        call: call_data.Call,
        status: int,
        fields: dict[str, object],
    ) -> None:
        self._count(event, status)
        table = self._known.table
        self._lines.write(
            event,
            id=call.asked.attempt_id,
            status=status,
            route=call.route.name,
            account=call.account_name,
            table=table.version if table else 0,
            took_ms=round((time.monotonic() - call.arrived_at) * 1000, 1),
            **fields,
        )

    def _count(self, event: str, status: int) -> None:
        key = f'{event}_{status}'
        self.statuses[key] = self.statuses.get(key, 0) + 1


def _told(came: int | dispatch.Outcome) -> str:
    match came:
        case int():
            return str(came)
        case dispatch.Answered(_, head):
            return str(head.status)
        case dispatch.NotRun(reason) | dispatch.Unknown(reason):
            return f'{type(came).__name__}: {reason}'
        case dispatch.TimedOut(reason):
            return f'TimedOut: {reason}'
