"""What client accounts ask of a pool, and each one's fair share of it.

Shares are max-min fair: what an account leaves unused raises the level of the
others, in proportion to their weights. An account is judged by what it asks
and not by what it was given: one that floods would else look modest as soon as
it is held back, be let in again, and so on in turns.

Asked is expected slot time a second, smoothed over some seconds. One entry
process sees only a part of an account's requests, so a small excess is noise.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

SMOOTHING_S = 3.0
LEVEL_EVERY_S = 0.5
FORGOTTEN_S = 60.0
LEAST_PART = 0.1


@dataclass(slots=True)
class Use:
    """One account's use of a pool.

    Attributes:
        in_flight: Its requests now.
        asked: Slots that its requests of the last seconds would fill.
        at: When `asked` was last brought up to date.
        credit: Part of a request that it may have while it is held back.
        seen_at: When one of its requests last came or ended.
    """

    in_flight: int = 0
    asked: float = 0.0
    at: float = 0.0
    credit: float = 0.0
    seen_at: float = 0.0


@dataclass(slots=True)
class PoolUse:
    """Use of one pool through this process.

    Attributes:
        accounts: Use of each account that was lately active.
        total: Requests of all accounts now.
        bulk: Requests of the bulk class now.
        slot_s: Smoothed seconds for which an admitted request is expected
            to take a slot.
        level: Fair slots for each unit of weight.
        level_at: When the level was computed.
    """

    accounts: dict[str, Use] = field(default_factory=dict)
    total: int = 0
    bulk: int = 0
    slot_s: float = 0.0
    level: float = math.inf
    level_at: float = -math.inf


def asks(use: PoolUse, account_id: str, slot_s: float, now: float) -> None:
    """Count a request that an account makes, admitted or not."""
    mine = use.accounts.setdefault(account_id, Use(at=now))
    # However long it runs, one request fills one slot at a time.
    mine.asked = asked(mine, now) + min(slot_s / SMOOTHING_S, 1)
    mine.at = now
    mine.seen_at = now


def asked(use: Use, now: float) -> float:
    """Return the slots that an account's requests would fill."""
    return use.asked * math.exp(-max(now - use.at, 0) / SMOOTHING_S)


def change(use: PoolUse, account_id: str, sign: int, now: float) -> None:
    """Count a request of an account in or out."""
    mine = use.accounts.setdefault(account_id, Use(at=now))
    mine.in_flight += sign
    mine.seen_at = now
    use.total += sign


def excess(
    use: PoolUse,
    weights: Mapping[str, int],
    account_id: str,
    slots: float,
    now: float,
) -> float:
    """Return what an account asks over its fair share.

    Args:
        use: Use of the pool.
        weights: Weight of each account.
        account_id: The account.
        slots: This process's part of the slots that are shared out.
        now: The present second.
    """
    if now - use.level_at >= LEVEL_EVERY_S:
        _forget(use, now)
        use.level = fair_level(use, weights, slots, now)
        use.level_at = now
    share = use.level * weights.get(account_id, 1)
    return asked(use.accounts[account_id], now) / max(share, slots * LEAST_PART)


def takes_turn(use: PoolUse, account_id: str, over: float) -> bool:
    """Tell whether this request is one that its account's share allows.

    Of an account that asks for twice its share every second request is.
    """
    mine = use.accounts[account_id]
    mine.credit += 1 / over
    if mine.credit < 1:
        return False
    mine.credit -= 1
    return True


def fair_level(
    use: PoolUse, weights: Mapping[str, int], slots: float, now: float
) -> float:
    """Return the slots for each unit of weight that fill the pool.

    Accounts that want less than the level are given what they want; the rest
    is shared by the others. Infinite when all get what they want.
    """
    wanted = sorted(
        (asked(one, now) / weights.get(name, 1), weights.get(name, 1))
        for name, one in use.accounts.items()
    )
    left = slots
    weight = sum(weights.get(name, 1) for name in use.accounts)
    for level, mine in wanted:
        if level * weight >= left:
            return left / weight
        left -= level * mine
        weight -= mine
    return math.inf


def _forget(use: PoolUse, now: float) -> None:
    idle = [
        name
        for name, one in use.accounts.items()
        if not one.in_flight and now - one.seen_at > FORGOTTEN_S
    ]
    for name in idle:
        use.accounts.pop(name)
