"""Admission control: reserved capacity, fair shares, immediate refusal.

A request is either dispatched or refused at once, with a time after which a
retry can succeed. The entry has no queue: a request that is queued and refused
near its deadline would cost its caller the whole target for nothing.

How far a pool may be filled depends on the request. Urgent requests may queue
for a fraction of their slack. Bulk requests leave a reserve of free slots, so
that a lookup finds one although reports run for minutes. An account above its
fair share leaves a reserve too, so that the first request of another account
still finds a slot. Reserves grow with the square root of the slots, as the
fluctuation of the load does: a large pool needs a smaller fraction free.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data, request_data, shares

URGENT_QUEUE_FRACTION = 0.6
NORMAL_RESERVE = 0.5
SHARED_RESERVE = 1.5
NOISE_EXCESS = 1.5
FLOOD_EXCESS = 2.2
OVERFLOW_RESERVE = 4.0
BULK_RESERVE = 2.5
MAX_RESERVED_FRACTION = 0.5
SLOT_SMOOTHING = 0.02
MIN_RETRY_S = 0.2
BULK_RETRY_FRACTION = 0.5
MAX_RETRY_S = 30.0
MS = 1000


class RefusalReason(StrEnum):
    """Why a request is refused."""

    SHARE = 'account_over_share'
    FULL = 'pool_full'
    LATE = 'target_cannot_be_met'
    DOWN = 'pool_down'


class Refused(NamedTuple):
    """The request is not run.

    Attributes:
        why: The reason.
        retry_after_s: Seconds after which a retry can succeed.
    """

    why: RefusalReason
    retry_after_s: float


class Ticket(NamedTuple):
    """The capacity that an admitted request occupies until `release`."""

    pool: str
    account_id: str
    priority: request_data.Priority


@dataclass(slots=True)
class LimitState:
    """Use of every pool; only the admission service changes it."""

    pools: dict[str, shares.PoolUse] = field(default_factory=dict)


class PoolCapacity(NamedTuple):
    """Current capacity of a pool.

    Attributes:
        pool: Name of the pool.
        slots: Slots of all its healthy servers.
        load: Estimated requests on them, from all entry processes.
        entries: Number of entry processes that share the pool.
    """

    pool: str
    slots: int
    load: float
    entries: int


class AdmissionRequest(NamedTuple):
    """A request to be admitted to a pool.

    Attributes:
        account_id: The client account.
        targets: Service targets of the request's class.
        first_token_s: Expected seconds to the first token without queueing.
        service_s: Expected seconds from the first token to the end.
        elapsed_s: Seconds since the request arrived.
    """

    account_id: str
    targets: config_data.Targets
    first_token_s: float
    service_s: float
    elapsed_s: float = 0.0


def admit(
    state: LimitState,
    weights: Mapping[str, int],
    room: PoolCapacity,
    ask: AdmissionRequest,
    now: float,
) -> Ticket | Refused:
    """Admit a request to a pool, or refuse it at once.

    Args:
        state: Use of the pools; an admitted request is counted in it.
        weights: Weight of each client account.
        room: Current capacity of the pool.
        ask: The request to admit.
        now: The current time in seconds.

    Returns:
        A ticket to release when the request ends, or the refusal.
    """
    use = _pool_use(state, room.pool)
    shares.record_demand(use, ask.account_id, _own_slot_s(ask), now)
    if not room.slots:
        return Refused(RefusalReason.DOWN, _retry_after(ask.service_s))
    if _slack_s(ask) < 0:
        return Refused(RefusalReason.LATE, _retry_after(ask.service_s))
    load = max(room.load, use.total)
    excess_load = load + 1 - _max_load(use, room, ask)
    if excess_load > 0:
        return Refused(
            RefusalReason.FULL, _retry_delay_s(use, room, ask, excess_load)
        )
    if _is_over_share(use, weights, room, ask, now):
        return Refused(RefusalReason.SHARE, _retry_after(shares.SMOOTHING_S))
    return _issue_ticket(use, room, ask, now)


def release(state: LimitState, ticket: Ticket, now: float) -> None:
    """Release the capacity of a request that has ended on the pool."""
    _record_change(_pool_use(state, ticket.pool), ticket, -1, now)


def _is_over_share(
    use: shares.PoolUse,
    weights: Mapping[str, int],
    room: PoolCapacity,
    ask: AdmissionRequest,
    now: float,
) -> bool:
    """Return whether the request exceeds its account's share of a full pool.

    The more an account's demand exceeds its share, the earlier the share is
    enforced. A small excess may be random and is never limited.
    """
    shared_slots = _slots_without_reserve(room, SHARED_RESERVE)
    load = max(room.load, use.total)
    if load + 1 <= shared_slots:
        return False
    excess_ratio = shares.excess(
        use, weights, ask.account_id, shared_slots / room.entries, now
    )
    if excess_ratio <= NOISE_EXCESS:
        return False
    margin = max(FLOOD_EXCESS - excess_ratio, 0) / (FLOOD_EXCESS - NOISE_EXCESS)
    if load + 1 <= shared_slots + margin * OVERFLOW_RESERVE * math.sqrt(
        room.slots
    ):
        return False
    if excess_ratio >= FLOOD_EXCESS and load + 1 > room.slots:
        # The queue is a more reliable sign than the estimated excess.
        return True
    return not shares.spend_credit(use, ask.account_id, excess_ratio)


def _issue_ticket(
    use: shares.PoolUse, room: PoolCapacity, ask: AdmissionRequest, now: float
) -> Ticket:
    use.slot_s += SLOT_SMOOTHING * (_own_slot_s(ask) - use.slot_s)
    priority = request_data.priority(ask.targets)
    ticket = Ticket(room.pool, ask.account_id, priority)
    _record_change(use, ticket, 1, now)
    return ticket


def _record_change(
    use: shares.PoolUse, ticket: Ticket, sign: int, now: float
) -> None:
    shares.record_use(use, ticket.account_id, sign, now)
    if ticket.priority is request_data.Priority.BULK:
        use.bulk += sign


def _max_load(
    use: shares.PoolUse, room: PoolCapacity, ask: AdmissionRequest
) -> float:
    """Return the load up to which requests of this priority are admitted."""
    match request_data.priority(ask.targets):
        case request_data.Priority.BULK:
            return _slots_without_reserve(room, BULK_RESERVE)
        case request_data.Priority.NORMAL:
            return _slots_without_reserve(room, NORMAL_RESERVE)
        case request_data.Priority.URGENT:
            slots_per_s = room.slots / _expected_slot_s(use, ask)
            return (
                room.slots + URGENT_QUEUE_FRACTION * _slack_s(ask) * slots_per_s
            )


def _slots_without_reserve(room: PoolCapacity, reserve: float) -> float:
    reserved = reserve * math.sqrt(room.slots)
    return room.slots - min(reserved, room.slots * MAX_RESERVED_FRACTION)


def _slack_s(ask: AdmissionRequest) -> float:
    """Return the seconds a request can queue and still meet its target."""
    first_token_slack_s = ask.targets.first_token_ms / MS
    total_slack_s = ask.targets.total_ms / MS - ask.service_s
    return (
        min(first_token_slack_s, total_slack_s)
        - ask.first_token_s
        - ask.elapsed_s
    )


def _expected_slot_s(use: shares.PoolUse, ask: AdmissionRequest) -> float:
    return use.slot_s or _own_slot_s(ask)


def _own_slot_s(ask: AdmissionRequest) -> float:
    return ask.first_token_s + ask.service_s


def _retry_delay_s(
    use: shares.PoolUse,
    room: PoolCapacity,
    ask: AdmissionRequest,
    excess_load: float,
) -> float:
    """Return the seconds after which a retry can succeed.

    A full pool stays full for longer than one slot takes to become free, so a
    bulk request that is retried early is refused again; it has time to wait.
    """
    delay_s = excess_load * _expected_slot_s(use, ask) / room.slots
    if request_data.priority(ask.targets) is request_data.Priority.BULK:
        delay_s = max(delay_s, BULK_RETRY_FRACTION * _slack_s(ask))
    return _retry_after(delay_s)


def _retry_after(seconds: float) -> float:
    return min(max(seconds, MIN_RETRY_S), MAX_RETRY_S)


def _pool_use(state: LimitState, pool: str) -> shares.PoolUse:
    use = state.pools.get(pool)
    if use is None:
        use = shares.PoolUse()
        state.pools[pool] = use
    return use
