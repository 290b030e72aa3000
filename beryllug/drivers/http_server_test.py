"""Tests of the HTTP server with hostile and failing clients."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Callable

from beryllug.drivers import http_data, http_server, listeners

LIMITS = http_data.Limits(
    header_bytes=2048,
    body_bytes=1000,
    read_s=0.1,
    idle_s=0.2,
    write_s=0.2,
)
# Fails a test that would otherwise hang.
TEST_TIMEOUT_S = 10.0
GOOD = b'GET /good HTTP/1.1\r\nhost: x\r\n\r\n'
HIDDEN = b'GET /hidden HTTP/1.1\r\nhost: x\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nhost: x\r\n'

# Requests that larger limits allow, limits that are too small for each, and how
# these refuse it.
LARGER = LIMITS._replace(header_bytes=8192, body_bytes=8192)
LARGE: tuple[tuple[str, bytes, http_data.Limits, bytes], ...] = (
    (
        'body',
        b'%bcontent-length: 4000\r\n\r\n%b' % (POST, b'y' * 4000),
        LARGER._replace(body_bytes=1000),
        b'413',
    ),
    (
        'head',
        b'%bx: %b\r\n\r\n' % (POST, b'y' * 4000),
        LARGER._replace(header_bytes=2048),
        b'431',
    ),
)

# Requests that must be rejected, and the expected status.
REFUSED: tuple[tuple[str, bytes, int], ...] = (
    ('noise', b'\x00\x01\x02\r\n\r\n', 400),
    ('TLS hello', b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n', 400),
    ('no version', b'GET /\r\n\r\n', 400),
    ('no target', b'GET HTTP/1.1\r\nhost: x\r\n\r\n', 400),
    ('space in target', b'GET /a b HTTP/1.1\r\nhost: x\r\n\r\n', 400),
    ('byte in target', b'GET /\xff HTTP/1.1\r\nhost: x\r\n\r\n', 400),
    ('no host', b'GET / HTTP/1.1\r\n\r\n', 400),
    ('two hosts', b'GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n', 400),
    ('space before colon', b'%bx : y\r\n\r\n' % POST, 400),
    ('no colon', b'%bxy\r\n\r\n' % POST, 400),
    ('no name', b'%b: y\r\n\r\n' % POST, 400),
    ('NUL in a value', b'%bx: a\x00b\r\n\r\n' % POST, 400),
    ('CR in a value', b'%bx: a\rb\r\n\r\n' % POST, 400),
    ('folded first line', b'GET / HTTP/1.1\r\n x: y\r\nhost: x\r\n\r\n', 400),
    ('tunnel', b'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n', 405),
    ('long value', b'%bx: %b\r\n\r\n' % (POST, b'y' * 3000), 431),
    ('many fields', b'%b%b\r\n' % (POST, b'a: b\r\n' * 700), 431),
    ('endless head', b'%bx: %b' % (POST, b'y' * 9000), 431),
    ('length and chunks', b'%bcontent-length: 5\r\ntransfer-encoding: chunked'
     b'\r\n\r\n0\r\n\r\n%b' % (POST, HIDDEN), 400),
    ('two lengths', b'%bcontent-length: 0\r\ncontent-length: 9\r\n\r\n%b'
     % (POST, HIDDEN), 400),
    ('list of lengths', b'%bcontent-length: 0, 9\r\n\r\n%b'
     % (POST, HIDDEN), 400),
    ('signed length', b'%bcontent-length: +5\r\n\r\nhello' % POST, 400),
    ('negative length', b'%bcontent-length: -5\r\n\r\nhello' % POST, 400),
    ('hex length', b'%bcontent-length: 0x5\r\n\r\nhello' % POST, 400),
    ('empty length', b'%bcontent-length:\r\n\r\nhello' % POST, 400),
    ('huge length', b'%bcontent-length: %d\r\n\r\n' % (POST, 10**15), 413),
    ('endless length', b'%bcontent-length: %b\r\n\r\n'
     % (POST, b'9' * 99), 400),
    ('body over bound', b'%bcontent-length: 1001\r\n\r\n' % POST, 413),
    ('chunks over bound', b'%btransfer-encoding: chunked\r\n\r\n'
     b'3e8\r\n%b\r\n1\r\na\r\n0\r\n\r\n' % (POST, b'y' * 1000), 413),
    ('chunked twice', b'%btransfer-encoding: chunked, chunked\r\n\r\n'
     b'0\r\n\r\n%b' % (POST, HIDDEN), 501),
    ('two encodings', b'%btransfer-encoding: chunked\r\n'
     b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n%b' % (POST, HIDDEN), 501),
    ('other encoding', b'%btransfer-encoding: gzip\r\n\r\n' % POST, 501),
    ('identity', b'%btransfer-encoding: identity\r\n\r\n' % POST, 501),
    ('like chunked', b'%btransfer-encoding: xchunked\r\n\r\n' % POST, 501),
    ('chunks in 1.0', b'POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n'
     b'0\r\n\r\n%b' % HIDDEN, 400),
    ('chunk size', b'%btransfer-encoding: chunked\r\n\r\nzz\r\n' % POST, 400),
    ('signed chunk', b'%btransfer-encoding: chunked\r\n\r\n-1\r\n' % POST, 400),
    ('hex chunk', b'%btransfer-encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n'
     % POST, 400),
    ('endless chunk size', b'%btransfer-encoding: chunked\r\n\r\n%b\r\n'
     % (POST, b'0' * 30), 400),
    ('chunk end', b'%btransfer-encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n%b'
     % (POST, HIDDEN), 400),
    ('chunk LF', b'%btransfer-encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n%b'
     % (POST, HIDDEN), 400),
)  # fmt: skip

# Unusual requests that have one meaning by the standard.
UNUSUAL_REQUESTS: tuple[tuple[str, bytes, bytes], ...] = (
    ('folded value', b'GET /a HTTP/1.1\r\nhost: x\r\ny: 1\r\n 2\r\n\r\n', b''),
    ('bare LF', b'POST /a HTTP/1.1\nhost: x\ncontent-length: 2\n\nhi', b'hi'),
    ('same length twice', b'%bcontent-length: 2\r\ncontent-length: 2\r\n\r\nhi'
     % POST, b'hi'),
    ('chunk extension', b'%btransfer-encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n'
     b'0\r\n\r\n' % POST, b'hi'),
    ('trailers', b'%btransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n'
     b'content-length: 9\r\n\r\n' % POST, b'hi'),
    ('expect', b'%bexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi'
     % POST, b'hi'),
    ('upgrade', b'GET /a HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n'
     b'upgrade: websocket\r\n\r\n', b''),
)  # fmt: skip


class _ServerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.seen: list[http_data.Request] = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.server = http_server.HttpServer(self._handle, LIMITS)
        self.port = await self.server.start('127.0.0.1', 0)
        self.addAsyncCleanup(self.server.stop)

    async def send_raw(self, raw: bytes, *, send_eof: bool = True) -> bytes:
        """Send bytes, close the sending side and return the response."""
        reader, writer = await self.connect()
        writer.write(raw)
        if send_eof:
            writer.write_eof()
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await reader.read()
        except ConnectionError:
            return b''
        finally:
            writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the server."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def check_alive(self) -> None:
        """Check that the server still serves a new connection."""
        answer = await self.send_raw(GOOD)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertEqual(self.seen.pop().target, '/good')

    async def until_seen(self, count: int) -> None:
        """Wait until the handler has been called `count` times."""
        await self.until(lambda: len(self.seen) >= count)

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not holds():
                await asyncio.sleep(0)

    async def send_twice(
        self, payload: bytes, first: http_data.Limits, then: http_data.Limits
    ) -> list[bytes]:
        """Send a small and a large request on a connection.

        Returns:
            Their statuses.
        """
        self.server.shared_state.limits = first
        reader, writer = await self.connect()
        statuses = [await self.round_trip(reader, writer, GOOD)]
        self.server.shared_state.limits = then
        # In two parts, so that the parser has an incomplete head.
        writer.write(payload[:-1])
        await asyncio.sleep(0)
        statuses.append(await self.round_trip(reader, writer, payload[-1:]))
        writer.close()
        return statuses

    async def round_trip(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        payload: bytes,
    ) -> bytes:
        """Return the status that a request gets."""
        writer.write(payload)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        return head.split(b' ')[1]

    async def _handle(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        self.seen.append(req)
        await self.may_respond.wait()
        match req.target:
            case '/huge':
                await exchange.respond(200, bytes(20_000_000))
            case '/split':
                headers = {'x': 'a\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200'}
                await exchange.respond(200, b'body', headers)
            case '/chunks':
                await exchange.start(200, {'x-name': 'caf\xe9'})
                await exchange.send(b'one')
                await exchange.finish(b'two')
            case '/empty':
                await exchange.respond(204, b'never sent')
            case '/half':
                await exchange.start(200, {})
                await exchange.send(b'one')
                raise ValueError('handler is broken')
            case _:
                await exchange.respond(200, req.target.encode() + req.body)


class HostileTest(_ServerCase):
    """Bad requests never reach the handler or affect other clients."""

    async def test_refused(self) -> None:
        """Each bad request gets one response, which states `not_run`.

        Some of them smuggle a second request behind one with ambiguous
        framing. It must not be served: the response would go to its sender
        or to another caller behind the same proxy.
        """
        for title, raw, status in REFUSED:
            with self.subTest(title):
                answer = await self.send_raw(raw)
                head, _, body = answer.partition(b'\r\n\r\n')
                self.assertIn(b' %d ' % status, head.split(b'\r\n')[0])
                self.assertIn(b'x-run: not_run', head)
                self.assertIn(b'"run":"not_run"', body)
                self.assertEqual(answer.count(b'HTTP/1.1'), 1)
                self.assertEqual(self.seen, [])
                await self.check_alive()

    async def test_cut_short(self) -> None:
        """A truncated request is never handled, wherever it is cut."""
        whole = b'%bcontent-length: 5\r\n\r\nhello' % POST
        ends = reversed(range(len(whole)))
        await asyncio.gather(*(self.send_raw(whole[:end]) for end in ends))
        self.assertEqual(self.seen, [])
        await self.check_alive()

    async def test_read_alike(self) -> None:
        """Unusual requests are parsed correctly, as is the one after them."""
        for title, raw, body in UNUSUAL_REQUESTS:
            with self.subTest(title):
                answer = await self.send_raw(raw + GOOD)
                self.assertEqual(answer.count(b'HTTP/1.1 200'), 2)
                self.assertEqual(
                    [(req.target, req.body) for req in self.seen],
                    [('/a', body), ('/good', b'')],
                )
                self.seen.clear()

    async def test_refusal_is_read(self) -> None:
        """A client that is still sending its body receives the rejection.

        The server rejects the request after the head, while the client is
        still writing. Closing at once would reset the connection, and the
        client would lose the response that states that nothing was run.
        """
        raw = b'%bcontent-length: 900000\r\n\r\n%b' % (POST, bytes(900000))
        answer = await self.send_raw(raw, send_eof=False)
        self.assertTrue(answer.startswith(b'HTTP/1.1 413'))

    async def test_slow(self) -> None:
        """A client that stalls is closed, with 408 if it sent a byte."""
        cases = (
            ('nothing', b'', b''),
            ('head', b'GET / HTTP/1.1\r\nhost:', b'HTTP/1.1 408'),
            ('body', b'%bcontent-length: 5\r\n\r\nhe' % POST, b'HTTP/1.1 408'),
        )
        for title, raw, expected in cases:
            with self.subTest(title):
                answer = await self.send_raw(raw, send_eof=False)
                self.assertEqual(answer[:12], expected)
                self.assertEqual(self.seen, [])
        await self.check_alive()

    async def test_dribble(self) -> None:
        """A client that keeps sending single bytes is still timed out."""
        reader, writer = await self.connect()
        writer.write(b'GET / HTTP/1.1\r\n')
        answered = asyncio.create_task(reader.read())
        sent = 0
        while not answered.done():
            writer.write(b'a: b\r\n')
            sent += 1
            await asyncio.sleep(0.01)
        self.assertTrue((await answered).startswith(b'HTTP/1.1 408'))
        self.assertLess(sent * len('a: b\r\n'), LIMITS.header_bytes)
        writer.close()

    async def test_slow_reader(self) -> None:
        """A client that doesn't read its response is closed."""
        reader, writer = await self.connect()
        writer.write(b'GET /huge HTTP/1.1\r\nhost: x\r\n\r\n')
        await self.until_seen(1)
        await self.until(lambda: not self.server.in_flight)
        self.seen.clear()
        await self.check_alive()
        writer.close()

    async def test_reset_in_body(self) -> None:
        """A request whose client resets during the body isn't handled."""
        reader, writer = await self.connect()
        writer.write(b'%bcontent-length: 5\r\n\r\nhe' % POST)
        await self.until(lambda: self.server.in_flight > 0)
        sock = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        await self.until(lambda: not self.server.in_flight)
        self.assertEqual(self.seen, [])
        await self.check_alive()

    async def test_too_many(self) -> None:
        """Connections over the limit are closed; the others work."""
        limits = http_data.Limits(connections=3)
        server = http_server.HttpServer(self._handle, limits)
        self.port = await server.start('127.0.0.1', 0)
        self.addAsyncCleanup(server.stop)
        opened = [await self.connect() for _ in range(limits.connections)]
        self.assertEqual(await self.send_raw(GOOD, send_eof=False), b'')
        for reader, writer in opened:
            writer.write(GOOD)
            self.assertTrue(await reader.readline())
            writer.close()


