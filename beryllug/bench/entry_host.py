"""A simulated entry host with the decision functions of the entry process.

Each host keeps its own counts and learns about the other hosts only through
the reported loads.
"""

import functools
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.bench import clock, deployments, engine, recorder, workload
from beryllug.core import (
    balance,
    balance_data,
    config_data,
    ejection,
    estimates,
    limits,
    request_data,
    retry,
    server_load,
    view_data,
)

SAME_ZONE_S = 0.0003
CROSS_ZONE_S = 0.0015
MAX_ASKS = 8
UNAVAILABLE_RETRY_S = 1.0


class Policy(NamedTuple):
    """The routing policy under test.

    Attributes:
        balance: How a backend server is chosen.
        admission: Whether requests can be refused.
        retries: Whether a retry budget applies; otherwise only the limit on
            attempts does.
    """

    balance: balance_data.BalancePolicy = balance_data.LeastCost()
    admission: bool = True
    retries: bool = True


@dataclass(slots=True)
class Call:
    """State of one request in a host."""

    req: workload.Request
    targets: config_data.Targets
    key: estimates.Key
    asked_at: float
    asked: int
    tried: frozenset[str] = frozenset()
    attempts: int = 0
    ticket: limits.Ticket | None = None
    server: view_data.BackendServer | None = None
    sent_at: float = 0.0
    first_at: float = 0.0
    load_share: float = 0.0


@dataclass(slots=True)
class Simulation:
    """State shared by the hosts of a run.

    Attributes:
        clock: The virtual clock.
        deployment: The deployment.
        engines: Backend servers by id.
        recording: Recorded outcomes of requests.
        targets: Targets by request class.
        hosts: The entry hosts.
    """

    clock: clock.Clock
    deployment: deployments.Deployment
    engines: dict[str, engine.Engine]
    recording: recorder.Recorder
    targets: dict[str, config_data.Targets] = field(default_factory=dict)
    hosts: 'list[EntryHost]' = field(default_factory=list)


