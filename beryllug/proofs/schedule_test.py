"""Seeded tests that inject two faults at once and check all invariants.

``BERYLLUG_SEEDS=FIRST-LAST`` replaces the default range of seeds.
"""

import asyncio
import os
import random
import unittest

from beryllug.proofs import faults, scenario

SEEDS = os.environ.get('BERYLLUG_SEEDS', '1-24')
# Deployments that run in parallel.
MAX_PARALLEL = 4


class ScheduleTest(unittest.IsolatedAsyncioTestCase):
    """Two faults selected by each seed are injected at the same time."""

    async def test_seeds(self) -> None:
        """No seed violates an invariant."""
        first, _, last = SEEDS.partition('-')
        semaphore = asyncio.Semaphore(MAX_PARALLEL)
        totals = await asyncio.gather(
            *(
                self._run_seed(seed, semaphore)
                for seed in range(int(first), int(last or first) + 1)
            )
        )
        print(f'{len(totals)} seeds, {sum(totals)} requests')  # noqa: WPS421

    async def _run_seed(self, seed: int, semaphore: asyncio.Semaphore) -> int:
        rng = random.Random(seed)
        selected = rng.sample(faults.ALL, 2)
        names = ' + '.join(fault.__name__ for fault in selected)

        async def both(deployment: scenario.Deployment) -> None:  # noqa: WPS430
            await asyncio.gather(
                *(fault(deployment, random.Random(seed)) for fault in selected)
            )

        async with semaphore:
            with self.subTest(seed=seed, faults=names):
                report, _ = await scenario.run(scenario.Case(seed, both))
                print(f'seed {seed} {names}: {report.line()}')  # noqa: WPS421
                self.assertEqual(report.violations, ())
                return report.requests
        return 0


if __name__ == '__main__':
    unittest.main()
