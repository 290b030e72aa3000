"""Admission: per-account shares, reserved room, and refusal at once.

A request is either dispatched now or refused now with a time after which
asking again can help. Nothing waits in the entry: a request that is held back
and refused near its deadline costs its caller the whole target for nothing.

An account may always use its share of a pool. What others leave idle it may
borrow, up to a reserve. Requests of the bulk class never take the last part of
a pool, so that a lookup finds a slot although reports run for minutes.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data, request_data

BORROWED_MOST = 0.85
BULK_MOST = 0.6
FULL_MOST = 1.5
USE_SMOOTHING_S = 3.0
ACTIVE_S = 10.0
LEAST_RETRY_S = 0.2
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
class Use:
    """Use of a pool by one account through this process.

    Attributes:
        in_flight: Requests now.
        smoothed: Mean requests over the last seconds.
        at: When `smoothed` was last brought up to date.
    """

    in_flight: int = 0
    smoothed: float = 0.0
    at: float = 0.0


@dataclass(slots=True)
class PoolUse:
    """Use of one pool through this process."""

    accounts: dict[str, Use] = field(default_factory=dict)
    total: int = 0
    bulk: int = 0


@dataclass(slots=True)
class LimitState:
    """Uses of every pool; only the routing service changes them."""

    pools: dict[str, PoolUse] = field(default_factory=dict)


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
    load: int
    entries: int


class Ask(NamedTuple):
    """What is asked of a pool.

    Attributes:
        account_id: The client account.
        targets: Service targets of the request's class.
        first_token_s: Expected seconds to the first token without a wait.
        service_s: Expected seconds for which a slot is taken.
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
    if not room.slots:
        return Refused(Why.DOWN, _retry_after(ask.service_s))
    use = _pool_use(state, room.pool)
    priority = request_data.priority(ask.targets)
    why = _why_not(use, weights, room, ask, now)
    if why is not None:
        return Refused(why, _drain_s(room, ask))
    _change(use, Ticket(room.pool, ask.account_id, priority), 1, now)
    return Ticket(room.pool, ask.account_id, priority)


def release(state: LimitState, ticket: Ticket, now: float) -> None:
    """Give a ticket back when its request has ended on the pool."""
    _change(_pool_use(state, ticket.pool), ticket, -1, now)


def share(
    state: LimitState,
    weights: Mapping[str, int],
    room: Room,
    account_id: str,
    now: float,
) -> float:
    """Return an account's share of a pool in slots of this process."""
    use = _pool_use(state, room.pool)
    active = sum(
        weights.get(name, 1)
        for name, one in use.accounts.items()
        if name == account_id or one.in_flight or now - one.at < ACTIVE_S
    )
    mine = weights.get(account_id, 1)
    return room.slots / room.entries * mine / max(active, mine)


def _why_not(
    use: PoolUse,
    weights: Mapping[str, int],
    room: Room,
    ask: Ask,
    now: float,
) -> Why | None:
    priority = request_data.priority(ask.targets)
    load = max(room.load, use.total)
    filled = (load + 1) / room.slots
    if priority is request_data.Priority.BULK and filled > BULK_MOST:
        return Why.FULL
    if _wait_s(room, ask) > _time_left_s(ask):
        return Why.LATE
    if filled <= BORROWED_MOST:
        return None
    mine = use.accounts.get(ask.account_id) or Use()
    state = LimitState({room.pool: use})
    allowed = share(state, weights, room, ask.account_id, now)
    if _smoothed(mine, now) + 1 > max(allowed, 1) and mine.in_flight:
        return Why.SHARE
    return Why.FULL if filled > FULL_MOST else None


def _wait_s(room: Room, ask: Ask) -> float:
    """Return the expected wait for a slot.

    What is above the slots leaves at the rate at which slots become free.
    """
    over = max(0, room.load + 1 - room.slots)
    return over * ask.service_s / room.slots


def _time_left_s(ask: Ask) -> float:
    first = ask.targets.first_token_ms / MS - ask.elapsed_s
    whole = ask.targets.total_ms / MS - ask.elapsed_s - ask.service_s
    return min(first, whole) - ask.first_token_s


def _drain_s(room: Room, ask: Ask) -> float:
    over = max(1, room.load + 1 - int(room.slots * BORROWED_MOST))
    return _retry_after(over * ask.service_s / room.slots)


def _retry_after(seconds: float) -> float:
    return min(max(seconds, LEAST_RETRY_S), MOST_RETRY_S)


def _pool_use(state: LimitState, pool: str) -> PoolUse:
    use = state.pools.get(pool)
    if use is None:
        use = PoolUse()
        state.pools[pool] = use
    return use


def _change(use: PoolUse, ticket: Ticket, sign: int, now: float) -> None:
    mine = use.accounts.setdefault(ticket.account_id, Use(at=now))
    mine.smoothed = _smoothed(mine, now)
    mine.at = now
    mine.in_flight += sign
    use.total += sign
    if ticket.priority is request_data.Priority.BULK:
        use.bulk += sign


def _smoothed(use: Use, now: float) -> float:
    kept = math.exp(-max(now - use.at, 0) / USE_SMOOTHING_S)
    return kept * use.smoothed + (1 - kept) * use.in_flight
