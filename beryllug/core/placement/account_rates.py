"""Requests of client accounts that reach one process."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from beryllug.core.placement import load_sums

# Time constant of the smoothed demand: a share that was lent must be returned
# within a second, of which the sums may take half.
SMOOTHING_S = 0.5
# The same for the demand of one process, which is used without sums. At one of
# 300 processes, an account with a thousand requests per second has three.
OWN_SMOOTHING_S = 2.0
# Maximum accounts of a service that a process reports.
MAX_REPORTED = 16
# Minimum fraction of a process's load on a service for an account to be
# reported; smaller ones are in the total only.
MIN_REPORTED_FRACTION = 0.03
# Seconds after which an account without requests is forgotten. Its credit must
# last while a process gets one of its requests every few seconds.
FORGET_S = 60.0


@dataclass(slots=True)
class AccountUse:
    """Requests of an account for a service that reach this process.

    Attributes:
        per_s: Smoothed requests per second.
        steady_per_s: The same, smoothed over `OWN_SMOOTHING_S`.
        at: When both were last updated.
        credit: Requests that are within the share; negative after more were.
        is_limited: Whether the last request was of a demand above the level.
    """

    per_s: float = 0.0
    steady_per_s: float = 0.0
    at: float = 0.0
    credit: float = 0.0
    is_limited: bool = False


@dataclass(slots=True)
class ServiceUse:
    """Requests for one service that reach this process.

    Attributes:
        accounts: Requests by account.
        overloaded_at: When its capacity was last known to be exceeded.
    """

    accounts: dict[str, AccountUse] = field(default_factory=dict)
    overloaded_at: float = -math.inf


def record(use: AccountUse, now: float) -> None:
    """Count a request."""
    use.per_s = current_per_s(use, now) + 1 / SMOOTHING_S
    use.steady_per_s = steady_per_s(use, now) + 1 / OWN_SMOOTHING_S
    use.at = now


def current_per_s(use: AccountUse, now: float) -> float:
    """Return the smoothed requests per second of an account."""
    return use.per_s * math.exp(-max(now - use.at, 0) / SMOOTHING_S)


def steady_per_s(use: AccountUse, now: float) -> float:
    """Return the requests per second, smoothed over a longer time."""
    return use.steady_per_s * math.exp(-max(now - use.at, 0) / OWN_SMOOTHING_S)


def noticeable(use: ServiceUse, now: float) -> dict[str, float]:
    """Return the demand of the accounts that a process reports."""
    demands = {
        name: current_per_s(account, now)
        for name, account in use.accounts.items()
    }
    least = max(
        sum(demands.values()) * MIN_REPORTED_FRACTION, 1 / load_sums.UNITS
    )
    chosen = sorted(
        (name for name, per_s in demands.items() if per_s >= least),
        key=demands.__getitem__,
        reverse=True,
    )
    return {name: demands[name] for name in chosen[:MAX_REPORTED]}


def forget_idle(use: ServiceUse, now: float) -> None:
    """Forget accounts that send nothing any more."""
    idle = [
        name
        for name, account in use.accounts.items()
        if now - account.at > FORGET_S
    ]
    for name in idle:
        use.accounts.pop(name)


def total_per_s(use: ServiceUse, now: float) -> float:
    """Return the smoothed requests per second of all accounts."""
    demands: Iterable[float] = (
        current_per_s(account, now) for account in use.accounts.values()
    )
    return sum(demands)
