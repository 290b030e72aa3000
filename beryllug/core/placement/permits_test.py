"""Tests of how one process issues the permits of all."""

import unittest
from typing import NamedTuple

from beryllug.core.placement import fleet_size, permits

WINDOW_S = 4.0
STEP_S = 0.01
# Seconds from the start; the fleet size has long been known then.
BEGIN = 100.0


class _Case(NamedTuple):
    """A limit, the reachable processes, and the permits of a window."""

    per_s: float
    present: int
    ever: int
    most: float


class PermitsTest(unittest.TestCase):
    """Processes that request permits all the time."""

    def test_rate(self) -> None:
        """No window has more permits than the server's limit allows."""
        table = (
            _Case(1, 8, 8, 6),
            _Case(1.6, 8, 8, 8.4),
            _Case(20, 8, 8, 85),
            _Case(200, 300, 300, 850),
            _Case(0, 8, 8, 2),
            _Case(10, 4, 8, 22),
        )
        for case in table:
            with self.subTest(case):
                times = self._permitted(case)
                counts = [
                    sum(at <= each < at + WINDOW_S for each in times)
                    for at in times
                ]
                self.assertLessEqual(max(counts), case.most)
                self.assertGreaterEqual(max(counts), case.most / 2)

    def test_new(self) -> None:
        """A process that has just become first issues no burst."""
        settled = fleet_size.FleetSize()
        fleet_size.count(settled, 8, 8, 0)
        for size, wait_s in (
            (settled, 0.5),
            (fleet_size.FleetSize(), fleet_size.SETTLED_S),
        ):
            found = permits.permit(permits.Permits(), 'i', 2, size, BEGIN)
            self.assertAlmostEqual(found, wait_s)

    def test_wait(self) -> None:
        """A caller that returns after the stated wait gets its permit."""
        size = fleet_size.FleetSize()
        fleet_size.count(size, 8, 8, 0)
        state = permits.Permits()
        now = BEGIN
        permitted = 0
        while permitted < 5:
            wait_s = permits.permit(state, 'i', 4, size, now)
            permitted += not wait_s
            now += wait_s
        self.assertAlmostEqual(now - BEGIN, 5 / 4)

    def test_forget(self) -> None:
        """Buckets and refusals do not accumulate."""
        size = fleet_size.FleetSize()
        fleet_size.count(size, 8, 8, 0)
        state = permits.Permits()
        for number in range(100):
            permits.permit(state, f'i-{number}', 1, size, BEGIN)
            permits.refuse(state, f'i-{number}', 1, BEGIN)
        permits.forget(state, frozenset(('i-1',)), BEGIN + 2)
        self.assertEqual(len(state.buckets) + len(state.refused), 1)

    def _permitted(self, case: _Case) -> list[float]:
        size = fleet_size.FleetSize()
        fleet_size.count(size, case.present, case.ever, 0)
        state = permits.Permits()
        times = [BEGIN + step * STEP_S / 2 for step in range(4000)]
        return [
            now
            for now in times
            if not permits.permit(state, 'i', case.per_s, size, now)
        ]


if __name__ == '__main__':
    unittest.main()
