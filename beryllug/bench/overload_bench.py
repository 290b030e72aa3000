"""Goodput above capacity, and during and after a full outage of a pool.

Goodput is the number of answers within their target per second. Above capacity
it must stay near its peak; a router that admits every request would answer none
in time. During an outage attempts per request must stay near one, and after it
the backlog must not keep the pool overloaded.
"""

from typing import NamedTuple

from beryllug.bench import (
    deployments,
    engine,
    entry_host,
    recorder,
    replay,
    report,
)
from beryllug.core import balance_data

FULL_LOADS = (0.8, 1.0, 1.3, 2.0, 3.0)
FULL_SECONDS = 60.0
OUTAGE_LOAD = 0.8
OUTAGE_AT = 40.0
OUTAGE_S = 20.0
RECOVERY_S = 20.0

LEAST_COST = entry_host.Policy()
RETRY_STORM = entry_host.Policy(
    balance_data.RoundRobin(), admission=False, retries=False
)


class Scale(NamedTuple):
    """Size of the benchmark; unit tests use a smaller one."""

    seconds: float = FULL_SECONDS
    loads: tuple[float, ...] = FULL_LOADS


FULL = Scale()


def run(figures: report.Report, scale: Scale = FULL) -> list[str]:
    """Run the benchmark and return its violated bounds."""
    for deployment in deployments.load():
        figures.section(f'{deployment.name} above capacity')
        _goodput(figures, deployment, scale)
        figures.section(f'{deployment.name}, every model engine down for 20 s')
        _outage(figures, deployment)
    return figures.broken()


def _goodput(
    figures: report.Report,
    deployment: deployments.Deployment,
    scale: Scale,
) -> None:
    good = []
    for load in scale.loads:
        plan = replay.Run(deployment, LEAST_COST, load, scale.seconds)
        counts = recorder.total([replay.replay(plan).recording])
        good.append(counts.good / scale.seconds)
        figures.figure(f'good answers a second at {load}', good[-1])
        figures.declared(
            f'longest refusal s at {load}', counts.longest_refusal_s
        )
    figures.declared('goodput at the top over its peak', good[-1] / max(good))


def _outage(figures: report.Report, deployment: deployments.Deployment) -> None:
    during_outage = replay.Run(
        deployment,
        LEAST_COST,
        OUTAGE_LOAD,
        OUTAGE_S,
        disturb=outage,
        warm_up=OUTAGE_AT,
    )
    recovery = during_outage._replace(
        warm_up=OUTAGE_AT + OUTAGE_S, seconds=RECOVERY_S
    )
    quiet = recovery._replace(disturb=None)
    quiet_counts = _engine_counts(quiet)
    for name, policy in (('', LEAST_COST), ('storm ', RETRY_STORM)):
        outage_counts = _engine_counts(during_outage._replace(policy=policy))
        recovery_counts = _engine_counts(recovery._replace(policy=policy))
        _attempts(
            figures, f'{name}attempts a request in the outage', outage_counts
        )
        _attempts(
            figures, f'{name}attempts a request after it', recovery_counts
        )
        figures.declared(
            f'{name}good after it over quiet run',
            recovery_counts.good / quiet_counts.good,
        )
        figures.declared(
            f'{name}longest refusal s', outage_counts.longest_refusal_s
        )


def _attempts(
    figures: report.Report, name: str, counts: recorder.Counts
) -> None:
    figures.declared(name, counts.attempts / max(counts.tried, 1))


def outage(simulation: entry_host.Simulation) -> None:
    """Schedule a crash of every model engine and a simultaneous restart."""
    engines = [
        server
        for name, server in simulation.engines.items()
        if name.startswith(deployments.RUNNERS)
    ]
    for server in engines:
        simulation.clock.call_later(OUTAGE_AT, engine.crash, server)
        simulation.clock.call_later(
            OUTAGE_AT + OUTAGE_S, engine.restart, server
        )


def _engine_counts(plan: replay.Run) -> recorder.Counts:
    simulation = replay.replay(plan)
    classes = frozenset(
        kind.request_class for kind in plan.deployment.kinds if not kind.plain
    )
    return recorder.total([simulation.recording], classes)
