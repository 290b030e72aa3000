"""Loads that one process has at servers and on subjects, as reported."""

from collections.abc import Mapping

from beryllug.core.placement import backlog, choose, load_sums, suspicion

# Suspicion points are reported in steps of a tenth: they decay all the time,
# and unchanged values need not be sent.
POINT_DECIMALS = 1


def server_loads(known: choose.Known, now: float) -> dict[int, load_sums.Load]:
    """Return a process's load and suspicion points by server key.

    Args:
        known: What it knows; reports of other processes are left out.
        now: The present second.
    """
    parts = backlog.reported(known.reading, now)
    running = known.streams.own
    points = {
        instance: suspicion.own_points(known.failures, instance, now)
        for instance in tuple(known.failures.counts)
    }
    found = {}
    for instance in frozenset((*parts, *running, *points)):
        part = parts.get(instance, backlog.NOTHING)
        load = load_sums.Load(
            _hundredths(part.work_s),
            _hundredths(part.overdue_s),
            _hundredths(part.priority_work_s),
            _hundredths(part.priority_overdue_s),
            running.get(instance, 0),
            _hundredths(round(points.get(instance, 0), POINT_DECIMALS)),
        )
        if load != load_sums.NOTHING:
            found[load_sums.server_key(instance)] = load
    return found


def subject_loads(
    subjects: Mapping[str, load_sums.Load],
) -> dict[int, load_sums.Load]:
    """Return a process's loads on subjects by key, to report to others."""
    return {
        load_sums.subject_key(subject): load
        for subject, load in subjects.items()
        if load != load_sums.NOTHING
    }


def _hundredths(number: float) -> int:
    return round(number * load_sums.UNITS)
