"""Reads whole requests from a connection and refuses what is unsafe.

The server's deadline on the link bounds how long a request may take; a read
then fails with `TimeoutError`.
"""

import asyncio
from http import HTTPStatus
from typing import Any

import h11

from beryllug.drivers import http_data, http_headers, http_link

CONNECT = b'CONNECT'
CHUNKS_SINCE = b'1.1'  # HTTP version
# Bytes of a refused request that are read and thrown away.
DISCARD_BYTES = 1048576


class RefusedError(Exception):
    """The request can't be served; carries the status to answer."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status."""
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Reads the requests of one connection, one after the other."""

    def __init__(
        self,
        link: http_link.Link,
        parser: h11.Connection,
        limits: http_data.Limits,
        peer: str,
    ) -> None:
        """Bind the reader to its connection."""
        self._link = link
        self._parser = parser
        self._limits = limits
        self._peer = peer

    async def wait_first_byte(self) -> bool:
        """Wait until a request begins; False when none will.

        Raises:
            OSError: The connection broke, or was idle for too long.
        """
        if self._parser.trailing_data[0]:
            # Many small requests sent at once would else be served in one
            # go, while every other connection waits.
            await asyncio.sleep(0)
            return True
        received = await self._link.read()
        self._parser.receive_data(received)
        return bool(received)

    async def read(self) -> http_data.Request | None:
        """Read a whole request; None when the client has left.

        Raises:
            RefusedError: It is malformed, too large, too slow or ambiguous.
            OSError: The connection broke.
        """
        try:
            return await self._read()
        except h11.RemoteProtocolError as exc:
            raise RefusedError(exc.error_status_hint, 'malformed request')
        except TimeoutError:
            raise RefusedError(
                HTTPStatus.REQUEST_TIMEOUT, 'request came too slowly'
            )

    def may_answer(self) -> bool:
        """Tell whether an answer can be sent in the parser's state."""
        return self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    async def discard(self, deadline: float) -> None:
        """Tell the client that this is the end, and read what it still sends.

        Args:
            deadline: Loop time after which the connection is cut.
        """
        self._link.deadline = deadline
        self._link.transport.write_eof()
        left = DISCARD_BYTES
        while left > 0:
            received = await self._link.read()
            left -= len(received) or left

    async def _read(self) -> http_data.Request | None:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        headers = http_headers.decode(event)
        _refuse_ambiguous(event, headers)
        _refuse_large_head(event, headers, self._limits)
        _refuse_large(int(headers.get(http_headers.LENGTH, 0)), self._limits)
        body = await self._read_body()
        return http_data.Request(
            event.method.decode(),
            event.target.decode(),
            headers,
            body,
            self._peer,
        )

    async def _read_body(self) -> bytes:
        parser = self._parser
        if parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._link.write(parser.send(interim) or b'')
        pieces: list[bytes] = []
        size = 0
        event = await self._next_event()
        while isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
            size += len(event.data)
            _refuse_large(size, self._limits)
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError('client has gone')
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    async def _next_event(self) -> Any:
        event = self._parser.next_event()
        while event is h11.NEED_DATA:
            self._parser.receive_data(await self._link.read())
            event = self._parser.next_event()
        return event


def _refuse_ambiguous(event: h11.Request, headers: http_data.Headers) -> None:
    """Refuse a request that could be read in two ways.

    A proxy that reads its length one way before a server that reads it the
    other is the hole through which one caller's request is smuggled into
    another's. A tunnel would carry bytes that nobody checks.
    """
    chunked = http_headers.ENCODING in headers
    if chunked and http_headers.LENGTH in headers:
        raise RefusedError(
            HTTPStatus.BAD_REQUEST, 'two framings in one request'
        )
    if chunked and event.http_version != CHUNKS_SINCE:
        raise RefusedError(HTTPStatus.BAD_REQUEST, 'chunks in an old version')
    if event.method == CONNECT:
        raise RefusedError(HTTPStatus.METHOD_NOT_ALLOWED, 'this is no tunnel')


def _refuse_large_head(
    event: h11.Request, headers: http_data.Headers, limits: http_data.Limits
) -> None:
    """Refuse a head that came at once, before the parser could measure it."""
    size = sum(map(len, headers)) + sum(map(len, headers.values()))
    if size + len(event.target) > limits.header_bytes:
        raise RefusedError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'header is too large'
        )


def _refuse_large(size: int, limits: http_data.Limits) -> None:
    if size > limits.body_bytes:
        raise RefusedError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body is too large'
        )
