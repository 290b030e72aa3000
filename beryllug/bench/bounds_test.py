"""A short form of the bench's bounds, on small loads.

The full bounds stand in bounds.json and are checked by ``make bench``; these
few run in seconds and catch a policy that was broken outright.
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


def _seen(plan: replay.Run) -> recorder.Recorder:
    return replay.replay(plan).seen


class BoundsTest(unittest.TestCase):
    """The policy beats its baselines, even on a small load."""

    def setUp(self) -> None:
        """Take the first deployment."""
        self.plan = replay.Run(
            deployments.load()[0],
            latency_bench.LEAST_COST,
            load=1.0,
            seconds=SECONDS,
        )

    def test_same_seeds(self) -> None:
        """The same seeds give the same figures to the last digit."""
        runs = [recorder.total([_seen(self.plan)]) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_latency(self) -> None:
        """Questions reach their first token sooner than by round robin."""
        _, policy = latency_bench.BASELINES[0]
        question = frozenset(('question',))
        ours, theirs = (
            recorder.percentile_ms([_seen(plan)], 95, question)
            for plan in (self.plan, self.plan._replace(policy=policy))
        )
        self.assertLess(ours, 0.9 * theirs)

    def test_overload(self) -> None:
        """At three times capacity the goodput does not collapse."""
        good = [
            recorder.total([_seen(self.plan._replace(load=load))]).good
            for load in (1.0, 3.0)
        ]
        self.assertGreater(good[1], 0.9 * good[0])

    def test_refusals(self) -> None:
        """Above capacity requests are refused at once, never late."""
        counts = recorder.total([_seen(self.plan._replace(load=2.0))], URGENT)
        self.assertGreater(counts.refused, 0)
        self.assertEqual(counts.longest_refusal_s, 0)

    def test_slow_server(self) -> None:
        """One server ten times slower spoils few answers."""
        slow = self.plan._replace(
            load=0.5, disturb=latency_bench.slow_server, warm_up=35.0
        )
        counts = recorder.total([_seen(slow)], URGENT)
        self.assertGreater(counts.good, 0.97 * counts.offered)

    def test_outage(self) -> None:
        """Attempts stay near one a request through a full outage."""
        down = self.plan._replace(
            load=0.8,
            disturb=overload_bench.outage,
            warm_up=overload_bench.OUTAGE_AT,
        )
        counts = recorder.total([_seen(down)])
        self.assertLess(counts.attempts, 1.1 * counts.tried)

    def test_cascade(self) -> None:
        """A cascade costs less than the large model at the same share."""
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
        """Without the rating service the share of good answers is held."""
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
    """The declared bounds can be read and belong to figures."""

    def test_readable(self) -> None:
        """Each bound limits something."""
        for section, bounds in report.declared_bounds().items():
            for name, bound in bounds.items():
                with self.subTest(section=section, name=name):
                    self.assertNotEqual(bound, report.Bound(None, None))


if __name__ == '__main__':
    unittest.main()
