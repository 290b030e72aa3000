"""What an entry process itself costs, beside a bare pass-through.

Both forward the same requests to the same model engines in one run. Processor
time is read from the operating system for the forwarding process alone, so
the load's own cost does not count. Bounds are ratios of the two.
"""

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import NamedTuple

from hdrh import histogram

from beryllug.bench import report
from beryllug.drivers import http_data
from beryllug.standins import (
    caller,
    engine_worker,
    fleet_settings,
    harness,
    sample,
)

ENTRY = 'entry-0'
ENGINE = 'runners-large-0'
SLOTS = 512
SHORT = 8
UTIME = 11
STIME = 12
PERCENTS = (50, 99)
WARM = 200
REQUESTS = 1500
STREAMS = 60
EVENTS = 500
TOKEN_S = 0.004
AT_ONCE = 24
LATENCY_REQUESTS = 300
OPEN_STREAMS = 150
MICRO = 1000000
KIB = 1024
MOST_PER_REQUEST = 2.0
MOST_PER_EVENT = 1.5
LONGEST_US = 10000000
DIGITS = 3
TICKS = os.sysconf('SC_CLK_TCK')
PAGE = os.sysconf('SC_PAGE_SIZE')


class Way(NamedTuple):
    """A way to the engines: a name, an address and its process."""

    name: str
    address: str
    pid: int


class Cost(NamedTuple):
    """Processor time in microseconds."""

    per_request: float
    per_event: float


def run(figures: report.Report) -> list[str]:
    """Measure, and return the broken bounds."""
    asyncio.run(_run(figures))
    return figures.broken()


async def _run(figures: report.Report) -> None:
    fleet = harness.Fleet(_plan())
    await fleet.start()
    floor = await _passthrough(fleet)
    try:
        await _measure(figures, fleet, floor.pid)
    finally:
        floor.terminate()
        await floor.wait()
    await fleet.stop()


async def _measure(
    figures: report.Report, fleet: harness.Fleet, floor_pid: int
) -> None:
    bare = Way('pass-through', fleet.hosts[1].callers, floor_pid)
    entry = Way('entry', fleet.hosts[0].callers, fleet.processes.pid(ENTRY))
    direct = Way('direct', fleet.servers[ENGINE].address, 0)
    figures.section('daemon: processor time, entry beside pass-through')
    await _costs(figures, bare, entry)
    figures.section('daemon: latency of a whole chat, one at a time')
    for way in (direct, bare, entry):
        await _latency(figures, way)
    figures.section('daemon: memory')
    await _memory(figures, entry)


def _plan() -> harness.Plan:
    """Return one host before one engine that answers at once."""
    quick = engine_worker.EngineCfg(
        concurrency=SLOTS, queue=SLOTS, token_s=TOKEN_S
    )
    servers = (harness.ServerPlan(ENGINE, sample.LARGE, 'zone-1', quick),)
    declared = sample.document()
    pools = tuple(pool._replace(concurrency=SLOTS) for pool in declared.pools)
    document = declared._replace(pools=pools, rollouts=())
    return harness.Plan(document, servers, hosts=1)


async def _passthrough(fleet: harness.Fleet) -> asyncio.subprocess.Process:
    listen = fleet_settings.free_ports()
    fleet.hosts.append(listen)
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'beryllug.bench.passthrough',
        listen.callers,
        fleet.servers[ENGINE].address,
    )
    probe = http_data.Outgoing('GET', '/', {})

    async def answers() -> bool:  # noqa: WPS430
        try:
            await fleet.client.call(listen.callers, probe)
        except http_data.NotSentError:
            return False
        return True

    await harness.wait_for(answers, harness.READY_S)
    return started


async def _costs(figures: report.Report, bare: Way, entry: Way) -> None:
    floor = await _cost(bare)
    ours = await _cost(entry)
    for way, cost in ((bare, floor), (entry, ours)):
        figures.figure(f'{way.name}: us a request', cost.per_request)
        figures.figure(f'{way.name}: us a forwarded event', cost.per_event)
    figures.figure(
        'entry: requests a second and core', MICRO / ours.per_request
    )
    figures.figure('entry: events a second and core', MICRO / ours.per_event)
    figures.bound(
        'per request, of the pass-through',
        ours.per_request / floor.per_request,
        MOST_PER_REQUEST,
    )
    figures.bound(
        'per forwarded event, of the pass-through',
        ours.per_event / floor.per_event,
        MOST_PER_EVENT,
    )


async def _cost(way: Way) -> Cost:
    await _send(way, WARM, stream=False)
    before = _cpu_us(way.pid)
    await _send(way, REQUESTS, stream=False)
    per_request = (_cpu_us(way.pid) - before) / REQUESTS
    before = _cpu_us(way.pid)
    await _send(way, STREAMS, stream=True)
    spent = _cpu_us(way.pid) - before - STREAMS * per_request
    return Cost(per_request, spent / (STREAMS * EVENTS))


async def _send(way: Way, count: int, stream: bool) -> None:
    left = iter(range(count))

    async def work() -> None:  # noqa: WPS430
        who = caller.Caller(sample.LARGE_KEY)
        for number in left:
            tokens = EVENTS if stream else SHORT
            reply = await who.chat(
                way.address,
                'desk-large',
                f'{number}',
                stream=stream,
                max_tokens=tokens,
            )
            assert reply.status == harness.OK, reply
        await who.close()

    await asyncio.gather(*(work() for _ in range(AT_ONCE)))


async def _latency(figures: report.Report, way: Way) -> None:
    who = caller.Caller(sample.LARGE_KEY)
    taken = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
    for number in range(LATENCY_REQUESTS):
        began = time.perf_counter()
        await who.chat(way.address, 'desk-large', f'{number}', max_tokens=SHORT)
        taken.record_value(round((time.perf_counter() - began) * MICRO))
    await who.close()
    for percent in PERCENTS:
        figures.figure(
            f'{way.name}: p{percent}, us',
            taken.get_value_at_percentile(percent),
        )


async def _memory(figures: report.Report, way: Way) -> None:
    before = _rss(way.pid)
    figures.figure('entry: resident MB', before / KIB / KIB)
    opened = [
        asyncio.create_task(_send(way, 1, stream=True))
        for _ in range(OPEN_STREAMS)
    ]
    await asyncio.sleep(EVENTS * TOKEN_S / 2)
    grown = _rss(way.pid) - before
    await asyncio.gather(*opened)
    figures.figure('entry: KB an open stream', grown / KIB / OPEN_STREAMS)


def _cpu_us(pid: int) -> float:
    """Return the processor time of a process, in microseconds."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[UTIME]) + int(fields[STIME])) * MICRO / TICKS


def _rss(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    fields = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    return int(fields[1]) * PAGE
