"""Tests of the write rate limit, in virtual time."""

import unittest

from beryllug.core import pace

RATE = 20
BURST = 10


class PaceTest(unittest.TestCase):
    """The mean rate and the bursts are bounded."""

    def test_rates(self) -> None:
        """At any load, no more events pass than rate and burst allow."""
        for offered, expected in ((5, 5), (20, 20), (1000, 20)):
            with self.subTest(offered):
                seconds = 30
                passed = self._passed(offered, seconds)
                self.assertLessEqual(passed, RATE * seconds + BURST)
                self.assertGreaterEqual(passed, expected * seconds - 1)

    def test_burst_after_idle(self) -> None:
        """After an idle period a burst passes without delay."""
        paced = pace.Pace(1 / RATE, BURST)
        for _ in range(BURST):
            self.assertEqual(pace.wait_s(paced, 100), 0)
            pace.spend(paced, 100)
        self.assertAlmostEqual(pace.wait_s(paced, 100), 1 / RATE)

    def _passed(self, offered: int, seconds: int) -> int:
        paced = pace.Pace(1 / RATE, BURST)
        passed = 0
        for tick in range(offered * seconds):
            now = tick / offered
            if not pace.wait_s(paced, now):
                pace.spend(paced, now)
                passed += 1
        return passed


if __name__ == '__main__':
    unittest.main()
