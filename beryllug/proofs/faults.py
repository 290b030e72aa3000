"""Faults that the proofs draw from: each breaks something and heals it.

Every function is given the running deployment and a seeded generator, which
decides whom it hits. It returns when all is healed.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from beryllug.proofs import scenario
from beryllug.standins import fleet_settings

Fault = Callable[[scenario.Running, random.Random], Awaitable[None]]
REQUESTS = 20
LONGEST_CUT = 400

SHORT_S = 2.0
# Longer than a lease holds, so that its holder wakes with old authority.
PAST_LEASE_S = 10.0
OUTAGE_S = 5.0
SLOW_S = 0.2


async def kill_entry(running: scenario.Running, rng: random.Random) -> None:
    """The callers of one entry host see their connections break."""
    host = _host(running, rng)
    name = fleet_settings.entry_name(host)
    running.traffic.avoid(host)
    await running.fleet.processes.kill(name)
    await running.traffic.reach(10)
    await running.fleet.restart(name)
    running.traffic.use(host)


async def kill_control(running: scenario.Running, rng: random.Random) -> None:
    """An owner of journal shards is lost with rows that were not flushed."""
    name = fleet_settings.control_name(_host(running, rng))
    await running.fleet.processes.kill(name)
    await running.traffic.reach(REQUESTS)
    await running.fleet.restart(name)


async def freeze_control(running: scenario.Running, rng: random.Random) -> None:
    """An owner is paused past its lease and wakes with old authority."""
    name = fleet_settings.control_name(_host(running, rng))
    running.fleet.processes.freeze(name)
    await asyncio.sleep(PAST_LEASE_S)
    running.fleet.processes.thaw(name)


async def freeze_entry(running: scenario.Running, rng: random.Random) -> None:
    """An entry process is paused and wakes with an old view."""
    host = _host(running, rng)
    name = fleet_settings.entry_name(host)
    running.traffic.avoid(host)
    running.fleet.processes.freeze(name)
    await asyncio.sleep(SHORT_S)
    running.fleet.processes.thaw(name)
    running.traffic.use(host)


async def stop_control(running: scenario.Running, rng: random.Random) -> None:
    """A control process is stopped gracefully and started again."""
    name = fleet_settings.control_name(_host(running, rng))
    code = await running.fleet.processes.terminate(name)
    assert code == 0, f'exit code {code}'
    await running.fleet.restart(name)


async def lose_answers(running: scenario.Running, rng: random.Random) -> None:
    """Writes take effect in the platform and their answers are lost."""
    for _ in range(10):
        running.fleet.platform.put_faults(drop_answer=True, times=2)
        await running.traffic.reach(5)
    running.fleet.platform.put_faults()


async def lose_platform(running: scenario.Running, rng: random.Random) -> None:
    """The platform refuses connections for a while."""
    running.fleet.platform.put_faults(refuse=True)
    await asyncio.sleep(OUTAGE_S)
    running.fleet.platform.put_faults()
    await running.fleet.platform.settle()


async def slow_platform(running: scenario.Running, rng: random.Random) -> None:
    """The platform takes long for each call."""
    running.fleet.platform.put_faults(delay_s=SLOW_S, answer_delay_s=SLOW_S)
    await asyncio.sleep(SHORT_S)
    running.fleet.platform.put_faults()


async def stale_platform(running: scenario.Running, rng: random.Random) -> None:
    """Reads of the platform show an old state."""
    running.fleet.platform.put_faults(stale=True)
    await asyncio.sleep(SHORT_S)
    running.fleet.platform.put_faults()


async def lose_host_list(running: scenario.Running, rng: random.Random) -> None:
    """The host list refuses connections."""
    running.fleet.host_list.put_faults(refuse=True)
    await asyncio.sleep(SHORT_S)
    running.fleet.host_list.put_faults()


async def reset_answers(running: scenario.Running, rng: random.Random) -> None:
    """One backend server cuts a few of its answers."""
    server = _server(running, rng)
    for _ in range(5):
        at_byte = rng.randrange(LONGEST_CUT)
        running.fleet.servers[server].put_faults(reset_at_byte=at_byte, times=1)
        await running.traffic.reach(8)
    running.fleet.servers[server].put_faults()


async def refuse_at_server(
    running: scenario.Running, rng: random.Random
) -> None:
    """One backend server refuses connections and comes back."""
    made = running.fleet.servers[_server(running, rng)]
    made.put_faults(refuse=True)
    await asyncio.sleep(SHORT_S)
    made.put_faults()
    await made.settle()


async def leave(running: scenario.Running, rng: random.Random) -> None:
    """One backend server is listed as leaving, then as live again."""
    running.fleet.list_hosts(leaving=(_server(running, rng),))
    await asyncio.sleep(SHORT_S)
    running.fleet.list_hosts()


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


def _host(running: scenario.Running, rng: random.Random) -> int:
    return rng.randrange(running.fleet.plan.hosts)


def _server(running: scenario.Running, rng: random.Random) -> str:
    return rng.choice(sorted(running.fleet.servers))
