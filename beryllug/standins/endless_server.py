"""Stand-in for a backend server whose answers never end.

``python -m beryllug.standins.endless_server FORM [PAUSE_S]`` prints
``ready ADDRESS``, and at SIGTERM the number of answers that it began. It is a
process of its own, since it sends as fast as a socket takes the bytes.
"""

import asyncio
import enum
import signal
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import fire

from beryllug.platform import names
from beryllug.standins import fleet_settings

PART_BYTES = 65536
# Bytes sent at a time if there is a pause in between.
SLOW_BYTES = 1024
LINE_END = '\r\n'
HEAD_END = b'\r\n\r\n'
STATUS_LINE = 'HTTP/1.1 200 OK'
CHUNKED = 'transfer-encoding: chunked'
EMPTY = b''


class Form(enum.StrEnum):
    """What has no end."""

    # No HTTP at all, header lines, one header, empty lines, informational
    # responses.
    GARBAGE = 'garbage'
    HEAD = 'head'
    HEADER = 'header'
    EMPTY_LINES = 'empty_lines'
    INTERIM = 'interim'
    # A body without a length, with a length of a terabyte, in chunks, in
    # chunks of a byte; the extension of one chunk, trailers.
    BODY = 'body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    SMALL_CHUNKS = 'small_chunks'
    EXTENSION = 'extension'
    TRAILERS = 'trailers'
    # What comes after a whole answer.
    EXCESS = 'excess'
    # A line of a stream of events, lines of comments, comments that end as
    # events do.
    LINE = 'line'
    COMMENTS = 'comments'
    COMMENT_EVENTS = 'comment_events'


class Answer(NamedTuple):
    """Headers and bytes that are sent once, and the part without end."""

    fields: tuple[str, ...]
    body: bytes
    part: bytes


def _repeated(unit: bytes) -> bytes:
    return unit * (PART_BYTES // len(unit))


def _chunk(content: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(content), content)


_BYTES = b'y' * PART_BYTES
_HEADERS = _repeated(b'x-more: y\r\n')
ANSWERS: Mapping[Form, Answer] = MappingProxyType(
    {
        Form.HEAD: Answer((), LINE_END.encode(), _HEADERS),
        Form.HEADER: Answer(('x-more: y',), EMPTY, _BYTES),
        Form.BODY: Answer((), HEAD_END, _BYTES),
        Form.LENGTH: Answer(
            ('content-length: 1000000000000',), HEAD_END, _BYTES
        ),
        Form.CHUNKS: Answer(
            (CHUNKED,), HEAD_END, _repeated(_chunk(b'y' * SLOW_BYTES))
        ),
        Form.SMALL_CHUNKS: Answer(
            (CHUNKED,), HEAD_END, _repeated(_chunk(b'y'))
        ),
        Form.EXTENSION: Answer((CHUNKED,), b'\r\n\r\n5;', _BYTES),
        Form.TRAILERS: Answer((CHUNKED,), b'\r\n\r\n0\r\n', _HEADERS),
        Form.EXCESS: Answer(('content-length: 5',), b'\r\n\r\nwhole', _BYTES),
        Form.LINE: Answer(
            (CHUNKED,),
            HEAD_END + _chunk(b'data: '),
            _repeated(_chunk(b'y' * SLOW_BYTES)),
        ),
        Form.COMMENTS: Answer((), HEAD_END, _repeated(b': y\n')),
        Form.COMMENT_EVENTS: Answer((), HEAD_END, _repeated(b': y\n\n')),
    }
)
# Bytes without the head of an answer.
HEADLESS: Mapping[Form, bytes] = MappingProxyType(
    {
        Form.GARBAGE: bytes(PART_BYTES),
        Form.EMPTY_LINES: _repeated(b'\r\n'),
        Form.INTERIM: _repeated(b'HTTP/1.1 100 Continue\r\n\r\n'),
    }
)


class EndlessServer:
    """Begins each answer alike and never ends it.

    Attributes:
        begun: Number of answers begun.
    """

    def __init__(self, form: Form, pause_s: float = 0) -> None:
        """Create it; `start` opens its socket.

        Args:
            form: What has no end.
            pause_s: Seconds between two small parts; 0 for large parts as fast
                as the socket takes them.
        """
        self.begun = 0
        self._form = form
        self._pause_s = pause_s

    async def start(self) -> str:
        """Listen; returns the address."""
        host = fleet_settings.unique_loopback_host()
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        return f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer(reader, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            # The caller has closed, which alone ends an answer.
            return
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = await reader.readuntil(HEAD_END)
        self.begun += 1
        part = HEADLESS.get(self._form, EMPTY)
        if not part:
            answer = ANSWERS[self._form]
            part = answer.part
            writer.write(_head(raw, answer) + answer.body)
        if self._pause_s:
            part = part[:SLOW_BYTES]
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self._pause_s)


def _head(raw: bytes, answer: Answer) -> bytes:
    """Return the head of an answer, without the end of its last line."""
    lines = raw.decode('latin-1').lower().split(LINE_END)
    name = f'{names.ATTEMPT}:'
    attempt_id = next(
        (line[len(name) :].strip() for line in lines if line.startswith(name)),
        'none',
    )
    fields = [
        f'{names.ATTEMPT}: {attempt_id}',
        f'{names.SEAL}: endless.{attempt_id}',
        f'{names.CONFIDENCE}: 100',
    ]
    is_stream = any(line.startswith(f'{names.TOKENS}:') for line in lines)
    if is_stream:
        fields.append(f'{names.CONTENT_TYPE}: {names.EVENT_STREAM}')
    return LINE_END.join((STATUS_LINE, *fields, *answer.fields)).encode()


class EndlessProcess:
    """The server as a process of its own."""

    def __init__(self, form: Form, pause_s: float = 0) -> None:
        """Create it; `start` starts the process."""
        self._arguments = (form.value, str(pause_s))
        self._process: asyncio.subprocess.Process

    async def start(self) -> str:
        """Start the process; returns the server's address."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            __name__,
            *self._arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        return (await self._next_word()).decode()

    async def stop(self) -> int:
        """End the process; returns the number of answers that it began."""
        self._process.terminate()
        begun = int(await self._next_word())
        await self._process.wait()
        return begun

    async def _next_word(self) -> bytes:
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        return line.split()[-1]


def main() -> None:
    """Run the command line."""
    fire.Fire(_run)


def _run(form: str, pause_s: float = 0) -> None:
    asyncio.run(_serve_until_signal(EndlessServer(Form(form), pause_s)))


async def _serve_until_signal(server: EndlessServer) -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    _tell(f'ready {await server.start()}')
    await ended.wait()
    _tell(f'begun {server.begun}')


def _tell(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
