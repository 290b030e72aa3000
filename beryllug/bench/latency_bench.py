"""Latency of lookups and holds under load, a slow server and a flood.

Ratios are to round robin and to least connections over the same load, with the
same admission, or to the same policy's quiet run. Two groups are kept apart:
desk calls, which plain services answer, and questions, which model engines
answer.
"""

from typing import NamedTuple

from beryllug.bench import (
    deployments,
    entry_host,
    recorder,
    replay,
    report,
    workload,
)
from beryllug.core import balance_data

GROUPS = (
    ('desk', frozenset(('lookup', 'hold'))),
    ('question', frozenset(('question',))),
)
REPORTS = frozenset(('report',))
OTHERS = frozenset(range(1, workload.ACCOUNTS))
FULL_LOADS = (0.5, 0.8, 1.0, 1.3)
FULL_SECONDS = 100.0
FULL_SEEDS = (1, 2, 3)
FLOOD = 5.0
FLOOD_LOAD = 0.7
SLOW_LOAD = 0.5
SLOW_PACE = 10.0
SLOW_AT = 40.0
PERCENTILES = (95, 99)
LEAST_GOOD = 0.01

LEAST_COST = entry_host.Policy()
BASELINES = (
    ('round robin', entry_host.Policy(balance_data.RoundRobin())),
    ('least connections', entry_host.Policy(balance_data.LeastConnections())),
)
UNLIMITED = (
    'round robin, all admitted',
    entry_host.Policy(balance_data.RoundRobin(), admission=False),
)


class Scale(NamedTuple):
    """How much is run: all of it, or a short form for the unit tests."""

    seconds: float = FULL_SECONDS
    loads: tuple[float, ...] = FULL_LOADS
    seeds: tuple[int, ...] = FULL_SEEDS


FULL = Scale()


def run(figures: report.Report, scale: Scale = FULL) -> list[str]:
    """Run the benchmark and return its broken bounds."""
    for deployment in deployments.load():
        for load in scale.loads:
            figures.section(f'{deployment.name} at {load} of capacity')
            _at_load(figures, deployment, load, scale)
        figures.section(f'{deployment.name}, one server ten times slower')
        _slow_server(figures, deployment, scale)
        figures.section(f'{deployment.name}, one account at five times')
        _flood(figures, deployment, scale)
    return figures.broken()


def _at_load(
    figures: report.Report,
    deployment: deployments.Deployment,
    load: float,
    scale: Scale,
) -> None:
    ours = [_seen(replay.Run(deployment, LEAST_COST, load, scale.seconds))]
    _absolute(figures, ours)
    for name, policy in (*BASELINES, UNLIMITED):
        theirs = _seen(replay.Run(deployment, policy, load, scale.seconds))
        _compare(figures, ours, [theirs], name)
    counts = recorder.total(ours)
    figures.declared('longest refusal s', counts.longest_refusal_s)


def _slow_server(
    figures: report.Report,
    deployment: deployments.Deployment,
    scale: Scale,
) -> None:
    quiet = replay.Run(deployment, LEAST_COST, SLOW_LOAD, scale.seconds)
    slow = quiet._replace(disturb=slow_server)
    ours = [_seen(slow)]
    _absolute(figures, ours)
    _compare(figures, ours, [_seen(quiet)], 'quiet run')
    for name, policy in BASELINES:
        theirs = _seen(slow._replace(policy=policy))
        _compare(figures, ours, [theirs], name)


def slow_server(world: entry_host.World) -> None:
    """Make one server of each pool ten times slower from a second on."""
    world.clock.after(SLOW_AT, _slow_down, world)


def _slow_down(world: entry_host.World) -> None:
    for pool in (deployments.RUNNERS, workload.PLAIN):
        world.engines[f'{pool}-1'].pace = SLOW_PACE


def _flood(
    figures: report.Report,
    deployment: deployments.Deployment,
    scale: Scale,
) -> None:
    """Compare the other accounts with their quiet run, over some seeds."""
    quiet = replay.Run(deployment, LEAST_COST, FLOOD_LOAD, scale.seconds)
    calm = [_seen(quiet._replace(seed=seed)) for seed in scale.seeds]
    rough = [
        _seen(quiet._replace(seed=seed, flood=FLOOD)) for seed in scale.seeds
    ]
    for group, classes in GROUPS:
        for percent in PERCENTILES:
            before = recorder.percentile_ms(calm, percent, classes, OTHERS)
            after = recorder.percentile_ms(rough, percent, classes, OTHERS)
            figures.declared(
                f"others' {group} p{percent} over quiet run", after / before
            )
        good = _good(rough, classes, OTHERS) / _good(calm, classes, OTHERS)
        figures.declared(f"others' {group} good over quiet run", good)


def _absolute(figures: report.Report, ours: list[recorder.Recorder]) -> None:
    for group, classes in GROUPS:
        for percent in PERCENTILES:
            taken_ms = recorder.percentile_ms(ours, percent, classes)
            figures.declared(f'{group} p{percent} ms', taken_ms)
        figures.declared(f'{group} good', _good(ours, classes))
    figures.declared('report good', _good(ours, REPORTS))


def _compare(
    figures: report.Report,
    ours: list[recorder.Recorder],
    theirs: list[recorder.Recorder],
    name: str,
) -> None:
    for group, classes in GROUPS:
        for percent in PERCENTILES:
            mine = recorder.percentile_ms(ours, percent, classes)
            other = recorder.percentile_ms(theirs, percent, classes)
            figures.declared(f'{group} p{percent} over {name}', mine / other)
        good = _good(ours, classes) / max(_good(theirs, classes), LEAST_GOOD)
        figures.declared(f'{group} good over {name}', good)


def _good(
    seen: list[recorder.Recorder],
    classes: frozenset[str],
    accounts: frozenset[int] | None = None,
) -> float:
    counts = recorder.total(seen, classes, accounts)
    return counts.good / counts.offered


def _seen(plan: replay.Run) -> recorder.Recorder:
    return replay.replay(plan).seen
