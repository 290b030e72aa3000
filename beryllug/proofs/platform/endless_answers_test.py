"""One of three backend servers sends answers that never end."""

import asyncio
import collections
import unittest
from typing import NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import store
from beryllug.proofs.platform import site_test
from beryllug.soak import cut_daemon
from beryllug.standins import (
    endless_server,
    link_cut,
    platform_site,
    processes,
)

Form = endless_server.Form
HOLD = site_test.Load(site_test.HOLD, 'POST', ('d1', 'd2'))
LOOKUP = site_test.Load(site_test.LOOKUP, 'GET', ('d1', 'd2'))
DRAFT = site_test.Load(site_test.DRAFT, 'POST', ('p1', 'p2'))
REPORT = site_test.Load(site_test.REPORT, 'POST', ('p1', 'p2'))
# Requests that may run on another server, or must not.
REPEATABLE = frozenset((LOOKUP, DRAFT))
OK = 200
BAD_GATEWAY = 502
# Status of an answer that was cut off.
CUT = 0
SECONDS = 3.0
SLOW_PAUSE_S = 0.02
# Seconds until a process has noticed that its links are cut.
CUT_S = 0.5
CUT_DAEMON = 'beryllug.soak.cut_daemon'
# Memory of a router process, of which half is in use without requests.
MAX_MEMORY_KIB = 65536
# Answers that such a server may begin in `SECONDS`: the first, and one after
# each pause of one and two seconds.
MAX_BEGUN = 3
# The sound servers, which are busy enough that the other one is needed.
SLOTS = 2
WORK_S = 0.3
EVENT_S = 0.02


class Row(NamedTuple):
    """What has no end, and the requests sent meanwhile.

    They may be sent by a process that reaches servers through another one only.
    """

    form: Form
    load: site_test.Load
    pause_s: float = 0
    is_relayed: bool = False


class Played(NamedTuple):
    """Counts of statuses, the most memory in KiB, and answers begun."""

    statuses: collections.Counter[int]
    memory_kib: int
    begun: int


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A router process, two sound servers and one whose answers never end."""

    async def test_body(self) -> None:
        """A body without end fills the memory of the process."""
        await self._check(
            Row(Form.BODY, HOLD),
            Row(Form.BODY, LOOKUP),
            Row(Form.LENGTH, LOOKUP),
            Row(Form.CHUNKS, LOOKUP),
        )

    async def test_interim(self) -> None:
        """Informational responses without end delay all other requests."""
        await self._check(
            Row(Form.INTERIM, LOOKUP),
            Row(Form.INTERIM, HOLD),
            Row(Form.INTERIM, DRAFT),
        )

    async def test_event(self) -> None:
        """An event without end is joined again with each piece of it."""
        await self._check(
            Row(Form.LINE, DRAFT),
            Row(Form.COMMENTS, DRAFT),
            Row(Form.BODY, DRAFT),
            Row(Form.LINE, REPORT),
        )

    async def test_slow_event(self) -> None:
        """Bytes that end no event keep a stream at a server that is stuck."""
        await self._check(
            Row(Form.BODY, DRAFT, SLOW_PAUSE_S),
            Row(Form.COMMENT_EVENTS, DRAFT, SLOW_PAUSE_S),
        )

    async def test_small_chunks(self) -> None:
        """A connection whose bytes are costly to parse delays all others."""
        await self._check(
            Row(Form.SMALL_CHUNKS, LOOKUP),
            Row(Form.COMMENT_EVENTS, DRAFT),
        )

    async def test_relayed(self) -> None:
        """The process that forwards keeps all bytes for one that is cut off."""
        await self._check(
            Row(Form.BODY, LOOKUP, is_relayed=True),
            Row(Form.GARBAGE, LOOKUP, is_relayed=True),
            Row(Form.LINE, DRAFT, is_relayed=True),
            Row(Form.COMMENT_EVENTS, DRAFT, is_relayed=True),
        )

    async def test_avoided(self) -> None:
        """A server whose answers never end gets three requests in a row."""
        for row in (Row(Form.BODY, HOLD), Row(Form.LINE, REPORT)):
            with self.subTest(row.form.value, path=row.load.path):
                played = await _play(row)
                self.assertLessEqual(played.begun, MAX_BEGUN, played)

    async def test_rejected(self) -> None:
        """Bytes that are no answer are kept as long as they come."""
        await self._check(
            Row(Form.GARBAGE, LOOKUP),
            Row(Form.HEAD, LOOKUP),
            Row(Form.HEADER, HOLD),
            Row(Form.EMPTY_LINES, LOOKUP),
            Row(Form.EXTENSION, LOOKUP),
            Row(Form.TRAILERS, LOOKUP),
            Row(Form.EXCESS, LOOKUP),
        )

    async def _check(self, *rows: Row) -> None:
        for row in rows:
            with self.subTest(row.form.value, path=row.load.path):
                self._check_played(row, await _play(row))

    def _check_played(self, row: Row, played: Played) -> None:
        self.assertLessEqual(played.memory_kib, MAX_MEMORY_KIB, played)
        failed = played.statuses.total() - played.statuses[OK]
        if row.load in REPEATABLE:
            self.assertEqual(failed, 0, played)
            return
        # Each failure is one that the server began to answer, told at once
        # and not at the deadline.
        self.assertLessEqual(failed, played.begun, played)
        self.assertLessEqual(
            played.statuses.keys(), {OK, BAD_GATEWAY, CUT}, played
        )


async def _play(row: Row) -> Played:
    site = platform_site.Site()
    await site.open()
    for instance in row.load.servers:
        await site.add_runner(
            _service(row.load),
            instance,
            slots=SLOTS,
            work_s=WORK_S,
            event_s=EVENT_S,
        )
    server = endless_server.EndlessProcess(row.form, row.pause_s)
    site.store_behaviour.put(
        store.SERVERS,
        'endless',
        platform_site.server_entry(_service(row.load), await server.start()),
    )
    daemon = CUT_DAEMON if row.is_relayed else processes.DAEMON
    running = processes.Processes(daemon)
    router = await site.spawn_router(running)
    if row.is_relayed:
        router = await site.spawn_router(running)
        mode = link_cut.Mode.REFUSE.value
        running.write_beside(router.name, cut_daemon.SUFFIX, mode)
        await asyncio.sleep(CUT_S)
    try:
        statuses = await _ask_repeatedly(site, router, row.load)
        memory_kib = max(map(running.peak_memory_kib, running.names()))
        begun = await server.stop()
    finally:
        for name in running.names():
            await running.kill(name)
        await running.stop()
    await site.close()
    return Played(statuses, memory_kib, begun)


async def _ask_repeatedly(
    site: platform_site.Site, router: platform_site.Router, load: site_test.Load
) -> collections.Counter[int]:
    tasks: list[asyncio.Task[int]] = []
    for _ in range(int(SECONDS / site_test.REQUEST_INTERVAL_S)):
        tasks.append(asyncio.create_task(_status(site, router, load)))
        await asyncio.sleep(site_test.REQUEST_INTERVAL_S)
    return collections.Counter(await asyncio.gather(*tasks))


async def _status(
    site: platform_site.Site, router: platform_site.Router, load: site_test.Load
) -> int:
    try:
        return (await site.ask(router, load.path, load.method, b'')).status
    except http_data.BrokenError:
        return CUT


def _service(load: site_test.Load) -> str:
    return platform_site.POOL if load in {DRAFT, REPORT} else platform_site.DESK


if __name__ == '__main__':
    unittest.main()
