"""Tests that withdrawn versions get no requests and only allowed ones run."""

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

WITHDRAWN = config_data.VersionRef('desk-small', 'v1')
DISPATCH_DELAY_S = 0.5
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


async def _withdraw(deployment: scenario.Deployment) -> None:
    """Withdraw a version under load and wait until all entries apply it."""
    await deployment.fleet.apply(sample.withdraw(DOCUMENT, WITHDRAWN))
    await _wait_in_force(deployment)


async def _withdraw_over_frozen_entry(deployment: scenario.Deployment) -> None:
    """Withdraw a version while an entry process is frozen.

    Callers of that host wait. After it resumes, requests that it had already
    read are dispatched on its stale configuration, until the control process
    sends it the new one within a heartbeat.
    """
    name = fleet_settings.entry_name(0)
    deployment.fleet.processes.pause(name)
    deployment.traffic.mark_host_down(0)
    await deployment.fleet.apply(sample.withdraw(DOCUMENT, WITHDRAWN))
    await deployment.traffic.wait_for_requests(20)
    deployment.fleet.processes.resume(name)
    deployment.traffic.mark_host_up(0)
    await _wait_in_force(deployment)


async def _withdraw_at_end_of_outage(deployment: scenario.Deployment) -> None:
    """Withdraw when the platform recovers, before control has read from it."""
    deployment.fleet.platform.put_faults(refuse=True)
    await deployment.traffic.wait_for_requests(20)
    deployment.fleet.platform.put_faults()
    await deployment.fleet.platform.settle()
    await deployment.fleet.apply(sample.withdraw(DOCUMENT, WITHDRAWN))
    await _wait_in_force(deployment)


async def _withdraw_over_blind_entry(deployment: scenario.Deployment) -> None:
    """Freeze an entry process between the grant of a report and its dispatch.

    The platform is slow, so reports wait for their grant when the process is
    frozen. It resumes after the limit for an entry process without contact to
    control, and must not dispatch on its expired configuration.
    """
    name = fleet_settings.entry_name(0)
    deployment.fleet.platform.put_faults(delay_s=0.5)
    await asyncio.sleep(1)
    deployment.fleet.processes.pause(name)
    deployment.traffic.mark_host_down(0)
    await deployment.fleet.apply(sample.withdraw(DOCUMENT, WITHDRAWN))
    deployment.fleet.platform.put_faults()
    await asyncio.sleep(BLIND_S + 1)
    deployment.timestamps['in_force'] = time.time()
    deployment.fleet.processes.resume(name)
    await asyncio.sleep(1)
    deployment.traffic.mark_host_up(0)


async def _wait_in_force(deployment: scenario.Deployment) -> None:
    """Wait until every entry process has the latest revision."""
    fleet = deployment.fleet
    for index in range(fleet.plan.hosts):
        await fleet.wait_for_revision(fleet_settings.entry_name(index))
    # Requests dispatched before the last process got the revision reach the
    # servers within this delay.
    deployment.timestamps['in_force'] = time.time() + DISPATCH_DELAY_S


CASES: tuple[tuple[str, scenario.Fault], ...] = (
    ('under load', _withdraw),
    ('one entry frozen', _withdraw_over_frozen_entry),
    ('end of an outage', _withdraw_at_end_of_outage),
    ('entry frozen for long', _withdraw_over_blind_entry),
)


class VersionsTest(unittest.IsolatedAsyncioTestCase):
    """Checks the run records of the model engines."""

    async def test_withdrawn(self) -> None:
        """Engines get no requests for a version after its withdrawal."""
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

        def inspect(deployment: scenario.Deployment) -> None:  # noqa: WPS430
            for run in records.engine_runs_of(deployment.fleet):
                if (run.model, run.version) == WITHDRAWN:
                    late = run.received_at > deployment.timestamps['in_force']
                    (after if late else before).append(run)

        report, _ = await scenario.run(case._replace(inspect=inspect))
        print(f'withdrawn {title}: {report.line()}')  # noqa: WPS421
        self.assertTrue(before)
        self.assertEqual(after, [])
        self.assertEqual(report.violations, ())


if __name__ == '__main__':
    unittest.main()
