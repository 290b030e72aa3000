"""Runs the soak: ``python -m beryllug.soak.run SEED [COUNT] [ROUTERS]``.

Each seed runs in a deployment of its own. Violations of guarantees are printed
with the seed, the faults and the last log lines of the routers; the command
then exits with code 1.
"""

import asyncio
import functools
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.soak import (
    callers,
    checks,
    components,
    crash_request,
    cutting_fault,
    endless_fault,
    inject,
    odd_writer,
    plan,
    relay_loss,
    site,
)
from beryllug.standins import platform_site

CALLERS = 10
# Callers of the account that floods, one of which sends all the time.
FLOOD_CALLERS = tuple(f'{site.FLOOD_ACCOUNT}-{each}' for each in range(10))
# Seconds after the end of the last fault within which all must have recovered:
# a router that lost the store retries once a second, and ejected servers are
# tested again within four seconds.
RECOVERY_S = 6.0
PROBE_ATTEMPTS = 4
# First seed, number of seeds, and number of routers.
DEFAULTS = (1, 1, 3)


class Result(NamedTuple):
    """The result of a seed.

    Attributes:
        seed: The seed.
        faults: The faults that it determined.
        sent: Number of requests whose callers waited for an answer.
        answered: Number of those that were answered with success.
        crashes: Number of servers that crashed under one request.
        violations: Violated guarantees.
        logs: Last log lines of the routers, by name.
    """

    seed: int
    faults: tuple[plan.Fault, ...]
    sent: int
    answered: int
    crashes: int
    violations: list[str]
    logs: dict[str, str]

    def line(self) -> str:
        """Return the result as one line."""
        return (
            f'seed={self.seed} faults={len(self.faults)} sent={self.sent} '
            f'answered={self.answered} crashes={self.crashes} '
            f'violations={len(self.violations)}'
        )


async def run_seed(seed: int, sizes: plan.Sizes) -> Result:
    """Run one seed and check the observations against the guarantees."""
    zone_cut = plan.draw_zone_cut(seed)
    deployment = site.SoakSite(
        sizes, odd_writer.draw_store(seed), has_two_zones=zone_cut is not None
    )
    faults = plan.draw(seed, sizes)
    for entry in odd_writer.draw_entries(seed):
        if not entry.at_s:
            odd_writer.put(deployment.site.store_behaviour, entry)
    try:
        await deployment.open()
        unrecovered = await _inject_and_probe(deployment, faults, seed)
        logs = _logs(deployment)
    finally:
        await deployment.close()
    deployment.collect()
    observed = deployment.seen
    answered = sum(sent.status == checks.SUCCESS for sent in observed.sent)
    violations = checks.violations(observed) + unrecovered
    return Result(
        seed,
        faults,
        len(observed.sent),
        answered,
        len(observed.crashes),
        violations,
        logs,
    )


def _logs(deployment: site.SoakSite) -> dict[str, str]:
    names = [router.name for router in deployment.site.routers]
    return {name: deployment.running.log(name) for name in names}


