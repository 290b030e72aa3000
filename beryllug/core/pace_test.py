"""Tests of paced writes, in virtual time."""

import unittest

from beryllug.core import pace

RATE = 20
BURST = 10


class PaceTest(unittest.TestCase):
    """The rate holds over any time, bursts are bounded."""

    def test_rates(self) -> None:
        """Whatever is offered, no more comes than rate and burst allow."""
        for offered, expected in ((5, 5), (20, 20), (1000, 20)):
            with self.subTest(offered):
                seconds = 30
                came = self._run(offered, seconds)
                self.assertLessEqual(came, RATE * seconds + BURST)
                self.assertGreaterEqual(came, expected * seconds - 1)

    def test_quiet_is_not_delayed(self) -> None:
        """After a quiet second a few may come at once."""
        paced = pace.Pace(1 / RATE, BURST)
        for _ in range(BURST):
            self.assertEqual(pace.wait_s(paced, 100), 0)
            pace.spend(paced, 100)
        self.assertAlmostEqual(pace.wait_s(paced, 100), 1 / RATE)

    def _run(self, offered: int, seconds: int) -> int:
        paced = pace.Pace(1 / RATE, BURST)
        came = 0
        for tick in range(offered * seconds):
            now = tick / offered
            if not pace.wait_s(paced, now):
                pace.spend(paced, now)
                came += 1
        return came


if __name__ == '__main__':
    unittest.main()
