"""Promises under failure, with real processes under traffic.

Each case kills, freezes or stops something while three entry hosts serve six
callers, heals it, and then checks the records of the other side: what the
backend servers ran, what the platform holds.
"""

import asyncio
import random
import unittest

from beryllug.proofs import faults, scenario
from beryllug.standins import fleet_settings

# Deployments that run beside each other.
AT_ONCE = 4


async def _outage_and_kills(running: scenario.Running) -> None:
    """Control processes die one by one while the platform is away.

    What they held in memory is lost with them; the entries still owe it and
    send it again to those that started anew from a peer.
    """
    running.fleet.platform.put_faults(refuse=True)
    for index in range(running.fleet.plan.hosts):
        name = fleet_settings.control_name(index)
        await running.traffic.reach(20)
        await running.fleet.processes.kill(name)
        await running.fleet.restart(name)
    running.fleet.platform.put_faults()
    await asyncio.sleep(2)


def _alone(fault: faults.Fault) -> scenario.Fault:
    """Return a fault whose target is always the same."""

    async def hit(running: scenario.Running) -> None:  # noqa: WPS430
        await fault(running, random.Random(0))

    return hit


CASES: tuple[tuple[str, scenario.Fault], ...] = (
    *((fault.__name__, _alone(fault)) for fault in faults.ALL),
    ('outage and kills', _outage_and_kills),
)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """No invariant is violated, whatever fails."""

    async def test_cases(self) -> None:
        """Run every case and print its counts."""
        gate = asyncio.Semaphore(AT_ONCE)
        await asyncio.gather(
            *(
                self._case(seed, title, fault, gate)
                for seed, (title, fault) in enumerate(CASES)
            )
        )

    async def _case(
        self,
        seed: int,
        title: str,
        fault: scenario.Fault,
        gate: asyncio.Semaphore,
    ) -> None:
        async with gate:
            with self.subTest(title):
                report, _ = await scenario.run(scenario.Case(seed, fault))
                print(f'{title}: {report.line()}')  # noqa: WPS421
                self.assertEqual(report.violations, ())


if __name__ == '__main__':
    unittest.main()
