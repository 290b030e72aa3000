"""Tests of the choice of a backend server."""

import random
import unittest
from collections import Counter

from beryllug.core import (
    balance,
    balance_data,
    config_data,
    ejection,
    server_load,
    view_data,
)

LIVE = view_data.ServerState.LIVE
LEAVING = view_data.ServerState.LEAVING
ENGINE = config_data.PoolKind.ENGINE
POOL = config_data.Pool('engines', ENGINE, 10)
PICK = balance_data.Pick('engines')
LEAST_COST = balance_data.LeastCost()
VERSION = config_data.VersionRef('chat', 'v1')


def _server(
    number: int,
    state: view_data.ServerState = LIVE,
    zone: str = 'z1',
) -> view_data.BackendServer:
    name = f's{number}'
    return view_data.BackendServer(name, f'{name}:1', zone, 'engines', state)


def _fleet(*servers: view_data.BackendServer) -> balance_data.Fleet:
    document = config_data.Document(pools=(POOL,))
    view = view_data.View(1, document, servers=servers)
    return balance.build_fleet(view, 'entry-1', 'z1')


class ChooseTest(unittest.TestCase):
    """Only live, healthy servers; the lowest expected cost first."""

    def setUp(self) -> None:
        """Create an empty state and four servers."""
        self.state = balance_data.BalanceState()
        self.rng = random.Random(1)
        self.fleet = _fleet(*(_server(number) for number in range(4)))

    def choose(
        self,
        pick: balance_data.Pick = PICK,
        policy: balance_data.BalancePolicy = LEAST_COST,
        now: float = 0,
    ) -> str:
        """Return the id of the chosen server, or an empty string."""
        server = balance.choose(
            self.state, self.fleet, pick, policy, now, self.rng
        )
        return server.server_id if server else ''

    def test_leaving(self) -> None:
        """A leaving server gets no request once the view marks it so.

        A request that was still sent to it would be cut off when the server
        stops.
        """
        self.fleet = _fleet(_server(0), _server(1, LEAVING), _server(2))
        policies: tuple[balance_data.BalancePolicy, ...] = (
            LEAST_COST,
            balance_data.TwoChoices(),
            balance_data.RoundRobin(),
            balance_data.LeastConnections(),
        )
        for policy in policies:
            with self.subTest(policy=policy):
                chosen = {self.choose(policy=policy) for _ in range(100)}
                self.assertEqual(chosen, {'s0', 's2'})

    def test_none_left(self) -> None:
        """Without a usable server the result is None, not an exception."""
        self.fleet = _fleet(_server(0, LEAVING))
        self.assertEqual(self.choose(), '')
        self.assertEqual(self.choose(PICK._replace(pool='nope')), '')

    def test_excluded(self) -> None:
        """A retry goes to another server."""
        excluded = frozenset(('s0', 's1', 's2'))
        self.assertEqual(self.choose(PICK._replace(excluded=excluded)), 's3')

    def test_unseen_dispatches(self) -> None:
        """One late report does not send every request to one server.

        Server 3 reported four requests and the others eight. Until its next
        report twelve arrive at this entry, and as many at each other one.
        Without the count of own requests most of all of these would go to
        server 3 and queue there.
        """
        loads = [
            view_data.ServerLoad(f's{number}', 4 if number == 3 else 8, 0, 1)
            for number in range(4)
        ]
        server_load.apply_reports(self.state, loads, clock_offset=0)
        chosen = Counter[str]()
        for _ in range(12):
            server_id = self.choose(now=1.1)
            server_load.record_dispatch(self.state, server_id, 1.1)
            chosen[server_id] += 1
        self.assertIn(chosen['s3'], range(3, 6))

    def test_prefix(self) -> None:
        """A session stays on the server with its prefix until it is loaded."""
        pick = PICK._replace(prefix_key='session')
        owner = self.choose(pick)
        self.assertEqual({self.choose(pick) for _ in range(20)}, {owner})
        for _ in range(10):
            server_load.record_dispatch(self.state, owner, 0)
        self.assertNotEqual(self.choose(pick), owner)

    def test_loaded_version(self) -> None:
        """Servers that have the version loaded are preferred."""
        loads = [view_data.ServerLoad('s2', 3, 0, 1, (VERSION,))]
        server_load.apply_reports(self.state, loads, clock_offset=0)
        pick = PICK._replace(version=VERSION)
        self.assertEqual(self.choose(pick, now=1), 's2')

    def test_subset(self) -> None:
        """Entries use bounded, evenly spread subsets, own zone first."""
        servers = [
            _server(number, zone=f'z{number % 2}') for number in range(100)
        ]
        document = config_data.Document(pools=(POOL,))
        view = view_data.View(1, document, servers=tuple(servers))
        used = Counter[str]()
        for entry in range(200):
            fleet = balance.build_fleet(view, f'e{entry}', 'z1', subset=8)
            members = fleet['engines'].members
            self.assertEqual(len(members), 8)
            self.assertFalse(any(member.remote for member in members))
            used.update(member.server.server_id for member in members)
        self.assertEqual(len(used), 50)
        self.assertLess(max(used.values()), 2 * 200 * 8 / 50)


