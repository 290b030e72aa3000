"""Failing, lying and careless servers at the HTTP client."""

import asyncio
import contextlib
import random
import re
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.drivers import http_client, http_data

LEFTOVER = b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nfor-me'
ASK = http_data.Outgoing('POST', '/a', {'x-tag': 'a'}, b'body')
TAG = re.compile(rb'x-tag: (\w+)')
ROUNDS = 20000
SEED = 20240
# A test that would hang fails after so long.
HANG_S = 10.0
CALLERS = 32
# Seconds for which a process stands still.
STALL_S = 0.2

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Failure(NamedTuple):
    """A server that fails at one place.

    Attributes:
        title: The place.
        reads: Bytes of the request that it reads first.
        sends: What it answers before it cuts the connection.
        hard: Whether it cuts with a reset.
    """

    title: str
    reads: bytes
    sends: bytes
    hard: bool = False


# The place at which an exchange is cut, in the order of its bytes.
FAILURES = (
    Failure('after accept', b'', b''),
    Failure('reset after accept', b'', b'', hard=True),
    Failure('in the head', b'POST /', b''),
    Failure('after the head', b'\r\n\r\n', b''),
    Failure('after the body', b'body', b''),
    Failure('reset after the body', b'body', b'', hard=True),
    Failure('in the status line', b'body', b'HTTP/1.1 2'),
    Failure('in the answer head', b'body', b'HTTP/1.1 200 OK\r\nx: y'),
    Failure('after an interim answer', b'body', b'HTTP/1.1 100 \r\n\r\n'),
    Failure('no HTTP', b'body', b'220 mail server\r\n\r\n'),
    Failure(
        'before the body',
        b'body',
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n',
    ),
    Failure(
        'in the body',
        b'body',
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel',
    ),
    Failure(
        'before the last chunk',
        b'body',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n',
    ),
    Failure(
        'bad chunk',
        b'body',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
    ),
)


