"""Tests of the fleet's bound on repeats."""

import unittest

from hypothesis import given, settings, strategies

from beryllug.core import retry_window

BOUND = retry_window.Bound(ratio=0.9, slack=56, window_s=10)
STEP_S = 0.1


class RetryWindowTest(unittest.TestCase):
    """Every process repeats as often as it may."""

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.integers(1, 12),
        strategies.lists(strategies.integers(0, 5), min_size=1, max_size=12),
        strategies.integers(30, 150),
    )
    def test_fleet(self, processes: int, load: list[int], steps: int) -> None:
        """No sliding window of the fleet has more repeats than the bound.

        Processes see unlike loads, learn their number late or not at all,
        and each sends a repeat whenever it may.
        """
        windows = [retry_window.Window() for _ in range(processes)]
        asked: list[float] = []
        repeats: list[float] = []
        for step in range(steps):
            now = step * STEP_S
            for number, window in enumerate(windows):
                for _ in range(load[number % len(load)]):
                    retry_window.asked(window, now)
                    asked.append(now)
                while retry_window.may_repeat(window, BOUND, 1, now):
                    retry_window.repeated(window, now)
                    repeats.append(now)
            since = now - BOUND.window_s
            in_window = sum(at >= since for at in repeats)
            requests = sum(at >= since for at in asked)
            slack = BOUND.slack * max(1, processes / 8)
            self.assertLessEqual(in_window, BOUND.ratio * requests + slack)


if __name__ == '__main__':
    unittest.main()
