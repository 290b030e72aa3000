"""Stand-in for a backend server whose answers end with their connection.

They have neither a length nor chunks.
"""

import asyncio
from http import HTTPStatus
from typing import NamedTuple

from beryllug.platform import names

EVENTS = 5
HEAD_END = b'\r\n\r\n'
LINE_END = '\r\n'
COMMENT = b': wait\n\n'
COMMENT_INTERVAL_S = 0.01


class Answer(NamedTuple):
    """How the server answers.

    Attributes:
        is_stream: Whether with events; else with one text.
        cut_at: Bytes of the first answer's body after which it closes the
            connection; None for the whole body.
        pause_s: Seconds before each event, or before each half of a text.
        events: Number of events.
        names_model: Whether events hold the model and their number.
        comments: Number of comments before the first answer.
        is_commented: Whether a comment follows each event.
    """

    is_stream: bool
    cut_at: int | None = None
    pause_s: float = 0.0
    events: int = EVENTS
    names_model: bool = False
    comments: int = 0
    is_commented: bool = False


class UnframedServer:
    """Answers on raw sockets.

    Attributes:
        last_events: The event after which each request asked to resume.
    """

    def __init__(self, answer: Answer) -> None:
        """Create it; `start` opens its socket."""
        self.last_events: list[str] = []
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'{host}:{port}'

    async def stop(self) -> None:
        """Close the socket."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # A connection that was opened and not used.
            return
        finally:
            writer.close()

    async def _answer_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = await reader.readuntil(HEAD_END)
        headers = _headers_of(raw)
        await reader.readexactly(int(headers.get('content-length', 0)))
        last_event = headers.get(names.LAST_EVENT, '')
        self.last_events.append(last_event)
        writer.write(self._head(headers[names.ATTEMPT]))
        parts = self._parts(headers.get(names.MODEL, ''), int(last_event or 0))
        cut_at = self._answer.cut_at
        for _ in range(self._answer.comments):
            writer.write(COMMENT)
            await asyncio.sleep(COMMENT_INTERVAL_S)
        self._answer = self._answer._replace(cut_at=None, comments=0)
        if cut_at is not None:
            parts = [b''.join(parts)[:cut_at]]
        for part in parts:
            await asyncio.sleep(self._answer.pause_s)
            writer.write(part)
            await writer.drain()

    def _head(self, attempt_id: str) -> bytes:
        sent = {
            names.ATTEMPT: attempt_id,
            names.SEAL: f'unframed.{attempt_id}',
            names.CONFIDENCE: '100',
            names.CONNECTION: 'close',
        }
        if self._answer.is_stream:
            sent[names.CONTENT_TYPE] = names.EVENT_STREAM
        lines = [
            f'HTTP/1.1 {HTTPStatus.OK} OK',
            *(f'{name}: {text}' for name, text in sent.items()),
        ]
        return LINE_END.join(lines).encode() + HEAD_END

    def _parts(self, model: str, last_event: int) -> list[bytes]:
        if not self._answer.is_stream:
            return [b'who', b'le']
        numbers = range(last_event + 1, self._answer.events + 1)
        if self._answer.names_model:
            events = [f'id: {each}\ndata: {model} {each}' for each in numbers]
        else:
            events = [f'id: {each}\ndata: x' for each in numbers]
        comment = COMMENT if self._answer.is_commented else b''
        return [f'{event}\n\n'.encode() + comment for event in events]


def _headers_of(raw: bytes) -> dict[str, str]:
    lines = raw.decode('latin-1').split(LINE_END)[1:]
    pairs = (line.partition(':') for line in lines if line)
    return {name.lower(): text.strip() for name, _, text in pairs}
