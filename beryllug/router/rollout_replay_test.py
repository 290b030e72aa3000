"""Roll-outs of good and bad versions, replayed with a fleet that is simulated.

All processes know all answers, some tenths of a second late. Each request is of
one kind of work, which has a route of its own; a bad version spoils half of the
answers, on all routes or on one.
"""

import functools
import heapq
import itertools
import math
import random
import unittest
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from beryllug.core.canary import canary_data, plan, verdict
from beryllug.core.placement import servers_data
from beryllug.router import rollout_state

Phase = canary_data.Phase
BOUNDS = canary_data.Bounds(share=0.15, slack=30, session_s=5)
PROCESSES = 8
# Seconds between two evaluations, and seconds of each kind of work.
PERIOD_S = 0.25
WORK_S = (0.01, 0.01, 0.02, 0.02, 0.1)
# Spread of the logarithm of the time of an answer, and how much longer a slow
# answer takes.
SPREAD = 0.35
SLOW_FACTOR = 8
# The same of a version all of whose answers are slow.
ALL_SLOW_FACTOR = 4
# Parts of the answers that a bad version spoils, and that any version fails.
SPOILED = 0.5
FAILED = 0.02
# Part of the requests that belong to a session which has begun.
IN_SESSION = 0.4
# Second from which a session is sampled.
SAMPLED_FROM_S = 1.0
# Seconds after the start from which a version that turns bad late is bad.
LATE_S = 3.0
# Servers of the new version.
SERVERS = 3
SEEDS = range(30)
# Part of the good versions that must be complete in their time.
MIN_COMPLETED = 0.9


class Kind(Enum):
    """How a version behaves."""

    GOOD = 'good'
    SLOW = 'slow'
    ALL_SLOW = 'all slow'
    FAILS = 'fails'
    FAILS_LATE = 'fails late'
    FAILS_ON_ONE_ROUTE = 'fails on one route'
    SLOW_ON_ONE_ROUTE = 'slow on one route'


class Load(NamedTuple):
    """Requests for a service, seconds of the order, and how busy servers are.

    Attributes:
        rate: Requests per second.
        duration_s: Seconds of the order.
        delay: How many times as long answers of busy servers take, in the
            middle; 1 if none is busy.
        delay_spread: Spread of the logarithm of that.
        mix: Parts of the requests that are of each kind of work.
        bad_route: Number of the only bad route, if there is one.
    """

    rate: float
    duration_s: float
    delay: float = 1
    delay_spread: float = 0
    mix: tuple[float, ...] = (0.2, 0.2, 0.2, 0.2, 0.2)
    bad_route: int = 0


class Result(NamedTuple):
    """How a roll-out ended, and the requests before the end of its time."""

    phase: Phase
    requests: int
    tried: int


FEW_REQUESTS = Load(8, 15)
MANY_REQUESTS = Load(35, 16)
# As on 60 servers that are busy, while those of the new version are idle until
# all requests go to it.
BUSY = Load(100, 15, delay=2.5, delay_spread=0.8)
LOADS = (FEW_REQUESTS, MANY_REQUESTS)
# Three kinds of streams, as on the sites, one of them more frequent.
UNEVEN_MIX = (0.25, 0.21, 0.54)
ROUTE_LOADS = tuple(
    Load(rate, duration_s, mix=UNEVEN_MIX, bad_route=route)
    for rate, duration_s in ((27, 16), (27, 24), (100, 16))
    for route in range(len(UNEVEN_MIX))
)
# Some 25 requests on the rarest route in the ordered time.
FEW_ROUTE_LOADS = tuple(
    Load(8, 15, mix=UNEVEN_MIX, bad_route=route)
    for route in range(len(UNEVEN_MIX))
)
SLOW_KINDS = (Kind.SLOW, Kind.ALL_SLOW, Kind.SLOW_ON_ONE_ROUTE)
ONE_ROUTE_KINDS = (Kind.FAILS_ON_ONE_ROUTE, Kind.SLOW_ON_ONE_ROUTE)
BAD_KINDS = (Kind.SLOW, Kind.FAILS, Kind.FAILS_LATE)

# Loads with too few known answers on the bad route.
HARDLY_SEEN = (
    *((Kind.FAILS_ON_ONE_ROUTE, load) for load in FEW_ROUTE_LOADS),
    (Kind.SLOW_ON_ONE_ROUTE, ROUTE_LOADS[4]),
)


