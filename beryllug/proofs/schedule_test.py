"""Any two faults at once: a seeded schedule over all invariants.

``BERYLLUG_SEEDS=FIRST-LAST`` runs other seeds than those of CI.
"""

import asyncio
import os
import random
import unittest

from beryllug.proofs import faults, scenario

SEEDS = os.environ.get('BERYLLUG_SEEDS', '1-24')
# Deployments that run beside each other.
AT_ONCE = 4


class ScheduleTest(unittest.IsolatedAsyncioTestCase):
    """Two faults drawn by each seed hit the deployment at the same time."""

    async def test_seeds(self) -> None:
        """No seed violates an invariant."""
        first, _, last = SEEDS.partition('-')
        gate = asyncio.Semaphore(AT_ONCE)
        totals = await asyncio.gather(
            *(
                self._seed(seed, gate)
                for seed in range(int(first), int(last or first) + 1)
            )
        )
        print(f'{len(totals)} seeds, {sum(totals)} requests')  # noqa: WPS421

    async def _seed(self, seed: int, gate: asyncio.Semaphore) -> int:
        rng = random.Random(seed)
        drawn = rng.sample(faults.ALL, 2)
        names = ' + '.join(fault.__name__ for fault in drawn)

        async def both(running: scenario.Running) -> None:  # noqa: WPS430
            await asyncio.gather(
                *(fault(running, random.Random(seed)) for fault in drawn)
            )

        async with gate:
            with self.subTest(seed=seed, faults=names):
                report, _ = await scenario.run(scenario.Case(seed, both))
                print(f'seed {seed} {names}: {report.line()}')  # noqa: WPS421
                self.assertEqual(report.violations, ())
                return report.requests
        return 0


if __name__ == '__main__':
    unittest.main()
