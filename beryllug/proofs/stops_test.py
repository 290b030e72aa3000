"""Tests of planned stops of hosts and of leaving backend servers.

A planned stop interrupts no request, and a leaving server gets no new one.
"""

import asyncio
import time
import unittest

from beryllug.proofs import scenario
from beryllug.standins import (
    engine_worker,
    fleet_settings,
    harness,
    records,
    sample,
    traffic,
)

HOSTS = 4
# Slow enough that streams and reports are always in progress.
TOKEN_S = 0.01
BALANCER_LAG_S = 1.0
PROPAGATION_S = 3.0
DRAIN_S = 20
ANSWERED = (200, 201)


def _plan() -> harness.Plan:
    slow_engine = engine_worker.EngineCfg(
        concurrency=sample.CONCURRENCY, token_s=TOKEN_S
    )
    servers = tuple(
        server._replace(engine=slow_engine if server.engine else None)
        for server in sample.servers()
    )
    return harness.Plan(
        sample.document(),
        servers,
        HOSTS,
        sample.ZONES,
        entry_settings=(
            f'balancer_lag_s = {BALANCER_LAG_S}',
            f'drain_s = {DRAIN_S}',
        ),
    )


async def _replace_all(deployment: scenario.Deployment) -> None:
    """Replace all hosts one by one, as in a rolling upgrade.

    Callers keep sending through the load balancer, which detects that a host
    is no longer ready. Each process exits once its in-flight requests end.
    """
    balancer = asyncio.create_task(deployment.traffic.balance())
    for index in range(HOSTS):
        for name in (
            fleet_settings.entry_name(index),
            fleet_settings.control_name(index),
        ):
            code = await deployment.fleet.processes.terminate(name)
            assert code == 0, f'{name} ended with {code}'
        for name in (
            fleet_settings.control_name(index),
            fleet_settings.entry_name(index),
        ):
            await deployment.fleet.restart(name)
        await deployment.traffic.wait_for_requests(10)
    balancer.cancel()


async def _leave(deployment: scenario.Deployment) -> None:
    """List a server of each pool as leaving in the host list."""
    deployment.fleet.list_hosts(leaving=LEAVING)
    await asyncio.sleep(PROPAGATION_S)
    deployment.timestamps['left'] = time.time()
    await deployment.traffic.wait_for_requests(60)


async def _leave_and_lose_host_list(deployment: scenario.Deployment) -> None:
    """List servers as leaving, then make the host list unreachable."""
    deployment.fleet.list_hosts(leaving=LEAVING)
    await asyncio.sleep(PROPAGATION_S)
    deployment.fleet.host_list.put_faults(refuse=True)
    deployment.timestamps['left'] = time.time()
    await deployment.traffic.wait_for_requests(60)
    deployment.fleet.host_list.put_faults()


LEAVING = ('runners-small-0', 'runners-large-1', 'booking-2')
LEAVING_CASES: tuple[tuple[str, scenario.Fault], ...] = (
    ('seen', _leave),
    ('then the host list is lost', _leave_and_lose_host_list),
)


class StopsTest(unittest.IsolatedAsyncioTestCase):
    """Four hosts under streams, reports and holds."""

    async def test_replace_all(self) -> None:
        """Replacing all hosts fails no request."""
        case = scenario.Case(11, _replace_all, _plan())
        report, sent = await scenario.run(case)
        print(f'all hosts replaced: {report.line()}')  # noqa: WPS421
        self.assertEqual(report.violations, ())
        self.assertEqual(_failed_requests(sent), [])

    async def test_leaving(self) -> None:
        """A leaving server gets no request a few seconds after its listing."""
        for title, fault in LEAVING_CASES:
            with self.subTest(title):
                late: list[str] = []

                def collect(final: scenario.Deployment) -> None:  # noqa: WPS430
                    late.extend(_late_requests(final))

                case = scenario.Case(12, fault, _plan(), inspect=collect)
                report, _ = await scenario.run(case)
                print(f'leaving, {title}: {report.line()}')  # noqa: WPS421
                self.assertEqual(late, [])
                self.assertEqual(report.violations, ())


def _failed_requests(sent: list[traffic.Sent]) -> list[traffic.Sent]:
    """Return requests that were interrupted or refused."""
    return [item for item in sent if item.reply.status not in ANSWERED]


def _late_requests(deployment: scenario.Deployment) -> list[str]:
    """Return ids of requests received by leaving servers too late."""
    left = deployment.timestamps['left']
    runs = records.engine_runs_of(deployment.fleet, LEAVING)
    calls = records.plain_runs_of(deployment.fleet, LEAVING)
    return [
        *(run.request_id for run in runs if run.received_at > left),
        *(call.request_id for call in calls if call.at > left),
    ]


if __name__ == '__main__':
    unittest.main()
