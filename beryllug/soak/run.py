"""Runs the soak: ``python -m beryllug.soak.run SEED [COUNT] [ROUTERS]``.

Each seed is a deployment of its own. What breaks a promise is printed with
the seed, the faults and the last lines of the routers; the command then ends
with code 1.
"""

import asyncio
import sys
import time
from typing import NamedTuple

from beryllug.soak import callers, checks, inject, plan, site
from beryllug.standins import platform_site

CALLERS = 10
# Seconds after the last fault's end in which all must be well again: a store
# that lost a router is tried once a second, ejected servers are tested again
# within four.
HEALS_S = 6.0
TRIES = 4
# First seed, number of seeds and number of routers.
DEFAULTS = (1, 1, 3)


class Result(NamedTuple):
    """What a seed gave.

    Attributes:
        seed: The seed.
        faults: What was drawn.
        sent: Requests whose callers waited for an answer.
        answered: Those of them that were answered with success.
        breaches: Broken promises.
        logs: Last lines of the routers, by name.
    """

    seed: int
    faults: tuple[plan.Fault, ...]
    sent: int
    answered: int
    breaches: list[str]
    logs: dict[str, str]

    def line(self) -> str:
        """Return the result in a line."""
        return (
            f'seed={self.seed} faults={len(self.faults)} sent={self.sent} '
            f'answered={self.answered} violations={len(self.breaches)}'
        )


async def run_seed(seed: int, sizes: plan.Sizes) -> Result:
    """Run one seed and hold what was seen against the promises."""
    made = site.SoakSite(sizes)
    faults = plan.draw(seed, sizes)
    try:
        await made.open()
        unhealed = await _play(made, faults, seed)
        logs = _logs(made)
    finally:
        await made.close()
    made.collect()
    found = made.seen
    answered = sum(sent.status == checks.ANSWERED for sent in found.sent)
    breaches = checks.breaches(found) + unhealed
    return Result(seed, faults, len(found.sent), answered, breaches, logs)


def _logs(made: site.SoakSite) -> dict[str, str]:
    names = [router.name for router in made.site.routers]
    return {name: made.running.log(name) for name in names}


async def _play(
    made: site.SoakSite, faults: tuple[plan.Fault, ...], seed: int
) -> list[str]:
    balancer = callers.Balancer(made)
    tasks = [asyncio.create_task(balancer.run())]
    for number in range(CALLERS):
        caller = callers.Caller(f'c{number}', made, balancer, seed)
        tasks.append(asyncio.create_task(caller.run()))
    try:
        await _inject_all(made, faults)
        await asyncio.sleep(HEALS_S)
        _raise_failures(tasks)
        return await _unhealed(made, balancer, seed)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _inject_all(
    made: site.SoakSite, faults: tuple[plan.Fault, ...]
) -> None:
    injector = inject.Injector(made)
    began = time.monotonic()
    await asyncio.gather(
        *(_inject_at(injector, fault, began) for fault in faults)
    )


async def _inject_at(
    injector: inject.Injector, fault: plan.Fault, began: float
) -> None:
    await asyncio.sleep(max(began + fault.at_s - time.monotonic(), 0))
    await injector.inject(fault)


def _raise_failures(tasks: list[asyncio.Task[None]]) -> None:
    """Raise what ended a caller; none ends by itself."""
    for task in tasks:
        if task.done():
            task.result()


async def _unhealed(
    made: site.SoakSite, balancer: callers.Balancer, seed: int
) -> list[str]:
    """Return what is not answered by a router though all is well again."""
    found = []
    prober = callers.Caller('probe', made, balancer, seed)
    for router in made.site.routers:
        for path, method, body in callers.KINDS:
            for _ in range(TRIES):
                sent = prober.sent(router, path, body)._replace(
                    key=platform_site.KEY
                )
                ended = await prober.send(router, sent, method)
                made.seen.sent.append(ended)
                if ended.status == checks.ANSWERED:
                    break
            else:
                found.append(f'healed: {router.name} {path} {ended}')
    return found


def _report(result: Result) -> None:
    sys.stdout.write(f'{result.line()}\n')
    if not result.breaches:
        return
    for fault in result.faults:
        sys.stdout.write(f'  {fault}\n')
    for name, log in result.logs.items():
        sys.stdout.write(f'--- {name}\n{log}\n')
    for breach in result.breaches:
        sys.stdout.write(f'  {breach}\n')
    sys.stdout.flush()


def main() -> None:
    """Run the seeds that the command line names."""
    given = [int(word) for word in sys.argv[1:]]
    first, count, routers = (*given, *DEFAULTS[len(given) :])
    sizes = plan.Sizes(routers=routers)
    failed = []
    for seed in range(first, first + count):
        result = asyncio.run(run_seed(seed, sizes))
        _report(result)
        if result.breaches:
            failed.append(seed)
    sys.stdout.write(f'{count - len(failed)} passed, {len(failed)} failed\n')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
