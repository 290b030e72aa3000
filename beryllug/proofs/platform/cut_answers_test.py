"""Answers whose server closes its connection before they are whole."""

import itertools
import unittest
from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from beryllug.drivers import http_client, http_data
from beryllug.platform import names, store
from beryllug.proofs.platform import site_test
from beryllug.standins import cutting_server, link_cut, platform_site

HOST = '127.0.0.1'
OK = 200
NO_ANSWER = 0
TIMEOUT_S = 5
FIRST_EVENT = b'id: 1\ndata: x\n\n'
SECOND_EVENT = b'id: 2\ndata: y\n\n'
STREAM = FIRST_EVENT + SECOND_EVENT
TEXT = b'a text'
STATUS = b'HTTP/1.1 200 OK\r\n'
OWN = (
    f'{names.ATTEMPT}: ID\r\n{names.SEAL}: 1.1\r\n'.encode('latin-1')
    + b'content-type: KIND\r\n'
)
LENGTH = b'content-length: SIZE\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'


class Way(StrEnum):
    """How the request reaches the server that closes.

    Attributes:
        DIRECT: On a new connection.
        KEPT: On a connection on which another answer was whole.
        RELAYED: Through another process, as the own link is cut.
        RESUMED: After another server has broken off after the first event.
    """

    DIRECT = 'direct'
    KEPT = 'kept'
    RELAYED = 'relayed'
    RESUMED = 'resumed'


class Cut(NamedTuple):
    """The bytes of an answer up to the place where it is cut."""

    title: str
    sent: tuple[bytes, ...]


CUTS = (
    Cut('nothing', (b'',)),
    Cut('inside the status line', (b'HTTP/1.1 20',)),
    Cut('status line without its end', (b'HTTP/1.1 200 OK',)),
    Cut('after the status line', (STATUS,)),
    Cut(
        'inside a field name',
        (
            STATUS,
            OWN,
            b'content-len',
        ),
    ),
    Cut(
        'inside a length',
        (
            STATUS,
            OWN,
            b'content-length: 1',
        ),
    ),
    Cut(
        'after the length',
        (
            STATUS,
            OWN,
            LENGTH,
        ),
    ),
    Cut(
        'inside the end of the head',
        (
            STATUS,
            OWN,
            LENGTH,
            b'\r',
        ),
    ),
    Cut('after an informational head', (HINTS,)),
    Cut(
        'inside a head after an informational one',
        (
            HINTS,
            STATUS,
            OWN,
        ),
    ),
    Cut(
        'no body of a length',
        (
            STATUS,
            OWN,
            LENGTH,
            b'\r\n',
        ),
    ),
    Cut(
        'half a body of a length',
        (
            STATUS,
            OWN,
            LENGTH,
            b'\r\nHALF',
        ),
    ),
    Cut(
        'a body of a length less a byte',
        (
            STATUS,
            OWN,
            LENGTH,
            b'\r\nMOST',
        ),
    ),
    Cut(
        'no chunk',
        (
            STATUS,
            OWN,
            CHUNKED,
            b'\r\n',
        ),
    ),
    Cut(
        'inside a chunk size',
        (
            STATUS,
            OWN,
            CHUNKED,
            b'\r\n1',
        ),
    ),
    Cut(
        'inside a chunk',
        (
            STATUS,
            OWN,
            CHUNKED,
            b'\r\nHEX\r\nHALF',
        ),
    ),
    Cut(
        'a chunk, no last one',
        (
            STATUS,
            OWN,
            CHUNKED,
            b'\r\nHEX\r\nBODY\r\n',
        ),
    ),
    Cut(
        'inside the end',
        (
            STATUS,
            OWN,
            CHUNKED,
            b'\r\nHEX\r\nBODY\r\n0\r\n',
        ),
    ),
    Cut(
        'inside a trailer',
        (
            STATUS,
            OWN,
            CHUNKED,
            b'\r\nHEX\r\nBODY\r\n0\r\nx-sum: 1',
        ),
    ),
)
BEGUN = (
    STATUS,
    OWN,
    CHUNKED,
    b'\r\nHEX\r\nBODY\r\n',
)
WHOLE = (
    STATUS,
    OWN,
    LENGTH,
    b'\r\nBODY',
)
WHOLE_CHUNKED = (
    STATUS,
    OWN,
    CHUNKED,
    b'\r\nHEX\r\nBODY\r\n0\r\n\r\n',
)
# What may run once is never sent on a kept connection, nor resumed.
PATHS: Mapping[Way, tuple[str, ...]] = MappingProxyType(
    {
        Way.DIRECT: (
            site_test.LOOKUP,
            site_test.HOLD,
            site_test.DRAFT,
            site_test.REPORT,
        ),
        Way.KEPT: (site_test.LOOKUP, site_test.DRAFT),
        Way.RELAYED: (
            site_test.LOOKUP,
            site_test.HOLD,
            site_test.DRAFT,
            site_test.REPORT,
        ),
        Way.RESUMED: (site_test.DRAFT,),
    }
)


