"""Heartbeats between control processes: what one of them costs.

Eight control processes in which only the interval differs. A process probes
one other each interval and compares its configuration each second one, and
so often it is probed and asked itself.
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


async def run(shown: ledger.Ledger) -> None:
    """Measure each interval, one fleet for each at once."""
    shown.section(f'heartbeats every {INTERVALS_S} s, {CONTROLS} controls')
    measured = await asyncio.gather(*map(_measure, INTERVALS_S))
    for name, unit, figures in (
        (
            'processor time of a control',
            'ms/s',
            [[got.cpu_ms for got in one] for one in measured],
        ),
        (
            'bytes that a control sends to others',
            'B/s',
            [[got.carried for got in one] for one in measured],
        ),
        (
            'packets that a control sends',
            '1/s',
            [[got.packets for got in one] for one in measured],
        ),
    ):
        points = [
            fit.Point(1 / interval_s, tuple(found))
            for interval_s, found in zip(INTERVALS_S, figures)
        ]
        shown.sweep(name, unit, PER, points)


async def _measure(interval_s: float) -> list[windows.Rates]:
    settings = (*SETTINGS, f'heartbeat_s = {interval_s}')
    async with controls.running(PLAN._replace(settings=settings)) as fleet:
        await asyncio.sleep(SETTLE_S)
        return [await windows.watch(fleet, WINDOW_S) for _ in range(REPEATS)]
