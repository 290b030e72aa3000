"""Property tests of the HTTP server: invalid and corrupted requests."""

import asyncio
import re
import unittest
from typing import ClassVar

import hypothesis
from hypothesis import strategies as st

from beryllug.drivers import http_data, http_server

LIMITS = http_data.Limits(header_bytes=4096, body_bytes=4096)
DETERMINISTIC = hypothesis.settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    database=None,
)
PROBE = b'GET /probe HTTP/1.1\r\nhost: x\r\n\r\n'
TOKEN = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile('[\x21-\x7e]+')
STATUS = re.compile(b'HTTP/1.1 ([0-9]{3}) ')

_lines = st.sampled_from(
    [
        b'POST /fuzz HTTP/1.1',
        b'GET /fuzz?a=b HTTP/1.1',
        b'POST /fuzz HTTP/1.0',
        b'OPTIONS * HTTP/1.1',
    ]
)
_fields = st.lists(
    st.sampled_from(
        [
            b'accept: */*',
            b'x-empty:',
            b'connection: keep-alive',
            b'x-long: %b' % (b'y' * 200),
        ]
    ),
    max_size=4,
)
# Each makes a request unsafe at any position among the fields.
_unsafe_fields = st.sampled_from(
    [
        b'content-length: 3\r\ncontent-length: 4',
        b'content-length: 3, 4',
        b'content-length: 3\r\ntransfer-encoding: chunked',
        b'transfer-encoding: chunked\r\ncontent-length: 0',
        b'transfer-encoding: chunked, chunked',
        b'transfer-encoding: chunked\r\ntransfer-encoding: chunked',
        b'transfer-encoding: gzip, chunked',
        b'transfer-encoding: \x0bchunked',
        b'transfer-encoding : chunked',
        b'content-length : 3',
        b'content-length: 0x3',
        b'content-length: +3',
        b'content-length: 3 3',
        b'host: other',
        b'x y: z',
        b'x: a\x00b',
        b'nonsense',
        b'x: %b' % (b'z' * 5000),
    ]
)
_bodies = st.sampled_from(
    [
        b'',
        b'abc',
        b'0\r\n\r\n',
        b'3\r\nabc\r\n0\r\n\r\n',
        PROBE.replace(b'probe', b'hidden'),
    ]
)
_noise = st.sampled_from(
    [
        b'\r\n',
        b'\n',
        b'\r',
        b'\x00',
        b' ',
        b':',
        b'\xff',
        b'content-length: 7\r\n',
        b'transfer-encoding: chunked\r\n',
        b'HTTP/1.1',
        b'f' * 20,
    ]
)


def _join(head: list[bytes], body: bytes) -> bytes:
    return b'\r\n'.join([*head, b'', body])


@st.composite
def _bad_request(draw: st.DrawFn) -> bytes:
    fields = draw(_fields)
    position = draw(st.integers(0, len(fields)))
    fields.insert(position, draw(_unsafe_fields))
    return _join([draw(_lines), b'host: x', *fields], draw(_bodies))


@st.composite
def _noisy_request(draw: st.DrawFn) -> bytes:
    fields = draw(_fields)
    body = draw(_bodies)
    fields.append(b'content-length: %d' % len(body))
    raw = _join([draw(_lines), b'host: x', *fields], body)
    for _ in range(draw(st.integers(1, 4))):
        position = draw(st.integers(0, len(raw)))
        cut = draw(st.integers(0, 3))
        raw = b'%b%b%b' % (raw[:position], draw(_noise), raw[position + cut :])
    return raw


_splits = st.lists(st.integers(0, 600), max_size=4)


class FuzzTest(unittest.TestCase):
    """The server rejects or serves any input and keeps working."""

    runner: ClassVar[asyncio.Runner]

    @classmethod
    def setUpClass(cls) -> None:
        """Create one event loop for all examples."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)

    def setUp(self) -> None:
        """Start a server whose handler records its requests."""
        self.seen: list[http_data.Request] = []
        self.failures: list[str] = []
        self.runner.get_loop().set_exception_handler(
            lambda _, context: self.failures.append(str(context))
        )
        self.server = http_server.HttpServer(self._handle, LIMITS)
        self.port = self.runner.run(self.server.start('127.0.0.1', 0))
        self.addCleanup(lambda: self.runner.run(self.server.stop()))

    @DETERMINISTIC
    @hypothesis.given(_bad_request(), _splits)
    def test_bad(self, raw: bytes, splits: list[int]) -> None:
        """A request that is invalid by construction isn't handled."""
        answer = self.runner.run(self._send_raw(raw, splits))
        self.assertEqual(self.seen, [], raw)
        self.assertRegex(answer, b'^HTTP/1.1 (4[0-9]{2}|501) ', raw)
        self._check_alive()

    @DETERMINISTIC
    @hypothesis.given(_noisy_request(), _splits)
    def test_noise(self, raw: bytes, splits: list[int]) -> None:
        """A corrupted request is rejected, or is valid when handled."""
        answer = self.runner.run(self._send_raw(raw, splits))
        for status in STATUS.findall(answer):
            self.assertRegex(status, b'^(200|4[0-9]{2}|501)$', raw)
        for req in self.seen:
            self._check_sane(req)
        self.seen.clear()
        self._check_alive()

    def _check_sane(self, req: http_data.Request) -> None:
        self.assertRegex(req.method, TOKEN)
        self.assertRegex(req.target, TARGET)
        framings = {'content-length', 'transfer-encoding'} & set(req.headers)
        self.assertLess(len(framings), 2)
        length = req.headers.get('content-length', len(req.body))
        if 'transfer-encoding' not in framings:
            self.assertEqual(int(length), len(req.body))

    def _check_alive(self) -> None:
        answer = self.runner.run(self._send_raw(PROBE, []))
        self.assertRegex(answer, b'^HTTP/1.1 200')
        self.assertEqual(self.seen.pop().target, '/probe')
        self.assertEqual(self.failures, [])

    async def _send_raw(self, raw: bytes, splits: list[int]) -> bytes:
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        start = 0
        try:
            for end in (*sorted(splits), len(raw)):
                writer.write(raw[start:end])
                await asyncio.sleep(0)
                start = max(start, end)
            writer.write_eof()
            return await reader.read()
        except OSError:
            return b''
        finally:
            writer.close()

    async def _handle(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        self.seen.append(req)
        await exchange.respond(200, req.body)


if __name__ == '__main__':
    unittest.main()
