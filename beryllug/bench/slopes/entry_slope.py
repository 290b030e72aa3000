"""Measures requests and streams through a real entry and its control.

Each size runs one entry, one control process and one stand-in engine. First
a number of answers is streamed concurrently, one token every 61 ms; then
short requests are sent at a constant rate.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from beryllug.bench.slopes import (
    controls,
    documents,
    fit,
    ledger,
    parties,
    process_stats,
)
from beryllug.standins import caller

STREAMS = (40, 80, 160)
RATES = (20, 40, 80)
TOKEN_S = 0.061
TOKENS = 330
SLOTS = 512
SETTLE_S = 5.0
RAMP_UP_S = 3.0
WINDOW_S = 4.0
REPEATS = 3
KIB = 1024
MS = 1000
OK = 200
PLAN = controls.Plan(documents.document(versions=2), controls=1, entries=1)


class _Sample(NamedTuple):
    """The measurements of one time window.

    Attributes:
        entry_ms: Processor time of the entry, ms per second.
        control_ms: Processor time of the control process, ms per second.
        resident_kb: Resident memory of the entry.
    """

    entry_ms: float
    control_ms: float
    resident_kb: float


class _Measured(NamedTuple):
    """The windows of one size, with streams and with requests."""

    streaming: list[_Sample]
    requesting: list[_Sample]


async def run(recorder: ledger.Recorder) -> None:
    """Measure each size, with concurrent fleets."""
    recorder.section(
        f'an entry: {STREAMS} open streams, then {RATES} requests/s'
    )
    measured = await asyncio.gather(*map(_measure, STREAMS, RATES))
    streaming = [one.streaming for one in measured]
    for row in STREAM_ROWS:
        _sweep(recorder, row, streaming)
    requesting = [one.requesting for one in measured]
    for row in REQUEST_ROWS:
        _sweep(recorder, row, requesting)


class _Row(NamedTuple):
    """A reported figure: its title, units, sizes and getter."""

    title: str
    unit: str
    per: str
    sizes: Sequence[float]
    figure: Callable[[_Sample], float]


STREAM_ROWS = (
    _Row(
        'streams: processor time of the entry',
        'ms/s',
        'a forwarded event a second',
        tuple(count / TOKEN_S for count in STREAMS),
        lambda sample: sample.entry_ms,
    ),
    _Row(
        'streams: memory of the entry',
        'KB',
        'an open stream',
        STREAMS,
        lambda sample: sample.resident_kb,
    ),
)
REQUEST_ROWS = (
    _Row(
        'requests: processor time of the entry',
        'ms/s',
        'a request a second',
        RATES,
        lambda sample: sample.entry_ms,
    ),
    _Row(
        'requests: processor time of the control',
        'ms/s',
        'a request a second',
        RATES,
        lambda sample: sample.control_ms,
    ),
)


def _sweep(
    recorder: ledger.Recorder, row: _Row, measured: Sequence[list[_Sample]]
) -> None:
    points = [
        fit.Point(size, tuple(map(row.figure, samples)))
        for size, samples in zip(row.sizes, measured)
    ]
    recorder.sweep(row.title, row.unit, row.per, points)


async def _measure(streams: int, rate: int) -> _Measured:
    engine = await parties.start(
        'engine', concurrency=SLOTS, queue=SLOTS, token_s=TOKEN_S
    )
    client = caller.Caller(documents.KEY)
    try:
        async with controls.running(PLAN) as fleet:
            port = controls.port_of(engine.address)
            await fleet.list_hosts(documents.servers(1, port))
            await asyncio.sleep(SETTLE_S)
            return _Measured(
                await _stream(fleet, client, streams),
                await _send_requests(fleet, client, rate),
            )
    finally:
        await client.close()
        await parties.stop(engine)


async def _stream(
    fleet: controls.Controls, client: caller.Caller, count: int
) -> list[_Sample]:
    """Measure windows while streams are open."""
    opened = [
        asyncio.create_task(_chat(fleet, client, f'{number}', TOKENS))
        for number in range(count)
    ]
    await asyncio.sleep(RAMP_UP_S)
    samples = [
        await _measure_window(
            fleet, asyncio.create_task(asyncio.sleep(WINDOW_S))
        )
        for _ in range(REPEATS)
    ]
    await asyncio.gather(*opened)
    return samples


async def _send_requests(
    fleet: controls.Controls, client: caller.Caller, rate: int
) -> list[_Sample]:
    """Measure windows in which short requests are sent at a rate."""
    numbers = itertools.count()
    return [
        await _measure_window(
            fleet,
            asyncio.create_task(_send_at_rate(fleet, client, rate, numbers)),
        )
        for _ in range(REPEATS)
    ]


async def _send_at_rate(
    fleet: controls.Controls,
    client: caller.Caller,
    rate: int,
    numbers: Iterator[int],
) -> None:
    began = time.monotonic()
    tasks = []
    for number in range(round(rate * WINDOW_S)):
        due_s = began + number / rate - time.monotonic()
        await asyncio.sleep(max(0, due_s))
        work = _chat(fleet, client, f'short {next(numbers)}', 1)
        tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)


async def _chat(
    fleet: controls.Controls, client: caller.Caller, prompt: str, tokens: int
) -> None:
    reply = await client.chat(
        fleet.hosts[0].callers,
        documents.MODEL,
        prompt,
        stream=tokens > 1,
        max_tokens=tokens,
    )
    if reply.status != OK:
        raise RuntimeError(f'status {reply.status}: {reply.body.decode()}')


async def _measure_window(
    fleet: controls.Controls, work: asyncio.Task[None]
) -> _Sample:
    entry = fleet.processes.pid(fleet.entry_names()[0])
    pids = (entry, fleet.pids()[0])
    began = time.monotonic()
    before = tuple(map(process_stats.cpu_s, pids))
    await work
    took_s = time.monotonic() - began
    after = tuple(map(process_stats.cpu_s, pids))
    return _Sample(
        (after[0] - before[0]) * MS / took_s,
        (after[1] - before[1]) * MS / took_s,
        process_stats.resident(entry) / KIB,
    )
