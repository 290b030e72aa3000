"""Tests of the fleet-wide bound on repeats."""

import random
import unittest
from typing import NamedTuple

from hypothesis import given, settings, strategies

from beryllug.core import retry_window

BOUND = retry_window.Bound(ratio=0.9, slack=56, window_s=10)
STEP_S = 0.1
SECONDS = 100
REQUESTS_PER_S = 3.5
UNSURE_FRACTION = 0.53
FAILED_FRACTION = 0.03
UNSURE_PER_S = REQUESTS_PER_S * UNSURE_FRACTION
FAILED_PER_S = REQUESTS_PER_S * FAILED_FRACTION


class _Denied(NamedTuple):
    """Numbers of requests whose repeat was not permitted."""

    unsure: int
    failed: int


def _simulate(
    rng: random.Random, bound: retry_window.Bound, processes: int
) -> _Denied:
    """Simulate one process, with one window of warm-up."""
    window = retry_window.Window()
    denied = [0, 0]
    now = -bound.window_s
    while now < SECONDS:
        now += rng.expovariate(REQUESTS_PER_S)
        retry_window.record_request(window, now)
        sample = rng.random()
        if sample > UNSURE_FRACTION + FAILED_FRACTION:
            continue
        is_failed = sample > UNSURE_FRACTION
        use = (
            retry_window.RepeatReason.FAILED
            if is_failed
            else retry_window.RepeatReason.LARGER
        )
        own = retry_window.count_sent(window, bound, now)
        if retry_window.may_repeat(own, bound, processes, None, use):
            retry_window.record_repeat(window, now)
        elif now > 0:
            denied[is_failed] += 1
    return _Denied(*denied)


def _repeat(
    window: retry_window.Window, now: float, use: retry_window.RepeatReason
) -> bool:
    """Send a repeat if it is permitted; returns whether it was."""
    own = retry_window.count_sent(window, BOUND, now)
    is_permitted = retry_window.may_repeat(own, BOUND, 8, None, use)
    if is_permitted:
        retry_window.record_repeat(window, now)
    return is_permitted


def _may_repeat(window: retry_window.Window, now: float) -> bool:
    """Return whether a process without sums may send a repeat."""
    own = retry_window.count_sent(window, BOUND, now)
    return retry_window.may_repeat(
        own, BOUND, 1, None, retry_window.RepeatReason.FAILED
    )


class _Traffic(NamedTuple):
    """The traffic of a fleet.

    Attributes:
        requests_per_s: Requests per second of each process.
        unsure: Fraction of them that escalate to a larger model.
        failed: Fraction of sends that fail and are repeated, from second 15
            on.
    """

    requests_per_s: float
    unsure: float
    failed: float

    def repeats(
        self, rng: random.Random, now: float
    ) -> list[retry_window.RepeatReason]:
        """Return the repeats that a request needs, at most two."""
        repeats_needed = []
        if rng.random() < self.unsure:
            repeats_needed.append(retry_window.RepeatReason.LARGER)
        while (
            now > 15 and len(repeats_needed) < 2 and rng.random() < self.failed
        ):
            repeats_needed.append(retry_window.RepeatReason.FAILED)
        return repeats_needed


class _Fleet:
    """Processes that exchange how much they have sent.

    Sums of the others are a second old; each process knows its own current
    numbers.
    """

    def __init__(self, processes: int, bound: retry_window.Bound) -> None:
        self.bound = bound
        self.windows = [retry_window.Window() for _ in range(processes)]
        self.sums = [[retry_window.SentCounts(0, 0) for _ in self.windows]]
        self.asked: list[float] = []
        self.repeats: list[float] = []
        self.denied = 0

    def step(self, traffic: _Traffic, rng: random.Random, now: float) -> None:
        """Simulate a tenth of a second."""
        for number, window in enumerate(self.windows):
            if rng.random() < traffic.requests_per_s * STEP_S:
                retry_window.record_request(window, now)
                self.asked.append(now)
                for use in traffic.repeats(rng, now):
                    self._repeat(number, now, use)
        self.sums.append(
            [
                retry_window.count_sent(each, self.bound, now)
                for each in self.windows
            ]
        )

    def excess(self, now: float) -> float:
        """Return by how much the repeats of the window exceed the bound."""
        since = now - self.bound.window_s
        repeats = sum(at >= since for at in self.repeats)
        asked = sum(at >= since for at in self.asked)
        return repeats - self.bound.ratio * asked - self.bound.slack

    def _repeat(
        self, number: int, now: float, use: retry_window.RepeatReason
    ) -> None:
        delay_steps = int(retry_window.MAX_SUM_AGE_S / STEP_S)
        sums = self.sums[max(len(self.sums) - delay_steps, 0)]
        all_asked = sum(each.asked for each in sums)
        all_repeated = sum(each.repeated for each in sums)
        others = retry_window.SentCounts(
            all_asked - sums[number].asked, all_repeated - sums[number].repeated
        )
        window = self.windows[number]
        own = retry_window.count_sent(window, self.bound, now)
        if not retry_window.may_repeat(
            own, self.bound, len(self.windows), others, use
        ):
            self.denied += 1
            return
        retry_window.record_repeat(window, now)
        self.repeats.append(now)


