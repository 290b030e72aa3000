"""Tests of the guarantees under faults, with real processes under traffic.

Each case injects a fault while three entry hosts serve six callers, reverts it
and checks the records of the stand-ins: what the backend servers ran and what
the platform stores.
"""

import asyncio
import random
import unittest

from beryllug.proofs import faults, scenario
from beryllug.standins import fleet_settings

# Deployments that run in parallel.
MAX_PARALLEL = 4


async def _outage_and_kills(deployment: scenario.Deployment) -> None:
    """Kill and restart each control process while the platform is down.

    Their in-memory rows are lost. The entry processes keep unacknowledged rows
    and send them again to the restarted processes, which sync from a peer.
    """
    deployment.fleet.platform.put_faults(refuse=True)
    for index in range(deployment.fleet.plan.hosts):
        name = fleet_settings.control_name(index)
        await deployment.traffic.wait_for_requests(20)
        await deployment.fleet.processes.kill(name)
        await deployment.fleet.restart(name)
    deployment.fleet.platform.put_faults()
    await asyncio.sleep(2)


def _with_fixed_target(fault: faults.Fault) -> scenario.Fault:
    """Bind a fault to a fixed seed, so that its target is always the same."""

    async def inject(deployment: scenario.Deployment) -> None:  # noqa: WPS430
        await fault(deployment, random.Random(0))

    return inject


CASES: tuple[tuple[str, scenario.Fault], ...] = (
    *((fault.__name__, _with_fixed_target(fault)) for fault in faults.ALL),
    ('outage and kills', _outage_and_kills),
)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """No fault violates an invariant."""

    async def test_cases(self) -> None:
        """Run every case and print its counts."""
        semaphore = asyncio.Semaphore(MAX_PARALLEL)
        await asyncio.gather(
            *(
                self._run_case(seed, title, fault, semaphore)
                for seed, (title, fault) in enumerate(CASES)
            )
        )

    async def _run_case(
        self,
        seed: int,
        title: str,
        fault: scenario.Fault,
        semaphore: asyncio.Semaphore,
    ) -> None:
        async with semaphore:
            with self.subTest(title):
                report, _ = await scenario.run(scenario.Case(seed, fault))
                print(f'{title}: {report.line()}')  # noqa: WPS421
                self.assertEqual(report.violations, ())


if __name__ == '__main__':
    unittest.main()