async def _inject_and_probe(
    deployment: site.SoakSite, faults: tuple[plan.Fault, ...], seed: int
) -> list[str]:
    balancer = callers.Balancer(deployment)
    tasks = [asyncio.create_task(balancer.run())]
    for number in range(CALLERS):
        caller = callers.Caller(f'c{number}', deployment, balancer, seed)
        tasks.append(asyncio.create_task(caller.run()))
    flooding = [
        callers.Caller(name, deployment, balancer, seed, site.FLOOD_KEY)
        for name in FLOOD_CALLERS
    ]
    usual = flooding.pop()
    tasks.append(asyncio.create_task(usual.run()))
    bad = crash_request.CrashRequest(
        deployment,
        balancer,
        seed,
        is_segment=plan.has_crash_segment(seed),
    )
    try:
        await asyncio.gather(
            _inject_all(deployment, faults, seed),
            bad.run(plan.draw_crash_request(seed)),
            _flood(deployment, flooding, plan.draw_flood(seed)),
            odd_writer.write(deployment, odd_writer.draw_entries(seed)),
        )
        await asyncio.sleep(RECOVERY_S)
        _raise_failures(tasks)
        return await _unrecovered(deployment, balancer, seed)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _flood(
    deployment: site.SoakSite,
    flooding: list[callers.Caller],
    span: plan.Span | None,
) -> None:
    """Let all callers of an account send for some seconds."""
    if span is None:
        return
    await asyncio.sleep(span.at_s)
    tasks = [asyncio.create_task(caller.run()) for caller in flooding]
    try:
        async with deployment.during_fault(components.FLOOD):
            await asyncio.sleep(span.for_s)
        _raise_failures(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _inject_all(
    deployment: site.SoakSite,
    faults: tuple[plan.Fault, ...],
    seed: int,
) -> None:
    injector = inject.Injector(deployment)
    began = time.monotonic()
    injected = [_inject_at(injector.inject, fault, began) for fault in faults]
    zone_cut = plan.draw_zone_cut(seed)
    if zone_cut is not None:
        injected.append(_inject_at(injector.links.cut_zone, zone_cut, began))
    raised_limit_s = plan.draw_raised_limit(seed)
    if raised_limit_s is not None:
        injected.append(_raise_limit(deployment, raised_limit_s))
    loss = plan.draw_relay_loss(seed, deployment.sizes)
    if loss is not None:
        losing = functools.partial(_lose_relay, deployment, injector, loss)
        injected.append(_inject_at(losing, loss.cut, began))
    endless = plan.draw_endless(seed, deployment.sizes)
    if endless is not None:
        joining = functools.partial(_join_endless, deployment, endless)
        injected.append(_inject_at(joining, endless.fault, began))
    cutting = plan.draw_cutting(seed, deployment.sizes)
    if cutting is not None:
        joining = functools.partial(_join_cutting, deployment, cutting)
        injected.append(_inject_at(joining, cutting.fault, began))
    await asyncio.gather(*injected)


async def _raise_limit(deployment: site.SoakSite, at_s: float) -> None:
    await asyncio.sleep(at_s)
    deployment.seen.raised_at = time.monotonic()
    deployment.put_table()


async def _lose_relay(
    deployment: site.SoakSite,
    injector: inject.Injector,
    drawn: plan.RelayLoss,
    _: plan.Fault,
) -> None:
    await relay_loss.inject_loss(deployment, injector, drawn)


async def _join_endless(
    deployment: site.SoakSite, endless: plan.Endless, _: plan.Fault
) -> None:
    await endless_fault.join(deployment, endless)


async def _join_cutting(
    deployment: site.SoakSite, cutting: plan.Cutting, _: plan.Fault
) -> None:
    await cutting_fault.join(deployment, cutting)


async def _inject_at(
    inject_fault: Callable[[plan.Fault], Awaitable[None]],
    fault: plan.Fault,
    began: float,
) -> None:
    await asyncio.sleep(max(began + fault.at_s - time.monotonic(), 0))
    await inject_fault(fault)


def _raise_failures(tasks: list[asyncio.Task[None]]) -> None:
    """Raise the exception of a failed task; no task ends normally."""
    for task in tasks:
        if task.done():
            task.result()


async def _unrecovered(
    deployment: site.SoakSite, balancer: callers.Balancer, seed: int
) -> list[str]:
    """Return the requests that routers don't answer after all faults."""
    unanswered = []
    prober = callers.Caller('probe', deployment, balancer, seed)
    for router in deployment.site.routers:
        for path, method, body in callers.KINDS:
            for _ in range(PROBE_ATTEMPTS):
                sent = prober.new_request(router, path, body)._replace(
                    key=platform_site.KEY
                )
                reply = await prober.send(router, sent, method)
                deployment.seen.sent.append(reply)
                if reply.status == checks.SUCCESS:
                    break
            else:
                unanswered.append(f'healed: {router.name} {path} {reply}')
    return unanswered


def _report(result: Result) -> None:
    sys.stdout.write(f'{result.line()}\n')
    if not result.violations:
        return
    for fault in result.faults:
        sys.stdout.write(f'  {fault}\n')
    for name, log in result.logs.items():
        sys.stdout.write(f'--- {name}\n{log}\n')
    for violation in result.violations:
        sys.stdout.write(f'  {violation}\n')
    sys.stdout.flush()


def main() -> None:
    """Run the seeds given on the command line."""
    arguments = [int(word) for word in sys.argv[1:]]
    first, count, routers = (*arguments, *DEFAULTS[len(arguments) :])
    sizes = plan.Sizes(routers=routers)
    failed = []
    for seed in range(first, first + count):
        result = asyncio.run(run_seed(seed, sizes))
        _report(result)
        if result.violations:
            failed.append(seed)
    sys.stdout.write(f'{count - len(failed)} passed, {len(failed)} failed\n')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
