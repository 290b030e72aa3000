"""Measures the cost of listing backend servers and tracking their loads.

One control process and one entry run. One stand-in engine answers for all
runners, which the host list contains under separate names.
"""

import asyncio
from typing import NamedTuple

import msgspec

from beryllug.bench.slopes import (
    controls,
    documents,
    fit,
    ledger,
    parties,
    process_stats,
    sockets,
)

RUNNERS = (25, 50, 100)
SETTLE_S = 25.0
WINDOW_S = 4.0
REPEATS = 3
ANY_ADDRESS = '0.0.0.0'  # noqa: S104
EXAMPLE_PORT = 8000
MB = 1048576
MS = 1000
PER = 'a runner'
PLAN = controls.Plan(documents.document(versions=2), controls=1, entries=1)
TITLES = (
    ('processor time of a control', 'ms/s'),
    ('processor time of an entry', 'ms/s'),
    ('bytes from a control to its entry', 'B/s'),
    ('resident memory of a control', 'MB'),
    ('resident memory of an entry', 'MB'),
)


class _Counters(NamedTuple):
    """Counters at one point in time."""

    control_s: float
    entry_s: float
    link: sockets.Connections


async def run(recorder: ledger.Recorder) -> None:
    """Measure each number of runners, with concurrent fleets."""
    recorder.section(f'{RUNNERS} runners, a control and its entry, no requests')
    measured = await asyncio.gather(*map(_measure, RUNNERS))
    for number, (name, unit) in enumerate(TITLES):
        points = [
            fit.Point(runners, tuple(row[number] for row in rows))
            for runners, rows in zip(RUNNERS, measured)
        ]
        recorder.sweep(name, unit, PER, points)
    listed = documents.servers(1, EXAMPLE_PORT)[0]
    size = len(msgspec.json.encode(listed._asdict()))
    recorder.figure('bytes a runner in the host list', 'B', [size])


async def _measure(runners: int) -> list[tuple[float, ...]]:
    engine = await parties.start('engine', host=ANY_ADDRESS)
    try:
        async with controls.running(PLAN) as fleet:
            port = controls.port_of(engine.address)
            await fleet.list_hosts(documents.servers(runners, port))
            await asyncio.sleep(SETTLE_S)
            return [await _measure_window(fleet) for _ in range(REPEATS)]
    finally:
        await parties.stop(engine)


async def _measure_window(fleet: controls.Controls) -> tuple[float, ...]:
    before = await _read_counters(fleet)
    await asyncio.sleep(WINDOW_S)
    after = await _read_counters(fleet)
    link = sockets.traffic_between(before.link, after.link)
    return (
        (after.control_s - before.control_s) * MS / WINDOW_S,
        (after.entry_s - before.entry_s) * MS / WINDOW_S,
        link.byte_count / WINDOW_S,
        process_stats.resident(fleet.pids()[0]) / MB,
        process_stats.resident(_entry(fleet)) / MB,
    )


async def _read_counters(fleet: controls.Controls) -> _Counters:
    own = {controls.port_of(fleet.hosts[0].control)}
    return _Counters(
        process_stats.cpu_s(fleet.pids()[0]),
        process_stats.cpu_s(_entry(fleet)),
        await sockets.read(own),
    )


def _entry(fleet: controls.Controls) -> int:
    return fleet.processes.pid(fleet.entry_names()[0])
