"""The answering side of a request that the HTTP server took."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import h11

from beryllug.drivers import http_data, http_headers, http_link

JSON_TYPE = 'application/json'
BODYLESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class Mode:
    """What all exchanges of one server share."""

    def __init__(self, limits: http_data.Limits) -> None:
        """Begin without draining."""
        self.limits = limits
        self.draining = False


class Exchange:
    """The answering side of one request."""

    def __init__(
        self, parser: h11.Connection, link: http_link.Link, mode: Mode
    ) -> None:
        """Bind the exchange to its connection."""
        self.started = False
        self.finished = False
        self.is_head = False
        self._parser = parser
        self._link = link
        self._mode = mode

    def is_gone(self) -> bool:
        """Tell whether nothing can reach the client any more.

        A client that has only closed its sending side still gets its
        answer, so this is False for it.
        """
        return self._link.transport.is_closing()

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole answer in one write."""
        fields = dict(headers or {})
        fields.pop(http_headers.ENCODING, None)
        fields[http_headers.LENGTH] = str(len(body))
        payload = self._head(status, fields)
        if body and not self.is_head and status not in BODYLESS:
            payload += self._parser.send(h11.Data(data=body)) or b''
        payload += self._parser.send(h11.EndOfMessage()) or b''
        self.finished = True
        await self._write(payload)

    async def respond_json(
        self,
        status: int,
        document: Any,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole JSON answer."""
        body = http_data.to_json(document)
        framed = {'content-type': JSON_TYPE, **(headers or {})}
        await self.respond(status, body, framed)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of an answer that follows in chunks."""
        fields = dict(headers)
        fields.pop(http_headers.LENGTH, None)
        fields[http_headers.ENCODING] = 'chunked'
        await self._write(self._head(status, fields))

    async def send(self, chunk: bytes) -> None:
        """Send one chunk; waits while the client reads slowly.

        Raises:
            ConnectionError: The client has gone.
            TimeoutError: The client has not read for too long.
        """
        if chunk and not self.is_head:
            await self._write(self._parser.send(h11.Data(data=chunk)) or b'')

    async def finish(self, last: bytes = b'') -> None:
        """End a chunked answer, with a last chunk in the same write."""
        payload = b''
        if last and not self.is_head:
            payload = self._parser.send(h11.Data(data=last)) or b''
        payload += self._parser.send(h11.EndOfMessage()) or b''
        self.finished = True
        await self._write(payload)

    def abort(self, *, hard: bool = False) -> None:
        """Cut the connection, so that a half answer is never taken as whole.

        Args:
            hard: Cut with a TCP reset, which also discards what the client
                has not read yet.
        """
        self._link.abort(hard=hard)

    def _head(self, status: int, fields: Mapping[str, str]) -> bytes:
        encoded = http_headers.encode(fields.items())
        if self._mode.draining:
            encoded.append((b'connection', b'close'))
        head = h11.Response(status_code=status, headers=encoded, reason=b'')
        payload = self._parser.send(head) or b''
        self.started = True
        return payload

    async def _write(self, payload: bytes) -> None:
        self._link.write(payload)
        if self._link.is_blocked:
            async with asyncio.timeout(self._mode.limits.write_s):
                await self._link.drain()
