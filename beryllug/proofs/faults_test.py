"""Promises under failure, with real processes under traffic.

Each case kills, freezes or stops something while three entry hosts serve six
callers, heals it, and then checks the records of the other side: what the
backend servers ran, what the platform holds.
"""

import asyncio
import unittest

from beryllug.proofs import scenario
from beryllug.standins import fleet_settings


async def _kill_entry(running: scenario.Running) -> None:
    """The callers of one entry host see their connections break."""
    running.traffic.avoid(0)
    await running.fleet.processes.kill(fleet_settings.entry_name(0))
    await running.traffic.reach(30)
    await running.fleet.restart(fleet_settings.entry_name(0))
    running.traffic.use(0)


async def _kill_control(running: scenario.Running) -> None:
    """An owner of journal shards is lost with rows that were not flushed."""
    await running.fleet.processes.kill(fleet_settings.control_name(0))
    await running.traffic.reach(60)
    await running.fleet.restart(fleet_settings.control_name(0))


async def _freeze_control(running: scenario.Running) -> None:
    """An owner is paused past its lease and wakes with old authority."""
    name = fleet_settings.control_name(0)
    running.fleet.processes.freeze(name)
    await asyncio.sleep(12)
    running.fleet.processes.thaw(name)
    await running.traffic.reach(30)


async def _stop_control(running: scenario.Running) -> None:
    """A control process is stopped gracefully."""
    name = fleet_settings.control_name(1)
    code = await running.fleet.processes.terminate(name)
    assert code == 0, f'exit code {code}'
    await running.traffic.reach(40)
    await running.fleet.restart(name)


async def _drop_platform_answers(running: scenario.Running) -> None:
    """Writes take effect in the platform and their answers are lost."""
    for _ in range(10):
        running.fleet.platform.put_faults(drop_answer=True, times=2)
        await running.traffic.reach(5)
    running.fleet.platform.put_faults()


async def _platform_outage(running: scenario.Running) -> None:
    """The platform refuses connections for a while."""
    running.fleet.platform.put_faults(refuse=True)
    await asyncio.sleep(8)
    running.fleet.platform.put_faults()
    await asyncio.sleep(4)


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


CASES: tuple[tuple[str, scenario.Case], ...] = (
    ('entry killed', scenario.Case(1, _kill_entry)),
    ('control killed', scenario.Case(2, _kill_control)),
    ('control frozen', scenario.Case(3, _freeze_control)),
    ('control stopped', scenario.Case(4, _stop_control)),
    ('answers lost', scenario.Case(5, _drop_platform_answers)),
    ('platform outage', scenario.Case(6, _platform_outage)),
    ('outage and kills', scenario.Case(7, _outage_and_kills)),
)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """No invariant is violated, whatever fails."""

    async def test_cases(self) -> None:
        """Run every case and print its counts."""
        for title, case in CASES:
            with self.subTest(title):
                report, _ = await scenario.run(case)
                print(f'{title}: {report.line()}')  # noqa: WPS421
                self.assertEqual(report.violations, ())


if __name__ == '__main__':
    unittest.main()
