"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import unittest
from typing import NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import store
from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site, unframed_server

OK = 200
HOST = '127.0.0.1'
STREAM = b''.join(
    b'id: %d\ndata: x\n\n' % number
    for number in range(1, unframed_server.EVENTS + 1)
)
# Bytes of one event.
EVENT = len(b'id: 1\ndata: x\n\n')
COMMENTED = EVENT + len(unframed_server.COMMENT)


class Row(NamedTuple):
    """An answer, what its caller gets, and the events resumed after."""

    title: str
    path: str
    answer: unframed_server.Answer
    body: bytes | None
    resumed: tuple[str, ...] = ()


STREAMED = unframed_server.Answer(is_stream=True)
ROWS = (
    Row(
        'plain',
        site_test.LOOKUP,
        unframed_server.Answer(is_stream=False),
        b'whole',
    ),
    Row('whole stream', site_test.DRAFT, STREAMED, STREAM),
    Row(
        'inside an event',
        site_test.DRAFT,
        STREAMED._replace(cut_at=2 * EVENT + 4),
        STREAM,
        ('2',),
    ),
    Row(
        'between two lines of an event',
        site_test.DRAFT,
        STREAMED._replace(cut_at=EVENT + len(b'id: 2\n')),
        STREAM,
        ('1',),
    ),
    Row(
        'comments before the first event',
        site_test.REPORT,
        STREAMED._replace(comments=2),
        2 * unframed_server.COMMENT + STREAM,
    ),
    Row(
        'comments only',
        site_test.DRAFT,
        STREAMED._replace(comments=2, cut_at=0),
        STREAM,
        ('',),
    ),
    Row(
        'comments only, of what runs once',
        site_test.REPORT,
        STREAMED._replace(comments=2, cut_at=0),
        None,
    ),
    Row(
        'before the first event',
        site_test.DRAFT,
        STREAMED._replace(cut_at=0),
        STREAM,
        ('',),
    ),
    Row(
        'behind a comment',
        site_test.DRAFT,
        STREAMED._replace(is_commented=True, cut_at=2 * COMMENTED + 4),
        STREAM.replace(b'x\n\n', b'x\n\n%b' % unframed_server.COMMENT),
        ('2',),
    ),
    Row(
        'inside an event of what runs once',
        site_test.REPORT,
        STREAMED._replace(cut_at=EVENT + 4),
        None,
    ),
)


class UnframedTest(unittest.IsolatedAsyncioTestCase):
    """One server breaks its first answer off; another one is whole."""

    async def test_answers(self) -> None:
        """A stream that ends inside an event is taken for a whole one.

        So is one that ends before its first event, behind comments. One that
        breaks off behind a comment is resumed an event too early.
        """
        for row in ROWS:
            with self.subTest(row.title):
                await self._play(row)

    async def _play(self, row: Row) -> None:
        site = platform_site.Site()
        await site.open()
        cut = unframed_server.UnframedServer(row.answer)
        await _list(site, cut, row)
        router = await site.add_router()
        await site.until_ready(router)
        task = asyncio.create_task(_ask(site, router, row))
        while not cut.last_events:
            await asyncio.sleep(0)
        whole = unframed_server.UnframedServer(
            row.answer._replace(cut_at=None, comments=0)
        )
        await _list(site, whole, row)
        body = await task
        await site.close()
        await cut.stop()
        await whole.stop()
        self.assertEqual(body, row.body)
        resumed = (*cut.last_events[1:], *whole.last_events)
        self.assertEqual(resumed, row.resumed)


async def _list(
    site: platform_site.Site, server: unframed_server.UnframedServer, row: Row
) -> None:
    address = await server.start(HOST)
    service = platform_site.POOL if row.answer.is_stream else platform_site.DESK
    spec = platform_site.server_entry(service, address)
    site.store_behaviour.put(store.SERVERS, f'i-{address}', spec)


async def _ask(
    site: platform_site.Site, router: platform_site.Router, row: Row
) -> bytes | None:
    try:
        reply = await site.ask(router, row.path, 'POST', b'body')
    except http_data.BrokenError:
        return None
    return reply.body if reply.status == OK else None


if __name__ == '__main__':
    unittest.main()
