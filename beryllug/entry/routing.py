"""Selection of backend servers, and the state that it depends on.

The decisions are pure functions. This service owns their state: counts of the
requests of this process, reported loads, retry budgets, and the requests that
run on each server.
"""

import random
import time
from typing import Any, NamedTuple

from beryllug.core import (
    balance,
    balance_data,
    config_data,
    ejection,
    limits,
    retry,
    server_load,
    view_data,
    view_merge,
)
from beryllug.entry import call_data, control_link

POLICY = balance_data.TwoChoices()


class Attempt(NamedTuple):
    """One dispatch of a call to a backend server.

    Attributes:
        server: The server.
        pool: Its pool.
        version: The version it runs, or None for a plain service.
        started: Monotonic second of the dispatch.
        load_share: Load of the server at dispatch, divided by its slots.
        trial_id: Id of the trial of a suspected request, or empty.
    """

    server: view_data.BackendServer
    pool: str
    version: config_data.VersionRef | None
    started: float
    load_share: float
    trial_id: str = ''


class Routing:
    """Service 'routing' of an entry process."""

    def __init__(
        self, entry: str, zone: str, link: control_link.ControlLink
    ) -> None:
        """Initialize the service, which follows the view of a link."""
        no_servers: tuple[view_data.BackendServer, ...] = ()
        self._entry = entry
        self._zone = zone
        self._state = balance_data.BalanceState()
        self._retries = retry.RetryState()
        self._fleet: balance_data.Fleet = {}
        self._declared = (view_data.EMPTY_VIEW.document, no_servers)
        self._running: dict[str, dict[str, str]] = {}
        self._rng = random.Random(entry)
        link.subscribe(self._on_view)

    async def start(self) -> None:
        """Do nothing: the link's updates drive this service."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return counts by server and retry budgets by pool."""
        tracks = {
            server_id: {
                'in_flight': seen.in_flight,
                'reported': seen.reported,
                'slowness': seen.slowness,
                'failures': seen.failures,
                'ejections': seen.ejections,
            }
            for server_id, seen in self._state.server_stats.items()
        }
        return {'servers': tracks, 'retries': dict(retry.dump(self._retries))}

    def choose(
        self, pick: balance_data.Pick, now: float
    ) -> view_data.BackendServer | None:
        """Select the server for an attempt; None if there is none."""
        return balance.choose(
            self._state, self._fleet, pick, POLICY, now, self._rng
        )

    def attempt(
        self,
        pick: balance_data.Pick,
        server: view_data.BackendServer,
        now: float,
    ) -> Attempt:
        """Return an attempt on a selected server, with its current load."""
        pool = self._fleet.get(pick.pool)
        slots = pool.pool.concurrency if pool else 1
        seen = server_load.stats_of(self._state, server.server_id)
        load_share = server_load.load_of(seen, now) / slots
        return Attempt(server, pick.pool, pick.version, now, load_share)

    def begin(self, call: call_data.Call, attempt: Attempt) -> None:
        """Count a dispatch; called before the first await after `choose`."""
        server_id = attempt.server.server_id
        server_load.record_dispatch(self._state, server_id, attempt.started)
        running = self._running.setdefault(server_id, {})
        running[call.request_id] = call.fingerprint

    def end(self, call: call_data.Call, attempt: Attempt, now: float) -> None:
        """Count the end of an attempt, whatever its result; idempotent."""
        server_id = attempt.server.server_id
        running = self._running.get(server_id, {})
        if running.pop(call.request_id, None) is not None:
            server_load.record_end(self._state, server_id, now)

    def record_failure(
        self, attempt: Attempt, now: float, *, gone: bool = False
    ) -> None:
        """Record a failure caused by the server.

        A server that is gone is ejected at once rather than after more
        failures, each of which would use up an attempt of another request.
        """
        seen = server_load.stats_of(self._state, attempt.server.server_id)
        if not gone:
            ejection.record_failure(seen, now)
        elif not ejection.is_ejected(seen, now):
            ejection.eject(seen, now, ejection.MAX_FAILING_PAUSE_S)

    def record_answer(self, attempt: Attempt, ratio: float, now: float) -> None:
        """Record an answer.

        Args:
            attempt: The attempt that was answered.
            ratio: Observed time to first token, divided by the expected one.
            now: Current monotonic second.
        """
        seen = server_load.stats_of(self._state, attempt.server.server_id)
        ejection.record_success(seen, ratio)
        pool = self._fleet.get(attempt.pool)
        members = pool.members if pool else ()
        tracks = [
            server_load.stats_of(self._state, member.server.server_id)
            for member in members
        ]
        ejection.eject_slow(tracks, now)

    def room(
        self, pool_name: str, entries: int, now: float
    ) -> limits.PoolCapacity:
        """Return the current capacity and load of a pool.

        Args:
            pool_name: Name of the pool.
            entries: Number of entry processes that share it.
            now: Current monotonic second.
        """
        pool = self._fleet.get(pool_name)
        members = pool.members if pool else ()
        tracks = [
            server_load.stats_of(self._state, member.server.server_id)
            for member in members
        ]
        healthy = [
            seen for seen in tracks if not ejection.is_ejected(seen, now)
        ]
        slots = pool.pool.concurrency * len(healthy) if pool else 0
        load = sum(server_load.load_of(seen, now) for seen in healthy)
        return limits.PoolCapacity(pool_name, slots, load, entries)

    def fingerprints_on(self, server_id: str) -> tuple[str, ...]:
        """Return the fingerprints of this process's requests on a server."""
        return tuple(self._running.get(server_id, {}).values())

    def busy_servers(self) -> frozenset[str]:
        """Return the servers that run requests of this process."""
        return frozenset(
            server_id for server_id, runs in self._running.items() if runs
        )

    def count_first_attempt(self, pool: str) -> None:
        """Count a first attempt, which adds to the pool's retry budget."""
        retry.record_first_attempt(self._retries, pool)

    def may_retry(
        self, attempt: retry.Attempt, now: float
    ) -> retry.RetryAfter | retry.Denial:
        """Decide whether to retry a failed attempt."""
        jitter = self._rng.random()
        return retry.may_retry(self._retries, attempt, now, jitter)

    def _on_view(self, known: view_merge.EntryState) -> None:
        view = known.view
        offset = time.monotonic() - time.time()
        server_load.apply_reports(self._state, view.loads, offset)
        declared = (view.document, view.servers)
        if declared != self._declared:
            self._declared = declared
            server_load.keep_only(self._state, view.servers)
            self._fleet = balance.build_fleet(view, self._entry, self._zone)
