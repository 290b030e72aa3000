"""Run a deployment under traffic while something fails, then check it all."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.core import config_data
from beryllug.standins import harness, invariants, sample, traffic

SETTLE_S = 30.0
WARM_REQUESTS = 40
HOSTS = 3


class Running(NamedTuple):
    """A deployment and its traffic, given to what makes things fail.

    Attributes:
        fleet: The deployment.
        traffic: Its traffic.
        marks: Wall-clock seconds that a proof wants to remember.
    """

    fleet: harness.Fleet
    traffic: traffic.Traffic
    marks: dict[str, float]


Fault = Callable[[Running], Awaitable[None]]


class Case(NamedTuple):
    """A scenario.

    Attributes:
        seed: Seed of the traffic.
        fault: Makes things fail and heal while requests are sent.
        plan: The deployment.
        document: Allows whatever any document of the run allowed.
        kinds: Kinds of requests.
        look: Looks at the records of the other side at the end.
    """

    seed: int
    fault: Fault
    plan: harness.Plan = sample.plan(HOSTS)
    document: config_data.Document = sample.document()
    kinds: tuple[str, ...] = traffic.KINDS
    look: Callable[[Running], None] | None = None


async def run(case: Case) -> tuple[invariants.Report, list[traffic.Sent]]:
    """Run a scenario.

    Returns:
        The checked invariants, and every request with what its caller got.
    """
    fleet = harness.Fleet(case.plan)
    sending = traffic.Traffic(fleet, case.seed, case.kinds)
    running = Running(fleet, sending, {})
    try:
        report = await _drive(running, case)
    finally:
        await fleet.stop()
    return report, sending.sent


async def _drive(running: Running, case: Case) -> invariants.Report:
    """Send requests before, during and after the fault, then check."""
    await running.fleet.start()
    running.traffic.start()
    try:
        await running.traffic.reach(WARM_REQUESTS)
        await case.fault(running)
        await running.traffic.reach(WARM_REQUESTS)
    finally:
        sent = await running.traffic.stop()
    await settle(running.fleet)
    if case.look is not None:
        case.look(running)
    return invariants.check(running.fleet, sent, case.document)


async def settle(fleet: harness.Fleet) -> None:
    """Wait until no process owes a row to the journal."""

    async def is_settled() -> bool:  # noqa: WPS430
        owed = await asyncio.gather(
            *(
                _owed(fleet, name)
                for name in fleet.processes.names()
                if name.startswith('entry')
            )
        )
        return not any(owed)

    await harness.wait_for(is_settled, SETTLE_S)


async def _owed(fleet: harness.Fleet, name: str) -> int:
    state = await fleet.dump(name)
    owed: int = state['outbox']['owed'] + state['answers']['owed']
    return owed
