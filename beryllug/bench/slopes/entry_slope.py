"""Requests and streams through a real entry process and its control.

One entry, one control and one stand-in of an engine for each size. First so
many answers are streamed at once, a token every 61 ms; then so many short
requests come a second.
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
FILL_S = 3.0
WINDOW_S = 4.0
REPEATS = 3
KIB = 1024
MS = 1000
OK = 200
PLAN = controls.Plan(documents.document(versions=2), controls=1, entries=1)


class _Taken(NamedTuple):
    """One stretch.

    Attributes:
        entry_ms: Processor time of the entry, ms a second.
        control_ms: That of the control.
        resident_kb: Memory of the entry.
    """

    entry_ms: float
    control_ms: float
    resident_kb: float


class _Measured(NamedTuple):
    """What one size gave: stretches with streams, then with requests."""

    streaming: list[_Taken]
    asking: list[_Taken]


async def run(shown: ledger.Ledger) -> None:
    """Measure each size, one fleet for each at once."""
    shown.section(f'an entry: {STREAMS} open streams, then {RATES} requests/s')
    measured = await asyncio.gather(*map(_measure, STREAMS, RATES))
    streaming = [one.streaming for one in measured]
    for row in STREAMING:
        _sweep(shown, row, streaming)
    asking = [one.asking for one in measured]
    for row in ASKING:
        _sweep(shown, row, asking)


class _Row(NamedTuple):
    """A figure that is shown: what, against which sizes, and from where."""

    title: str
    unit: str
    per: str
    sizes: Sequence[float]
    figure: Callable[[_Taken], float]


STREAMING = (
    _Row(
        'streams: processor time of the entry',
        'ms/s',
        'a forwarded event a second',
        tuple(count / TOKEN_S for count in STREAMS),
        lambda taken: taken.entry_ms,
    ),
    _Row(
        'streams: memory of the entry',
        'KB',
        'an open stream',
        STREAMS,
        lambda taken: taken.resident_kb,
    ),
)
ASKING = (
    _Row(
        'requests: processor time of the entry',
        'ms/s',
        'a request a second',
        RATES,
        lambda taken: taken.entry_ms,
    ),
    _Row(
        'requests: processor time of the control',
        'ms/s',
        'a request a second',
        RATES,
        lambda taken: taken.control_ms,
    ),
)


def _sweep(
    shown: ledger.Ledger, row: _Row, measured: Sequence[list[_Taken]]
) -> None:
    points = [
        fit.Point(size, tuple(map(row.figure, taken)))
        for size, taken in zip(row.sizes, measured)
    ]
    shown.sweep(row.title, row.unit, row.per, points)


async def _measure(streams: int, rate: int) -> _Measured:
    engine = await parties.start(
        'engine', concurrency=SLOTS, queue=SLOTS, token_s=TOKEN_S
    )
    who = caller.Caller(documents.KEY)
    try:
        async with controls.running(PLAN) as fleet:
            port = controls.port_of(engine.address)
            await fleet.list_hosts(documents.servers(1, port))
            await asyncio.sleep(SETTLE_S)
            return _Measured(
                await _stream(fleet, who, streams),
                await _ask(fleet, who, rate),
            )
    finally:
        await who.close()
        await parties.stop(engine)


async def _stream(
    fleet: controls.Controls, who: caller.Caller, count: int
) -> list[_Taken]:
    """Keep streams open over all stretches."""
    opened = [
        asyncio.create_task(_chat(fleet, who, f'{number}', TOKENS))
        for number in range(count)
    ]
    await asyncio.sleep(FILL_S)
    taken = [
        await _stretch(fleet, asyncio.create_task(asyncio.sleep(WINDOW_S)))
        for _ in range(REPEATS)
    ]
    await asyncio.gather(*opened)
    return taken


async def _ask(
    fleet: controls.Controls, who: caller.Caller, rate: int
) -> list[_Taken]:
    """Send short requests at a rate."""
    numbers = itertools.count()
    return [
        await _stretch(
            fleet, asyncio.create_task(_send(fleet, who, rate, numbers))
        )
        for _ in range(REPEATS)
    ]


async def _send(
    fleet: controls.Controls,
    who: caller.Caller,
    rate: int,
    numbers: Iterator[int],
) -> None:
    began = time.monotonic()
    tasks = []
    for number in range(round(rate * WINDOW_S)):
        due_s = began + number / rate - time.monotonic()
        await asyncio.sleep(max(0, due_s))
        work = _chat(fleet, who, f'short {next(numbers)}', 1)
        tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)


async def _chat(
    fleet: controls.Controls, who: caller.Caller, prompt: str, tokens: int
) -> None:
    reply = await who.chat(
        fleet.hosts[0].callers,
        documents.MODEL,
        prompt,
        stream=tokens > 1,
        max_tokens=tokens,
    )
    if reply.status != OK:
        raise RuntimeError(f'status {reply.status}: {reply.body.decode()}')


async def _stretch(
    fleet: controls.Controls, work: asyncio.Task[None]
) -> _Taken:
    entry = fleet.processes.pid(fleet.entry_names()[0])
    pids = (entry, fleet.pids()[0])
    began = time.monotonic()
    before = tuple(map(process_stats.cpu_s, pids))
    await work
    took_s = time.monotonic() - began
    after = tuple(map(process_stats.cpu_s, pids))
    return _Taken(
        (after[0] - before[0]) * MS / took_s,
        (after[1] - before[1]) * MS / took_s,
        process_stats.resident(entry) / KIB,
    )