class Replay:
    """A roll-out in virtual time."""

    def __init__(self, kind: Kind, load: Load, seed: int) -> None:
        """Start with the order, in all processes."""
        self._kind = kind
        self._load = load
        self._rng = random.Random(seed)
        self._order = canary_data.Order('desk', 'v2', load.duration_s, 1)
        self._fleet = [
            rollout_state.Rollout(
                self._order, Phase.TRIAL, 0, 0, dither=self._rng.random()
            )
            for _ in range(PROCESSES)
        ]
        self._slow_factor = (
            ALL_SLOW_FACTOR if kind is Kind.ALL_SLOW else SLOW_FACTOR
        )
        self._phase = Phase.TRIAL
        self._phase_at = 0.0
        self._lowest: dict[str, float] = {}
        self._known = canary_data.Tally()
        self._versions: dict[str, str] = {}
        self._routes: dict[str, int] = {}
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def run(self) -> Result:
        """Return how it ends."""
        now = 0.0
        while now < self._load.duration_s:
            now += self._rng.expovariate(self._load.rate)
            self._call_at(now, self._send)
        for step in range(round(self._load.duration_s / PERIOD_S)):
            self._call_at(step * PERIOD_S, self._evaluate)
        while self._due:
            now, _, call = heapq.heappop(self._due)
            call(now)
        total = verdict.merge(each.tally for each in self._fleet)
        return Result(self._phase, total.requests, total.tried)

    def _call_at(self, at: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), call))

    def _send(self, now: float) -> None:
        rollout = self._rng.choice(self._fleet)
        rollout.tally.requests += 1
        if plan.is_over(self._phase):
            rollout.tally.tried += self._phase is Phase.COMPLETE
            return
        session = self._session()
        number = self._routes.setdefault(session, self._draw_route())
        target = self._runs_on_target(rollout, session, number, now)
        rollout.tally.tried += target
        seconds = WORK_S[number] * math.exp(self._rng.gauss(0, SPREAD))
        is_good = self._rng.random() >= FAILED
        if not target or self._phase is not Phase.TRIAL:
            seconds *= self._load.delay * math.exp(
                self._rng.gauss(0, self._load.delay_spread)
            )
        if target and self._is_spoiled(number, now):
            is_slow = self._kind in SLOW_KINDS
            is_good = is_good and is_slow
            seconds *= self._slow_factor
        name = f'n{self._rng.randrange(SERVERS)}' if target else 'o1'
        server = servers_data.Server(
            name=name,
            service='desk',
            address='',
            zone='',
            version='v2' if target else 'v1',
            slots=1,
            state=servers_data.State.READY,
        )

        work = f'{canary_data.PACE}{number}'
        took = (rollout_state.Timing(work, seconds),)
        answer = functools.partial(
            rollout_state.count,
            rollout,
            server,
            f'route-{number}',
            is_good=is_good,
            took=took if is_good else (),
        )
        self._call_at(now + seconds, lambda _: answer())

    def _draw_route(self) -> int:
        kinds = range(len(self._load.mix))
        return self._rng.choices(kinds, self._load.mix)[0]

    def _is_spoiled(self, route: int, now: float) -> bool:
        if self._kind is Kind.GOOD:
            return False
        if self._kind in ONE_ROUTE_KINDS and route != self._load.bad_route:
            return False
        if self._kind is Kind.FAILS_LATE and now < LATE_S:
            return False
        return self._kind is Kind.ALL_SLOW or self._rng.random() < SPOILED

    def _runs_on_target(
        self,
        rollout: rollout_state.Rollout,
        session: str,
        route: int,
        now: float,
    ) -> bool:
        if self._phase is not Phase.TRIAL:
            return self._versions.get(session) == 'v2' or plan.may_send_in_full(
                self._order, rollout.tally, now, BOUNDS, PROCESSES
            )
        version = self._versions.get(session)
        is_binding = plan.binds_sessions(self._order, now)
        if version is None or (version == 'v1' and not is_binding):
            part = plan.sampled_part(
                self._known,
                rollout_state.requests(rollout, PROCESSES, now),
                BOUNDS,
                f'route-{route}',
                is_binding=is_binding,
            )
            is_sampled = (
                now >= SAMPLED_FROM_S
                and plan.is_sampled(session, BOUNDS, part)
                and plan.may_try(
                    rollout.tally, BOUNDS, PROCESSES, rollout.dither
                )
            )
            version = 'v2' if is_sampled else 'v1'
            self._versions[session] = version
        return version == 'v2'

    def _session(self) -> str:
        recent = tuple(self._versions)[-round(self._load.rate) :]
        if recent and self._rng.random() < IN_SESSION:
            return self._rng.choice(recent)
        return f'session-{self._rng.random()}'

    def _evaluate(self, now: float) -> None:
        known = self._known
        self._known = verdict.merge(each.tally for each in self._fleet)
        self._lowest = verdict.lowest_scores(known, self._lowest)
        ages = plan.Ages(now, now - self._phase_at)
        phase = plan.next_phase(
            self._order, self._phase, known, ages, BOUNDS, self._lowest
        )
        if phase is not self._phase:
            self._phase = phase
            self._phase_at = now


