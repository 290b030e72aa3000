"""A planned stop cuts off no request, and a leaving server gets no new one."""

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
# Slow enough that streams and reports are under way at every moment.
TOKEN_S = 0.01
BALANCER_LAG_S = 1.0
LEAVING_S = 3.0
GRACE_S = 20
ANSWERED = (200, 201)


def _plan() -> harness.Plan:
    slow = engine_worker.EngineCfg(
        concurrency=sample.CONCURRENCY, token_s=TOKEN_S
    )
    servers = tuple(
        server._replace(engine=slow if server.engine else None)
        for server in sample.servers()
    )
    return harness.Plan(
        sample.document(),
        servers,
        HOSTS,
        sample.ZONES,
        entry_settings=(
            f'balancer_lag_s = {BALANCER_LAG_S}',
            f'drain_s = {GRACE_S}',
        ),
    )


async def _replace_all(running: scenario.Running) -> None:
    """Replace all hosts one by one, as a roll-out of a new release does.

    Callers go on through the balancer, which sees each host's readiness
    fail. Each process ends by itself after what it had in flight.
    """
    balancer = asyncio.create_task(running.traffic.balance())
    for index in range(HOSTS):
        for name in (
            fleet_settings.entry_name(index),
            fleet_settings.control_name(index),
        ):
            code = await running.fleet.processes.terminate(name)
            assert code == 0, f'{name} ended with {code}'
        for name in (
            fleet_settings.control_name(index),
            fleet_settings.entry_name(index),
        ):
            await running.fleet.restart(name)
        await running.traffic.reach(10)
    balancer.cancel()


async def _leave(running: scenario.Running) -> None:
    """The host list shows a server of each pool as leaving."""
    running.fleet.list_hosts(leaving=LEAVING)
    await asyncio.sleep(LEAVING_S)
    running.marks['left'] = time.time()
    await running.traffic.reach(60)


async def _leave_unseen(running: scenario.Running) -> None:
    """Servers leave, and then the host list can't be read any more."""
    running.fleet.list_hosts(leaving=LEAVING)
    await asyncio.sleep(LEAVING_S)
    running.fleet.host_list.put_faults(refuse=True)
    running.marks['left'] = time.time()
    await running.traffic.reach(60)
    running.fleet.host_list.put_faults()


LEAVING = ('runners-small-0', 'runners-large-1', 'booking-2')
LEAVING_CASES: tuple[tuple[str, scenario.Fault], ...] = (
    ('seen', _leave),
    ('then the host list is lost', _leave_unseen),
)


class StopsTest(unittest.IsolatedAsyncioTestCase):
    """Four hosts under streams, reports and holds."""

    async def test_replace_all(self) -> None:
        """No caller sees that all hosts were replaced."""
        case = scenario.Case(11, _replace_all, _plan())
        report, sent = await scenario.run(case)
        print(f'all hosts replaced: {report.line()}')  # noqa: WPS421
        self.assertEqual(report.violations, ())
        self.assertEqual(_cut(sent), [])

    async def test_leaving(self) -> None:
        """A leaving server gets nothing a few seconds after it was listed."""
        for title, fault in LEAVING_CASES:
            with self.subTest(title):
                late: list[str] = []

                def look(running: scenario.Running) -> None:  # noqa: WPS430
                    late.extend(_late(running))

                case = scenario.Case(12, fault, _plan(), look=look)
                report, _ = await scenario.run(case)
                print(f'leaving, {title}: {report.line()}')  # noqa: WPS421
                self.assertEqual(late, [])
                self.assertEqual(report.violations, ())


def _cut(sent: list[traffic.Sent]) -> list[traffic.Sent]:
    """Return requests that were cut off or refused."""
    return [item for item in sent if item.reply.status not in ANSWERED]


def _late(running: scenario.Running) -> list[str]:
    """Return requests that leaving servers received too late."""
    left = running.marks['left']
    runs = records.engine_runs_of(running.fleet, LEAVING)
    calls = records.plain_runs_of(running.fleet, LEAVING)
    return [
        *(run.request_id for run in runs if run.received_at > left),
        *(call.request_id for call in calls if call.at > left),
    ]


if __name__ == '__main__':
    unittest.main()
