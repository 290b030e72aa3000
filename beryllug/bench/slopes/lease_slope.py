"""Measures the cost of maintaining the leases of journal shards.

Eight control processes without requests. Each one handles every lease: it
holds some, reads some and waits for the others.
"""

import asyncio

from beryllug.bench.slopes import (
    controls,
    documents,
    fit,
    ledger,
    process_stats,
    windows,
)

SHARDS = (8, 32, 96)
CONTROLS = 8
SETTLE_S = 12.0
WINDOW_S = 5.0
REPEATS = 3
MB = 1048576
PER = 'a shard'
PLAN = controls.Plan(documents.document(), CONTROLS)


async def run(recorder: ledger.Recorder) -> None:
    """Measure each number of shards, with concurrent fleets."""
    recorder.section(f'leases of {SHARDS} shards, {CONTROLS} controls, idle')
    measured = await asyncio.gather(*map(_measure, SHARDS))
    for number, title in enumerate(
        (
            'processor time of a control, ms/s',
            'platform reads of all controls, 1/s',
            'platform writes of all controls, 1/s',
            'resident memory of a control, MB',
        )
    ):
        name, _, unit = title.rpartition(', ')
        points = [
            fit.Point(shards, figures[number])
            for shards, figures in zip(SHARDS, measured)
        ]
        recorder.sweep(name, unit, PER, points)


async def _measure(shards: int) -> list[tuple[float, ...]]:
    settings = ('watchers = 2', f'shards = {shards}')
    async with controls.running(PLAN._replace(settings=settings)) as fleet:
        await asyncio.sleep(SETTLE_S)
        samples = [
            await windows.measure_window(fleet, WINDOW_S)
            for _ in range(REPEATS)
        ]
        resident = [process_stats.resident(pid) / MB for pid in fleet.pids()]
    return [
        tuple(rates.cpu_ms for rates in samples),
        tuple(rates.calls.get('read', 0) for rates in samples),
        tuple(rates.calls.get('write', 0) for rates in samples),
        tuple(sorted(resident)[:REPEATS]),
    ]
