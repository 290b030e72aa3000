"""Measures the resource use of a fleet over a time window, per second."""

import asyncio
import statistics
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.bench.slopes import controls, sockets

MS = 1000


class Rates(NamedTuple):
    """Rates over one time window.

    Attributes:
        seconds: Length of the window.
        cpu: Processor time of each control process, ms per second.
        peer_bytes_per_s: Bytes per second at the ports of the control
            processes, per process.
        packets: Packets per second at these ports, per process.
        platform: Bytes per second between a control process and the object
            API, on average over the control processes.
        calls: Calls to the object API per second, by kind, of all control
            processes together.
    """

    seconds: float
    cpu: tuple[float, ...]
    peer_bytes_per_s: float
    packets: float
    platform: float
    calls: dict[str, float]

    @property
    def cpu_ms(self) -> float:
        """Return the mean processor time of the control processes."""
        return statistics.mean(self.cpu)


class _Counters(NamedTuple):
    """All counters at one point in time."""

    at: float
    cpu: list[float]
    peers: sockets.Connections
    platform: sockets.Connections
    calls: dict[str, int]


async def measure_window(
    fleet: controls.Controls,
    seconds: float,
    work: Callable[[], Awaitable[object]] | None = None,
) -> Rates:
    """Measure a fleet over a time window, in which some work may run.

    Args:
        fleet: The fleet.
        seconds: Minimum length of the window.
        work: Work to run in the window; the window lasts until it ends.
    """
    before = await _read_counters(fleet)
    timer = asyncio.create_task(asyncio.sleep(seconds))
    if work is not None:
        await work()
    await timer
    after = await _read_counters(fleet)
    return _rates(before, after)


async def _read_counters(fleet: controls.Controls) -> _Counters:
    own = {controls.port_of(host.control) for host in fleet.hosts}
    platform = {controls.port_of(fleet.platform().address)}
    connections = await sockets.read(own | platform)
    return _Counters(
        time.monotonic(),
        fleet.cpu_s(),
        sockets.accepted_on(connections, own),
        sockets.accepted_on(connections, platform),
        await fleet.calls(),
    )


def _rates(before: _Counters, after: _Counters) -> Rates:
    elapsed_s = after.at - before.at
    cpu_ms_per_s = tuple(
        (now - then) * MS / elapsed_s
        for now, then in zip(after.cpu, before.cpu)
    )
    peers = sockets.traffic_between(before.peers, after.peers)
    platform = sockets.traffic_between(before.platform, after.platform)
    control_seconds = elapsed_s * len(cpu_ms_per_s)
    calls = Counter(after.calls)
    calls.subtract(before.calls)
    return Rates(
        elapsed_s,
        cpu_ms_per_s,
        peers.byte_count / control_seconds,
        peers.packets / control_seconds,
        platform.byte_count / control_seconds,
        {kind: made / elapsed_s for kind, made in calls.items()},
    )