class ExchangeTest(_ServerCase):
    """Responses reach clients as the handler wrote them."""

    async def test_pipelined(self) -> None:
        """Pipelined requests are answered in order."""
        raw = b''.join(
            b'GET /%d HTTP/1.1\r\nhost: x\r\n\r\n' % number
            for number in range(20)
        )
        answer = await self.send_raw(raw)
        bodies = [part.split(b'HTTP')[0] for part in answer.split(b'\r\n\r\n')]
        self.assertEqual(bodies[1:], [b'/%d' % each for each in range(20)])

    async def test_pipelined_beside_others(self) -> None:
        """Many pipelined requests do not block another connection."""
        reader, writer = await self.connect()
        other_reader, other = await self.connect()
        writer.write(b'GET /many HTTP/1.1\r\nhost: x\r\n\r\n' * 500)
        other.write(GOOD)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await other_reader.readuntil(b'/good')
        self.assertLess(len(self.seen), 500)
        writer.close()
        other.close()

    async def test_half_closed(self) -> None:
        """A client that closed its sending side still gets its response."""
        self.may_respond.clear()
        answered = asyncio.create_task(self.send_raw(GOOD))
        await self.until_seen(1)
        self.may_respond.set()
        self.assertTrue((await answered).endswith(b'/good'))

    async def test_answers(self) -> None:
        """Responses without a body are framed so that the next one works."""
        chunks = b'3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n'
        cases = (
            (b'HEAD /a', b''),
            (b'HEAD /chunks', b''),
            (b'GET /chunks', chunks),
            (b'GET /empty', b''),
        )
        for line, expected in cases:
            with self.subTest(line.decode()):
                self.assertEqual(await self._first_body(line), (expected, True))

    async def test_broken_handler(self) -> None:
        """A failing handler causes a 500, or a truncated response.

        It fails before the head is sent, by a header that would cause
        response splitting, or in the middle of the body.
        """
        cases = (
            (b'GET /split', b'', True),
            (b'GET /half', b'3\r\none\r\n', False),
        )
        for line, expected, has_second in cases:
            with self.subTest(line.decode()), self.assertLogs('absl'):
                self.assertEqual(
                    await self._first_body(line), (expected, has_second)
                )

    async def test_latin(self) -> None:
        """A header byte beyond ASCII is sent unchanged."""
        answer = await self.send_raw(b'GET /chunks HTTP/1.1\r\nhost: x\r\n\r\n')
        self.assertIn(b'x-name: caf\xe9\r\n', answer)

    async def _first_body(self, line: bytes) -> tuple[bytes, bool]:
        """Return the first response's body, and whether a second came."""
        raw = b'%b HTTP/1.1\r\nhost: x\r\n\r\n%b' % (line, GOOD)
        answer = await self.send_raw(raw)
        _, _, rest = answer.partition(b'\r\n\r\n')
        body, has_second, _ = rest.partition(b'HTTP/1.1 200')
        return body, bool(has_second)


