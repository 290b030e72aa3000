"""A server that joins and closes its connections inside its answers."""

import asyncio

from beryllug.platform import names, store
from beryllug.soak import components, plan, site
from beryllug.standins import cutting_server, platform_site

HOST = '127.0.0.1'
INSTANCE = 'cutting'
BODY = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
# The length of the body is beyond what is ever sent of it.
ANSWER = (
    f'HTTP/1.1 200 OK\r\n{names.ATTEMPT}: ID\r\n{names.SEAL}: cut.1\r\n'
    f'{names.CONFIDENCE}: 100\r\n{names.CONTENT_TYPE}: {names.EVENT_STREAM}\r\n'
    f'content-length: {2 * len(BODY)}\r\n\r\n'
).encode() + BODY


async def join(deployment: site.SoakSite, drawn: plan.Cutting) -> None:
    """List such a server for some seconds; it counts as a faulty one."""
    server = cutting_server.CuttingServer(ANSWER, ANSWER[: drawn.size])
    spec = {
        'service': deployment.service(drawn.fault.target),
        'address': await server.start(HOST),
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
        server.stop()
