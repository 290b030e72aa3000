"""Control processes among themselves: how their figures grow with them.

Real processes around a stand-in of the object API: up to a hundred of which
two in a zone watch it, and fewer of which all do.
"""

import asyncio
import statistics
from collections.abc import Callable, Sequence

from beryllug.bench.slopes import fit, fleet_run, ledger, sockets, windows

SIZES = (8, 32, 100)
WATCHERS = 2
ALL_SIZES = (8, 16, 32)
ALL = 0
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
    (SENT, 'B/s', lambda rates: rates.carried),
    ('packets that a control sends', '1/s', lambda rates: rates.packets),
    ('bytes to and from the platform', 'B/s', lambda rates: rates.platform),
    (READS, '1/s', _calls('read')),
    ('platform writes of all controls', '1/s', _calls('write')),
    (WATCHES, '1/s', _calls('watch')),
)
CHANGE: tuple[Row, ...] = (
    (CPU, 'ms', lambda rates: rates.cpu_ms),
    (SENT, 'B', lambda rates: rates.carried),
    (READS, 'calls', _calls('read')),
    ('platform writes, those of the apply too', 'calls', _calls('write')),
    (WATCHES, 'calls', _calls('watch')),
)
CRASH: tuple[Row, ...] = (
    ('processor time of its control', 'ms', lambda rates: rates.cpu[0]),
    (SENT, 'B', lambda rates: rates.carried),
)
FEW_ROWS = (READS, WATCHES)


async def run(shown: ledger.Ledger) -> None:
    """Measure with a few that watch."""
    shown.section(f'{SIZES} control processes, {WATCHERS} of a zone watch')
    if not sockets.available():
        shown.note('not run: ss, which counts bytes, is not installed')
        return
    *small, large = SIZES
    measured = await asyncio.gather(
        *(fleet_run.measure(size, WATCHERS) for size in small)
    )
    # The largest alone: together they would wait for one another.
    measured.append(await fleet_run.measure(large, WATCHERS))
    for title, unit, figure in IDLE:
        _sweep(shown, f'idle: {title}', unit, measured, _idle(figure))
    for title, unit, figure in CHANGE:
        _sweep(shown, f'one change: {title}', unit, measured, _change(figure))
    for title, unit, figure in CRASH:
        name = f'one report of a lost server: {title}'
        _sweep(shown, name, unit, measured, _crash(figure))
    for title, times in TIMES:
        _sweep(shown, title, 'ms', measured, times)
    for title, unit, get in PROCESSES:
        _sweep(shown, title, unit, measured, get)


async def run_all_watch(shown: ledger.Ledger) -> None:
    """Measure with all that watch: the platform's calls are of interest."""
    shown.section(f'{ALL_SIZES} control processes, all watch')
    measured = await asyncio.gather(
        *(fleet_run.measure(size, ALL) for size in ALL_SIZES)
    )
    for title, unit, figure in IDLE:
        if title in FEW_ROWS:
            _sweep(shown, f'idle: {title}', unit, measured, _idle(figure))
    for title, unit, figure in CHANGE:
        if title in FEW_ROWS:
            name = f'one change: {title}'
            _sweep(shown, name, unit, measured, _change(figure))


Get = Callable[[Measured], Sequence[float]]


def _sweep(
    shown: ledger.Ledger,
    name: str,
    unit: str,
    measured: Sequence[Measured],
    get: Get,
) -> None:
    points = [fit.Point(one.size, tuple(get(one))) for one in measured]
    shown.sweep(name, unit, PER, points)


def _idle(figure: Figure) -> Get:
    return lambda one: [figure(rates) for rates in one.idle]


def _change(figure: Figure) -> Get:
    """Return what one change added to the idle rates."""
    return lambda one: [
        (figure(rates) - _quiet(one, figure))
        * rates.seconds
        / fleet_run.CHANGES
        for rates in one.changing
    ]


def _crash(figure: Figure) -> Get:
    """Return what one report added to the idle rates."""
    return lambda one: [
        (figure(rates) - _quiet(one, figure)) * rates.seconds
        for rates in one.crashes
    ]


def _quiet(one: Measured, figure: Figure) -> float:
    return statistics.median(figure(rates) for rates in one.idle)


def _quartiles(get: Get) -> Get:
    """Return quartiles over the processes, as repeats of one figure."""
    return lambda one: statistics.quantiles(get(one))


PROCESSES: tuple[tuple[str, str, Get], ...] = (
    (
        'processor time of a control until all are ready',
        'ms',
        _quartiles(lambda one: one.started),
    ),
    (
        'resident memory of a control',
        'MB',
        _quartiles(lambda one: one.resident),
    ),
    (
        'private memory of a control',
        'MB',
        _quartiles(lambda one: one.private),
    ),
)
TIMES: tuple[tuple[str, Get], ...] = (
    (
        'one change: accepted until in force at the last control',
        lambda one: sorted(one.taken_ms),
    ),
    (
        'one change: accepted until it reached the last entry',
        lambda one: sorted(one.entered_ms),
    ),
    (
        'one report of a lost server: until all know',
        lambda one: sorted(one.told_ms),
    ),
)
