"""Routers that forward answers without a length, and are killed meanwhile."""

import asyncio

from beryllug.platform import store
from beryllug.soak import components, inject, plan, site
from beryllug.standins import platform_site, unframed_server

INSTANCE = 'unframed'
SERVERS = 3
HOST = '127.0.0.1'
# Make streams last long enough for a kill in their middle.
EVENT_S = 0.1
KILL_INTERVAL_S = 1.0
ANSWER = unframed_server.Answer(
    is_stream=True, pause_s=EVENT_S, events=site.EVENTS, names_model=True
)


async def inject_loss(
    deployment: site.SoakSite, injector: inject.Injector, drawn: plan.RelayLoss
) -> None:
    """List such servers, cut a router off, and kill those that help it."""
    servers = [unframed_server.UnframedServer(ANSWER) for _ in range(SERVERS)]
    for number, server in enumerate(servers):
        spec = {
            'service': platform_site.POOL,
            'address': await server.start(HOST),
            'zone': platform_site.ZONE,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'born': 0,
            'cold_remaining_ms': 0,
        }
        deployment.site.store_behaviour.put(
            store.SERVERS, f'{INSTANCE}-{number}', spec
        )
    await asyncio.gather(
        injector.links.cut_one(drawn.cut), _kill(injector, drawn)
    )
    async with deployment.during_fault(components.SERVERS):
        for number, _ in enumerate(servers):
            deployment.remove_entry(f'{INSTANCE}-{number}')
        await asyncio.gather(*(each.stop() for each in servers))


async def _kill(injector: inject.Injector, drawn: plan.RelayLoss) -> None:
    for number in drawn.killed:
        await asyncio.sleep(KILL_INTERVAL_S)
        await injector.inject(
            plan.Fault(drawn.cut.at_s, plan.Kind.KILL, number, 0)
        )
