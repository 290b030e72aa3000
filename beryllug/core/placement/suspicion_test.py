"""Tests of avoiding servers that fail some of their requests."""

import random
import unittest

from beryllug.core import balance_data
from beryllug.core.placement import (
    backlog,
    choose,
    load_sums,
    own_loads,
    servers_data,
    streams,
    suspicion,
)

GREY = 'grey'
SERVERS = tuple(
    servers_data.Server(
        instance, 'desk', '10.0.0.1:1', zone, 'v1', 6, servers_data.State.READY
    )
    for instance, zone in ((GREY, 'a'), ('sound-1', 'b'), ('sound-2', 'c'))
)
WISH = servers_data.Requirements('desk', None, None, frozenset())
FAIL_RATE = 0.4
PROCESSES = 8


class SuspicionTest(unittest.TestCase):
    """Points are added, decay and are reported."""

    def test_fades(self) -> None:
        """Half of the points are left after the half-life."""
        state = suspicion.Suspicion()
        suspicion.failed(state, GREY, 2, 0)
        for now, points in ((0, 2), (4, 1), (8, 0.5), (40, 0)):
            with self.subTest(now):
                found = suspicion.points_of(state, GREY, now)
                self.assertAlmostEqual(found, points)

    def test_told(self) -> None:
        """Points of others are added to the own ones once, and decay.

        They are reported again and again while they decay; if each report were
        added, a server that failed one request would be avoided forever.
        """
        state = suspicion.Suspicion()
        suspicion.failed(state, GREY, 1, 0)
        key = load_sums.server_key(GREY)
        for at, told in ((0, 200), (0.25, 190), (0.5, 180)):
            state.others.loads = {key: load_sums.Load(points=told)}
            state.others.at = at
        self.assertAlmostEqual(suspicion.own_points(state, GREY, 0), 1)
        self.assertAlmostEqual(suspicion.points_of(state, GREY, 0.5), 2.717, 2)
        self.assertLess(suspicion.points_of(state, GREY, 1.9), 2.5)

    def test_grey_server(self) -> None:
        """One server of three resets two requests in five, for 20 seconds.

        A hold request that meets a reset is lost, since it may have run. If the
        eight processes of its zone do not share points, each sees few failures
        and keeps sending to it; if they do, they send a tenth of that.
        """
        shared = self._lost(is_shared=True)
        alone = self._lost(is_shared=False)
        self.assertLess(shared * 3, alone)

    def _lost(self, *, is_shared: bool) -> int:
        rng = random.Random(5)
        states = [suspicion.Suspicion() for _ in range(PROCESSES)]
        lost = 0
        for step in range(160):
            now = step / 8
            state = states[rng.randrange(PROCESSES)]
            server = choose.choose(
                balance_data.BalanceState(),
                choose.Known(backlog.Backlog(), state, streams.Streams()),
                SERVERS,
                WISH,
                'a',
                now,
            )
            assert server is not None
            if server.instance == GREY and rng.random() < FAIL_RATE:
                lost += 1
                suspicion.failed(state, GREY, suspicion.BROKEN, now)
            if is_shared:
                _share_all(states, now)
        return lost


def _share_all(states: list[suspicion.Suspicion], now: float) -> None:
    """Report to each process what all others have observed."""
    own = [
        own_loads.server_loads(
            choose.Known(backlog.Backlog(), state, streams.Streams()), now
        )
        for state in states
    ]
    total = load_sums.add(own)
    for state, part in zip(states, own, strict=True):
        state.others.loads = load_sums.subtract_own(total, part)
        state.others.at = now


if __name__ == '__main__':
    unittest.main()