class CutAnswersTest(unittest.IsolatedAsyncioTestCase):
    """All servers close their connections at the same place of an answer."""

    async def test_cut(self) -> None:
        """An answer that was cut is complete to its caller."""
        for way, paths in PATHS.items():
            for path, cut in itertools.product(paths, CUTS):
                found, cuts = await _ask(way, cut.sent, path)
                with self.subTest(way=way, cut=cut.title, path=path):
                    self.assertNotEqual(found, OK)
                    self.assertGreaterEqual(cuts, 1)

    async def test_client(self) -> None:
        """An answer that was cut is whole to the client of both doors."""
        for is_kept, cut in itertools.product((False, True), CUTS):
            server = cutting_server.CuttingServer(
                _filled(WHOLE, TEXT), _filled(cut.sent, TEXT), whole=is_kept
            )
            address = await server.start(HOST)
            client = http_client.HttpClient()
            asked = http_data.Outgoing('GET', '/', {})
            if is_kept:
                await client.call(address, asked, TIMEOUT_S)
            with self.subTest(kept=is_kept, cut=cut.title):
                with self.assertRaises(http_data.BrokenError):
                    await client.call(address, asked, TIMEOUT_S)
                self.assertEqual(server.cuts, 1)
            server.stop()

    async def test_whole(self) -> None:
        """The answers of these servers are served where nothing is cut."""
        for way, paths in PATHS.items():
            for path, answer in itertools.product(
                paths, (WHOLE, WHOLE_CHUNKED)
            ):
                with self.subTest(way=way, path=path, answer=answer):
                    found, cuts = await _ask(way, answer, path)
                    self.assertEqual((found, cuts), (OK, 1))


async def _ask(way: Way, sent: tuple[bytes, ...], path: str) -> tuple[int, int]:
    """Return the status of a complete answer, and how many were cut."""
    site = platform_site.Site()
    await site.open()
    is_stream = path in {site_test.DRAFT, site_test.REPORT}
    body = STREAM if is_stream else TEXT
    earlier = []
    if way is Way.RESUMED:
        earlier = [_filled(BEGUN, FIRST_EVENT)]
        body = SECOND_EVENT
    servers = [
        cutting_server.CuttingServer(
            _filled(WHOLE, body),
            _filled(sent, body),
            whole=way is Way.KEPT,
            earlier=earlier,
        )
        for _ in range(1 + (way is Way.RESUMED))
    ]
    for server in servers:
        await _list(site, server, is_stream=is_stream)
    router = await _add_router(site, way)
    if way is Way.KEPT:
        await _status(site, router, path)
    status = await _status(site, router, path)
    await site.close()
    for each in servers:
        each.stop()
    return status, sum(cutting.cuts for cutting in servers)


async def _add_router(
    site: platform_site.Site, way: Way
) -> platform_site.Router:
    router = await site.add_router()
    await site.until_ready(router)
    if way is Way.RELAYED:
        relay = await site.add_router()
        await site.until_ready(relay)
        router.link_cut().cut(link_cut.Mode.REFUSE)
    return router


def _filled(parts: tuple[bytes, ...], body: bytes) -> bytes:
    """Return an answer, or its begin, with a body."""
    kind = b'text/plain' if body == TEXT else b'text/event-stream'
    places = {
        b'KIND': kind,
        b'SIZE': b'%d' % len(body),
        b'HEX': b'%x' % len(body),
        b'BODY': body,
        b'HALF': body[: len(body) // 2],
        b'MOST': body[:-1],
    }
    template = b''.join(parts)
    for place, text in places.items():
        template = template.replace(place, text)
    return template


async def _status(
    site: platform_site.Site, router: platform_site.Router, path: str
) -> int:
    try:
        reply = await site.ask(router, path, 'POST', b'body')
    except http_data.BrokenError:
        return NO_ANSWER
    return reply.status


async def _list(
    site: platform_site.Site,
    server: cutting_server.CuttingServer,
    *,
    is_stream: bool,
) -> None:
    spec = {
        'service': platform_site.POOL if is_stream else platform_site.DESK,
        'address': await server.start(HOST),
        'zone': platform_site.ZONE,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'born': 0,
        'cold_remaining_ms': 0,
    }
    site.store_behaviour.put(store.SERVERS, server.address, spec)


if __name__ == '__main__':
    unittest.main()
