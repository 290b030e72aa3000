"""Sums of the loads that processes have at backend servers.

Each process reports a few numbers a server, an aggregator of its availability
zone sums them, and every process receives one sum for the whole fleet. So no
process stores a report of each other process, the cost of a choice does not
grow with the fleet, and none extrapolates the fleet from a part of it.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

# Seconds for which the sum of the other processes is valid; it is sent four
# times a second while there is something to report.
REPORT_VALID_S = 1.5
# Fractions of a second, and of a suspicion point, that the numbers count.
UNITS = 100


class Load(NamedTuple):
    """The load of some processes at one backend server, or on one subject.

    A subject is a count that belongs to no single server, such as the requests
    of a service. It uses only the last two fields.

    The fields are integers, each of which takes one to three bytes of a
    message; a float takes nine.

    Attributes:
        work_cs: Hundredths of a second of unfinished prefill that they sent.
        overdue_cs: Hundredths of a second by which the most delayed answer is
            overdue. All who wait for a server observe the same delay, so it is
            not summed.
        priority_work_cs: `work_cs` of priority prompts only.
        priority_overdue_cs: `overdue_cs` of priority prompts only.
        running: Requests that run there.
        points: Hundredths of suspicion points.
        counted: Number of events on a subject.
        summed: Sum of a value over these events.
    """

    work_cs: int = 0
    overdue_cs: int = 0
    priority_work_cs: int = 0
    priority_overdue_cs: int = 0
    running: int = 0
    points: int = 0
    counted: int = 0
    summed: int = 0


NOTHING = Load()
# Loads by server key.
Loads = Mapping[int, Load]


@dataclass(slots=True)
class RemoteLoads:
    """Load of all other processes, as last reported.

    Attributes:
        loads: Their loads.
        at: Second of the report.
    """

    loads: dict[int, Load] = field(default_factory=dict)
    at: float = float('-inf')


class Slice(NamedTuple):
    """A part of some loads that fits in a message.

    Attributes:
        loads: The loads whose key modulo `slice_count` is `place`.
        place: Number of the slice, from 0.
        slice_count: Number of slices.
    """

    loads: dict[int, Load]
    place: int = 0
    slice_count: int = 1


def server_key(instance: str) -> int:
    """Return the key of a server in messages, a hash that takes five bytes.

    Two servers of 10,000 share a key once in a hundred fleets; each then seems
    to have the load of both and gets fewer requests.
    """
    return zlib.crc32(instance.encode())


def subject_key(subject: str) -> int:
    """Return the key of a subject in messages."""
    return server_key(f'subject {subject}')


def remote_subject_load(
    others: RemoteLoads, subject: str, now: float
) -> Load | None:
    """Return the others' load on a subject; None without a valid report."""
    if now - others.at > REPORT_VALID_S:
        return None
    return others.loads.get(subject_key(subject), NOTHING)


def remote_load(others: RemoteLoads, instance: str, now: float) -> Load:
    """Return the load of the other processes at a server."""
    if now - others.at > REPORT_VALID_S:
        return NOTHING
    return others.loads.get(server_key(instance), NOTHING)


def add(parts: Iterable[Loads]) -> dict[int, Load]:
    """Return the sum of the loads of some processes."""
    total: dict[int, Load] = {}
    for loads in parts:
        for key, load in loads.items():
            known = total.get(key)
            total[key] = load if known is None else _add_loads(known, load)
    return total


def subtract_own(total: Loads, own: Loads) -> dict[int, Load]:
    """Return a sum without the contribution of one process.

    A sum has only the longest delay. If it is the process's own, the others are
    assumed to have none: once the own answer arrives, the server is no longer
    behind, and the reported delay would count against it for a moment longer.
    """
    left = dict(total)
    for key, load in own.items():
        known = left.get(key)
        if known is not None:
            left[key] = _subtract(known, load)
    return left


def sliced(loads: Loads, servers_per_slice: int) -> list[Slice]:
    """Split loads into slices of about `servers_per_slice` servers.

    There is at least one slice.
    """
    slice_count = len(loads) // servers_per_slice + 1
    split: list[dict[int, Load]] = [{} for _ in range(slice_count)]
    for key, load in loads.items():
        split[key % slice_count][key] = load
    return [Slice(part, place, slice_count) for place, part in enumerate(split)]


def merged(known: Loads, part: Slice) -> dict[int, Load]:
    """Return known loads with one slice replaced.

    Until the other slices arrive, and if one is lost, the last reported loads
    of their servers stay valid.
    """
    if part.slice_count == 1:
        return part.loads
    kept = {
        key: load
        for key, load in known.items()
        if key % part.slice_count != part.place
    }
    return kept | part.loads


def _add_loads(one: Load, other: Load) -> Load:
    return Load(
        one.work_cs + other.work_cs,
        max(one.overdue_cs, other.overdue_cs),
        one.priority_work_cs + other.priority_work_cs,
        max(one.priority_overdue_cs, other.priority_overdue_cs),
        one.running + other.running,
        one.points + other.points,
        one.counted + other.counted,
        one.summed + other.summed,
    )


def _subtract(total: Load, part: Load) -> Load:
    is_own = part.overdue_cs >= total.overdue_cs
    is_first_own = part.priority_overdue_cs >= total.priority_overdue_cs
    return Load(
        max(total.work_cs - part.work_cs, 0),
        0 if is_own else total.overdue_cs,
        max(total.priority_work_cs - part.priority_work_cs, 0),
        0 if is_first_own else total.priority_overdue_cs,
        max(total.running - part.running, 0),
        max(total.points - part.points, 0),
        max(total.counted - part.counted, 0),
        max(total.summed - part.summed, 0),
    )
