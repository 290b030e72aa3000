"""A router process that forwards answers without a length, and is lost."""

import asyncio
import unittest
from enum import StrEnum
from typing import NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import store
from beryllug.proofs.platform import site_test
from beryllug.soak import cut_daemon
from beryllug.standins import (
    link_cut,
    platform_site,
    processes,
    unframed_server,
)

HOST = '127.0.0.1'
OK = 200
# Seconds until a cut applies, before each event of a stream and each half of a
# text, and until the fault, which is in the middle of both.
CUT_S = 0.3
EVENT_S = 0.2
TEXT_S = 0.6
FAULT_S = 0.5
EVENTS = range(1, unframed_server.EVENTS + 1)
STREAM = b''.join(b'id: %d\ndata: x\n\n' % number for number in EVENTS)
TEXT = b'whole'


class Fault(StrEnum):
    """What happens to the process that forwards."""

    NONE = 'none'
    KILL = 'kill'
    STOP = 'stop'
    FREEZE = 'freeze'


class Row(NamedTuple):
    """A request, a fault, and what its caller gets.

    Attributes:
        path: Its path.
        fault: The fault.
        body: The body of a complete answer, or None.
        runs: How often the server runs it.
    """

    path: str
    fault: Fault
    body: bytes | None
    runs: int = 1


ROWS = (
    Row(site_test.DRAFT, Fault.NONE, STREAM),
    Row(site_test.REPORT, Fault.NONE, STREAM),
    Row(site_test.LOOKUP, Fault.NONE, TEXT),
    Row(site_test.DRAFT, Fault.KILL, STREAM, runs=2),
    Row(site_test.REPORT, Fault.KILL, None),
    Row(site_test.LOOKUP, Fault.KILL, TEXT, runs=2),
    Row(site_test.HOLD, Fault.KILL, None),
    Row(site_test.DRAFT, Fault.STOP, STREAM),
    Row(site_test.REPORT, Fault.STOP, STREAM),
    Row(site_test.DRAFT, Fault.FREEZE, None),
)


class RelayLostTest(unittest.IsolatedAsyncioTestCase):
    """Two router processes; one reaches the server through the other."""

    async def test_answers(self) -> None:
        """An answer is complete to its caller as its relay is killed."""
        await asyncio.gather(*map(self._play, ROWS))

    async def _play(self, row: Row) -> None:
        site = platform_site.Site()
        running = processes.Processes('beryllug.soak.cut_daemon')
        await site.open()
        is_stream = row.path in {site_test.DRAFT, site_test.REPORT}
        server = unframed_server.UnframedServer(
            unframed_server.Answer(
                is_stream, pause_s=EVENT_S if is_stream else TEXT_S
            )
        )
        service = platform_site.POOL if is_stream else platform_site.DESK
        await _list(site, server, service)
        first = await site.spawn_router(running)
        relay = await site.spawn_router(running)
        running.write_beside(
            first.name, cut_daemon.SUFFIX, link_cut.Mode.REFUSE
        )
        await asyncio.sleep(CUT_S)
        asking = asyncio.create_task(_ask(site, first, row.path))
        await asyncio.sleep(FAULT_S)
        running.write_beside(first.name, cut_daemon.SUFFIX, '')
        await asyncio.sleep(CUT_S)
        await _inject(running, relay.name, row.fault)
        body = await asking
        log = running.log(first.name)
        running.resume(relay.name)
        await running.stop()
        await site.close()
        await server.stop()
        with self.subTest(row):
            self.assertEqual(body, row.body, log)
            self.assertEqual(len(server.last_events), row.runs, log)


async def _inject(
    running: processes.Processes, name: str, fault: Fault
) -> None:
    match fault:
        case Fault.KILL:
            await running.kill(name)
        case Fault.STOP:
            await running.terminate(name)
        case Fault.FREEZE:
            running.pause(name)


async def _list(
    site: platform_site.Site,
    server: unframed_server.UnframedServer,
    service: str,
) -> None:
    spec = {
        'service': service,
        'address': await server.start(HOST),
        'zone': platform_site.ZONE,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'born': 0,
        'cold_remaining_ms': 0,
    }
    site.store_behaviour.put(store.SERVERS, 'unframed', spec)


async def _ask(
    site: platform_site.Site, router: platform_site.Router, path: str
) -> bytes | None:
    """Return the body of a complete answer, or None."""
    try:
        reply = await site.ask(router, path, 'POST', b'body')
    except http_data.BrokenError:
        return None
    return reply.body if reply.status == OK else None


if __name__ == '__main__':
    unittest.main()
