"""Tests of the number of requests that a whole fleet sends to cold servers.

Without the limit, servers that have just restarted are lost again within a
second: they are listed, every process finds them idle at the same moment and
sends its next requests there.
"""

import itertools
import math
import random
import unittest
from collections.abc import Iterable
from typing import NamedTuple

from beryllug.core.placement import cold_servers, fleet_size

PER_S = 8.0
# Requests in a second at which a server of that rate crashes.
CRASH_PER_S = 17
STEP_S = 0.05
# When a server states for how many more seconds it is cold.
_Reports = tuple[tuple[float, float], ...]
LONG_S = 3.0


class _Load(NamedTuple):
    """A fleet that sends requests to cold servers.

    Attributes:
        processes: Processes of the fleet.
        servers: Servers that become cold together.
        known: Processes that each one knows, including itself.
        is_new: Whether all processes start at the same time as the servers, and
            learn of one another within a second.
        demand_per_s: Requests a second that each process would send each
            server.
    """

    processes: int
    servers: int
    known: int
    is_new: bool = False
    demand_per_s: float = 20.0


def _arrivals(load: _Load, seed: int = 1) -> list[list[float]]:
    """Return when requests arrive at each server while it is cold."""
    rng = random.Random(seed)
    states = [
        cold_servers.Cold(f'p{number}') for number in range(load.processes)
    ]
    servers = [f'i-{seed}-{number}' for number in range(load.servers)]
    arrivals: dict[str, list[float]] = {name: [] for name in servers}
    for state, name in itertools.product(states, servers):
        cold_servers.becomes_cold(state, name, LONG_S, 0)
        fleet_size.count(state.size, load.known, load.known, -60)
        if load.is_new:
            state.size.counted = 0
            state.size.last_growth_at = math.inf
    for step in range(1, int(LONG_S / STEP_S)):
        now = step * STEP_S
        part = min(now, 1) if load.is_new else 1
        for each in states:
            known = max(int(load.known * part), 1)
            fleet_size.count(each.size, known, known, now)
        for state, name in itertools.product(states, servers):
            has_request = rng.random() < load.demand_per_s * STEP_S
            if has_request and cold_servers.may_send(state, name, PER_S, now):
                cold_servers.sent(state, name, now)
                arrivals[name].append(now)
    return list(arrivals.values())


def _max_per_second(arrivals: Iterable[float]) -> int:
    """Return the most arrivals in any second."""
    times = list(arrivals)
    return max(
        (sum(begin <= each <= begin + 1 for each in times) for begin in times),
        default=0,
    )


class FleetTest(unittest.TestCase):
    """All processes have requests for servers that have just restarted."""

    def test_bound(self) -> None:
        """No server gets more requests in a second than it can handle.

        This holds in any fleet, also if all processes restart at the same
        moment and know only themselves, and if a partition leaves each with
        half of the fleet: processes that were seen before are counted.
        """
        table: tuple[tuple[str, _Load], ...] = (
            ('one process', _Load(1, 5, 1)),
            ('a small fleet', _Load(8, 5, 8)),
            ('a zone of 84 restarts', _Load(84, 15, 84)),
            ('a large fleet', _Load(300, 40, 300)),
            ('all have just started', _Load(84, 15, 84, is_new=True)),
            ('some are not known yet', _Load(84, 15, 60)),
        )
        for title, load in table:
            with self.subTest(title):
                most = max(
                    _max_per_second(arrivals) for arrivals in _arrivals(load)
                )
                self.assertLessEqual(most, CRASH_PER_S)

    def test_draw(self) -> None:
        """The margin covers the variance of the hash over 600 servers."""
        most = max(
            _max_per_second(arrivals)
            for seed in range(10)
            for arrivals in _arrivals(_Load(84, 60, 84), seed)
        )
        self.assertLessEqual(most, CRASH_PER_S)

    def test_used(self) -> None:
        """Cold servers get enough requests: more than half of their rate."""
        for processes in (1, 3, 8, 84, 300):
            with self.subTest(processes=processes):
                arrivals = _arrivals(_Load(processes, 40, processes))
                mean = sum(len(times) for times in arrivals) / len(arrivals)
                self.assertGreater(mean / LONG_S, PER_S / 2)


class StateTest(unittest.TestCase):
    """One process and one server."""

    def setUp(self) -> None:
        self.state = cold_servers.Cold('p')
        fleet_size.count(self.state.size, 1, 1, -10)

    def test_end(self) -> None:
        """A server is cold until the latest time that it has stated."""
        table: tuple[tuple[str, _Reports, float], ...] = (
            ('never stated', (), 0),
            ('once', ((0, 3),), 3),
            ('again, later', ((0, 3), (2, 3)), 5),
            ('an older statement comes late', ((0, 3), (1, 0.5)), 3),
        )
        for title, reports, until in table:
            with self.subTest(title):
                self.setUp()
                for at, seconds in reports:
                    cold_servers.becomes_cold(self.state, 'i', seconds, at)
                self.assertEqual(
                    cold_servers.is_cold(self.state, 'i', until - 0.01),
                    until > 0,
                )
                self.assertFalse(cold_servers.is_cold(self.state, 'i', until))

    def test_gone(self) -> None:
        """Servers that are gone while they are cold are not kept forever."""
        for number in range(100):
            name = f'i-{number}'
            cold_servers.becomes_cold(self.state, name, LONG_S, number)
            cold_servers.sent(self.state, name, number)
        self.assertLessEqual(len(self.state.until), LONG_S + 1)
        self.assertLessEqual(len(self.state.sent), LONG_S + 1)

    def test_rates(self) -> None:
        """Rates below one a second are kept; a rate of zero is no limit."""
        for per_s, sent in ((0.0, 100), (0.5, 2), (2.0, 3), (8.0, 18)):
            with self.subTest(per_s=per_s):
                self.setUp()
                cold_servers.becomes_cold(self.state, 'i', LONG_S, 0)
                count = sum(self._sends(per_s, step) for step in range(100))
                self.assertEqual(count, sent)

    def _sends(self, per_s: float, step: int) -> bool:
        """Send a request, if the server may get one."""
        now = step * LONG_S / 100
        sends = cold_servers.may_send(self.state, 'i', per_s, now)
        if sends:
            cold_servers.sent(self.state, 'i', now)
        return sends


if __name__ == '__main__':
    unittest.main()
