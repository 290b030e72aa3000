"""An entry host of the bench: the deciding functions, wired as in `entry`.

It keeps the counts that one process has and knows nothing of the other hosts
but the reported loads.
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

NEAR_S = 0.0003
FAR_S = 0.0015
MOST_ASKED = 8
DOWN_RETRY_S = 1.0


class Policy(NamedTuple):
    """What is under test.

    Attributes:
        balance: How a backend server is chosen.
        admission: Whether requests can be refused.
        retries: Whether retries draw on a budget; else each failure is
            tried again as often as attempts allow.
    """

    balance: balance_data.BalancePolicy = balance_data.LeastCost()
    admission: bool = True
    retries: bool = True


@dataclass(slots=True)
class Call:
    """One request on its way through a host."""

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
class World:
    """What the hosts of a run share.

    Attributes:
        clock: The virtual clock.
        deployment: The deployment.
        engines: Backend servers by id.
        seen: What callers got.
        targets: Targets by class of request.
        hosts: The entry hosts.
    """

    clock: clock.Clock
    deployment: deployments.Deployment
    engines: dict[str, engine.Engine]
    seen: recorder.Recorder
    targets: dict[str, config_data.Targets] = field(default_factory=dict)
    hosts: 'list[EntryHost]' = field(default_factory=list)


class EntryHost:
    """One entry process."""

    def __init__(
        self, world: World, name: str, zone: str, policy: Policy
    ) -> None:
        """Make a host with empty state."""
        self._world = world
        self._policy = policy
        self._zone = zone
        self._rng = random.Random(name)
        self._balance = balance_data.BalanceState()
        self._limits = limits.LimitState()
        self._estimates = estimates.EstimateState()
        self._retries = retry.RetryState()
        view = world.deployment.view
        self._fleet = balance.build_fleet(view, name, zone)
        self._weights = {
            account.account_id: account.weight
            for account in view.document.accounts
        }

    def report(self, loads: tuple[view_data.ServerLoad, ...]) -> None:
        """Take reported loads."""
        server_load.report(self._balance, loads, 0)

    def take(self, req: workload.Request, asked: int = 1) -> None:
        """Take a request that its caller asks for the so-manieth time."""
        now = self._world.clock.now
        group = self._world.seen.group(req)
        if group is not None and asked == 1:
            group.offered += 1
        call = Call(
            req,
            self._world.targets[req.kind.request_class],
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
        """Refuse; the caller of a bulk request asks again when told to."""
        now = self._world.clock.now
        bulk = request_data.priority(call.targets)
        patient = bulk is request_data.Priority.BULK
        if patient and call.asked < MOST_ASKED:
            host = self._rng.choice(self._world.hosts)
            self._world.clock.after(
                retry_after_s * (1 + self._rng.random()),
                host.take,
                call.req,
                call.asked + 1,
            )
        else:
            self._world.seen.refused(call.req, call.asked_at, now)

    def _admit(self, call: Call) -> limits.Refused | None:
        now = self._world.clock.now
        known = estimates.get(self._estimates, call.key)
        ask = limits.Ask(
            workload.account_name(call.req.account),
            call.targets,
            known.first_token_s,
            known.service_s,
        )
        room = self._room(call.req.kind.pool, now)
        decision = limits.admit(self._limits, self._weights, room, ask, now)
        if isinstance(decision, limits.Refused):
            return decision
        call.ticket = decision
        return None

    def _room(self, pool_name: str, now: float) -> limits.Room:
        pool = self._fleet[pool_name]
        sound = [
            seen
            for seen in self._tracks(pool_name)
            if not ejection.is_out(seen, now)
        ]
        slots = pool.pool.concurrency * len(sound)
        load = server_load.pool_load(sound, deployments.ENTRIES, now)
        return limits.Room(pool_name, slots, load, deployments.ENTRIES)

    def _tracks(self, pool_name: str) -> list[balance_data.Track]:
        return [
            server_load.track(self._balance, member.server.server_id)
            for member in self._fleet[pool_name].members
        ]

    def _dispatch(self, call: Call) -> None:
        now = self._world.clock.now
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
        seen = server_load.track(self._balance, server.server_id)
        slots = self._fleet[server.pool].pool.concurrency
        call.load_share = server_load.load_of(seen, now) / slots
        call.server = server
        call.sent_at = now
        call.attempts += 1
        if call.attempts == 1:
            retry.first_try(self._retries, server.pool)
        group = self._world.seen.group(call.req)
        if group is not None:
            group.tried += call.attempts == 1
            group.attempts += 1
        server_load.dispatched(self._balance, server.server_id, now)
        way_s = NEAR_S if server.zone == self._zone else FAR_S
        self._world.clock.after(
            way_s,
            engine.submit,
            self._world.engines[server.server_id],
            self._job(call, way_s),
        )

    def _job(self, call: Call, way_s: float) -> engine.Job:
        req = call.req
        plain = req.kind.plain
        after = self._world.clock.after
        prompt = workload.SYSTEM_PROMPT + req.history
        system = workload.account_name(req.account)
        return engine.Job(
            priority=request_data.priority(call.targets),
            tokens_in=0 if plain else prompt + req.tokens_new,
            tokens_out=req.tokens_out,
            prefixes=(
                (req.session, prompt),
                (system, workload.SYSTEM_PROMPT),
            ),
            first=functools.partial(after, way_s, self._first, call),
            done=functools.partial(after, way_s, self._done, call),
            failed=functools.partial(after, way_s, self._failed, call),
        )

    def _first(self, call: Call) -> None:
        now = self._world.clock.now
        call.first_at = now
        self._world.seen.answered(call.req, call.targets, call.asked_at, now)
        assert call.server is not None
        seen = server_load.track(self._balance, call.server.server_id)
        known = estimates.get(self._estimates, call.key)
        ratio = (now - call.sent_at) / known.first_token_s
        ejection.succeeded(seen, ratio)
        ejection.eject_slow(self._tracks(call.req.kind.pool), now)

    def _done(self, call: Call) -> None:
        now = self._world.clock.now
        assert call.server is not None
        server_load.finished(self._balance, call.server.server_id, now)
        estimates.observe(
            self._estimates,
            call.key,
            call.first_at - call.sent_at,
            now - call.first_at,
            call.load_share,
        )
        self._release(call)

    def _failed(self, call: Call, failure: retry.Failure) -> None:
        now = self._world.clock.now
        assert call.server is not None
        server_id = call.server.server_id
        server_load.finished(self._balance, server_id, now)
        ejection.failed(server_load.track(self._balance, server_id), now)
        call.tried |= {server_id}
        delay_s = self._retry_delay_s(call, failure)
        if delay_s is None:
            self._end(call, refused=retry.ran_for_sure_not(failure))
        else:
            self._world.clock.after(delay_s, self._dispatch, call)

    def _retry_delay_s(
        self, call: Call, failure: retry.Failure
    ) -> float | None:
        known = estimates.get(self._estimates, call.key)
        whole_s = call.targets.total_ms / recorder.MS
        attempt = retry.Attempt(
            pool=call.req.kind.pool,
            failure=failure,
            number=call.attempts,
            repeatable=call.req.kind.repeatable,
            answer_begun=call.first_at > 0,
            needs_s=known.first_token_s + known.service_s,
            complete_by=call.req.at + whole_s,
        )
        state = self._retries
        if not self._policy.retries:
            state = retry.RetryState(
                {attempt.pool: retry.Budget(tokens=retry.MOST_TOKENS)}
            )
        now = self._world.clock.now
        decision = retry.may_retry(state, attempt, now, self._rng.random())
        if isinstance(decision, retry.Again):
            return decision.delay_s
        return None

    def _end(self, call: Call, refused: bool) -> None:
        self._release(call)
        if refused:
            self._refuse(call, DOWN_RETRY_S)
            return
        group = self._world.seen.group(call.req)
        if group is not None:
            group.failed += 1

    def _release(self, call: Call) -> None:
        if call.ticket is not None:
            limits.release(self._limits, call.ticket, self._world.clock.now)


def _prefix_key(req: workload.Request) -> str:
    """Return what decides the server that has the prompt's start cached."""
    return '' if req.kind.plain else req.session
