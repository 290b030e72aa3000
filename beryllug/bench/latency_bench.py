"""Latency under load, with a slow server and with a flooding account.

Ratios compare with round robin and least connections under the same load and
admission control, or with an undisturbed run of the same policy. Desk calls,
which plain services answer, and questions, which model engines answer, are
reported separately.
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
FLOOD_FACTOR = 5.0
FLOOD_LOAD = 0.7
SLOW_LOAD = 0.5
SLOWDOWN = 10.0
SLOW_AT = 40.0
PERCENTILES = (95, 99)
MIN_GOOD_FRACTION = 0.01

LEAST_COST = entry_host.Policy()
BASELINES = (
    ('round robin', entry_host.Policy(balance_data.RoundRobin())),
    ('least connections', entry_host.Policy(balance_data.LeastConnections())),
)
NO_ADMISSION = (
    'round robin, all admitted',
    entry_host.Policy(balance_data.RoundRobin(), admission=False),
)


class Scale(NamedTuple):
    """Size of the benchmark; unit tests use a smaller one."""

    seconds: float = FULL_SECONDS
    loads: tuple[float, ...] = FULL_LOADS
    seeds: tuple[int, ...] = FULL_SEEDS


FULL = Scale()


def run(figures: report.Report, scale: Scale = FULL) -> list[str]:
    """Run the benchmark and return its violated bounds."""
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
    policy_runs = [
        _replay(replay.Run(deployment, LEAST_COST, load, scale.seconds))
    ]
    _absolute(figures, policy_runs)
    for name, policy in (*BASELINES, NO_ADMISSION):
        reference = _replay(replay.Run(deployment, policy, load, scale.seconds))
        _compare(figures, policy_runs, [reference], name)
    counts = recorder.total(policy_runs)
    figures.declared('longest refusal s', counts.longest_refusal_s)


def _slow_server(
    figures: report.Report,
    deployment: deployments.Deployment,
    scale: Scale,
) -> None:
    quiet = replay.Run(deployment, LEAST_COST, SLOW_LOAD, scale.seconds)
    slow = quiet._replace(disturb=slow_server)
    policy_runs = [_replay(slow)]
    _absolute(figures, policy_runs)
    _compare(figures, policy_runs, [_replay(quiet)], 'quiet run')
    for name, policy in BASELINES:
        reference = _replay(slow._replace(policy=policy))
        _compare(figures, policy_runs, [reference], name)


def slow_server(simulation: entry_host.Simulation) -> None:
    """Schedule a tenfold slowdown of one server in each pool."""
    simulation.clock.call_later(SLOW_AT, _slow_down, simulation)


def _slow_down(simulation: entry_host.Simulation) -> None:
    for pool in (deployments.RUNNERS, workload.PLAIN):
        simulation.engines[f'{pool}-1'].slowdown = SLOWDOWN


def _flood(
    figures: report.Report,
    deployment: deployments.Deployment,
    scale: Scale,
) -> None:
    """Compare the other accounts with an undisturbed run, for all seeds."""
    quiet = replay.Run(deployment, LEAST_COST, FLOOD_LOAD, scale.seconds)
    quiet_runs = [_replay(quiet._replace(seed=seed)) for seed in scale.seeds]
    flood_runs = [
        _replay(quiet._replace(seed=seed, flood=FLOOD_FACTOR))
        for seed in scale.seeds
    ]
    for group, classes in GROUPS:
        for percent in PERCENTILES:
            before = recorder.percentile_ms(
                quiet_runs, percent, classes, OTHERS
            )
            after = recorder.percentile_ms(flood_runs, percent, classes, OTHERS)
            figures.declared(
                f"others' {group} p{percent} over quiet run", after / before
            )
        good = _good_fraction(flood_runs, classes, OTHERS) / _good_fraction(
            quiet_runs, classes, OTHERS
        )
        figures.declared(f"others' {group} good over quiet run", good)


def _absolute(
    figures: report.Report, policy_runs: list[recorder.Recorder]
) -> None:
    for group, classes in GROUPS:
        for percent in PERCENTILES:
            taken_ms = recorder.percentile_ms(policy_runs, percent, classes)
            figures.declared(f'{group} p{percent} ms', taken_ms)
        figures.declared(f'{group} good', _good_fraction(policy_runs, classes))
    figures.declared('report good', _good_fraction(policy_runs, REPORTS))


def _compare(
    figures: report.Report,
    policy_runs: list[recorder.Recorder],
    reference_runs: list[recorder.Recorder],
    name: str,
) -> None:
    for group, classes in GROUPS:
        for percent in PERCENTILES:
            policy_ms = recorder.percentile_ms(policy_runs, percent, classes)
            reference_ms = recorder.percentile_ms(
                reference_runs, percent, classes
            )
            figures.declared(
                f'{group} p{percent} over {name}', policy_ms / reference_ms
            )
        good = _good_fraction(policy_runs, classes) / max(
            _good_fraction(reference_runs, classes), MIN_GOOD_FRACTION
        )
        figures.declared(f'{group} good over {name}', good)


def _good_fraction(
    recorders: list[recorder.Recorder],
    classes: frozenset[str],
    accounts: frozenset[int] | None = None,
) -> float:
    counts = recorder.total(recorders, classes, accounts)
    return counts.good / counts.offered


def _replay(plan: replay.Run) -> recorder.Recorder:
    return replay.replay(plan).recording
