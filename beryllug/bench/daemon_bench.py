"""Cost of an entry process relative to a minimal pass-through proxy.

Both forward the same requests to the same model engine in one run. Processor
time is read from the operating system for the forwarding process only, so the
cost of the load generator does not count. Bounds are ratios of the two.
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
SHORT_ANSWER_TOKENS = 8
UTIME = 11
STIME = 12
PERCENTILES = (50, 99)
WARM_UP_REQUESTS = 200
REQUESTS = 1500
STREAMS = 60
EVENTS = 500
TOKEN_S = 0.004
CONCURRENT_CALLERS = 24
LATENCY_REQUESTS = 300
OPEN_STREAMS = 150
US_PER_S = 1000000
KIB = 1024
MAX_PER_REQUEST_RATIO = 2.0
MAX_PER_EVENT_RATIO = 1.5
MAX_US = 10000000
SIGNIFICANT_DIGITS = 3
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Endpoint(NamedTuple):
    """An address that reaches the engine, with its name and process id."""

    name: str
    address: str
    pid: int


class Cost(NamedTuple):
    """Processor time per unit of work, in microseconds."""

    per_request: float
    per_event: float


def run(figures: report.Report) -> list[str]:
    """Run the benchmark and return its violated bounds."""
    asyncio.run(_run(figures))
    return figures.broken()


async def _run(figures: report.Report) -> None:
    fleet = harness.Fleet(_fleet_plan())
    await fleet.start()
    baseline = await _passthrough(fleet)
    try:
        await _measure(figures, fleet, baseline.pid)
    finally:
        baseline.terminate()
        await baseline.wait()
    await fleet.stop()


async def _measure(
    figures: report.Report, fleet: harness.Fleet, baseline_pid: int
) -> None:
    passthrough = Endpoint('pass-through', fleet.hosts[1].callers, baseline_pid)
    entry = Endpoint(
        'entry', fleet.hosts[0].callers, fleet.processes.pid(ENTRY)
    )
    direct = Endpoint('direct', fleet.servers[ENGINE].address, 0)
    figures.section('daemon: processor time, entry beside pass-through')
    await _costs(figures, passthrough, entry)
    figures.section('daemon: latency of a whole chat, one at a time')
    for endpoint in (direct, passthrough, entry):
        await _latency(figures, endpoint)
    figures.section('daemon: memory')
    await _memory(figures, entry)


def _fleet_plan() -> harness.Plan:
    """Plan one host with one engine that has ample slots."""
    engine_cfg = engine_worker.EngineCfg(
        concurrency=SLOTS, queue=SLOTS, token_s=TOKEN_S
    )
    servers = (harness.ServerPlan(ENGINE, sample.LARGE, 'zone-1', engine_cfg),)
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

    async def is_answering() -> bool:  # noqa: WPS430
        try:
            await fleet.client.call(listen.callers, probe)
        except http_data.NotSentError:
            return False
        return True

    await harness.wait_for(is_answering, harness.READY_S)
    return started


async def _costs(
    figures: report.Report, passthrough: Endpoint, entry: Endpoint
) -> None:
    baseline = await _cost(passthrough)
    entry_cost = await _cost(entry)
    for endpoint, cost in ((passthrough, baseline), (entry, entry_cost)):
        figures.figure(f'{endpoint.name}: us a request', cost.per_request)
        figures.figure(f'{endpoint.name}: us a forwarded event', cost.per_event)
    figures.figure(
        'entry: requests a second and core', US_PER_S / entry_cost.per_request
    )
    figures.figure(
        'entry: events a second and core', US_PER_S / entry_cost.per_event
    )
    figures.bound(
        'per request, of the pass-through',
        entry_cost.per_request / baseline.per_request,
        MAX_PER_REQUEST_RATIO,
    )
    figures.bound(
        'per forwarded event, of the pass-through',
        entry_cost.per_event / baseline.per_event,
        MAX_PER_EVENT_RATIO,
    )


async def _cost(endpoint: Endpoint) -> Cost:
    await _send(endpoint, WARM_UP_REQUESTS, stream=False)
    before = _cpu_us(endpoint.pid)
    await _send(endpoint, REQUESTS, stream=False)
    per_request = (_cpu_us(endpoint.pid) - before) / REQUESTS
    before = _cpu_us(endpoint.pid)
    await _send(endpoint, STREAMS, stream=True)
    spent = _cpu_us(endpoint.pid) - before - STREAMS * per_request
    return Cost(per_request, spent / (STREAMS * EVENTS))


async def _send(endpoint: Endpoint, count: int, stream: bool) -> None:
    left = iter(range(count))

    async def work() -> None:  # noqa: WPS430
        chat_client = caller.Caller(sample.LARGE_KEY)
        for number in left:
            tokens = EVENTS if stream else SHORT_ANSWER_TOKENS
            reply = await chat_client.chat(
                endpoint.address,
                'desk-large',
                f'{number}',
                stream=stream,
                max_tokens=tokens,
            )
            assert reply.status == harness.OK, reply
        await chat_client.close()

    await asyncio.gather(*(work() for _ in range(CONCURRENT_CALLERS)))


async def _latency(figures: report.Report, endpoint: Endpoint) -> None:
    chat_client = caller.Caller(sample.LARGE_KEY)
    latencies = histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
    for number in range(LATENCY_REQUESTS):
        began = time.perf_counter()
        await chat_client.chat(
            endpoint.address,
            'desk-large',
            f'{number}',
            max_tokens=SHORT_ANSWER_TOKENS,
        )
        latencies.record_value(round((time.perf_counter() - began) * US_PER_S))
    await chat_client.close()
    for percent in PERCENTILES:
        figures.figure(
            f'{endpoint.name}: p{percent}, us',
            latencies.get_value_at_percentile(percent),
        )


async def _memory(figures: report.Report, endpoint: Endpoint) -> None:
    before = _rss(endpoint.pid)
    figures.figure('entry: resident MB', before / KIB / KIB)
    opened = [
        asyncio.create_task(_send(endpoint, 1, stream=True))
        for _ in range(OPEN_STREAMS)
    ]
    await asyncio.sleep(EVENTS * TOKEN_S / 2)
    growth = _rss(endpoint.pid) - before
    await asyncio.gather(*opened)
    figures.figure('entry: KB an open stream', growth / KIB / OPEN_STREAMS)


def _cpu_us(pid: int) -> float:
    """Return the processor time of a process, in microseconds."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[UTIME]) + int(fields[STIME])) * US_PER_S / TICKS_PER_S


def _rss(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    fields = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    return int(fields[1]) * PAGE_BYTES
