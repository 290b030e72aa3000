"""Simulates a seeded load on eight entry hosts and model servers."""

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

PREFIX_CACHE_SIZE = 40
REPORT_EVERY_S = 0.5
REPORT_LAG_S = 0.5
WARM_UP_S = 20.0
DRAIN_S = 40.0

Disturbance = Callable[[entry_host.Simulation], None]


class Run(NamedTuple):
    """Parameters of one run.

    Attributes:
        deployment: The deployment.
        policy: The policy under test.
        load: Arrival rate relative to the capacity of the deployment.
        seconds: Length of the measured window.
        seed: Seed of the load.
        disturb: Schedules faults on the virtual clock, or None.
        flood: Factor on the first account's rate in the window.
        warm_up: Length of the warm-up before the window.
    """

    deployment: deployments.Deployment
    policy: entry_host.Policy
    load: float
    seconds: float = 120.0
    seed: int = 1
    disturb: Disturbance | None = None
    flood: float = 1.0
    warm_up: float = WARM_UP_S


def replay(run: Run) -> entry_host.Simulation:
    """Run a load to its end and return the final simulation state."""
    until = run.warm_up + run.seconds
    simulation = _new_simulation(
        run.deployment, recorder.Recorder(run.warm_up, until)
    )
    simulation.hosts = [
        entry_host.EntryHost(
            simulation,
            f'entry-{number}',
            run.deployment.zones[number % len(run.deployment.zones)],
            run.policy,
        )
        for number in range(deployments.ENTRIES)
    ]
    rate = workload.Rate(
        run.load * deployments.capacity(run.deployment),
        # The load continues after the window; otherwise requests refused
        # in it would be retried on an idle deployment.
        until + DRAIN_S,
        run.flood,
        run.warm_up,
    )
    source = workload.requests(run.deployment.kinds, rate, run.seed)
    balancer = random.Random(run.seed)
    if run.disturb is not None:
        run.disturb(simulation)
    _report_loads(simulation)
    for req in source:
        simulation.clock.run(req.at)
        balancer.choice(simulation.hosts).take(req)
    simulation.clock.run(until + DRAIN_S)
    return simulation


def _new_simulation(
    deployment: deployments.Deployment, recording: recorder.Recorder
) -> entry_host.Simulation:
    time = clock.Clock()
    slots = {
        pool.name: pool.concurrency for pool in deployment.view.document.pools
    }
    engines = {
        server.server_id: engine.Engine(
            time, slots[server.pool], PREFIX_CACHE_SIZE
        )
        for server in deployment.view.servers
    }
    targets = {
        target.request_class: target
        for target in deployment.view.document.targets
    }
    return entry_host.Simulation(time, deployment, engines, recording, targets)


def _report_loads(simulation: entry_host.Simulation) -> None:
    """Sample the load of every engine, deliver it after a lag and repeat."""
    loads = tuple(
        view_data.ServerLoad(
            server.server_id,
            len(simulation.engines[server.server_id].running),
            len(simulation.engines[server.server_id].queue),
            simulation.clock.now,
        )
        for server in simulation.deployment.view.servers
        if server.pool == deployments.RUNNERS
    )
    for host in simulation.hosts:
        simulation.clock.call_later(REPORT_LAG_S, host.report, loads)
    simulation.clock.call_later(REPORT_EVERY_S, _report_loads, simulation)
