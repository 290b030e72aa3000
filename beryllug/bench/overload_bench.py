"""Goodput far above capacity, and a full outage of a pool with its return.

Goodput is answers within their target a second. Above capacity it must stay
near its peak: a router that takes everything answers nothing in time. In an
outage the attempts a request stay near one, and after it the pool must not be
held down by what piled up.
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
BACK_S = 20.0

LEAST_COST = entry_host.Policy()
STORM = entry_host.Policy(
    balance_data.RoundRobin(), admission=False, retries=False
)


class Scale(NamedTuple):
    """How much is run: all of it, or a short form for the unit tests."""

    seconds: float = FULL_SECONDS
    loads: tuple[float, ...] = FULL_LOADS


FULL = Scale()


def run(figures: report.Report, scale: Scale = FULL) -> list[str]:
    """Run the benchmark and return its broken bounds."""
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
        counts = recorder.total([replay.replay(plan).seen])
        good.append(counts.good / scale.seconds)
        figures.figure(f'good answers a second at {load}', good[-1])
        figures.declared(
            f'longest refusal s at {load}', counts.longest_refusal_s
        )
    figures.declared('goodput at the top over its peak', good[-1] / max(good))


def _outage(figures: report.Report, deployment: deployments.Deployment) -> None:
    down = replay.Run(
        deployment,
        LEAST_COST,
        OUTAGE_LOAD,
        OUTAGE_S,
        disturb=outage,
        warm_up=OUTAGE_AT,
    )
    back = down._replace(warm_up=OUTAGE_AT + OUTAGE_S, seconds=BACK_S)
    quiet = back._replace(disturb=None)
    calm = _engine_counts(quiet)
    for name, policy in (('', LEAST_COST), ('storm ', STORM)):
        during = _engine_counts(down._replace(policy=policy))
        after = _engine_counts(back._replace(policy=policy))
        _attempts(figures, f'{name}attempts a request in the outage', during)
        _attempts(figures, f'{name}attempts a request after it', after)
        figures.declared(
            f'{name}good after it over quiet run', after.good / calm.good
        )
        figures.declared(f'{name}longest refusal s', during.longest_refusal_s)


def _attempts(
    figures: report.Report, name: str, counts: recorder.Counts
) -> None:
    figures.declared(name, counts.attempts / max(counts.tried, 1))


def outage(world: entry_host.World) -> None:
    """Lose every model engine, and get all of them back together."""
    engines = [
        one
        for name, one in world.engines.items()
        if name.startswith(deployments.RUNNERS)
    ]
    for one in engines:
        world.clock.after(OUTAGE_AT, engine.crash, one)
        world.clock.after(OUTAGE_AT + OUTAGE_S, engine.restart, one)


def _engine_counts(plan: replay.Run) -> recorder.Counts:
    world = replay.replay(plan)
    classes = frozenset(
        kind.request_class for kind in plan.deployment.kinds if not kind.plain
    )
    return recorder.total([world.seen], classes)
