"""Demo of routers on loopback with a simulated platform: ``make demo-router``.

It starts the platform stand-ins and two router processes, and sends one request
of each kind to each router. The exit code is 0 only if all succeed.
"""

import asyncio
import sys
from typing import NamedTuple

from beryllug.standins import platform_site, processes

ROUTERS = 2
MAX_SHOWN_CHARS = 72
OK = 200


class Step(NamedTuple):
    """One request of the demo: title, method and path."""

    title: str
    method: str
    path: str


STEPS = (
    Step('a lookup, which may run twice', 'GET', '/lookup/slot'),
    Step('a hold, which runs once at most', 'POST', '/hold/slot'),
    Step('a draft, by the size of model that suffices', 'POST', '/draft/week'),
    Step('a report, by the model that is named', 'POST', '/report/car'),
)


def main() -> None:
    """Run the demo."""
    sys.exit(asyncio.run(_run()))


async def _run() -> int:
    site = platform_site.Site()
    running = processes.Processes()
    try:
        await _start(site, running)
        succeeded = [
            await _run_step(site, router, step)
            for router in site.routers
            for step in STEPS
        ]
    finally:
        await running.stop()
        await site.close()
    sys.stdout.write(f'{sum(succeeded)} of {len(succeeded)} answered\n')
    return 0 if all(succeeded) else 1


async def _start(
    site: platform_site.Site, running: processes.Processes
) -> None:
    await site.open()
    for instance in ('runner-1', 'runner-2'):
        await site.add_runner(platform_site.POOL, instance)
    await site.add_runner(platform_site.DESK, 'desk-1')
    for _ in range(ROUTERS):
        await site.spawn_router(running)


async def _run_step(
    site: platform_site.Site, router: platform_site.Router, step: Step
) -> bool:
    reply = await site.ask(router, step.path, step.method)
    text = reply.body.decode(errors='replace').replace('\n', ' ')
    sys.stdout.write(f'{router.name}: {step.title}\n')
    sys.stdout.write(f'  {reply.status} {text[:MAX_SHOWN_CHARS]}\n')
    return reply.status == OK


if __name__ == '__main__':
    main()
