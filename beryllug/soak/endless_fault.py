"""A server that joins and never ends an answer."""

import asyncio

from beryllug.platform import store
from beryllug.soak import components, plan, site
from beryllug.standins import endless_server, platform_site

INSTANCE = 'endless'


async def join(deployment: site.SoakSite, drawn: plan.Endless) -> None:
    """List such a server for some seconds; it counts as a faulty one."""
    server = endless_server.EndlessProcess(
        endless_server.Form(drawn.form), drawn.pause_s
    )
    address = await server.start()
    spec = {
        'service': deployment.service(drawn.fault.target),
        'address': address,
        'zone': platform_site.ZONE,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'born': 0,
        'cold_remaining_ms': 0,
    }
    async with deployment.during_fault(components.SERVERS):
        deployment.site.store_behaviour.put(store.SERVERS, INSTANCE, spec)
        await asyncio.sleep(drawn.fault.for_s)
        deployment.remove_entry(INSTANCE)
        await server.stop()
