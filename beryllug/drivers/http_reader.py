"""Reads complete requests from a connection and rejects unsafe ones.

The server sets a deadline on the link that bounds how long a request may
take; after it a read fails with `TimeoutError`.
"""

import asyncio
from http import HTTPStatus

import h11

from beryllug.drivers import (
    http_data,
    http_events,
    http_headers,
    http_link,
)

CONNECT = b'CONNECT'
CHUNKED_SINCE_VERSION = b'1.1'  # HTTP version
# Bytes that are read and discarded after a rejected request.
MAX_DISCARDED_BYTES = 1048576


class RefusedError(Exception):
    """The request is rejected with an HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the HTTP status of the response."""
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Reads the requests of one connection in order.

    Attributes:
        parser: Its parser.
    """

    def __init__(
        self, link: http_link.Link, limits: http_data.Limits, peer: str
    ) -> None:
        """Bind the reader to its connection."""
        self._link = link
        self._limits = limits
        self._peer = peer
        self.parser = _new_parser(limits)
        self._events = http_events.EventReader(link, self.parser)

    def apply_limits(self, limits: http_data.Limits) -> None:
        """Set the limits of the request whose first byte was received."""
        if limits.header_bytes != self._limits.header_bytes:
            # The limit of a parser can't be changed.
            received, _ = self.parser.trailing_data
            self.parser = _new_parser(limits)
            self.parser.receive_data(received)
            self._events = http_events.EventReader(self._link, self.parser)
        self._limits = limits

    async def wait_first_byte(self) -> bool:
        """Wait for the first byte of a request; False at EOF.

        Raises:
            OSError: The connection broke or its idle timeout expired.
        """
        if self.parser.trailing_data[0]:
            # Yield to the event loop: many small pipelined requests would
            # otherwise be served in a row while other connections wait.
            await asyncio.sleep(0)
            return True
        received = await self._link.read()
        self.parser.receive_data(received)
        return bool(received)

    async def read(self) -> http_data.Request | None:
        """Read a complete request; None when the client has closed.

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

    def can_respond(self) -> bool:
        """Return whether the parser's state allows sending a response."""
        return self.parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    async def discard(self, deadline: float) -> None:
        """Send EOF, then read and discard what the client still sends.

        Args:
            deadline: Loop time after which the connection is aborted.
        """
        self._link.deadline = deadline
        self._link.transport.write_eof()
        remaining = MAX_DISCARDED_BYTES
        while remaining > 0:
            received = await self._link.read()
            remaining -= len(received) or remaining

    async def _read(self) -> http_data.Request | None:
        event = await self._events.next_event()
        if not isinstance(event, h11.Request):
            return None
        headers = http_headers.decode(event)
        _check_framing(event, headers)
        _check_head_size(event, headers, self._limits)
        _check_body_size(
            int(headers.get(http_headers.CONTENT_LENGTH, 0)), self._limits
        )
        body = await self._read_body()
        return http_data.Request(
            event.method.decode(),
            event.target.decode(),
            headers,
            body,
            self._peer,
        )

    async def _read_body(self) -> bytes:
        parser = self.parser
        if parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._link.write(parser.send(interim) or b'')
        pieces: list[bytes] = []
        size = 0
        event = await self._events.next_event()
        while isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
            size += len(event.data)
            _check_body_size(size, self._limits)
            event = await self._events.next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError('client is gone')
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)


def _new_parser(limits: http_data.Limits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes
    )


def _check_framing(event: h11.Request, headers: http_data.Headers) -> None:
    """Reject a request with ambiguous framing, and any CONNECT.

    A proxy and a server that determine the length of a request differently
    allow request smuggling: one caller's bytes are read as part of another
    caller's request. A CONNECT tunnel would carry bytes that nobody checks.
    """
    chunked = http_headers.TRANSFER_ENCODING in headers
    if chunked and http_headers.CONTENT_LENGTH in headers:
        raise RefusedError(
            HTTPStatus.BAD_REQUEST, 'two framings in one request'
        )
    if chunked and event.http_version != CHUNKED_SINCE_VERSION:
        raise RefusedError(HTTPStatus.BAD_REQUEST, 'chunks in an old version')
    if event.method == CONNECT:
        raise RefusedError(HTTPStatus.METHOD_NOT_ALLOWED, 'this is no tunnel')


def _check_head_size(
    event: h11.Request, headers: http_data.Headers, limits: http_data.Limits
) -> None:
    """Reject a large head; the parser can't if it arrives in one read."""
    size = sum(map(len, headers)) + sum(map(len, headers.values()))
    if size + len(event.target) > limits.header_bytes:
        raise RefusedError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'header is too large'
        )


def _check_body_size(size: int, limits: http_data.Limits) -> None:
    if size > limits.body_bytes:
        raise RefusedError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body is too large'
        )
