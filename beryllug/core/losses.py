"""Requests that were not served as required, from structured logs.

Each request ends with one log line. Its last attempt, if any, gives the backend
server. The line itself gives the reason why the request counts as lost:
refused, failed, cut off, late, or answered by a model that was unsure.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

ERROR_STATUS = 400
SERVED = 'served'
LATE = 'late'
NO_SERVER = '-'


class EndedRequest(NamedTuple):
    """How a request ended.

    Attributes:
        at: Unix time in seconds.
        process: The process that received it.
        zone: Availability zone of that process.
        route: Its route; empty if it had none.
        server: Instance of the last attempt, or `NO_SERVER`.
        reason: Why it counts as lost, or `SERVED`.
    """

    at: float
    process: str
    zone: str
    route: str
    server: str
    reason: str


class Line(NamedTuple):
    """A log line about a request or its process.

    Attributes:
        at: Unix time in seconds.
        event: Name of the event.
        process: The process that wrote it.
        request: Id of the request, or empty.
        route: Its route, or empty.
        status: HTTP status that the caller got, or 0.
        reason: Reason, if the line has one.
        server: Instance, if the line names one.
        zone: Availability zone, in the line of a process start.
        is_late: Whether its answer was late.
    """

    at: float
    event: str
    process: str
    request: str = ''
    route: str = ''
    status: int = 0
    reason: str = ''
    server: str = ''
    zone: str = ''
    is_late: bool = False


class Group(NamedTuple):
    """Requests with equal values of the grouping fields."""

    key: tuple[str, ...]
    lost: int
    all: int


# Fields by which requests can be grouped.
FIELDS: Mapping[str, Callable[[EndedRequest], str]] = MappingProxyType(
    {
        'second': lambda ended: f'{ended.at:.0f}',
        'process': lambda ended: ended.process,
        'zone': lambda ended: ended.zone,
        'route': lambda ended: ended.route,
        'server': lambda ended: ended.server,
        'reason': lambda ended: ended.reason,
    }
)


def ended_requests(lines: Iterable[Line]) -> list[EndedRequest]:
    """Return how each request ended, from the lines of all processes."""
    zones: dict[str, str] = {}
    servers: dict[str, str] = {}
    found = []
    for line in lines:
        match line.event:
            case 'start':
                zones[line.process] = line.zone
            case 'attempt':
                servers[line.request] = line.server
            case 'answered' | 'refused' | 'cut_off' | 'caller_left':
                found.append(
                    EndedRequest(
                        line.at,
                        line.process,
                        zones.get(line.process, ''),
                        line.route,
                        servers.pop(line.request, NO_SERVER),
                        _reason(line),
                    )
                )
    return found


def group(requests: Iterable[EndedRequest], by: Iterable[str]) -> list[Group]:
    """Group requests by some fields, most losses first.

    Args:
        requests: How the requests ended.
        by: Names of `FIELDS`.
    """
    readers = [FIELDS[name] for name in by]
    lost: Counter[tuple[str, ...]] = Counter()
    totals: Counter[tuple[str, ...]] = Counter()
    for ended_request in requests:
        key = tuple(read(ended_request) for read in readers)
        totals[key] += 1
        lost[key] += ended_request.reason != SERVED
    groups = [Group(key, lost[key], totals[key]) for key in totals]
    return sorted(groups, key=lambda found: (-found.lost, found.key))


def _reason(line: Line) -> str:
    if line.event != 'answered':
        reason = f'{line.event} {line.status or ""}'.strip()
        return f'{reason}: {line.reason}' if line.reason else reason
    if line.status >= ERROR_STATUS:
        return f'failed {line.status}'
    if line.is_late:
        return LATE
    return f'unsure: {line.reason}' if line.reason else SERVED
