"""Answers that come before the whole request was read, and odd statuses."""

import asyncio
import contextlib
import socket
import struct
import unittest
from typing import NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import names, store
from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site

HOST = '127.0.0.1'
KIB = 1024
MIB = 1024 * KIB
RECEIVE_BYTES = 16 * KIB
LARGE = 7 * MIB // 2
BODY = b'id: 1\ndata: part\n\n'
LENGTH = 'content-length: 18\r\n'
CHUNKED = 'transfer-encoding: chunked\r\n'
CHUNK = b'12\r\n%b\r\n' % BODY
MAX_STATUS = 599
# SO_LINGER on with a timeout of 0: closing sends a TCP reset.
RESET = struct.pack('ii', 1, 0)
PATHS = (site_test.LOOKUP, site_test.HOLD, site_test.REPORT, site_test.DRAFT)


class Answer(NamedTuple):
    """How the server answers.

    Attributes:
        status: The status line after the version.
        fields: Header fields that frame the body, as lines.
        body: The bytes after the head.
        end: How the connection ends: closed (with a reset if anything is
            unread), reset or half closed.
        pause_s: Seconds between head, halves of the body and the end.
        read_bytes: Bytes of the request that are read first.
    """

    status: str = '200 OK'
    fields: str = ''
    body: bytes = BODY
    end: str = 'close'
    pause_s: float = 0.0
    read_bytes: int = KIB


BROKEN: tuple[tuple[str, int, Answer], ...] = (
    ('closed', LARGE, Answer()),
    ('closed later', LARGE, Answer(pause_s=0.05)),
    ('half closed', LARGE, Answer(end='half_close')),
    ('reset', LARGE, Answer(end='reset')),
    ('reset later', LARGE, Answer(end='reset', pause_s=0.05)),
    ('reset, half read', LARGE, Answer(end='reset', read_bytes=MIB)),
    ('reset, 200 KB', 200 * KIB, Answer(end='reset', pause_s=0.05)),
    ('reset, short', 2 * KIB, Answer(end='reset', pause_s=0.05)),
    ('chunks closed', LARGE, Answer(fields=CHUNKED, body=CHUNK)),
    ('chunks reset', LARGE, Answer(fields=CHUNKED, body=CHUNK, end='reset')),
    ('length closed', LARGE, Answer(fields=LENGTH, body=BODY[:-1])),
)
STATUSES = (
    *('000 X', '099 X', '600 X', '700 X', '999 X', '1000 X', '-20 X', '20 X'),
    *('2 00 X', '+200 X', '20x X', ' 200 OK', '0200 OK', '200OK', '101 X'),
)


class _EarlyServer:
    """Answers requests on raw sockets before it has read them.

    Attributes:
        requests: Number of requests that it has answered.
    """

    def __init__(self, answer: Answer) -> None:
        self.requests = 0
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        # With a small buffer most of an upload is still at the router.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind((HOST, 0))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        port = self._server.sockets[0].getsockname()[1]
        return f'{HOST}:{port}'

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._answer_one(reader, writer)
        writer.transport.abort()

    async def _answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(self._answer.read_bytes)
        self.requests += 1
        attempt = _field(head, names.ATTEMPT)
        writer.write(
            (
                f'HTTP/1.1 {self._answer.status}\r\n{self._answer.fields}'
                f'{names.ATTEMPT}: {attempt}\r\n{names.SEAL}: 1.2.3\r\n'
                'content-type: text/event-stream\r\n\r\n'
            ).encode()
        )
        half = len(self._answer.body) // 2
        for part in (self._answer.body[:half], self._answer.body[half:]):
            await asyncio.sleep(self._answer.pause_s)
            writer.write(part)
        await asyncio.sleep(self._answer.pause_s)
        if self._answer.end == 'reset':
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        elif self._answer.end == 'half_close':
            writer.write_eof()
            await asyncio.sleep(1)


class EarlyAnswersTest(unittest.IsolatedAsyncioTestCase):
    """All servers answer in the same way."""

    async def test_broken_off(self) -> None:
        """A part of an answer, cut during the upload, comes as the whole."""
        for title, size, answer in BROKEN:
            for path in PATHS:
                with self.subTest(title, path=path):
                    reply = await self._ask(path, answer, size)
                    self.assertGreaterEqual(reply, 500)

    async def test_status(self) -> None:
        """A caller gets a status that is none as that of an answer."""
        for status in STATUSES:
            for path in PATHS:
                with self.subTest(status, path=path):
                    answer = Answer(status, LENGTH)
                    reply = await self._ask(path, answer, KIB)
                    self.assertGreaterEqual(reply, 500)
                    self.assertLessEqual(reply, MAX_STATUS)

    async def test_whole(self) -> None:
        """An answer before the whole request was read is an answer."""
        answers = (
            (LARGE, Answer(fields=LENGTH, end='half_close')),
            (KIB, Answer()),
        )
        for size, answer in answers:
            for path in PATHS:
                with self.subTest(size=size, path=path):
                    reply = await self._ask(path, answer, size)
                    self.assertEqual(reply, 200)

    async def _ask(self, path: str, answer: Answer, size: int) -> int:
        server = _EarlyServer(answer)
        address = await server.start()
        is_model = path in {site_test.REPORT, site_test.DRAFT}
        service = platform_site.POOL if is_model else platform_site.DESK
        spec = platform_site.server_entry(service, address)
        site = platform_site.Site()
        await site.open()
        site.store_behaviour.put(store.SERVERS, f'i-{address}', spec)
        router = await site.add_router()
        await site.until_ready(router)
        try:
            reply = await site.ask(
                router,
                path,
                'POST',
                b'x' * size,
                beryllug_deadline_ms='1000',
            )
        except http_data.BrokenError:
            return MAX_STATUS
        finally:
            await site.close()
            await server.stop()
        self.assertGreater(server.requests, 0)
        return reply.status


def _field(head: bytes, name: str) -> str:
    for line in head.decode().split('\r\n'):
        found, _, text = line.partition(':')
        if found.lower() == name.lower():
            return text.strip()
    return ''


if __name__ == '__main__':
    unittest.main()
