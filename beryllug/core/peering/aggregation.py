"""Two-level aggregation of server load: per availability zone, then global.

The load that one process observes is too little to decide by, and sending it
to every other process would make traffic grow with the square of the fleet.
Instead, each process reports to the aggregators of its zone. One of them, the
primary, adds up the reports, sends the zone's sum to the aggregators of the
other zones, and sends the total of all zones to the processes of its own zone.

The aggregators of a zone are the first two of its live processes in rendezvous
hash order, so every process determines them independently. Both receive all
reports. The second, the standby, takes over if it has received no total from
the primary for `SILENT_S` (the primary was killed, hangs or is partitioned),
or if the primary's totals include clearly fewer reports than the standby has
(reports do not reach the primary, or some processes do not know it). No
handover is needed, as both hold the same data and none of it has to persist.

Messages carry state and not deltas: a message that is lost, late or duplicated
is corrected by the next one. If two processes act as primary at once, the one
whose sums include more reports takes precedence, in its own zone and in others.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.peering import members, peering_data
from beryllug.core.placement import load_sums

# Aggregators per zone; the second is the standby of the first.
AGGREGATORS = 2
# Seconds without a total from the primary after which the standby takes over.
# Totals are sent at least twice a second, and every process has to know again
# which processes watch the store within 1.2 s.
SILENT_S = 0.6
# The primary's totals are too incomplete if they include less than this ratio
# of the reports that the standby has. Reports of processes that just joined or
# left reach one of the two before the other.
MIN_REPORT_RATIO = 0.75
# Seconds after which a report, or the sum of a zone, expires.
REPORT_EXPIRY_S = 1.5
# Number of own reports kept, so that the one included in a total can be
# subtracted from it: those sent within `REPORT_EXPIRY_S`, and some spare.
MAX_OWN_REPORTS = 10
# Report numbers wrap around after this value, so that they encode as one byte.
MAX_REPORT_NUMBER = 127
# Increase of the load of some server, in hundredths of a second, that is sent
# without waiting for the next regular message.
INCREASE_THRESHOLD_CS = 30


class _ReceivedReport(NamedTuple):
    """The last load report of a process, its number and its time of receipt."""

    loads: load_sums.Loads
    number: int
    at: float


class _ReceivedTotal(NamedTuple):
    """How many reports a process's last total included, and its receipt."""

    reports: int
    at: float


class _ReceivedZoneSum(NamedTuple):
    """The sum of a zone, how many reports it includes, and its receipt."""

    loads: dict[int, load_sums.Load]
    reports: int
    at: float


@dataclass(slots=True)
class Aggregation:
    """The load reports, sums and totals that one process holds.

    Attributes:
        name: Name of the process.
        zone: Its availability zone.
        others: Load caused by all other processes.
        reports: Reports of this zone by process; kept by aggregators.
        zones: Sums of the other zones; kept by aggregators.
        last_totals: The last total for this zone from each other process.
        number: Number of the last own report.
        own: The last own reports by number.
        last_sent_sum: The sum last sent to the other zones.
    """

    name: str
    zone: str
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)
    reports: dict[str, _ReceivedReport] = field(default_factory=dict)
    zones: dict[str, _ReceivedZoneSum] = field(default_factory=dict)
    last_totals: dict[str, _ReceivedTotal] = field(default_factory=dict)
    number: int = 0
    own: dict[int, load_sums.Loads] = field(default_factory=dict)
    last_sent_sum: load_sums.Loads = field(default_factory=dict)


def aggregators(known: members.Members, zone: str, own_zone: str) -> list[str]:
    """Return the aggregators of a zone, possibly including this process.

    Args:
        known: The known processes.
        zone: The zone.
        own_zone: Zone of this process.
    """
    near, _ = members.by_zone(known, zone)
    in_zone = frozenset(near)
    chosen = []
    for name in members.ranked(known, f'aggregator/{zone}'):
        is_own = name == known.name and zone == own_zone
        if is_own or name in in_zone:
            chosen.append(name)
        if len(chosen) == AGGREGATORS:
            break
    return chosen


def aggregators_of_other_zones(
    known: members.Members, own_zone: str
) -> list[str]:
    """Return the aggregators of all zones except this process's own."""
    return [
        name
        for zone in members.other_zones(known, own_zone)
        for name in aggregators(known, zone, own_zone)
    ]


def is_primary(state: Aggregation, known: members.Members, now: float) -> bool:
    """Return whether this process currently sends the sums of its zone."""
    candidates = aggregators(known, state.zone, state.zone)
    if state.name not in candidates:
        return False
    preferred = candidates[: candidates.index(state.name)]
    min_reports = MIN_REPORT_RATIO * _count_fresh_reports(state, now)
    return all(
        _report_count_of(state, name, now) < min_reports for name in preferred
    )


