"""Faults injected by the end-to-end tests.

Every function takes the active deployment and a seeded generator, which selects
the target. It returns once the fault has been reverted.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from beryllug.proofs import scenario
from beryllug.standins import fleet_settings

Fault = Callable[[scenario.Deployment, random.Random], Awaitable[None]]
REQUESTS_DURING_FAULT = 20
MAX_RESET_BYTE = 400

SHORT_FAULT_S = 2.0
# Longer than a lease, so that its holder resumes after it has expired.
PAST_LEASE_S = 10.0
OUTAGE_S = 5.0
PLATFORM_DELAY_S = 0.2


async def kill_entry(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Kill an entry process, which breaks the connections of its callers."""
    host = _choose_host(deployment, rng)
    name = fleet_settings.entry_name(host)
    deployment.traffic.mark_host_down(host)
    await deployment.fleet.processes.kill(name)
    await deployment.traffic.wait_for_requests(10)
    await deployment.fleet.restart(name)
    deployment.traffic.mark_host_up(host)


async def kill_control(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Kill an owner of journal shards that holds unflushed rows."""
    name = fleet_settings.control_name(_choose_host(deployment, rng))
    await deployment.fleet.processes.kill(name)
    await deployment.traffic.wait_for_requests(REQUESTS_DURING_FAULT)
    await deployment.fleet.restart(name)


async def freeze_control(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Pause an owner past its lease, so that it resumes after expiry."""
    name = fleet_settings.control_name(_choose_host(deployment, rng))
    deployment.fleet.processes.pause(name)
    await asyncio.sleep(PAST_LEASE_S)
    deployment.fleet.processes.resume(name)


async def freeze_entry(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Pause an entry process, so that it resumes with stale state."""
    host = _choose_host(deployment, rng)
    name = fleet_settings.entry_name(host)
    deployment.traffic.mark_host_down(host)
    deployment.fleet.processes.pause(name)
    await asyncio.sleep(SHORT_FAULT_S)
    deployment.fleet.processes.resume(name)
    deployment.traffic.mark_host_up(host)


async def stop_control(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Stop a control process gracefully and start it again."""
    name = fleet_settings.control_name(_choose_host(deployment, rng))
    code = await deployment.fleet.processes.terminate(name)
    assert code == 0, f'exit code {code}'
    await deployment.fleet.restart(name)


async def lose_answers(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Drop the platform's replies to writes that have taken effect."""
    for _ in range(10):
        deployment.fleet.platform.put_faults(drop_answer=True, times=2)
        await deployment.traffic.wait_for_requests(5)
    deployment.fleet.platform.put_faults()


async def lose_platform(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Make the platform refuse connections temporarily."""
    deployment.fleet.platform.put_faults(refuse=True)
    await asyncio.sleep(OUTAGE_S)
    deployment.fleet.platform.put_faults()
    await deployment.fleet.platform.settle()


async def slow_platform(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Delay every call to the platform and its reply."""
    deployment.fleet.platform.put_faults(
        delay_s=PLATFORM_DELAY_S, answer_delay_s=PLATFORM_DELAY_S
    )
    await asyncio.sleep(SHORT_FAULT_S)
    deployment.fleet.platform.put_faults()


async def stale_platform(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Make reads of the platform return stale state."""
    deployment.fleet.platform.put_faults(stale=True)
    await asyncio.sleep(SHORT_FAULT_S)
    deployment.fleet.platform.put_faults()


async def lose_host_list(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Make the host list refuse connections."""
    deployment.fleet.host_list.put_faults(refuse=True)
    await asyncio.sleep(SHORT_FAULT_S)
    deployment.fleet.host_list.put_faults()


async def reset_answers(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Reset connections of one backend server within a few responses."""
    server = _choose_server(deployment, rng)
    for _ in range(5):
        at_byte = rng.randrange(MAX_RESET_BYTE)
        deployment.fleet.servers[server].put_faults(
            reset_at_byte=at_byte, times=1
        )
        await deployment.traffic.wait_for_requests(8)
    deployment.fleet.servers[server].put_faults()


async def refuse_at_server(
    deployment: scenario.Deployment, rng: random.Random
) -> None:
    """Make one backend server refuse connections temporarily."""
    stand_in = deployment.fleet.servers[_choose_server(deployment, rng)]
    stand_in.put_faults(refuse=True)
    await asyncio.sleep(SHORT_FAULT_S)
    stand_in.put_faults()
    await stand_in.settle()


async def leave(deployment: scenario.Deployment, rng: random.Random) -> None:
    """List one backend server as leaving, then as live again."""
    deployment.fleet.list_hosts(leaving=(_choose_server(deployment, rng),))
    await asyncio.sleep(SHORT_FAULT_S)
    deployment.fleet.list_hosts()


ALL = (
    kill_entry,
    kill_control,
    freeze_control,
    freeze_entry,
    stop_control,
    lose_answers,
    lose_platform,
    slow_platform,
    stale_platform,
    lose_host_list,
    reset_answers,
    refuse_at_server,
    leave,
)


def _choose_host(deployment: scenario.Deployment, rng: random.Random) -> int:
    return rng.randrange(deployment.fleet.plan.hosts)


def _choose_server(deployment: scenario.Deployment, rng: random.Random) -> str:
    return rng.choice(sorted(deployment.fleet.servers))
