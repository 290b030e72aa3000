"""A planned stop of one process in calm, while callers go on sending."""

import asyncio
import contextlib
import time
import unittest
from typing import NamedTuple

from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site, processes

WORK_S = 0.4
EVENTS = 8
EVENT_S = 0.05
INTERVAL_S = 0.04
# Seconds over which a slow upload is sent.
UPLOAD_S = 0.6
UPLOAD_PARTS = 6
PATHS = (site_test.LOOKUP, site_test.HOLD, site_test.REPORT, site_test.DRAFT)
GRACES_S = (8.0, 3.0, 2.0)
OK = 200
UNAVAILABLE = 503
CUT = 0


class Sent(NamedTuple):
    """A request on a connection that was open before the stop.

    Attributes:
        at_s: Seconds after the signal at which it was sent whole.
        attempt: Its attempt id.
        status: Its status; `CUT` if its connection ended without an answer.
    """

    at_s: float
    attempt: str
    status: int


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Two processes, one of which is told to stop."""

    async def test_late_requests(self) -> None:
        """A request is passed on, and cut as the process ends."""
        for grace_s in GRACES_S:
            for upload_s in (0.0, UPLOAD_S):
                with self.subTest(grace_s=grace_s, upload_s=upload_s):
                    await self._check(grace_s, upload_s)

    async def _check(self, grace_s: float, upload_s: float) -> None:
        site = platform_site.Site()
        running = processes.Processes()
        await site.open()
        for instance in ('p1', 'p2'):
            await site.add_runner(
                platform_site.POOL, instance, events=EVENTS, event_s=EVENT_S
            )
        for instance in ('d1', 'd2', 'd3'):
            await site.add_runner(
                platform_site.DESK, instance, work_s=WORK_S, slots=16
            )
        router = await site.spawn_router(running, grace_s=grace_s)
        try:
            sent = await _stop_beside_load(router, running, grace_s, upload_s)
        finally:
            await running.stop()
            await site.close()
        ran = {
            run.attempt_id
            for runner in site.runners.values()
            for run in runner.runs
        }
        cut = [each for each in sent if each.status == CUT]
        self.assertEqual([each for each in cut if each.attempt in ran], [])
        statuses = {each.status for each in sent}
        self.assertLessEqual(statuses, {OK, UNAVAILABLE, CUT})
        self.assertGreater(len([each for each in sent if each.status == OK]), 9)
        refused = [each for each in sent if each.status == UNAVAILABLE]
        self.assertEqual([each for each in refused if each.attempt in ran], [])


async def _stop_beside_load(
    router: platform_site.Router,
    running: processes.Processes,
    grace_s: float,
    upload_s: float,
) -> list[Sent]:
    """Stop a process; returns the requests that were sent to it meanwhile."""
    count = int(grace_s / INTERVAL_S)
    host, _, port = router.cfg.listen.rpartition(':')
    opened = await asyncio.gather(
        *(asyncio.open_connection(host, int(port)) for _ in range(count))
    )
    await asyncio.gather(
        *(
            _send(reader, writer, site_test.DRAFT, f'first-{number:04}', 0)
            for number, (reader, writer) in enumerate(opened[:4])
        )
    )
    stopped = asyncio.create_task(running.terminate(router.name))
    began = time.monotonic()
    tasks = []
    for number, (reader, writer) in enumerate(opened):
        attempt = f'late-{number:06}'
        path = PATHS[number % len(PATHS)]
        sending = _sent(reader, writer, path, attempt, upload_s, began)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(INTERVAL_S)
    ended = await asyncio.gather(*tasks)
    await stopped
    for _, writer in opened:
        writer.transport.abort()
    return list(ended)


async def _sent(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    attempt: str,
    upload_s: float,
    began: float,
) -> Sent:
    status = CUT
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        status = await _send(reader, writer, path, attempt, upload_s)
    return Sent(time.monotonic() - began, attempt, status)


async def _send(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    attempt: str,
    upload_s: float,
) -> int:
    body = b'x' * UPLOAD_PARTS
    fields = platform_site.caller_headers(path, attempt)
    fields['content-length'] = str(len(body))
    lines = [f'POST {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    writer.write('\r\n'.join((*lines, '', '')).encode())
    for _ in range(UPLOAD_PARTS):
        await asyncio.sleep(upload_s / UPLOAD_PARTS)
        writer.write(b'x')
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split()[1])
    if b'content-length' in head.lower():
        length = head.lower().split(b'content-length:')[1].split()[0]
        await reader.readexactly(int(length))
    else:
        await reader.readuntil(b'0\r\n\r\n')
    return status


if __name__ == '__main__':
    unittest.main()