def report(
    state: Aggregation, own: load_sums.Loads, most: int
) -> list[peering_data.Report]:
    """Return the next load report of this process, in slices.

    Args:
        state: The aggregation state of this process.
        own: The load that this process causes at servers.
        most: Maximum number of servers per message.
    """
    state.number = state.number % MAX_REPORT_NUMBER + 1
    state.own.pop(state.number, None)
    state.own[state.number] = own
    while len(state.own) > MAX_OWN_REPORTS:
        state.own.pop(next(iter(state.own)))
    return [
        peering_data.Report(state.number, part)
        for part in load_sums.sliced(own, most)
    ]


def take_report(
    state: Aggregation, name: str, received: peering_data.Report, now: float
) -> None:
    """Store the report of a process of this zone."""
    known = state.reports.get(name)
    before = known.loads if known else {}
    merged = load_sums.merged(before, received.part)
    state.reports[name] = _ReceivedReport(merged, received.number, now)


def take_sum(
    state: Aggregation, received: peering_data.ZoneSum, now: float
) -> None:
    """Store the sum of another zone.

    If two processes send sums of a zone, the one that includes fewer reports is
    ignored until the other one has been silent for `SILENT_S`.
    """
    known = state.zones.get(received.zone)
    if known is None or now - known.at > REPORT_EXPIRY_S:
        known = _ReceivedZoneSum({}, 0, now)
    elif known.reports > received.reports and now - known.at < SILENT_S:
        return
    merged = load_sums.merged(known.loads, received.part)
    state.zones[received.zone] = _ReceivedZoneSum(merged, received.reports, now)


def zone_sum(state: Aggregation, now: float) -> tuple[load_sums.Loads, int]:
    """Return the load of this zone's processes and the number of reports."""
    state.reports = {
        name: received
        for name, received in state.reports.items()
        if now - received.at <= REPORT_EXPIRY_S
    }
    received = state.reports.values()
    return load_sums.add(each.loads for each in received), len(received)


def total(
    state: Aggregation, own_zone: load_sums.Loads, now: float
) -> load_sums.Loads:
    """Return the total load of all zones, including this one."""
    state.zones = {
        zone: each
        for zone, each in state.zones.items()
        if now - each.at <= REPORT_EXPIRY_S
    }
    return load_sums.add(
        (own_zone, *(each.loads for each in state.zones.values()))
    )


def included_report_numbers(state: Aggregation) -> dict[int, int]:
    """Return the numbers of the reports included in the current sum."""
    return {
        load_sums.server_key(name): received.number
        for name, received in state.reports.items()
    }


def record_total(
    state: Aggregation, name: str, received: peering_data.Total, now: float
) -> bool:
    """Record a total; return whether another process reports more."""
    state.last_totals[name] = _ReceivedTotal(received.reports, now)
    report_count = _report_count_of(state, name, now)
    return any(
        _report_count_of(state, other, now) > report_count
        for other in state.last_totals
    )


def take_total(
    state: Aggregation, received: peering_data.Total, now: float
) -> None:
    """Apply a total, after subtracting this process's own load from it.

    The total includes a report older than the latest one, by the time of a
    round trip; its number tells which. Subtracting another report would count
    a prompt that was just sent twice at its runner, or hide as much of the
    other processes' load there.
    """
    number = received.holds.get(load_sums.server_key(state.name))
    own: Mapping[int, load_sums.Load] = {}
    if number is not None:
        own = state.own.get(number, {})
    others = load_sums.subtract_own(received.part.loads, own)
    part = received.part._replace(loads=others)
    state.others.loads = load_sums.merged(state.others.loads, part)
    state.others.at = now


def has_risen(current: load_sums.Loads, before: load_sums.Loads) -> bool:
    """Return whether the load rose enough to be sent immediately."""
    return any(
        _load_increase(load, before.get(key, load_sums.NOTHING))
        >= INCREASE_THRESHOLD_CS
        for key, load in current.items()
    )


def _count_fresh_reports(state: Aggregation, now: float) -> int:
    """Count unexpired reports; at least 1, as the own one may be in transit."""
    counts = [
        now - received.at <= REPORT_EXPIRY_S
        for received in state.reports.values()
    ]
    return max(sum(counts), 1)


def _report_count_of(state: Aggregation, name: str, now: float) -> int:
    """Return how many reports a process's last total included; 0 if expired."""
    last_total = state.last_totals.get(name)
    if last_total is None or now - last_total.at > SILENT_S:
        return 0
    return max(last_total.reports, 1)


def _load_increase(load: load_sums.Load, before: load_sums.Load) -> int:
    return max(
        load.work_cs - before.work_cs,
        load.overdue_cs - before.overdue_cs,
        load.points - before.points,
    )
