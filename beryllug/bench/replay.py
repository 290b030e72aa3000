"""One run: a seeded load through eight entry hosts and the fake servers."""

import random
from collections.abc import Callable
from typing import NamedTuple

from beryllug.bench import (
    clock,
    deployments,
    engine,
    entry_host,
    recorder,
    workload,
)
from beryllug.core import view_data

CACHED_PREFIXES = 40
REPORT_EVERY_S = 0.5
REPORT_LAG_S = 0.5
WARM_UP_S = 20.0
DRAIN_S = 40.0

Disturb = Callable[[entry_host.World], None]


class Run(NamedTuple):
    """What one run is made of.

    Attributes:
        deployment: The deployment.
        policy: The policy under test.
        load: Arrivals over the deployment's capacity.
        seconds: Length of the measured window.
        seed: Seed of the load.
        disturb: Plans faults on the world's clock, or None.
        flood: Factor on the first account's requests in the window.
        warm_up: Length of the run before the window.
    """

    deployment: deployments.Deployment
    policy: entry_host.Policy
    load: float
    seconds: float = 120.0
    seed: int = 1
    disturb: Disturb | None = None
    flood: float = 1.0
    warm_up: float = WARM_UP_S


def replay(run: Run) -> entry_host.World:
    """Run a load to its end and return the world it leaves."""
    until = run.warm_up + run.seconds
    world = _world(run.deployment, recorder.Recorder(run.warm_up, until))
    world.hosts = [
        entry_host.EntryHost(
            world,
            f'entry-{number}',
            run.deployment.zones[number % len(run.deployment.zones)],
            run.policy,
        )
        for number in range(deployments.ENTRIES)
    ]
    rate = workload.Rate(
        run.load * deployments.capacity(run.deployment),
        # The load goes on after the window, or what was refused in it would
        # come back to an idle deployment.
        until + DRAIN_S,
        run.flood,
        run.warm_up,
    )
    source = workload.requests(run.deployment.kinds, rate, run.seed)
    balancer = random.Random(run.seed)
    if run.disturb is not None:
        run.disturb(world)
    _report(world)
    for req in source:
        world.clock.run(req.at)
        balancer.choice(world.hosts).take(req)
    world.clock.run(until + DRAIN_S)
    return world


def _world(
    deployment: deployments.Deployment, seen: recorder.Recorder
) -> entry_host.World:
    time = clock.Clock()
    slots = {
        pool.name: pool.concurrency for pool in deployment.view.document.pools
    }
    engines = {
        server.server_id: engine.Engine(
            time, slots[server.pool], CACHED_PREFIXES
        )
        for server in deployment.view.servers
    }
    targets = {
        target.request_class: target
        for target in deployment.view.document.targets
    }
    return entry_host.World(time, deployment, engines, seen, targets)


def _report(world: entry_host.World) -> None:
    """Measure every engine's load now, deliver it later, and go on."""
    loads = tuple(
        view_data.ServerLoad(
            server.server_id,
            len(world.engines[server.server_id].running),
            len(world.engines[server.server_id].queue),
            world.clock.now,
        )
        for server in world.deployment.view.servers
        if server.pool == deployments.RUNNERS
    )
    for host in world.hosts:
        world.clock.after(REPORT_LAG_S, host.report, loads)
    world.clock.after(REPORT_EVERY_S, _report, world)