class _ClientCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = http_client.HttpClient(connect_s=2)
        self.tasks: set[asyncio.Task[None]] = set()
        self.addAsyncCleanup(self.end)
        self.accepted = 0
        self.received = b''

    async def end(self) -> None:
        """End the client, then all connections of the servers."""
        await self.client.close()
        if self.tasks:
            _, hanging = await asyncio.wait(self.tasks, timeout=HANG_S)
            self.assertFalse(hanging)

    async def serve(self, serve: Serve) -> str:
        """Start a server that runs a function for each connection."""
        server = await asyncio.start_server(
            lambda *streams: self._begin(serve, *streams), '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def answer(self, address: str, tag: str = 'a') -> bytes:
        """Send a request and read its whole answer."""
        outgoing = ASK._replace(headers={'x-tag': tag})
        async with asyncio.timeout(HANG_S):
            _, body = await self.client.call(address, outgoing)
        return body

    def _begin(
        self,
        serve: Serve,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.accepted += 1
        task = asyncio.create_task(_run(serve, reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class FailureTest(_ClientCase):
    """Errors tell whether the request can have run."""

    async def test_places(self) -> None:
        """Once a byte is written, no failure claims that nothing was sent.

        The server reads so much of the request and cuts the connection
        there, or in its answer. It has seen bytes, so it may have run the
        request; the caller must not be told that it did not.
        """
        for failure in FAILURES:
            with self.subTest(failure.title):
                address = await self.serve(self._failing(failure))
                with self.assertRaises(http_data.BrokenError):
                    await self.answer(address)

    async def test_not_sent(self) -> None:
        """Where no byte was written, the error says so."""
        address = await self.serve(self._failing(FAILURES[4]))
        free = await asyncio.start_server(_ignore, '127.0.0.1', 0)
        port = free.sockets[0].getsockname()[1]
        free.close()
        await free.wait_closed()
        bad_name = {'x y': 'z'}
        cases = (
            ('nobody listens', f'127.0.0.1:{port}', ASK),
            ('split header', address, ASK._replace(headers={'x': 'a\r\nb: c'})),
            ('bad name', address, ASK._replace(headers=bad_name)),
            ('no Latin', address, ASK._replace(headers={'x': '\u20ac'})),
            ('bad target', address, ASK._replace(target='/a b')),
        )
        for title, server, outgoing in cases:
            with self.subTest(title):
                with self.assertRaises(http_data.NotSentError):
                    await self.client.call(server, outgoing)
        self.assertEqual(self.received, b'')

    async def test_timeout(self) -> None:
        """A silent server breaks the exchange; it may have run it."""
        address = await self.serve(_ignore)
        with self.assertRaises(http_data.BrokenError):
            await self.client.call(address, ASK, timeout_s=0.05)

    async def test_held_up(self) -> None:
        """A process that stood still takes its delay for the server's."""
        address = await self.serve(_answer_one)
        self.client = http_client.HttpClient(connect_s=STALL_S / 2)
        for turns in range(4):
            with self.subTest(turns):
                asking = asyncio.create_task(self.answer(address))
                for _ in range(turns):
                    await asyncio.sleep(0)
                time.sleep(STALL_S)
                self.assertEqual(await asking, b'a')

    async def test_out_of_time(self) -> None:
        """A request is sent though its caller's time ended on connecting."""
        address = await self.serve(self._failing(FAILURES[4]))
        asking = asyncio.create_task(
            self.client.call(address, ASK, timeout_s=STALL_S / 2)
        )
        await asyncio.sleep(0)
        time.sleep(STALL_S)
        with self.assertRaises(http_data.NotSentError):
            await asking
        self.assertEqual(self.received, b'')

    async def test_unreachable(self) -> None:
        """A server that takes no connection is tried for longer than it may."""
        self.client = http_client.HttpClient(connect_s=STALL_S / 2)
        began = time.monotonic()
        with mock.patch.object(
            asyncio.get_running_loop(), 'create_connection', _hang
        ):
            with self.assertRaises(http_data.NotSentError):
                await self.client.call('127.0.0.1:1', ASK)
        self.assertLess(time.monotonic() - began, HANG_S / 2)

    def _failing(self, failure: Failure) -> Serve:
        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if failure.reads:
                self.received = await reader.readuntil(failure.reads)
            writer.write(failure.sends)
            await writer.drain()
            if failure.hard:
                writer.transport.abort()

        return serve


class ReuseTest(_ClientCase):
    """No caller gets a byte of an answer to another."""

    async def test_leftovers(self) -> None:
        """Bytes after the end of an answer never reach the next caller.

        A server sends more than one answer: with the answer, just after it,
        or while the connection is idle. The next caller would take it for
        its own answer, so the connection must be closed.
        """
        cases = (
            ('with the answer', b'%b%b' % (_body(b'a'), LEFTOVER), b''),
            ('after it', _body(b'a'), LEFTOVER),
            ('half a line', b'%bHT' % _body(b'a'), b''),
            ('two framings', _both_framings(b'a'), b''),
            ('interim', _body(b'a'), b'HTTP/1.1 103 \r\n\r\n'),
        )
        for title, first, later in cases:
            with self.subTest(title):
                address = await self.serve(_leaving(first, later))
                for tag in ('a', 'b', 'c'):
                    body = await self.answer(address, tag)
                    self.assertEqual(body, tag.encode())

    async def test_unasked(self) -> None:
        """Bytes that lie in the kernel when a connection is taken are seen."""
        speak = asyncio.Event()
        spoken = asyncio.Event()

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _answer_one(reader, writer)
            await speak.wait()
            writer.write(LEFTOVER)
            spoken.set()
            await _answer_one(reader, writer)

        address = await self.serve(serve)
        self.assertEqual(await self.answer(address, 'a'), b'a')
        speak.set()
        await spoken.wait()
        self.assertEqual(await self.answer(address, 'b'), b'b')
        self.assertEqual(self.accepted, 2)

    async def test_kept(self) -> None:
        """A whole answer gives its connection back, once.

        Its reader closes it twice. In between, another caller has taken the
        connection; that one's answer must not be cut off.
        """
        address = await self.serve(_calm)
        first = await self.client.request(address, ASK)
        await first.read()
        first.close()
        second = await self.client.request(address, ASK)
        first.close()
        self.assertEqual(await second.read(), b'a')
        second.close()
        await self.answer(address)
        self.assertEqual(self.accepted, 1)
        await self.client.call(address, ASK._replace(fresh=True))
        self.assertEqual(self.accepted, 2)

    async def test_forget(self) -> None:
        """The connections to one address are given up, the others kept."""
        addresses = [await self.serve(_calm) for _ in range(2)]
        for address in addresses:
            await self.answer(address)
        self.assertEqual(self.client.kept, 2)
        self.client.forget(addresses[0])
        self.assertEqual(self.client.kept, 1)
        await self.answer(addresses[0])
        self.assertEqual(self.accepted, 3)

    async def test_unread(self) -> None:
        """An answer that was not read to its end costs its connection."""
        address = await self.serve(_calm)
        for _ in range(3):
            incoming = await self.client.request(address, ASK)
            incoming.close()
        self.assertEqual(self.accepted, 3)

    async def test_closed_by_server(self) -> None:
        """Connections that a server closes are forgotten at once.

        Servers come and go; what was kept to one that has left would stay
        for ever, as nobody asks for its address again.
        """
        leaving = asyncio.Event()

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _answer_one(reader, writer)
            await leaving.wait()

        address = await self.serve(serve)
        await asyncio.gather(*(self.answer(address) for _ in range(10)))
        self.assertEqual(self.client.kept, 10)
        leaving.set()
        async with asyncio.timeout(HANG_S):
            while self.client.kept:
                await asyncio.sleep(0)

    async def test_tagged(self) -> None:
        """Of thousands of answers, cut and cancelled, each is its caller's.

        Callers share kept connections to a server that answers in pieces,
        cuts some answers and adds bytes to others; some callers give up in
        the middle. Each whole answer must carry its caller's own tag.
        """
        asyncio.get_running_loop().set_debug(enabled=False)
        address = await self.serve(_Unreliable(random.Random(SEED)).serve)
        outcomes: dict[str, int] = {}
        numbers = iter(range(ROUNDS))

        async def work() -> None:  # noqa: WPS430
            for number in numbers:
                outcome = await self._call_or_cancel(address, number)
                outcomes[outcome] = outcomes.get(outcome, 0) + 1

        await asyncio.gather(*(work() for _ in range(CALLERS)))
        self.assertEqual(sum(outcomes.values()), ROUNDS)
        self.assertEqual(outcomes.get('wrong', 0), 0)
        for kind in ('own', 'cancelled', 'broken'):
            self.assertGreater(outcomes[kind], ROUNDS // 100, outcomes)
        self.assertLess(self.accepted, ROUNDS // 2)

    async def _call_or_cancel(self, address: str, number: int) -> str:
        tag = f't{number}'
        task = asyncio.create_task(self.answer(address, tag))
        if number % 7 == 0:
            for _ in range(number % 5):
                await asyncio.sleep(0)
            task.cancel()
        try:
            body = await task
        except asyncio.CancelledError:
            return 'cancelled'
        except http_data.BrokenError:
            return 'broken'
        return 'own' if body == tag.encode() else 'wrong'


async def _run(
    serve: Serve, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        await serve(reader, writer)
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


async def _ignore(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()


async def _hang(*_: object) -> None:
    await asyncio.Event().wait()


async def _answer_one(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    tag = await _read_tag(reader)
    writer.write(_body(tag))


async def _read_tag(reader: asyncio.StreamReader) -> bytes:
    raw = await reader.readuntil(b'body')
    found = TAG.search(raw)
    assert found is not None
    return found.group(1)


def _body(tag: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (len(tag), tag)


def _both_framings(tag: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\ncontent-length: 90\r\n'
        b'transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n'
        % (len(tag), tag)
    )


def _chunked(tag: bytes) -> bytes:
    pieces = b''.join(b'1\r\n%c\r\n' % letter for letter in tag)
    return (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        b'%b0\r\n\r\n' % pieces
    )


def _leaving(first: bytes, later: bytes) -> Serve:
    """Serve one answer with something after it, then proper ones."""
    left = [(first, later)]

    async def serve(  # noqa: WPS430
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            tag = await _read_tag(reader)
            answer, more = left.pop() if left else (_body(tag), b'')
            writer.write(answer)
            await asyncio.sleep(0)
            writer.write(more)

    return serve


async def _calm(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        await _answer_one(reader, writer)


class _Unreliable:
    """Answers each request with its tag, and draws what goes wrong."""

    def __init__(self, draws: random.Random) -> None:
        self._draws = draws

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection until a cut is drawn."""
        fault = ''
        while fault != 'cut':
            tag = await _read_tag(reader)
            fault = self._draw_fault()
            answer = self._draws.choice((_body, _chunked))(tag)
            place = self._draws.randrange(len(answer))
            writer.write(answer[:place])
            if fault == 'pause':
                await asyncio.sleep(0)
            if fault != 'cut':
                writer.write(answer[place:])
            if fault == 'leftover':
                writer.write(LEFTOVER)

    def _draw_fault(self) -> str:
        weights = {'': 70, 'pause': 26, 'cut': 2, 'leftover': 2}
        drawn = self._draws.choices(list(weights), list(weights.values()))
        return drawn[0]


if __name__ == '__main__':
    main()
