"""Admission: reserved room, fair shares, and refusal at once.

A request is either dispatched now or refused now with a time after which
asking again can help. Nothing waits in the entry: a request that is held back
and refused near its deadline costs its caller the whole target for nothing.

How far a pool may be filled depends on who asks. Urgent requests may queue for
a part of their slack. Bulk requests leave a reserve of free slots, so that a
lookup finds one although reports run for minutes. An account above its fair
share leaves a reserve too, so that another account's first request finds the
pool as it was. Reserves grow with the root of the slots, as the fluctuation of
the load does: a large pool needs a smaller part of itself free.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data, request_data, shares

URGENT_SLACK_PART = 0.6
NORMAL_RESERVE = 0.5
SHARED_RESERVE = 1.5
CHANCE = 1.5
FLOOD = 2.2
OVERFLOW = 4.0
BULK_RESERVE = 2.5
MOST_RESERVED_PART = 0.5
SLOT_SMOOTHING = 0.02
LEAST_RETRY_S = 0.2
BULK_RETRY_PART = 0.5
MOST_RETRY_S = 30.0
MS = 1000


class Why(StrEnum):
    """Why a request is refused."""

    SHARE = 'account_over_share'
    FULL = 'pool_full'
    LATE = 'target_cannot_be_met'
    DOWN = 'pool_down'


class Refused(NamedTuple):
    """The request is not run.

    Attributes:
        why: The reason.
        retry_after_s: Seconds after which asking again can help.
    """

    why: Why
    retry_after_s: float


class Ticket(NamedTuple):
    """An admitted request's hold on its pool; given back by `release`."""

    pool: str
    account_id: str
    priority: request_data.Priority


@dataclass(slots=True)
class LimitState:
    """Uses of every pool; only the admission service changes them."""

    pools: dict[str, shares.PoolUse] = field(default_factory=dict)


class Room(NamedTuple):
    """What a pool offers now.

    Attributes:
        pool: Name of the pool.
        slots: Slots of all its sound servers.
        load: Requests believed to be on them, of every entry.
        entries: Entry processes that share the pool.
    """

    pool: str
    slots: int
    load: float
    entries: int


class Ask(NamedTuple):
    """What is asked of a pool.

    Attributes:
        account_id: The client account.
        targets: Service targets of the request's class.
        first_token_s: Expected seconds to the first token without a wait.
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
    room: Room,
    ask: Ask,
    now: float,
) -> Ticket | Refused:
    """Admit a request to a pool, or refuse it at once.

    Args:
        state: Uses; an admitted request is counted in it.
        weights: Weight of each client account.
        room: What the pool offers.
        ask: What the request asks.
        now: The present second.

    Returns:
        A ticket to give back when the request ends, or the refusal.
    """
    use = _pool_use(state, room.pool)
    shares.asks(use, ask.account_id, _own_slot_s(ask), now)
    if not room.slots:
        return Refused(Why.DOWN, _retry_after(ask.service_s))
    if _slack_s(ask) < 0:
        return Refused(Why.LATE, _retry_after(ask.service_s))
    load = max(room.load, use.total)
    over = load + 1 - _most_load(use, room, ask)
    if over > 0:
        return Refused(Why.FULL, _drain_s(use, room, ask, over))
    if _is_over_share(use, weights, room, ask, now):
        return Refused(Why.SHARE, _retry_after(shares.SMOOTHING_S))
    return _take(use, room, ask, now)


def release(state: LimitState, ticket: Ticket, now: float) -> None:
    """Give a ticket back when its request has ended on the pool."""
    _change(_pool_use(state, ticket.pool), ticket, -1, now)


def _is_over_share(
    use: shares.PoolUse,
    weights: Mapping[str, int],
    room: Room,
    ask: Ask,
    now: float,
) -> bool:
    """Tell whether the request is above its account's share of a full pool.

    The more an account asks above its share, the earlier it is held to it. A
    small excess may be chance and counts only when the pool overflows.
    """
    shared = _reserved(room, SHARED_RESERVE)
    load = max(room.load, use.total)
    if load + 1 <= shared:
        return False
    over = shares.excess(
        use, weights, ask.account_id, shared / room.entries, now
    )
    if over <= CHANCE:
        return False
    spare = max(FLOOD - over, 0) / (FLOOD - CHANCE)
    if load + 1 <= shared + spare * OVERFLOW * math.sqrt(room.slots):
        return False
    if over >= FLOOD and load + 1 > room.slots:
        # Its excess is known less well than the queue that it made.
        return True
    return not shares.takes_turn(use, ask.account_id, over)


def _take(use: shares.PoolUse, room: Room, ask: Ask, now: float) -> Ticket:
    use.slot_s += SLOT_SMOOTHING * (_own_slot_s(ask) - use.slot_s)
    priority = request_data.priority(ask.targets)
    ticket = Ticket(room.pool, ask.account_id, priority)
    _change(use, ticket, 1, now)
    return ticket


def _change(use: shares.PoolUse, ticket: Ticket, sign: int, now: float) -> None:
    shares.change(use, ticket.account_id, sign, now)
    if ticket.priority is request_data.Priority.BULK:
        use.bulk += sign


def _most_load(use: shares.PoolUse, room: Room, ask: Ask) -> float:
    """Return the load up to which a request of this sort is taken."""
    match request_data.priority(ask.targets):
        case request_data.Priority.BULK:
            return _reserved(room, BULK_RESERVE)
        case request_data.Priority.NORMAL:
            return _reserved(room, NORMAL_RESERVE)
        case request_data.Priority.URGENT:
            per_s = room.slots / _slot_s(use, ask)
            return room.slots + URGENT_SLACK_PART * _slack_s(ask) * per_s


def _reserved(room: Room, reserve: float) -> float:
    kept = reserve * math.sqrt(room.slots)
    return room.slots - min(kept, room.slots * MOST_RESERVED_PART)


def _slack_s(ask: Ask) -> float:
    """Return the seconds that a request can wait and still meet its target."""
    first = ask.targets.first_token_ms / MS
    whole = ask.targets.total_ms / MS - ask.service_s
    return min(first, whole) - ask.first_token_s - ask.elapsed_s


def _slot_s(use: shares.PoolUse, ask: Ask) -> float:
    return use.slot_s or _own_slot_s(ask)


def _own_slot_s(ask: Ask) -> float:
    return ask.first_token_s + ask.service_s


def _drain_s(use: shares.PoolUse, room: Room, ask: Ask, over: float) -> float:
    """Return when asking again can help.

    A pool that is full is so for longer than one slot takes to come free, and
    bulk requests have time: asked again at once, they are refused again.
    """
    drained_s = over * _slot_s(use, ask) / room.slots
    if request_data.priority(ask.targets) is request_data.Priority.BULK:
        drained_s = max(drained_s, BULK_RETRY_PART * _slack_s(ask))
    return _retry_after(drained_s)


def _retry_after(seconds: float) -> float:
    return min(max(seconds, LEAST_RETRY_S), MOST_RETRY_S)


def _pool_use(state: LimitState, pool: str) -> shares.PoolUse:
    use = state.pools.get(pool)
    if use is None:
        use = shares.PoolUse()
        state.pools[pool] = use
    return use