class EntryHost:
    """A simulated entry process."""

    def __init__(
        self, simulation: Simulation, name: str, zone: str, policy: Policy
    ) -> None:
        """Make a host without any history."""
        self._simulation = simulation
        self._policy = policy
        self._zone = zone
        self._rng = random.Random(name)
        self._balance = balance_data.BalanceState()
        self._limits = limits.LimitState()
        self._estimates = estimates.EstimateState()
        self._retries = retry.RetryState()
        view = simulation.deployment.view
        self._fleet = balance.build_fleet(view, name, zone)
        self._weights = {
            account.account_id: account.weight
            for account in view.document.accounts
        }

    def report(self, loads: tuple[view_data.ServerLoad, ...]) -> None:
        """Process reported loads of backend servers."""
        server_load.apply_reports(self._balance, loads, 0)

    def take(self, req: workload.Request, asked: int = 1) -> None:
        """Handle a request; `asked` counts its submissions, from 1."""
        now = self._simulation.clock.now
        group = self._simulation.recording.group(req)
        if group is not None and asked == 1:
            group.offered += 1
        call = Call(
            req,
            self._simulation.targets[req.kind.request_class],
            estimates.Key(req.kind.pool, req.kind.request_class),
            asked_at=now,
            asked=asked,
        )
        if self._policy.admission:
            refused = self._admit(call)
            if refused is not None:
                self._refuse(call, refused.retry_after_s)
                return
        self._dispatch(call)

    def _refuse(self, call: Call, retry_after_s: float) -> None:
        """Refuse a request; callers of bulk requests retry after the delay."""
        now = self._simulation.clock.now
        bulk = request_data.priority(call.targets)
        asks_again = bulk is request_data.Priority.BULK
        if asks_again and call.asked < MAX_ASKS:
            host = self._rng.choice(self._simulation.hosts)
            self._simulation.clock.call_later(
                retry_after_s * (1 + self._rng.random()),
                host.take,
                call.req,
                call.asked + 1,
            )
        else:
            self._simulation.recording.refused(call.req, call.asked_at, now)

    def _admit(self, call: Call) -> limits.Refused | None:
        now = self._simulation.clock.now
        estimate = estimates.get(self._estimates, call.key)
        ask = limits.AdmissionRequest(
            workload.account_name(call.req.account),
            call.targets,
            estimate.first_token_s,
            estimate.service_s,
        )
        room = self._pool_room(call.req.kind.pool, now)
        decision = limits.admit(self._limits, self._weights, room, ask, now)
        if isinstance(decision, limits.Refused):
            return decision
        call.ticket = decision
        return None

    def _pool_room(self, pool_name: str, now: float) -> limits.PoolCapacity:
        pool = self._fleet[pool_name]
        healthy = [
            server_track
            for server_track in self._tracks(pool_name)
            if not ejection.is_ejected(server_track, now)
        ]
        slots = pool.pool.concurrency * len(healthy)
        load = server_load.pool_load(healthy, deployments.ENTRIES, now)
        return limits.PoolCapacity(pool_name, slots, load, deployments.ENTRIES)

    def _tracks(self, pool_name: str) -> list[balance_data.ServerStats]:
        return [
            server_load.stats_of(self._balance, member.server.server_id)
            for member in self._fleet[pool_name].members
        ]

    def _dispatch(self, call: Call) -> None:
        now = self._simulation.clock.now
        pick = balance_data.Pick(
            call.req.kind.pool,
            prefix_key=_prefix_key(call.req),
            excluded=call.tried,
        )
        server = balance.choose(
            self._balance,
            self._fleet,
            pick,
            self._policy.balance,
            now,
            self._rng,
        )
        if server is None:
            self._end(call, refused=call.attempts == 0)
            return
        self._send(call, server, now)

    def _send(
        self, call: Call, server: view_data.BackendServer, now: float
    ) -> None:
        server_track = server_load.stats_of(self._balance, server.server_id)
        slots = self._fleet[server.pool].pool.concurrency
        call.load_share = server_load.load_of(server_track, now) / slots
        call.server = server
        call.sent_at = now
        call.attempts += 1
        if call.attempts == 1:
            retry.record_first_attempt(self._retries, server.pool)
        group = self._simulation.recording.group(call.req)
        if group is not None:
            group.tried += call.attempts == 1
            group.attempts += 1
        server_load.record_dispatch(self._balance, server.server_id, now)
        network_s = SAME_ZONE_S if server.zone == self._zone else CROSS_ZONE_S
        self._simulation.clock.call_later(
            network_s,
            engine.submit,
            self._simulation.engines[server.server_id],
            self._job(call, network_s),
        )

    def _job(self, call: Call, network_s: float) -> engine.Job:
        req = call.req
        plain = req.kind.plain
        call_later = self._simulation.clock.call_later
        prompt = workload.SYSTEM_PROMPT + req.history
        system = workload.account_name(req.account)
        return engine.Job(
            priority=request_data.priority(call.targets),
            tokens_in=0 if plain else prompt + req.turn_tokens,
            tokens_out=req.tokens_out,
            prefixes=(
                (req.session, prompt),
                (system, workload.SYSTEM_PROMPT),
            ),
            first=functools.partial(
                call_later, network_s, self._first_token, call
            ),
            done=functools.partial(call_later, network_s, self._done, call),
            failed=functools.partial(call_later, network_s, self._failed, call),
        )

    def _first_token(self, call: Call) -> None:
        now = self._simulation.clock.now
        call.first_at = now
        self._simulation.recording.answered(
            call.req, call.targets, call.asked_at, now
        )
        assert call.server is not None
        server_track = server_load.stats_of(
            self._balance, call.server.server_id
        )
        estimate = estimates.get(self._estimates, call.key)
        ratio = (now - call.sent_at) / estimate.first_token_s
        ejection.record_success(server_track, ratio)
        ejection.eject_slow(self._tracks(call.req.kind.pool), now)

    def _done(self, call: Call) -> None:
        now = self._simulation.clock.now
        assert call.server is not None
        server_load.record_end(self._balance, call.server.server_id, now)
        estimates.observe(
            self._estimates,
            call.key,
            call.first_at - call.sent_at,
            now - call.first_at,
            call.load_share,
        )
        self._release(call)

    def _failed(self, call: Call, failure: retry.Failure) -> None:
        now = self._simulation.clock.now
        assert call.server is not None
        server_id = call.server.server_id
        server_load.record_end(self._balance, server_id, now)
        ejection.record_failure(
            server_load.stats_of(self._balance, server_id), now
        )
        call.tried |= {server_id}
        delay_s = self._retry_delay_s(call, failure)
        if delay_s is None:
            self._end(call, refused=retry.did_not_run(failure))
        else:
            self._simulation.clock.call_later(delay_s, self._dispatch, call)

    def _retry_delay_s(
        self, call: Call, failure: retry.Failure
    ) -> float | None:
        estimate = estimates.get(self._estimates, call.key)
        whole_s = call.targets.total_ms / recorder.MS
        attempt = retry.Attempt(
            pool=call.req.kind.pool,
            failure=failure,
            number=call.attempts,
            repeatable=call.req.kind.repeatable,
            answer_begun=call.first_at > 0,
            needs_s=estimate.first_token_s + estimate.service_s,
            complete_by=call.req.at + whole_s,
        )
        state = self._retries
        if not self._policy.retries:
            state = retry.RetryState(
                {attempt.pool: retry.Budget(tokens=retry.MOST_TOKENS)}
            )
        now = self._simulation.clock.now
        decision = retry.may_retry(state, attempt, now, self._rng.random())
        if isinstance(decision, retry.RetryAfter):
            return decision.delay_s
        return None

    def _end(self, call: Call, refused: bool) -> None:
        self._release(call)
        if refused:
            self._refuse(call, UNAVAILABLE_RETRY_S)
            return
        group = self._simulation.recording.group(call.req)
        if group is not None:
            group.failed += 1

    def _release(self, call: Call) -> None:
        if call.ticket is not None:
            limits.release(
                self._limits, call.ticket, self._simulation.clock.now
            )


def _prefix_key(req: workload.Request) -> str:
    """Return the key for prefix-cache affinity."""
    return '' if req.kind.plain else req.session
