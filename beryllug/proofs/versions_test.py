"""A withdrawn version receives no new work; only allowed versions run."""

import asyncio
import time
import unittest

from beryllug.core import config_data
from beryllug.proofs import scenario
from beryllug.standins import (
    engine_runs,
    fleet_settings,
    records,
    sample,
)

OLD = config_data.VersionRef('desk-small', 'v1')
DISPATCH_S = 0.5
BLIND_S = 2.0


def _both_allowed() -> config_data.Document:
    """Return the sample with both versions allowed to both accounts."""
    declared = sample.document()
    accounts = tuple(
        account._replace(
            allowed=(
                *account.allowed,
                config_data.VersionRef('desk-small', '*'),
            )
        )
        for account in declared.accounts
    )
    return declared._replace(accounts=accounts, rollouts=())


DOCUMENT = _both_allowed()


async def _withdraw(running: scenario.Running) -> None:
    """Withdraw while requests are under way, and wait until in force."""
    await running.fleet.apply(sample.withdraw(DOCUMENT, OLD))
    await _in_force_everywhere(running)


async def _withdraw_over_frozen_entry(running: scenario.Running) -> None:
    """Withdraw while an entry process is frozen; it wakes with the old view.

    Callers of that host wait. When it wakes, requests it had read before are
    dispatched on what it knows then; control tells it within a heartbeat.
    """
    name = fleet_settings.entry_name(0)
    running.fleet.processes.freeze(name)
    running.traffic.avoid(0)
    await running.fleet.apply(sample.withdraw(DOCUMENT, OLD))
    await running.traffic.reach(20)
    running.fleet.processes.thaw(name)
    running.traffic.use(0)
    await _in_force_everywhere(running)


async def _withdraw_at_end_of_outage(running: scenario.Running) -> None:
    """Withdraw just as the platform comes back, before control has heard."""
    running.fleet.platform.put_faults(refuse=True)
    await running.traffic.reach(20)
    running.fleet.platform.put_faults()
    await running.fleet.platform.settle()
    await running.fleet.apply(sample.withdraw(DOCUMENT, OLD))
    await _in_force_everywhere(running)


async def _withdraw_over_blind_entry(running: scenario.Running) -> None:
    """An entry is frozen between the grant of a report and its dispatch.

    The platform is slow, so reports wait for their grant when the process
    is frozen. It wakes later than an entry may go without control, and must
    not dispatch on a view of which it knows that it is old.
    """
    name = fleet_settings.entry_name(0)
    running.fleet.platform.put_faults(delay_s=0.5)
    await asyncio.sleep(1)
    running.fleet.processes.freeze(name)
    running.traffic.avoid(0)
    await running.fleet.apply(sample.withdraw(DOCUMENT, OLD))
    running.fleet.platform.put_faults()
    await asyncio.sleep(BLIND_S + 1)
    running.marks['in_force'] = time.time()
    running.fleet.processes.thaw(name)
    await asyncio.sleep(1)
    running.traffic.use(0)


async def _in_force_everywhere(running: scenario.Running) -> None:
    """Wait until every entry process holds the last revision."""
    fleet = running.fleet
    for index in range(fleet.plan.hosts):
        await fleet.in_force(fleet_settings.entry_name(index))
    # Dispatches that were decided before the last process learnt of it are
    # at the servers within this time.
    running.marks['in_force'] = time.time() + DISPATCH_S


CASES: tuple[tuple[str, scenario.Fault], ...] = (
    ('under load', _withdraw),
    ('one entry frozen', _withdraw_over_frozen_entry),
    ('end of an outage', _withdraw_at_end_of_outage),
    ('entry frozen for long', _withdraw_over_blind_entry),
)


class VersionsTest(unittest.IsolatedAsyncioTestCase):
    """Checked against what the model engines say that they ran."""

    async def test_withdrawn(self) -> None:
        """No engine receives work of a withdrawn version once in force."""
        for seed, (title, fault) in enumerate(CASES):
            with self.subTest(title):
                await self._check(title, seed, fault)

    async def _check(
        self, title: str, seed: int, fault: scenario.Fault
    ) -> None:
        plan = sample.plan(scenario.HOSTS)._replace(
            document=DOCUMENT,
            entry_settings=(f'blind_s = {BLIND_S}',),
        )
        case = scenario.Case(seed, fault, plan, DOCUMENT)
        before: list[engine_runs.RunRecord] = []
        after: list[engine_runs.RunRecord] = []

        def look(running: scenario.Running) -> None:  # noqa: WPS430
            for run in records.engine_runs_of(running.fleet):
                if (run.model, run.version) == OLD:
                    late = run.received_at > running.marks['in_force']
                    (after if late else before).append(run)

        report, _ = await scenario.run(case._replace(look=look))
        print(f'withdrawn {title}: {report.line()}')  # noqa: WPS421
        self.assertTrue(before)
        self.assertEqual(after, [])
        self.assertEqual(report.violations, ())


if __name__ == '__main__':
    unittest.main()
