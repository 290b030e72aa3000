"""Benchmark bounds on small loads.

The full bounds are in ``bounds.json`` and are checked by ``make bench``. These
tests run in seconds and detect gross regressions of a policy.
"""

import unittest

from beryllug.bench import (
    cascade_bench,
    deployments,
    latency_bench,
    overload_bench,
    quality,
    quality_run,
    recorder,
    replay,
    report,
)

SECONDS = 20.0
URGENT = frozenset(('lookup', 'hold', 'question'))


def _replay(plan: replay.Run) -> recorder.Recorder:
    return replay.replay(plan).recording


class BoundsTest(unittest.TestCase):
    """The policy meets loose bounds on a small load."""

    def setUp(self) -> None:
        """Plan a run of the first deployment at capacity."""
        self.plan = replay.Run(
            deployments.load()[0],
            latency_bench.LEAST_COST,
            load=1.0,
            seconds=SECONDS,
        )

    def test_same_seeds(self) -> None:
        """The same seeds give exactly the same figures."""
        runs = [recorder.total([_replay(self.plan)]) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_latency(self) -> None:
        """Questions get their first token sooner than with round robin."""
        _, policy = latency_bench.BASELINES[0]
        question = frozenset(('question',))
        least_cost_ms, round_robin_ms = (
            recorder.percentile_ms([_replay(plan)], 95, question)
            for plan in (self.plan, self.plan._replace(policy=policy))
        )
        self.assertLess(least_cost_ms, 0.9 * round_robin_ms)

    def test_overload(self) -> None:
        """Goodput does not collapse at three times capacity."""
        good = [
            recorder.total([_replay(self.plan._replace(load=load))]).good
            for load in (1.0, 3.0)
        ]
        self.assertGreater(good[1], 0.9 * good[0])

    def test_refusals(self) -> None:
        """Urgent requests above capacity are refused immediately."""
        counts = recorder.total([_replay(self.plan._replace(load=2.0))], URGENT)
        self.assertGreater(counts.refused, 0)
        self.assertEqual(counts.longest_refusal_s, 0)

    def test_slow_server(self) -> None:
        """One server ten times slower delays few answers past their target."""
        slow = self.plan._replace(
            load=0.5, disturb=latency_bench.slow_server, warm_up=35.0
        )
        counts = recorder.total([_replay(slow)], URGENT)
        self.assertGreater(counts.good, 0.97 * counts.offered)

    def test_outage(self) -> None:
        """Attempts per request stay near one in a full outage."""
        down = self.plan._replace(
            load=0.8,
            disturb=overload_bench.outage,
            warm_up=overload_bench.OUTAGE_AT,
        )
        counts = recorder.total([_replay(down)])
        self.assertLess(counts.attempts, 1.1 * counts.tried)

    def test_cascade(self) -> None:
        """A cascade costs less than the large model at equal quality."""
        strong = quality_run.replay(
            quality_run.Plan(cascade_bench.STRONG, 600)
        )[0]
        target = strong.good / strong.answers
        learnt = quality_run.replay(
            quality_run.Plan(cascade_bench.LEARNT, 600, target=target)
        )[0]
        self.assertLess(learnt.cost, 0.7 * strong.cost)
        self.assertGreater(learnt.good, 0.99 * target * learnt.answers)

    def test_cascade_without_ratings(self) -> None:
        """The share of good answers holds without the rating service."""
        outcomes = [
            quality_run.replay(
                quality_run.Plan(
                    policy, 300, target=0.88, fault=quality.Fault.GONE
                )
            )[0]
            for policy in (cascade_bench.LEARNT, cascade_bench.STRONG)
        ]
        self.assertGreater(outcomes[0].good, 0.99 * outcomes[1].good)


class DeclaredBoundsTest(unittest.TestCase):
    """The declared bounds are well formed."""

    def test_readable(self) -> None:
        """Each entry has a lower or an upper bound."""
        for section, bounds in report.declared_bounds().items():
            for name, bound in bounds.items():
                with self.subTest(section=section, name=name):
                    self.assertNotEqual(bound, report.Bound(None, None))


if __name__ == '__main__':
    unittest.main()
