"""Measures how the costs of control processes grow with their number.

Real processes run against a stand-in for the object API: up to a hundred with
two watchers per zone, and up to 32 that all watch it.
"""

import asyncio
import statistics
from collections.abc import Callable, Sequence

from beryllug.bench.slopes import fit, fleet_run, ledger, sockets, windows

SIZES = (8, 32, 100)
WATCHERS = 2
ALL_SIZES = (8, 16, 32)
ALL_WATCH = 0
PER = 'a process'
CPU = 'processor time of a control'
SENT = 'bytes that a control sends to others'
READS = 'platform reads of all controls'
WATCHES = 'platform watches of all controls'

Measured = fleet_run.Measured
Figure = Callable[[windows.Rates], float]
Row = tuple[str, str, Figure]


def _calls(kind: str) -> Figure:
    return lambda rates: rates.calls.get(kind, 0)


IDLE: tuple[Row, ...] = (
    (CPU, 'ms/s', lambda rates: rates.cpu_ms),
    (f'{CPU}, the busiest', 'ms/s', lambda rates: max(rates.cpu)),
    (SENT, 'B/s', lambda rates: rates.peer_bytes_per_s),
    ('packets that a control sends', '1/s', lambda rates: rates.packets),
    ('bytes to and from the platform', 'B/s', lambda rates: rates.platform),
    (READS, '1/s', _calls('read')),
    ('platform writes of all controls', '1/s', _calls('write')),
    (WATCHES, '1/s', _calls('watch')),
)
CHANGE: tuple[Row, ...] = (
    (CPU, 'ms', lambda rates: rates.cpu_ms),
    (SENT, 'B', lambda rates: rates.peer_bytes_per_s),
    (READS, 'calls', _calls('read')),
    ('platform writes, those of the apply too', 'calls', _calls('write')),
    (WATCHES, 'calls', _calls('watch')),
)
CRASH: tuple[Row, ...] = (
    ('processor time of its control', 'ms', lambda rates: rates.cpu[0]),
    (SENT, 'B', lambda rates: rates.peer_bytes_per_s),
)
PLATFORM_ROWS = (READS, WATCHES)


async def run(recorder: ledger.Recorder) -> None:
    """Measure fleets with `WATCHERS` watchers per zone."""
    recorder.section(f'{SIZES} control processes, {WATCHERS} of a zone watch')
    if not sockets.available():
        recorder.note('not run: ss, which counts bytes, is not installed')
        return
    *small, large = SIZES
    measured = await asyncio.gather(
        *(fleet_run.measure(size, WATCHERS) for size in small)
    )
    # The largest fleet runs alone, or the fleets would delay one another.
    measured.append(await fleet_run.measure(large, WATCHERS))
    for title, unit, figure in IDLE:
        _sweep(recorder, f'idle: {title}', unit, measured, _idle(figure))
    for title, unit, figure in CHANGE:
        _sweep(
            recorder, f'one change: {title}', unit, measured, _change(figure)
        )
    for title, unit, figure in CRASH:
        name = f'one report of a lost server: {title}'
        _sweep(recorder, name, unit, measured, _crash(figure))
    for title, times in TIMES:
        _sweep(recorder, title, 'ms', measured, times)
    for title, unit, get in PROCESSES:
        _sweep(recorder, title, unit, measured, get)


async def run_all_watch(recorder: ledger.Recorder) -> None:
    """Measure only platform calls, in fleets where all processes watch."""
    recorder.section(f'{ALL_SIZES} control processes, all watch')
    measured = await asyncio.gather(
        *(fleet_run.measure(size, ALL_WATCH) for size in ALL_SIZES)
    )
    for title, unit, figure in IDLE:
        if title in PLATFORM_ROWS:
            _sweep(recorder, f'idle: {title}', unit, measured, _idle(figure))
    for title, unit, figure in CHANGE:
        if title in PLATFORM_ROWS:
            name = f'one change: {title}'
            _sweep(recorder, name, unit, measured, _change(figure))


Getter = Callable[[Measured], Sequence[float]]


def _sweep(
    recorder: ledger.Recorder,
    name: str,
    unit: str,
    measured: Sequence[Measured],
    get: Getter,
) -> None:
    points = [
        fit.Point(measurement.size, tuple(get(measurement)))
        for measurement in measured
    ]
    recorder.sweep(name, unit, PER, points)


def _idle(figure: Figure) -> Getter:
    return lambda measurement: [figure(rates) for rates in measurement.idle]


def _change(figure: Figure) -> Getter:
    """Return the cost of one change in excess of the idle rates."""
    return lambda measurement: [
        (figure(rates) - _idle_median(measurement, figure))
        * rates.seconds
        / fleet_run.CHANGES
        for rates in measurement.changing
    ]


def _crash(figure: Figure) -> Getter:
    """Return the cost of one report in excess of the idle rates."""
    return lambda measurement: [
        (figure(rates) - _idle_median(measurement, figure)) * rates.seconds
        for rates in measurement.crashes
    ]


def _idle_median(measurement: Measured, figure: Figure) -> float:
    return statistics.median(figure(rates) for rates in measurement.idle)


def _quartiles(get: Getter) -> Getter:
    """Return the quartiles over the processes, used in place of repeats."""
    return lambda measurement: statistics.quantiles(get(measurement))


PROCESSES: tuple[tuple[str, str, Getter], ...] = (
    (
        'processor time of a control until all are ready',
        'ms',
        _quartiles(lambda measurement: measurement.started),
    ),
    (
        'resident memory of a control',
        'MB',
        _quartiles(lambda measurement: measurement.resident),
    ),
    (
        'private memory of a control',
        'MB',
        _quartiles(lambda measurement: measurement.private),
    ),
)
TIMES: tuple[tuple[str, Getter], ...] = (
    (
        'one change: accepted until in force at the last control',
        lambda measurement: sorted(measurement.applied_ms),
    ),
    (
        'one change: accepted until it reached the last entry',
        lambda measurement: sorted(measurement.entries_reached_ms),
    ),
    (
        'one report of a lost server: until all know',
        lambda measurement: sorted(measurement.crash_report_ms),
    ),
)
