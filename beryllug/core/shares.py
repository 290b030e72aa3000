"""Demand of client accounts on a pool, and their fair shares of it.

Shares are max-min fair: what an account leaves unused raises the level of the
others, in proportion to their weights. An account is measured by its demand
and not by what was admitted: a flooding account would otherwise look modest as
soon as it is limited, be admitted again, and oscillate.

Demand is the expected slot time per second, smoothed over some seconds. One
entry process sees only some of an account's requests, so a small excess is
noise.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from beryllug.core import max_min

SMOOTHING_S = 3.0
LEVEL_INTERVAL_S = 0.5
IDLE_EXPIRY_S = 60.0
MIN_SHARE_FRACTION = 0.1


@dataclass(slots=True)
class AccountLoad:
    """One account's use of a pool.

    Attributes:
        in_flight: Its current requests.
        demand: Slots that its requests of the last seconds would fill.
        at: When `demand` was last updated.
        credit: Fraction of a request that it may send while it is limited.
        active_at: When one of its requests last arrived or ended.
    """

    in_flight: int = 0
    demand: float = 0.0
    at: float = 0.0
    credit: float = 0.0
    active_at: float = 0.0


@dataclass(slots=True)
class PoolUse:
    """Use of one pool through this process.

    Attributes:
        accounts: Use of each recently active account.
        total: Current requests of all accounts.
        bulk: Current requests of bulk priority.
        slot_s: Smoothed expected seconds for which an admitted request
            occupies a slot.
        level: Fair number of slots per unit of weight.
        level_at: When the level was computed.
    """

    accounts: dict[str, AccountLoad] = field(default_factory=dict)
    total: int = 0
    bulk: int = 0
    slot_s: float = 0.0
    level: float = math.inf
    level_at: float = -math.inf


def record_demand(
    use: PoolUse, account_id: str, slot_s: float, now: float
) -> None:
    """Add a request to an account's demand, admitted or not."""
    account = use.accounts.setdefault(account_id, AccountLoad(at=now))
    # However long it runs, a request occupies one slot at a time.
    account.demand = current_demand(account, now) + min(slot_s / SMOOTHING_S, 1)
    account.at = now
    account.active_at = now


def current_demand(use: AccountLoad, now: float) -> float:
    """Return the slots that an account's recent requests would fill."""
    return use.demand * math.exp(-max(now - use.at, 0) / SMOOTHING_S)


def record_use(use: PoolUse, account_id: str, sign: int, now: float) -> None:
    """Count a start (+1) or an end (-1) of an account's request."""
    account = use.accounts.setdefault(account_id, AccountLoad(at=now))
    account.in_flight += sign
    account.active_at = now
    use.total += sign


def excess(
    use: PoolUse,
    weights: Mapping[str, int],
    account_id: str,
    slots: float,
    now: float,
) -> float:
    """Return the ratio of an account's demand to its fair share.

    Args:
        use: Use of the pool.
        weights: Weight of each account.
        account_id: The account.
        slots: This process's part of the slots to share.
        now: The current time in seconds.
    """
    if now - use.level_at >= LEVEL_INTERVAL_S:
        _drop_idle(use, now)
        use.level = fair_level(use, weights, slots, now)
        use.level_at = now
    share = use.level * weights.get(account_id, 1)
    return current_demand(use.accounts[account_id], now) / max(
        share, slots * MIN_SHARE_FRACTION
    )


def spend_credit(use: PoolUse, account_id: str, excess_ratio: float) -> bool:
    """Return whether this request is within its account's share.

    Of an account whose demand is twice its share, every second request is.
    """
    account = use.accounts[account_id]
    account.credit += 1 / excess_ratio
    if account.credit < 1:
        return False
    account.credit -= 1
    return True


def fair_level(
    use: PoolUse, weights: Mapping[str, int], slots: float, now: float
) -> float:
    """Return the slots per unit of weight that fill the pool.

    Accounts whose demand is below the level get their demand; the others
    share the rest. Infinite when every demand is met.
    """
    demands = (
        max_min.Demand(current_demand(account, now), weights.get(name, 1))
        for name, account in use.accounts.items()
    )
    return max_min.level(demands, slots)


def _drop_idle(use: PoolUse, now: float) -> None:
    idle = [
        name
        for name, account in use.accounts.items()
        if not account.in_flight and now - account.active_at > IDLE_EXPIRY_S
    ]
    for name in idle:
        use.accounts.pop(name)
