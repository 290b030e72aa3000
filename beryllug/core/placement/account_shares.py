"""Fair shares of a service's capacity among client accounts.

Load handled: one account sends many times its usual load to a service that is
then overloaded. The other accounts keep their share, and this one gets what
they leave.

Shares are max-min fair over the demand of all processes: offered requests per
second, served or not. While a service is overloaded, processes exchange sums of
the demand on it, in total and by account. A process names only the accounts
that matter in its own load, so the messages stay short; the rest of the total
is divided equally among the known accounts when the level is computed.

Without sums, a process uses its own demand times the number of processes. That
is less exact, since one process of many sees few requests of an account.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from types import MappingProxyType
from typing import NamedTuple

from beryllug.core import max_min
from beryllug.core.placement import account_rates, load_sums

# Standard deviations above which a rise of the demand of one process counts
# before it is seen in the rate that is smoothed over a longer time.
RISE_DEVIATIONS = 2.0
# Fraction of the capacity that is divided into shares. The rest lets requests
# within their share that have accumulated be served; it is used by requests
# over their share.
SHARED_FRACTION = 0.9
# The same without sums, when the demand is less exact: in a replay of 300
# processes, others than the largest account then lost 0.10 of their requests,
# and 0.22 with the fraction above.
OWN_SHARED_FRACTION = 0.75
# Seconds after an overload for which a process reports.
REPORT_AFTER_S = 5.0
# Minimum seconds for which a computed level is used, in total and by account: a
# level takes 0.1 ms with 24 accounts and 2 ms with 1,000. With 0.25 s in total,
# others lost a tenth of their requests in the second in which one rose.
LEVEL_PERIOD_S = 0.1
LEVEL_PERIOD_S_PER_ACCOUNT = 0.0005
# Seconds of requests above the level that count against an account when it
# begins to be limited. They were within its share as long as its demand was not
# known, and may still wait for a server before those of other accounts.
DEBT_S = 1.0
# Maximum seconds in which this is made up for.
MAX_REPAY_S = 5.0
# Minimum fraction of an account's requests that is within its share, so that no
# account starves at an absurdly small capacity.
MIN_FRACTION = 0.02
# Reported demands above this many requests per second are invalid.
MAX_DEMAND_PER_S = 1_000_000
# Ratio of an account's reported demand to the total of its service above which
# it is invalid. The two may come from different rounds of reports.
MAX_RATIO_TO_TOTAL = 2.0
# Keys of accounts that are remembered; it takes three microseconds to compute
# one, and each level needs those of all accounts.
MAX_KEYS = 8192


class Division(NamedTuple):
    """The division of a service's capacity among accounts.

    Attributes:
        level: Maximum requests per second within the share of an account;
            infinite if all demand fits.
        demands: Estimated requests per second of the accounts that may exceed
            the level, over all processes.
        at: When it was computed.
        capacity_per_s: The capacity that was divided.
        sums_ago_s: Age of the sums that it is based on; None if on own demand.
    """

    level: float = math.inf
    demands: Mapping[str, float] = MappingProxyType({})
    at: float = -math.inf
    capacity_per_s: float = 0.0
    sums_ago_s: float | None = None


@dataclass(slots=True)
class AccountShares:
    """Demand of client accounts on services.

    Attributes:
        others: Sums reported by the other processes.
        names: Names of the accounts that may send requests.
        processes: Number of processes, including this one.
        first_credit: Credit of an account at its first request, at least 0 and
            below 1. If it were the same in all processes, their decisions for
            an account that sends few requests to each would all be equal.
        services: Requests by service.
        divisions: The last computed division of each overloaded service.
        invalid: Number of reported values that were left out.
    """

    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)
    names: frozenset[str] = frozenset()
    processes: int = 1
    first_credit: float = 0.0
    services: dict[str, account_rates.ServiceUse] = field(default_factory=dict)
    divisions: dict[str, Division] = field(default_factory=dict)
    invalid: int = 0


def record(
    state: AccountShares, service: str, account: str, now: float
) -> None:
    """Record an offered request, whether or not it will be served."""
    account_rates.record(_account_use(state, service, account, now), now)


def is_within_share(
    state: AccountShares,
    service: str,
    account: str,
    capacity_per_s: float | None,
    now: float,
) -> bool:
    """Return whether a request is within its account's share.

    It is called once per request, since it spends credit. Of an account whose
    demand is twice the level, every second request is within its share.

    Args:
        state: The known demand; `record` has counted the request.
        service: The service.
        account: Name of the client account; empty without one.
        capacity_per_s: Requests per second that the service can serve; None if
            it is not overloaded.
        now: The present second.
    """
    if capacity_per_s is None:
        return True
    use = _account_use(state, service, account, now)
    state.services[service].overloaded_at = now
    division = _current_division(state, service, capacity_per_s, now)
    demand = division.demands.get(account, 0)
    if demand <= division.level:
        use.is_limited = False
        return True
    fraction = max(division.level / demand, MIN_FRACTION)
    if not use.is_limited:
        use.is_limited = True
        sent = account_rates.current_per_s(use, now) * DEBT_S
        use.credit = max(use.credit, 0) - sent * min(
            1 - fraction, fraction * MAX_REPAY_S / DEBT_S
        )
    use.credit += fraction
    if use.credit < 1:
        return False
    use.credit -= 1
    return True


def reported(state: AccountShares, now: float) -> dict[str, load_sums.Load]:
    """Return the demand on overloaded services, to report to others.

    Also forgets accounts that send nothing any more.
    """
    counts: dict[str, load_sums.Load] = {}
    for service, use in tuple(state.services.items()):
        account_rates.forget_idle(use, now)
        if not use.accounts:
            state.services.pop(service)
            state.divisions.pop(service, None)
        is_overloaded = now - use.overloaded_at <= REPORT_AFTER_S
        if is_overloaded:
            counts[_overload_subject(service)] = load_sums.Load(counted=1)
        if is_overloaded or _is_overloaded_elsewhere(state, service, now):
            counts[_total_subject(service)] = _as_load(
                account_rates.total_per_s(use, now)
            )
            for account, per_s in account_rates.noticeable(use, now).items():
                subject = _account_subject(service, account)
                counts[subject] = _as_load(per_s)
    return counts


def _current_division(
    state: AccountShares, service: str, capacity_per_s: float, now: float
) -> Division:
    division = state.divisions.get(service)
    period_s = max(
        LEVEL_PERIOD_S, LEVEL_PERIOD_S_PER_ACCOUNT * len(state.names)
    )
    if division is None or now - division.at >= period_s:
        division = divide(state, service, capacity_per_s, now)
        state.divisions[service] = division
    return division


def divide(
    state: AccountShares, service: str, capacity_per_s: float, now: float
) -> Division:
    """Return the division of a capacity by the demand of all processes."""
    capacity_per_s = max(capacity_per_s, 0)
    total = _remote(state, _total_subject(service), now)
    if total is None or not total.counted:
        return _divide_by_own(state, service, capacity_per_s, now)
    return _divide_by_sums(state, service, total, capacity_per_s, now)


def _divide_by_own(
    state: AccountShares, service: str, capacity_per_s: float, now: float
) -> Division:
    """Divide by this process's demand times the number of processes.

    One process sees few requests, so the rate is smoothed over a longer time.
    Its standard deviation is left out: an account with few requests must not be
    limited by chance. A rise is seen earlier in the other rate, if it is larger
    than chance can be.
    """
    processes = max(state.processes, 1)
    dispersion = 1 - 1 / processes
    accounts = state.services[service].accounts
    risen = {
        name: _lower_bound(
            account_rates.current_per_s(use, now),
            account_rates.SMOOTHING_S,
            RISE_DEVIATIONS * dispersion,
        )
        for name, use in accounts.items()
    }
    steady = {
        name: account_rates.steady_per_s(use, now)
        for name, use in accounts.items()
    }
    level = max_min.level(
        (
            max_min.Demand(max(per_s, risen[name]) * processes)
            for name, per_s in steady.items()
        ),
        capacity_per_s * OWN_SHARED_FRACTION,
    )
    demands = {
        name: processes
        * max(
            _lower_bound(per_s, account_rates.OWN_SMOOTHING_S, dispersion),
            risen[name],
        )
        for name, per_s in steady.items()
    }
    return Division(level, demands, now, capacity_per_s)


def _lower_bound(per_s: float, smoothing_s: float, deviations: float) -> float:
    """Return a smoothed rate less standard deviations of random arrivals."""
    return max(per_s - deviations * math.sqrt(per_s / (2 * smoothing_s)), 0)


def _divide_by_sums(
    state: AccountShares,
    service: str,
    total: load_sums.Load,
    capacity_per_s: float,
    now: float,
) -> Division:
    """Divide by the reported sums and this process's demand.

    Processes that do not report, as in the first half second of an overload,
    are assumed to have as much demand as the others.
    """
    use = state.services[service]
    own = account_rates.noticeable(use, now)
    names = state.names.union(use.accounts)
    scale = max(state.processes / (total.counted + 1), 1)
    remote = _remote_accounts_per_s(state, service, names, total)
    demands = {
        name: scale * (own.get(name, 0) + remote.get(name, 0))
        for name in own.keys() | remote.keys()
    }
    all_per_s = scale * (account_rates.total_per_s(use, now) + _per_s(total))
    rest = max(all_per_s - sum(demands.values()), 0) / len(names)
    parties = [max_min.Demand(per_s + rest) for per_s in demands.values()]
    quiet = len(names) - len(demands)
    if quiet:
        parties.append(max_min.Demand(rest * quiet, quiet))
    return Division(
        max_min.level(parties, capacity_per_s * SHARED_FRACTION),
        demands,
        now,
        capacity_per_s,
        now - state.others.at,
    )


def _remote_accounts_per_s(
    state: AccountShares,
    service: str,
    names: Iterable[str],
    total: load_sums.Load,
) -> dict[str, float]:
    """Return the valid demand of reported accounts at the other processes."""
    found = {}
    for name in names:
        load = state.others.loads.get(_account_key(service, name))
        if load is None:
            continue
        if 0 <= load.summed <= MAX_RATIO_TO_TOTAL * total.summed:
            found[name] = _per_s(load)
        else:
            state.invalid += 1
    return found


def _remote(
    state: AccountShares, subject: str, now: float
) -> load_sums.Load | None:
    """Return the others' valid sum on a subject; None if there is none."""
    load = load_sums.remote_subject_load(state.others, subject, now)
    if load is None:
        return None
    if load.counted < 0 or not 0 <= _per_s(load) <= MAX_DEMAND_PER_S:
        state.invalid += 1
        return None
    return load


