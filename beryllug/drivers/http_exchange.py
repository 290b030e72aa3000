"""The response to one request of the HTTP server."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import h11

from beryllug.drivers import http_data, http_headers, http_link

JSON_TYPE = 'application/json'
BODYLESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class SharedState:
    """State that all exchanges of one server share."""

    def __init__(self, limits: http_data.Limits) -> None:
        """Create the state of a server that is not draining."""
        self.limits = limits
        self.draining = False


class Exchange:
    """Writes the response to one request."""

    def __init__(
        self, parser: h11.Connection, link: http_link.Link, shared: SharedState
    ) -> None:
        """Bind the exchange to its connection."""
        self.started = False
        self.finished = False
        self.is_head = False
        self._parser = parser
        self._link = link
        self._shared = shared

    def is_gone(self) -> bool:
        """Return whether the connection is closed for writing.

        False for a client that has only closed its sending side: it still
        gets its response.
        """
        return self._link.transport.is_closing()

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete response in one write."""
        fields = dict(headers or {})
        fields.pop(http_headers.TRANSFER_ENCODING, None)
        fields[http_headers.CONTENT_LENGTH] = str(len(body))
        payload = self._head(status, fields)
        if body and not self.is_head and status not in BODYLESS_STATUSES:
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
        """Send a complete JSON response."""
        body = http_data.to_json(document)
        all_headers = {'content-type': JSON_TYPE, **(headers or {})}
        await self.respond(status, body, all_headers)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of a chunked response."""
        fields = dict(headers)
        fields.pop(http_headers.CONTENT_LENGTH, None)
        fields[http_headers.TRANSFER_ENCODING] = 'chunked'
        await self._write(self._head(status, fields))

    async def send(self, chunk: bytes) -> None:
        """Send one chunk, waiting while the write buffer is full.

        Raises:
            ConnectionError: The connection is closed.
            TimeoutError: The client has not read for `Limits.write_s`.
        """
        if chunk and not self.is_head:
            await self._write(self._parser.send(h11.Data(data=chunk)) or b'')

    async def finish(self, last: bytes = b'') -> None:
        """End a chunked response, with a last chunk in the same write."""
        payload = b''
        if last and not self.is_head:
            payload = self._parser.send(h11.Data(data=last)) or b''
        payload += self._parser.send(h11.EndOfMessage()) or b''
        self.finished = True
        await self._write(payload)

    def abort(self, *, hard: bool = False) -> None:
        """Abort the connection, so a partial response can't look complete.

        Args:
            hard: Send a TCP reset, which also discards what the client has
                not read yet.
        """
        self._link.abort(hard=hard)

    def _head(self, status: int, fields: Mapping[str, str]) -> bytes:
        encoded = http_headers.encode(fields.items())
        if self._shared.draining:
            encoded.append((b'connection', b'close'))
        head = h11.Response(status_code=status, headers=encoded, reason=b'')
        payload = self._parser.send(head) or b''
        self.started = True
        return payload

    async def _write(self, payload: bytes) -> None:
        self._link.write(payload)
        if self._link.is_blocked:
            async with asyncio.timeout(self._shared.limits.write_s):
                await self._link.drain()
