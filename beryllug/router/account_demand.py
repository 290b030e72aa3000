"""Service 'account_demand': fair shares of services among client accounts.

Counts each request of a caller once, exchanges the demand on overloaded
services with other processes, and tells whether a request is within its
account's share. Exists only if shares are switched on.
"""

import time
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from beryllug.core.placement import account_shares, load_sums
from beryllug.core.routes import routes_data
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import call as call_data
from beryllug.router import caller_server, directory, pool

# Seconds without a request over its share after which the log states that an
# account is no longer limited. An account near the level exceeds it at times.
UNLIMITED_AFTER_S = 5.0
# Seconds between two log lines on invalid sums.
INVALID_LOG_S = 60.0
# Maximum number of accounts with a metric of their own, and of accounts of a
# service in the dump.
MAX_SHOWN = 16
# Values of `key_of` are uniform below this.
KEYS = 4294967296


class _Limited(NamedTuple):
    """An account that is limited at a service."""

    service: str
    account: str


class AccountDemand:
    """Tells whether requests are within the shares of their accounts."""

    def __init__(
        self, name: str, servers: pool.Pool, lines: log_lines.LineWriter
    ) -> None:
        """Bind to the sums of other processes.

        Args:
            name: Name of the process.
            servers: Holds the sums, and the number of processes.
            lines: Writes log lines.
        """
        self.state = account_shares.AccountShares(
            servers.peer_loads,
            first_credit=load_sums.server_key(name) / KEYS,
        )
        self._pool = servers
        self._lines = lines
        # When a request of a limited account last exceeded its share.
        self._limited: dict[_Limited, float] = {}
        self._over_share: Counter[str] = Counter()
        self._invalid_logged_at = -INVALID_LOG_S
        self._invalid_logged = 0

    async def start(self) -> None:
        """Do nothing: the service is driven by requests and by reports."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the division of each service that is or was overloaded."""
        now = time.monotonic()
        return {
            service: {
                'ago_s': round(now - division.at, 2),
                'sums_ago_s': division.sums_ago_s,
                'capacity_per_s': round(division.capacity_per_s, 2),
                'level_per_s': round(division.level, 2),
                'demands_per_s': {
                    account: round(division.demands[account], 2)
                    for account in _largest(division)
                },
                'limited': sorted(
                    each.account
                    for each in self._limited
                    if each.service == service
                ),
            }
            for service, division in self.state.divisions.items()
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the share used by limited accounts, and requests over it."""
        for each in sorted(self._limited)[:MAX_SHOWN]:
            division = self.state.divisions.get(each.service)
            if division is None:
                continue
            yield metrics_data.Sample(
                'account_share_used',
                _share_used(division, each.account),
                'Demand of a limited client account, as a ratio of its share.',
                labels={'service': each.service, 'account': each.account},
            )
        for service, count in self._over_share.items():
            yield metrics_data.Sample(
                'requests_over_share',
                count,
                'Requests beyond the fair shares of their client accounts.',
                metrics_data.Kind.COUNTER,
                {'service': service},
            )

    def connect(
        self, callers: caller_server.CallerServer, known: directory.Directory
    ) -> None:
        """Count requests, report to peers, and follow the accounts."""
        callers.on_call = self.record
        self._pool.counters.append(self.shared_counts)
        known.on_table(self.take_table)

    def take_table(self, table: routes_data.RouteTable) -> None:
        """Take the names of the accounts of a route table.

        Shares belong to names: an account that changes its keys keeps its own.
        """
        self.state.names = frozenset(
            account.name for account in table.accounts.values()
        )

    def record(self, call: call_data.Call) -> None:
        """Count a request of a caller, which may be served or not."""
        account_shares.record(
            self.state, call.service, call.account_name, call.arrived_at
        )

    def is_within_share(
        self,
        service: str,
        account_name: str,
        capacity_per_s: float | None,
        now: float,
    ) -> bool:
        """Return whether a request is within its account's share.

        To be called once per request, since it spends the account's credit.

        Args:
            service: Its service.
            account_name: Name of its client account; empty without one.
            capacity_per_s: Requests per second that the service can serve;
                None if it is not overloaded.
            now: The present second.
        """
        self.state.processes = self._pool.repeats.processes
        is_within = account_shares.is_within_share(
            self.state, service, account_name, capacity_per_s, now
        )
        if not is_within:
            self._over_share[service] += 1
            limited = _Limited(service, account_name)
            if limited not in self._limited:
                self._log('account_limited', limited)
            self._limited[limited] = now
        return is_within

    def shared_counts(self, now: float) -> dict[str, load_sums.Load]:
        """Return the demand on overloaded services, to send to peers."""
        self._log_unlimited(now)
        self._log_invalid(now)
        return account_shares.reported(self.state, now)

    def _log_unlimited(self, now: float) -> None:
        ended = [
            limited
            for limited, at in self._limited.items()
            if now - at > UNLIMITED_AFTER_S
        ]
        for limited in ended:
            self._limited.pop(limited)
            self._log('account_unlimited', limited)

    def _log_invalid(self, now: float) -> None:
        invalid = self.state.invalid - self._invalid_logged
        if invalid and now - self._invalid_logged_at >= INVALID_LOG_S:
            self._lines.write('account_sums_invalid', values=invalid)
            self._invalid_logged = self.state.invalid
            self._invalid_logged_at = now

    def _log(self, event: str, limited: _Limited) -> None:
        division = self.state.divisions.get(
            limited.service, account_shares.Division()
        )
        demand_per_s = division.demands.get(limited.account, 0)
        sums_ago_s = division.sums_ago_s
        self._lines.write(
            event,
            service=limited.service,
            account=limited.account,
            demand_per_s=round(demand_per_s, 2),
            level_per_s=round(division.level, 2),
            capacity_per_s=round(division.capacity_per_s, 2),
            sums_ago_s=None if sums_ago_s is None else round(sums_ago_s, 3),
            processes=self.state.processes,
        )


def _largest(division: account_shares.Division) -> list[str]:
    """Return the accounts with the largest demand."""
    ranked = sorted(
        division.demands, key=division.demands.__getitem__, reverse=True
    )
    return ranked[:MAX_SHOWN]


def _share_used(division: account_shares.Division, account: str) -> float:
    """Return the ratio of an account's demand to its share."""
    demand = division.demands.get(account, 0)
    return demand / division.level if division.level else 0