class StopTest(_ServerCase):
    """A stop does not abort requests that a client has begun to send."""

    async def test_in_flight(self) -> None:
        """A request in its handler and one half received are answered."""
        self.may_respond.clear()
        handled = asyncio.create_task(self.send_raw(GOOD, send_eof=False))
        await self.until_seen(1)
        reader, writer = await self.connect()
        writer.write(GOOD[:10])
        await self.until(lambda: self.server.in_flight == 2)
        stopping = asyncio.create_task(self.server.stop(5))
        await asyncio.sleep(0)
        writer.write(GOOD[10:])
        await self.until_seen(2)
        self.may_respond.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            answers = await handled, await reader.read()
        for answer in answers:
            self.assertIn(b'connection: close', answer)
            self.assertTrue(answer.endswith(b'/good'))
        await stopping
        writer.close()

    async def test_idle(self) -> None:
        """Idle connections are closed at once; new ones are refused."""
        reader, writer = await self.connect()
        writer.write(GOOD)
        await reader.readuntil(b'/good')
        await self.server.stop(5)
        self.assertEqual(await reader.read(), b'')
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        writer.close()

    async def test_changed_limits(self) -> None:
        """A kept connection has the size limits of the time it opened."""
        for title, payload, small, refusal in LARGE:
            with self.subTest(title):
                raised = await self.send_twice(payload, small, LARGER)
                self.assertEqual(raised, [b'200', b'200'])
                lowered = await self.send_twice(payload, LARGER, small)
                self.assertEqual(lowered, [b'200', refusal])

    async def test_shorter_idle(self) -> None:
        """A kept connection ends sooner than its client relies on."""
        reader, writer = await self.connect()
        await self.round_trip(reader, writer, GOOD)
        state = self.server.shared_state
        state.limits = LIMITS._replace(idle_s=LIMITS.idle_s / 10)
        await asyncio.sleep(LIMITS.idle_s / 2)
        self.assertEqual(await self.round_trip(reader, writer, GOOD), b'200')
        writer.close()

    async def test_accepted_in_stop(self) -> None:
        """A client connects at the moment at which the server stops.

        Its connection is accepted, and the server closes its listeners before
        the event loop has created the transport. The connection must be
        closed: a hanging one looks like a frozen server, and made a router
        send a request that crashes its servers to a third one.
        """
        with socket.socket() as client:
            client.connect(('127.0.0.1', self.port))
            client.setblocking(False)
            # The loop accepts in the iteration in which the stop begins.
            await asyncio.sleep(0)
            await self.server.stop()
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                received = await _received(loop, client)
        self.assertEqual(received, b'')

    async def test_queued(self) -> None:
        """A client sends its request before the server has started.

        The process is still loading, but its socket listens: the request
        waits in the backlog and is answered instead of refused.
        """
        listener = listeners.open_listener('127.0.0.1:0')
        assert listener is not None
        late_server = http_server.HttpServer(self._handle, LIMITS)
        self.addAsyncCleanup(late_server.stop)
        with socket.socket() as client:
            client.connect(listener.getsockname())
            client.sendall(GOOD)
            client.setblocking(False)
            await late_server.start('127.0.0.1', 0, listener)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                received = await loop.sock_recv(client, LIMITS.header_bytes)
        self.assertTrue(received.endswith(b'/good'), received)

    def test_taken(self) -> None:
        """No listener is opened on an address in use."""
        self.assertIsNone(listeners.open_listener(f'127.0.0.1:{self.port}'))

    async def test_drain(self) -> None:
        """A draining server serves requests, but closes the connection."""
        self.server.drain()
        answer = await self.send_raw(GOOD, send_eof=False)
        self.assertIn(b'connection: close', answer)
        self.assertTrue(answer.endswith(b'/good'))


async def _received(
    loop: asyncio.AbstractEventLoop, client: socket.socket
) -> bytes:
    """Return what a connection receives; empty if it was reset."""
    try:
        return await loop.sock_recv(client, 1)
    except ConnectionResetError:
        return b''


if __name__ == '__main__':
    unittest.main()
