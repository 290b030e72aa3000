"""Runs a deployment under traffic, injects a fault and checks invariants."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.core import config_data
from beryllug.standins import harness, invariants, sample, traffic

SETTLE_TIMEOUT_S = 30.0
WARM_UP_REQUESTS = 40
HOSTS = 3


class Deployment(NamedTuple):
    """An active deployment and its traffic, passed to fault functions.

    Attributes:
        fleet: Its processes and stand-ins.
        traffic: Its traffic generator.
        timestamps: Wall-clock times in seconds, recorded by a test by name.
    """

    fleet: harness.Fleet
    traffic: traffic.Traffic
    timestamps: dict[str, float]


Fault = Callable[[Deployment], Awaitable[None]]


class Case(NamedTuple):
    """A test scenario.

    Attributes:
        seed: Seed of the traffic generator.
        fault: Injects a fault and reverts it while requests are sent.
        plan: Plan of the deployment.
        document: Allows every version that any document of the run allowed.
        kinds: Kinds of requests to send.
        inspect: Reads the records of the stand-ins after the run.
    """

    seed: int
    fault: Fault
    plan: harness.Plan = sample.plan(HOSTS)
    document: config_data.Document = sample.document()
    kinds: tuple[str, ...] = traffic.KINDS
    inspect: Callable[[Deployment], None] | None = None


async def run(case: Case) -> tuple[invariants.Report, list[traffic.Sent]]:
    """Run a scenario.

    Returns:
        The result of the invariant checks, and every request with its reply.
    """
    fleet = harness.Fleet(case.plan)
    generator = traffic.Traffic(fleet, case.seed, case.kinds)
    deployment = Deployment(fleet, generator, {})
    try:
        report = await _run_phases(deployment, case)
    finally:
        await fleet.stop()
    return report, generator.sent


async def _run_phases(deployment: Deployment, case: Case) -> invariants.Report:
    """Send requests before, during and after the fault, then check."""
    await deployment.fleet.start()
    deployment.traffic.start()
    try:
        await _wait_for_requests(deployment)
        await case.fault(deployment)
        await _wait_for_requests(deployment)
    finally:
        sent = await deployment.traffic.stop()
    await settle(deployment.fleet)
    if case.inspect is not None:
        case.inspect(deployment)
    return invariants.check(deployment.fleet, sent, case.document)


async def _wait_for_requests(deployment: Deployment) -> None:
    """Wait until some more requests have completed.

    Raises:
        TimeoutError: They did not in time; the message contains the end of each
            process's log.
    """
    try:
        await deployment.traffic.wait_for_requests(WARM_UP_REQUESTS)
    except TimeoutError as exc:
        processes = deployment.fleet.processes
        logs = [f'{name}: {processes.log(name)}' for name in processes.names()]
        completed = len(deployment.traffic.sent)
        raise TimeoutError('\n'.join((f'{completed=}', *logs))) from exc


async def settle(fleet: harness.Fleet) -> None:
    """Wait until every entry process has written its rows to the journal."""

    async def is_settled() -> bool:  # noqa: WPS430
        unwritten = await asyncio.gather(
            *(
                _unwritten_rows(fleet, name)
                for name in fleet.processes.names()
                if name.startswith('entry')
            )
        )
        return not any(unwritten)

    await harness.wait_for(is_settled, SETTLE_TIMEOUT_S)


async def _unwritten_rows(fleet: harness.Fleet, name: str) -> int:
    state = await fleet.dump(name)
    unwritten: int = state['outbox']['owed'] + state['answers']['owed']
    return unwritten
