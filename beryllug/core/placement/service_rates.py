"""Offered, sent and refused requests of each service, of all processes.

Load handled: more requests than the servers of a service have room for. Servers
then refuse, and each process sees only its own refusals; the sums of all
processes tell how much the service takes in a second, which every process needs
to send no more than its part of it.

A request counts as served when it was sent and not refused. Counting answers
instead would lag by the duration of a request: in the first second of a burst
few answers have arrived, and the capacity would seem to be near zero.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import load_sums

# Seconds over which events are counted, and their resolution.
WINDOW_S = 1.0
BUCKET_S = 0.1
BUCKETS = 10
# Mean time that the buckets cover, since the last is not complete.
COUNTED_S = WINDOW_S - BUCKET_S / 2
# Seconds between two updates of the capacity: the report period of the fleet.
STEP_S = 0.25
# Events a second above which a report is absurd: more than 1,000 processes of
# 1,000 requests a second send.
MAX_EVENTS = 1_000_000
# More refusals than attempts occur for a moment, at the edge of the window.
MAX_REFUSED = 2
# Seconds for which refusals must have lasted before the capacity is estimated,
# and between two reductions of it: one window, and the age of the sums. Before
# that the window holds only the beginning of a burst, and the capacity would
# seem to be a fraction of what it is (30 instead of 85 requests a second).
SETTLE_S = 1.5
# Fraction of refused requests up to which capacity is raised: servers whose
# loads are known half a second late refuse some requests below capacity.
TOLERATED_REFUSALS = 0.05
# Growth of the capacity in a second while few requests are refused. It doubles
# with each second without a reduction, up to a bound, so that a service whose
# servers all refused for some seconds is used again a few seconds later.
GROWTH_PER_S = 0.3
MAX_GROWTH_PER_S = 2.0
# The lowest fraction of the highest estimate to which the capacity falls. If
# servers refuse everything, requests that probe them cost little.
MIN_FRACTION = 0.5
# Servers that accept less than this fraction have no measurable capacity; they
# may accept as much as before a moment later.
OUTAGE_FRACTION = 0.02
# The lowest fraction of the offered requests that is taken for the capacity at
# first: all servers may refuse at that moment.
ONSET_FRACTION = 0.125
# The factor of the highest estimate at each reduction: a service that has lost
# most of its servers for long is sent less in the end.
HIGHEST_FADING = 0.97
MIN_CAPACITY_PER_S = 1.0
# The overload has ended when this fraction of the capacity is not exceeded.
END_FRACTION = 0.9


class Counts(NamedTuple):
    """Events of the last window.

    Attributes:
        offered: Requests of callers, whether they were sent or not.
        waiting: Requests that wait now.
        sent: Attempts that were sent to servers.
        refused: Attempts that servers refused for lack of room.
    """

    offered: int = 0
    waiting: int = 0
    sent: int = 0
    refused: int = 0

    @property
    def demand(self) -> int:
        """Return the requests that would be sent if there were room."""
        return self.offered + self.waiting


@dataclass(slots=True)
class _Bucket:
    number: int
    offered: int = 0
    sent: int = 0
    refused: int = 0


@dataclass(slots=True)
class Overload:
    """What is known of a service that refuses requests.

    Attributes:
        stepped_at: Second of the last update.
        settled_at: Second from which the counts show what it takes.
        capacity_per_s: Its estimated capacity; None until then.
        highest_per_s: The highest estimate in this overload.
        is_logged: Whether it was logged that requests wait.
    """

    stepped_at: float
    settled_at: float
    capacity_per_s: float | None = None
    highest_per_s: float = MIN_CAPACITY_PER_S
    is_logged: bool = False


@dataclass(slots=True)
class Rates:
    """Known rates of services.

    Attributes:
        own: Buckets of this process by service.
        waiting: Requests that wait in this process, by service.
        overloads: Overloaded services.
        others: Sums reported by the other processes.
        processes: Number of processes in the fleet, including this one.
        absurd: Number of reports that were left out.
    """

    own: dict[str, deque[_Bucket]] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    overloads: dict[str, Overload] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)
    processes: int = 1
    absurd: int = 0


def offered(state: Rates, service: str, now: float) -> None:
    """Record a request of a caller, once."""
    _bucket(state, service, now).offered += 1


def sent(state: Rates, service: str, now: float) -> None:
    """Record an attempt that is sent to a server."""
    _bucket(state, service, now).sent += 1


def unsent(state: Rates, service: str, now: float) -> None:
    """Record that an attempt reached no server: it is not served."""
    _bucket(state, service, now).sent -= 1


def refused(state: Rates, service: str, now: float) -> None:
    """Record an attempt that a server refused for lack of room."""
    _bucket(state, service, now).refused += 1
    if service not in state.overloads:
        _step(state, service, now)


def capacity_per_s(state: Rates, service: str, now: float) -> float | None:
    """Return the capacity of a service; None if it is not overloaded."""
    known = state.overloads.get(service)
    if known is None:
        return None
    if now - known.stepped_at >= STEP_S:
        _step(state, service, now)
        known = state.overloads.get(service)
    return known.capacity_per_s if known else None


def own_rate_per_s(state: Rates, service: str, now: float) -> float | None:
    """Return the part of the capacity that this process may send.

    None if the service is not overloaded.

    It is in proportion to the demand here, so that the parts of all processes
    add up to the capacity wherever the requests arrive.
    """
    capacity = capacity_per_s(state, service, now)
    if capacity is None:
        return None
    own = _own_counts(state, service, now).demand
    total = totals(state, service, now).demand
    return capacity * max(own, 1) / max(total, own, 1)


def totals(state: Rates, service: str, now: float) -> Counts:
    """Return the events of all processes.

    Without a valid report all processes are assumed to see what this one sees.
    """
    own = _own_counts(state, service, now)
    remote = _remote_counts(state, service, now)
    if remote is None:
        return Counts(*(count * state.processes for count in own))
    return Counts(*(one + other for one, other in zip(own, remote)))


def reported(state: Rates, now: float) -> dict[str, load_sums.Load]:
    """Return the sums of this process, to report to others.

    Called once in each report period, it also notices overloads that only other
    processes have seen, so that a request needs no look at the sums. Nothing is
    reported of services that are not overloaded.
    """
    loads: dict[str, load_sums.Load] = {}
    for service in state.own:
        known = state.overloads.get(service)
        if known is None or now - known.stepped_at >= STEP_S:
            _step(state, service, now)
        if service not in state.overloads:
            continue
        own = _own_counts(state, service, now)
        loads[_demand_subject(service)] = load_sums.Load(
            counted=own.offered, summed=own.waiting
        )
        loads[_sent_subject(service)] = load_sums.Load(
            counted=own.sent, summed=own.refused
        )
    return loads


def _step(state: Rates, service: str, now: float) -> None:
    """Update the estimated capacity of a service."""
    total = totals(state, service, now)
    known = state.overloads.get(service)
    if known is None:
        if total.refused:
            state.overloads[service] = Overload(now, now + SETTLE_S)
        return
    known.capacity_per_s = _estimate(known, total, now)
    known.stepped_at = now
    if known.capacity_per_s is None:
        # Few refusals, as of a single server, are no lack of capacity.
        if now >= known.settled_at or not total.refused:
            state.overloads.pop(service)
        return
    within = known.capacity_per_s * END_FRACTION
    is_tolerable = total.refused <= total.sent * TOLERATED_REFUSALS
    if total.demand <= within and is_tolerable:
        state.overloads.pop(service)


def _estimate(known: Overload, total: Counts, now: float) -> float | None:
    """Return the capacity that the counts show; None before it is known."""
    capacity = known.capacity_per_s
    is_tolerable = total.refused <= total.sent * TOLERATED_REFUSALS
    if capacity is not None and is_tolerable:
        if total.demand <= capacity * END_FRACTION:
            # Growth that no demand tests would leave the next burst unlimited.
            return capacity
        settled_s = max(now - known.settled_at, 0)
        growth = min(GROWTH_PER_S * 2**settled_s, MAX_GROWTH_PER_S)
        elapsed_s = min(now - known.stepped_at, WINDOW_S)
        capacity *= 1 + growth * elapsed_s
        known.highest_per_s = max(known.highest_per_s, capacity)
        return capacity
    accepted = max(total.sent - total.refused, 0)
    is_outage = bool(capacity) and accepted < total.sent * OUTAGE_FRACTION
    is_unsettled = now < known.settled_at
    if is_tolerable and not is_unsettled:
        return capacity
    if is_outage or not is_unsettled:
        known.settled_at = now + SETTLE_S
    if is_outage or is_unsettled:
        return capacity
    # While servers are full, what they serve is what they take.
    served = accepted / COUNTED_S
    if capacity is None:
        known.highest_per_s = max(served, total.offered * ONSET_FRACTION)
        capacity = known.highest_per_s
    known.highest_per_s *= HIGHEST_FADING
    least = max(known.highest_per_s * MIN_FRACTION, MIN_CAPACITY_PER_S)
    return max(min(served, capacity), least)


def _bucket(state: Rates, service: str, now: float) -> _Bucket:
    number = int(now / BUCKET_S)
    buckets = state.own.get(service)
    if buckets is None:
        buckets = deque()
        state.own[service] = buckets
    if not buckets or buckets[-1].number < number:
        buckets.append(_Bucket(number))
        _drop_old(buckets, number)
    return buckets[-1]


def _drop_old(buckets: deque[_Bucket], number: int) -> None:
    while buckets and buckets[0].number <= number - BUCKETS:
        buckets.popleft()


def _own_counts(state: Rates, service: str, now: float) -> Counts:
    buckets = state.own.get(service, deque())
    _drop_old(buckets, int(now / BUCKET_S))
    return Counts(
        sum(each.offered for each in buckets),
        state.waiting.get(service, 0),
        max(sum(each.sent for each in buckets), 0),
        sum(each.refused for each in buckets),
    )


def _remote_counts(state: Rates, service: str, now: float) -> Counts | None:
    """Return the others' events; None without a valid report."""
    demand = load_sums.remote_subject_load(
        state.others, _demand_subject(service), now
    )
    attempts = load_sums.remote_subject_load(
        state.others, _sent_subject(service), now
    )
    if demand is None or attempts is None:
        return None
    counts = Counts(
        demand.counted, demand.summed, attempts.counted, attempts.summed
    )
    most_refused = MAX_REFUSED * (counts.sent + state.processes)
    is_absurd = min(counts) < 0 or max(counts) > MAX_EVENTS
    if is_absurd or counts.refused > most_refused:
        state.absurd += 1
        return None
    return counts


def _demand_subject(service: str) -> str:
    return f'demand on {service}'


def _sent_subject(service: str) -> str:
    return f'attempts at {service}'