class EjectionTest(unittest.TestCase):
    """Failing and slow servers are ejected, then probed one by one."""

    def test_failing(self) -> None:
        """A server that refuses every connection gets no load.

        It fails each request at once, so it has the fewest open requests and
        would attract the whole load. Three consecutive failures eject it;
        afterwards it is probed with one request at a time.
        """
        stats = balance_data.ServerStats()
        for _ in range(ejection.FAILURES_TO_EJECT):
            ejection.record_failure(stats, 0)
        self.assertTrue(ejection.is_ejected(stats, 0.5))
        self.assertFalse(ejection.is_ejected(stats, 1.5))
        stats.in_flight = 1
        self.assertTrue(ejection.is_ejected(stats, 1.5))
        stats.in_flight = 0
        ejection.record_failure(stats, 1.5)
        self.assertTrue(ejection.is_ejected(stats, 3))
        ejection.record_success(stats, 1)
        self.assertFalse(ejection.is_ejected(stats, 4))

    def test_pause(self) -> None:
        """A pool whose servers all failed is probed every few seconds."""
        stats = balance_data.ServerStats()
        now = 0.0
        for _ in range(10):
            ejection.eject(stats, now, ejection.MAX_FAILING_PAUSE_S)
            pause_s = stats.ejected_until - now
            self.assertLessEqual(pause_s, ejection.MAX_FAILING_PAUSE_S)
            now = stats.ejected_until

    def test_slow(self) -> None:
        """Slow servers are ejected, but at most half of a pool."""
        cases = (
            ((1, 1, 1, 10), {3}),
            ((1, 1.5, 2, 2.5), set[int]()),
            ((1, 1, 10, 10), {2, 3}),
            ((10, 10, 10, 10), set[int]()),
            ((1, 10), {1}),
        )
        for ratios, expected in cases:
            with self.subTest(ratios=ratios):
                tracks = [
                    balance_data.ServerStats(slowness=ratio, samples=9)
                    for ratio in ratios
                ]
                ejection.eject_slow(tracks, 0)
                out = {
                    index
                    for index, stats in enumerate(tracks)
                    if ejection.is_ejected(stats, 0.1)
                }
                self.assertEqual(out, expected)


class LoadTest(unittest.TestCase):
    """Estimated loads from reports and own counts, neither too old."""

    def test_pool_load(self) -> None:
        """Without reports the own count stands for the other entries'."""
        state = balance_data.BalanceState()
        stats = server_load.stats_of(state, 's0')
        for _ in range(9):
            server_load.record_dispatch(state, 's0', 0)
        self.assertEqual(server_load.pool_load([stats], 1, 60), 9)
        self.assertAlmostEqual(server_load.pool_load([stats], 8, 60), 72)
        loads = [view_data.ServerLoad('s0', 20, 4, 60)]
        server_load.apply_reports(state, loads, clock_offset=0)
        self.assertEqual(server_load.pool_load([stats], 8, 60.5), 24)
        server_load.record_end(state, 's0', 60.5)
        self.assertEqual(server_load.pool_load([stats], 8, 60.5), 23)

    def test_old_reports(self) -> None:
        """A report older than the last one is ignored."""
        state = balance_data.BalanceState()
        for running, at in ((5, 2), (9, 1)):
            loads = [view_data.ServerLoad('s0', running, 0, at)]
            server_load.apply_reports(state, loads, clock_offset=0)
        stats = server_load.stats_of(state, 's0')
        self.assertEqual(server_load.load_of(stats, 2), 5)
        self.assertEqual(server_load.load_of(stats, 60), 0)

    def test_keep_only(self) -> None:
        """A removed server is dropped when its last request has ended."""
        state = balance_data.BalanceState()
        server_load.record_dispatch(state, 's0', 0)
        server_load.keep_only(state, [])
        self.assertIn('s0', state.server_stats)
        server_load.record_end(state, 's0', 1)
        server_load.keep_only(state, [])
        self.assertNotIn('s0', state.server_stats)


if __name__ == '__main__':
    unittest.main()
