"""Measures the cost of a heartbeat between control processes.

Fleets of eight control processes differ only in the heartbeat interval. In
each interval a process probes one other process, and in every second interval
it compares its configuration with one. On average it is probed and asked as
often itself.
"""

import asyncio

from beryllug.bench.slopes import controls, documents, fit, ledger, windows

INTERVALS_S = (4.0, 2.0, 1.0, 0.5)
CONTROLS = 8
SETTLE_S = 20.0
WINDOW_S = 5.0
REPEATS = 3
SETTINGS = ('watchers = 2', 'shards = 1', 'lease_s = 12', 'cut_off_s = 60')
PER = 'a heartbeat a second'
PLAN = controls.Plan(documents.document(), CONTROLS)


async def run(recorder: ledger.Recorder) -> None:
    """Measure each interval, with concurrent fleets."""
    recorder.section(f'heartbeats every {INTERVALS_S} s, {CONTROLS} controls')
    measured = await asyncio.gather(*map(_measure, INTERVALS_S))
    for name, unit, figures in (
        (
            'processor time of a control',
            'ms/s',
            [[rates.cpu_ms for rates in repeats] for repeats in measured],
        ),
        (
            'bytes that a control sends to others',
            'B/s',
            [
                [rates.peer_bytes_per_s for rates in repeats]
                for repeats in measured
            ],
        ),
        (
            'packets that a control sends',
            '1/s',
            [[rates.packets for rates in repeats] for repeats in measured],
        ),
    ):
        points = [
            fit.Point(1 / interval_s, tuple(found))
            for interval_s, found in zip(INTERVALS_S, figures)
        ]
        recorder.sweep(name, unit, PER, points)


async def _measure(interval_s: float) -> list[windows.Rates]:
    settings = (*SETTINGS, f'heartbeat_s = {interval_s}')
    async with controls.running(PLAN._replace(settings=settings)) as fleet:
        await asyncio.sleep(SETTLE_S)
        return [
            await windows.measure_window(fleet, WINDOW_S)
            for _ in range(REPEATS)
        ]