class RetryWindowTest(unittest.TestCase):
    """Every process repeats as often as it is permitted to."""

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.integers(1, 12),
        strategies.lists(strategies.integers(0, 5), min_size=1, max_size=12),
        strategies.integers(30, 150),
    )
    def test_fleet(self, processes: int, load: list[int], steps: int) -> None:
        """No sliding window of the fleet has more repeats than the bound.

        Processes have different loads and do not know their number, and each
        sends a repeat whenever it is permitted.
        """
        windows = [retry_window.Window() for _ in range(processes)]
        asked: list[float] = []
        repeats: list[float] = []
        for step in range(steps):
            now = step * STEP_S
            for number, window in enumerate(windows):
                for _ in range(load[number % len(load)]):
                    retry_window.record_request(window, now)
                    asked.append(now)
                while _may_repeat(window, now):
                    retry_window.record_repeat(window, now)
                    repeats.append(now)
            since = now - BOUND.window_s
            in_window = sum(at >= since for at in repeats)
            requests = sum(at >= since for at in asked)
            slack = BOUND.slack * max(1, processes / 8)
            self.assertLessEqual(in_window, BOUND.ratio * requests + slack)

    def test_unsure(self) -> None:
        """Half of the answers are unsure, and a few requests fail.

        Each of 8 processes of a small fleet and 72 of a large one gets 3.5
        requests per second. Nearly all unsure answers escalate to the larger
        model, and failed requests can still be repeated.
        """
        for processes, slack in ((8, 56), (72, 184)):
            with self.subTest(processes):
                bound = BOUND._replace(slack=slack)
                denied = [
                    _simulate(random.Random(seed), bound, processes)
                    for seed in range(20)
                ]
                unsure = sum(each.unsure for each in denied)
                failed = sum(each.failed for each in denied)
                self.assertLess(unsure / (20 * SECONDS * UNSURE_PER_S), 0.03)
                self.assertLess(failed / (20 * SECONDS * FAILED_PER_S), 0.01)

    def test_told(self) -> None:
        """Processes of a large fleet use what others have left over.

        Each of 84 processes gets one or two requests per second, half of them
        unsure. With its own part alone one in ten gets no repeat, although the
        fleet has a third of them left, and its caller gets an answer that is
        probably wrong.
        """
        traffic = _Traffic(1.6, 0.53, 0.03)
        rng = random.Random(3)
        fleet = _Fleet(84, BOUND._replace(slack=208))
        for step in range(400):
            fleet.step(traffic, rng, step * STEP_S)
        self.assertEqual(fleet.denied, 0)

    def test_told_late(self) -> None:
        """From one moment on, all sends of the whole fleet fail.

        Sums are a second old, so each process also uses what others have used
        in the meantime. The bound still holds.
        """
        for processes, requests_per_s in ((8, 3.5), (84, 1.6), (195, 1.0)):
            with self.subTest(processes):
                traffic = _Traffic(requests_per_s, 0.53, 1.0)
                rng = random.Random(4)
                slack = 40 + 2 * processes
                fleet = _Fleet(processes, BOUND._replace(slack=slack))
                excess = []
                for step in range(400):
                    now = step * STEP_S
                    fleet.step(traffic, rng, now)
                    excess.append(fleet.excess(now))
                self.assertLessEqual(max(excess), 0)
                self.assertGreater(fleet.denied, 0)

    def test_failures_at_once(self) -> None:
        """All answers are unsure, then five requests fail at once.

        This happens when a bad new version gets its first requests.
        Escalations to larger models leave a repeat for each failure; otherwise
        the callers would get the failures.
        """
        rng = random.Random(5)
        window = retry_window.Window()
        now = 0.0
        for _ in range(400):
            now += rng.expovariate(REQUESTS_PER_S)
            retry_window.record_request(window, now)
            _repeat(window, now, retry_window.RepeatReason.LARGER)
        permitted = [
            _repeat(window, now, retry_window.RepeatReason.FAILED)
            for _ in range(5)
        ]
        self.assertEqual(all(permitted), True)


if __name__ == '__main__':
    unittest.main()