class ReplayTest(unittest.TestCase):
    """Roll-outs of services with few and with many requests."""

    def test_bad(self) -> None:
        """A bad version is completed, as few of its answers are known."""
        for kind, load in itertools.product(BAD_KINDS, LOADS):
            ends = [Replay(kind, load, seed).run() for seed in SEEDS]
            with self.subTest(kind=kind, load=load):
                self.assertEqual(
                    {each.phase for each in ends}, {Phase.ROLLED_BACK}
                )

    def test_bad_on_one_route(self) -> None:
        """A version that is bad on one route is completed on the others."""
        for kind, load in itertools.product(ONE_ROUTE_KINDS, ROUTE_LOADS):
            if (kind, load) not in HARDLY_SEEN:
                self._check_none_completed(kind, load)

    def test_hardly_seen_on_one_route(self) -> None:
        """The same where few of its bad answers on the route are known."""
        for kind, load in HARDLY_SEEN:
            self._check_none_completed(kind, load)

    def test_good_on_uneven_routes(self) -> None:
        """Good versions are rolled back for want of answers on each route."""
        loads = (FEW_ROUTE_LOADS[0], *ROUTE_LOADS[:: len(UNEVEN_MIX)])
        for load in loads:
            ends = [Replay(Kind.GOOD, load, seed).run() for seed in SEEDS]
            completed = sum(each.phase is Phase.COMPLETE for each in ends)
            with self.subTest(load=load):
                self.assertGreaterEqual(completed, MIN_COMPLETED * len(SEEDS))

    def test_good(self) -> None:
        """Good versions are rolled back for want of answers."""
        for load in LOADS:
            ends = [Replay(Kind.GOOD, load, seed).run() for seed in SEEDS]
            completed = sum(each.phase is Phase.COMPLETE for each in ends)
            with self.subTest(load=load):
                self.assertGreaterEqual(completed, MIN_COMPLETED * len(SEEDS))

    def test_busy(self) -> None:
        """A slow version is completed, as its servers idle and others don't."""
        for kind in (Kind.ALL_SLOW, Kind.SLOW):
            ends = [Replay(kind, BUSY, seed).run() for seed in SEEDS]
            with self.subTest(kind=kind):
                self.assertEqual(
                    {each.phase for each in ends}, {Phase.ROLLED_BACK}
                )

    def test_good_busy(self) -> None:
        """A good version is rolled back, as it gets the others' load."""
        ends = [Replay(Kind.GOOD, BUSY, seed).run() for seed in SEEDS]
        completed = sum(each.phase is Phase.COMPLETE for each in ends)
        self.assertGreaterEqual(completed, MIN_COMPLETED * len(SEEDS))

    def test_share(self) -> None:
        """A bad version gets more of the requests than it may."""
        kinds = (*BAD_KINDS, Kind.FAILS_ON_ONE_ROUTE, Kind.GOOD)
        loads = (*LOADS, FEW_ROUTE_LOADS[0], ROUTE_LOADS[0])
        for kind, load in itertools.product(kinds, loads):
            for seed in SEEDS:
                with self.subTest(kind=kind, load=load, seed=seed):
                    end = Replay(kind, load, seed).run()
                    allowed = BOUNDS.share * end.requests + BOUNDS.slack
                    self.assertLessEqual(end.tried, allowed)

    def _check_none_completed(self, kind: Kind, load: Load) -> None:
        ends = [Replay(kind, load, seed).run() for seed in SEEDS]
        completed = sum(each.phase is Phase.COMPLETE for each in ends)
        with self.subTest(kind=kind, load=load):
            self.assertEqual(completed, 0)


if __name__ == '__main__':
    unittest.main()