def _is_overloaded_elsewhere(
    state: AccountShares, service: str, now: float
) -> bool:
    load = _remote(state, _overload_subject(service), now)
    return load is not None and load.counted > 0


def _account_use(
    state: AccountShares, service: str, account: str, now: float
) -> account_rates.AccountUse:
    service_use = state.services.get(service)
    if service_use is None:
        service_use = account_rates.ServiceUse()
        state.services[service] = service_use
    use = service_use.accounts.get(account)
    if use is None:
        use = account_rates.AccountUse(at=now, credit=state.first_credit)
        service_use.accounts[account] = use
    return use


def _as_load(per_s: float) -> load_sums.Load:
    """Return a demand as a load; it counts the reporting processes."""
    return load_sums.Load(counted=1, summed=round(per_s * load_sums.UNITS))


def _per_s(load: load_sums.Load) -> float:
    return load.summed / load_sums.UNITS


def _total_subject(service: str) -> str:
    return f'total demand on {service!r}'


def _overload_subject(service: str) -> str:
    return f'overload of {service}'


@lru_cache(maxsize=MAX_KEYS)
def _account_key(service: str, account: str) -> int:
    return load_sums.subject_key(_account_subject(service, account))


def _account_subject(service: str, account: str) -> str:
    return f'demand of account {account!r} on {service!r}'
