"""An HTTP/1.1 client on asyncio and h11, with a connection pool.

Its errors separate what a router must know: `NotSentError` where no byte can
have reached the server, `BrokenError` where one may have. A connection whose
response was not read to its end is closed instead of reused, and so is one
that received unsolicited bytes; otherwise a caller could get part of the
response to another request.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11
import msgspec

from beryllug.drivers import (
    answer_memory,
    answer_timeouts,
    http_data,
    http_events,
    http_headers,
    http_link,
)

CONNECT_TIMEOUT_S = 2.0
IDLE_S = 30.0
MAX_IDLE_PER_ADDRESS = 64
HOST = 'host'
KEEP_ALIVE = 'keep-alive'
KEEP_ALIVE_TIMEOUT = 'timeout='
# An idle connection is dropped this many seconds before its server would close
# it. The server counts in whole seconds, from a moment that the client sees a
# round trip later; one second covers both.
KEEP_ALIVE_MARGIN_S = 1.0
# Statuses above it are none of HTTP.
MAX_STATUS = 599
BODYLESS_METHODS = ('GET', 'HEAD')
# Opens a link to ``ip:port``; raises OSError or TimeoutError.
Opener = Callable[[str], Awaitable[http_link.Link]]


class _Connection:
    """A link with its parser state and the time of its last use."""

    __slots__ = ('events', 'idle_s', 'is_reused', 'link', 'parser', 'used_at')

    def __init__(self, link: http_link.Link) -> None:
        self.link = link
        self.parser = h11.Connection(h11.CLIENT)
        self.events = http_events.EventReader(link, self.parser)
        self.used_at = 0.0
        self.is_reused = False
        self.idle_s = IDLE_S


class IncomingResponse:
    """A response whose head has arrived; the body is read as a stream.

    Attributes:
        status: Its status.
        headers: Its headers.
        is_reused: Whether its connection had served a request before.
        via: ``ip:port`` of the process that forwarded it, or empty.
        is_unframed: Whether its body has neither a length nor chunks, and ends
            with its connection.
        sent_at: Monotonic second at which the request was written, after its
            connection was opened.
    """

    def __init__(
        self,
        client: 'HttpClient',
        conn: _Connection,
        head: h11.Response,
        sent_at: float,
    ) -> None:
        """Bind the response to its connection."""
        self.status = head.status_code
        self.headers = http_headers.decode(head)
        self.is_reused = conn.is_reused
        self.via = conn.link.via
        self.is_unframed = _is_unframed(self.headers)
        self.sent_at = sent_at
        self._client = client
        self._conn = conn
        self._complete = False
        self._closed = False
        self._broken = False

    @property
    def reached_end(self) -> bool:
        """Whether the body was read to its end."""
        return self._complete

    @property
    def is_broken(self) -> bool:
        """Whether the connection broke before the end of the body."""
        return self._broken

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, one chunk for each read.

        Raises:
            BrokenError: The connection broke before the end.
        """
        while True:
            chunk = await self.next_chunk()
            if not chunk:
                return
            yield chunk

    async def next_chunk(self) -> bytes:
        """Return the received part of the body, waiting if there is none.

        Returns:
            At least one byte; empty at the end of the body.

        Raises:
            BrokenError: The connection broke before the end.
        """
        try:
            return await self._next_chunk()
        except (OSError, h11.RemoteProtocolError) as exc:
            self._broken = True
            raise _failure(str(exc), exc) from exc

    async def read(self) -> bytes:
        """Read the rest of the body.

        Raises:
            ExcessError: It is larger than the limits allow.
            BrokenError: The connection broke before the end.
        """
        self._check_length()
        with self._client.memory.reading() as reading:
            parts = [await self.next_chunk()]
            while parts[-1]:
                reading.add(len(parts[-1]))
                parts.append(await self.next_chunk())
        return b''.join(parts)

    async def read_json(self) -> Any:
        """Read the rest of the body as JSON.

        Raises:
            ExcessError: It is larger than the limits allow.
            BrokenError: The connection broke before the end.
            DecodeError: The body is not JSON.
        """
        return msgspec.json.decode(await self.read())

    def close(self) -> None:
        """Return the connection to the pool, or abort it mid-response.

        Calls after the first do nothing: the connection may already carry
        another caller's request, which they would abort.
        """
        if self._closed:
            return
        self._closed = True
        if self._complete:
            self._client.release(self._conn)
        else:
            self._conn.link.abort()

    def _check_length(self) -> None:
        length = int(self.headers.get(http_headers.CONTENT_LENGTH, 0))
        if length > self._client.memory.limits.body_bytes:
            raise http_data.ExcessError(f'a body of {length} bytes')

    async def _next_chunk(self) -> bytes:
        pieces: list[bytes] = []
        if self._complete:
            return b''
        events = self._conn.events
        event = await events.next_event()
        while isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
            event = events.ready_event()
        if isinstance(event, h11.EndOfMessage):
            link = self._conn.link
            if self.is_unframed and http_link.has_unacknowledged(link):
                raise ConnectionResetError('closed before the request was read')
            self._complete = True
        elif event is not h11.NEED_DATA:
            raise ConnectionResetError('server closed the connection')
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)


class HttpClient:
    """Sends requests; pools idle connections by address.

    Attributes:
        memory: What the answers hold that are being read whole.
    """

    def __init__(
        self,
        connect_s: float = CONNECT_TIMEOUT_S,
        timeouts: answer_timeouts.AnswerTimeouts | None = None,
        opener: Opener = http_link.open_link,
        limits: http_data.AnswerLimits | None = None,
    ) -> None:
        """Create a client without connections.

        Args:
            connect_s: Timeout of a connect in seconds.
            timeouts: Creates timeouts by the stalls of this process.
            opener: Opens a link to a server.
            limits: Limits on answers; None for the defaults.
        """
        self.memory = answer_memory.AnswerMemory(
            limits or http_data.AnswerLimits()
        )
        self._connect_s = connect_s
        self._opener = opener
        self._timeouts = timeouts or answer_timeouts.AnswerTimeouts()
        self._idle: dict[str, dict[http_link.Link, _Connection]] = {}

    @property
    def idle_connections(self) -> int:
        """Number of idle connections in the pool."""
        return sum(len(kept) for kept in self._idle.values())

    async def request(
        self,
        address: str,
        outgoing: http_data.Outgoing,
        timeout_s: float | None = None,
    ) -> IncomingResponse:
        """Send a request and return once the response head has arrived.

        Args:
            address: ``ip:port`` of the server.
            outgoing: The request.
            timeout_s: Seconds until the head must have arrived.

        Returns:
            The response; the caller must close it.

        Raises:
            NotSentError: No byte can have reached the server.
            ExcessError: The server sent too much before an answer.
            BrokenError: Bytes were written; the request may have run.
        """
        deadline = _deadline(timeout_s)
        conn = None if outgoing.new_connection else self._take_idle(address)
        if conn is None:
            conn = await self._connect(address, timeout_s)
        try:
            return await self._exchange(conn, outgoing, deadline)
        except BaseException:
            conn.link.abort()
            raise

    async def call(
        self,
        address: str,
        outgoing: http_data.Outgoing,
        timeout_s: float | None = None,
    ) -> tuple[IncomingResponse, bytes]:
        """Send a request and read the whole response.

        Raises:
            NotSentError: No byte can have reached the server.
            ExcessError: The answer is larger than the limits allow.
            BrokenError: Bytes were written; the request may have run.
        """
        deadline = _deadline(timeout_s)
        incoming = await self.request(address, outgoing, timeout_s)
        try:
            async with self._timeouts.until(deadline):
                body = await incoming.read()
        except TimeoutError as exc:
            raise http_data.BrokenError(f'{address}: timeout') from exc
        finally:
            incoming.close()
        return incoming, body

    async def is_reachable(self, address: str) -> bool:
        """Return whether the server accepts a connection; closes it."""
        try:
            conn = await self._connect(address, None)
        except http_data.NotSentError:
            return False
        conn.link.abort()
        return True

    def release(self, conn: _Connection) -> None:
        """Pool a connection whose response was read to its end."""
        link = conn.link
        kept = self._idle.setdefault(link.address, {})
        if len(kept) >= MAX_IDLE_PER_ADDRESS or not _is_reusable(conn):
            link.abort()
            return
        conn.parser.start_next_cycle()
        conn.used_at = asyncio.get_running_loop().time()
        conn.is_reused = True
        link.on_idle_end = self._remove_idle
        kept[link] = conn

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for link in self._idle.pop(address, {}):
            link.on_idle_end = None
            link.abort()

    async def close(self) -> None:
        """Close every idle connection."""
        links = [link for kept in self._idle.values() for link in kept]
        self._idle.clear()
        for link in links:
            link.on_idle_end = None
            link.transport.close()

    def _remove_idle(self, link: http_link.Link) -> None:
        kept = self._idle.get(link.address, {})
        kept.pop(link, None)
        if not kept:
            self._idle.pop(link.address, None)

    def _take_idle(self, address: str) -> _Connection | None:
        kept = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while kept:
            link, conn = kept.popitem()
            link.on_idle_end = None
            if now - conn.used_at < conn.idle_s and link.has_no_input():
                return conn
            link.abort()
        return None

    async def _connect(
        self, address: str, timeout_s: float | None
    ) -> _Connection:
        connect_s = min(self._connect_s, timeout_s or self._connect_s)
        loop = asyncio.get_running_loop()
        now = loop.time()
        latest = answer_timeouts.NEVER if timeout_s is None else now + timeout_s
        try:
            async with self._timeouts.until(now + connect_s, latest):
                conn = _Connection(await self._opener(address))
        except TimeoutError as exc:
            raise http_data.NotSentError(
                f'{address}: no connection within {connect_s} s'
            ) from exc
        except OSError as exc:
            raise http_data.NotSentError(f'{address}: {exc}') from exc
        # A request must not be sent after its caller's timeout has expired.
        if loop.time() >= latest:
            conn.link.abort()
            raise http_data.NotSentError(f'{address}: connected too late')
        return conn

    async def _exchange(
        self,
        conn: _Connection,
        outgoing: http_data.Outgoing,
        deadline: float | None,
    ) -> IncomingResponse:
        payload = _serialize(conn, outgoing)
        link = conn.link
        if link.transport.is_closing():
            raise http_data.NotSentError(f'{link.address}: closed at once')
        try:
            async with self._timeouts.until(deadline):
                return await self._send(conn, payload)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as exc:
            raise _failure(f'{link.address}: {exc!r}', exc) from exc

    async def _send(
        self, conn: _Connection, payload: bytes
    ) -> IncomingResponse:
        # A server may respond before it has read a long body: waiting for the
        # whole body to be sent first could wait for ever.
        sent_at = time.monotonic()
        conn.link.write(payload)
        event = await conn.events.next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > self.memory.limits.interim:
                raise http_data.ExcessError('informational responses only')
            event = await conn.events.next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError('closed before an answer')
        if event.status_code > MAX_STATUS:
            raise h11.RemoteProtocolError(f'status {event.status_code}')
        incoming = IncomingResponse(self, conn, event, sent_at)
        conn.idle_s = _idle_s(incoming.headers)
        return incoming


def _failure(reason: str, exc: Exception) -> http_data.BrokenError:
    """Return the error that a failed exchange means."""
    if isinstance(exc, http_link.RelayLostError):
        return http_data.RelayLostError(reason)
    too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if getattr(exc, 'error_status_hint', None) == too_large:
        return http_data.ExcessError(reason)
    return http_data.BrokenError(reason)


def _deadline(timeout_s: float | None) -> float | None:
    if timeout_s is None:
        return None
    return asyncio.get_running_loop().time() + timeout_s


def _serialize(conn: _Connection, outgoing: http_data.Outgoing) -> bytes:
    """Serialize a request.

    Raises:
        NotSentError: It is not valid HTTP; nothing was sent.
    """
    fields = list(outgoing.headers.items())
    if HOST not in outgoing.headers:
        fields.insert(0, (HOST, conn.link.address))
    if outgoing.body or outgoing.method not in BODYLESS_METHODS:
        fields.append((http_headers.CONTENT_LENGTH, str(len(outgoing.body))))
    parser = conn.parser
    try:
        head = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=http_headers.encode(fields),
        )
    except (UnicodeEncodeError, h11.LocalProtocolError) as exc:
        raise http_data.NotSentError(f'invalid request: {exc}') from exc
    payload = parser.send(head) or b''
    if outgoing.body:
        payload += parser.send(h11.Data(data=outgoing.body)) or b''
    return payload + (parser.send(h11.EndOfMessage()) or b'')


def _is_reusable(conn: _Connection) -> bool:
    """Return whether a connection can carry another request.

    It can't with bytes after the end of a response: they would be parsed as
    the response to the next request. One that another process forwards is used
    once: it would end with that process, perhaps just as a request is written.
    """
    if conn.link.via:
        return False
    parser = conn.parser
    is_complete = (
        parser.our_state is h11.DONE and parser.their_state is h11.DONE
    )
    unread = parser.trailing_data[0] or conn.link.has_unread()
    # The server responded before the whole request was sent: the rest of the
    # body would be written in front of the next request.
    unsent = conn.link.transport.get_write_buffer_size()
    return is_complete and not unread and not unsent


def _is_unframed(headers: http_data.Headers) -> bool:
    return (
        http_headers.CONTENT_LENGTH not in headers
        and http_headers.TRANSFER_ENCODING not in headers
    )


def _idle_s(headers: http_data.Headers) -> float:
    """Return how many seconds a connection may stay idle."""
    for part in headers.get(KEEP_ALIVE, '').split(','):
        text = part.strip()
        if text.startswith(KEEP_ALIVE_TIMEOUT):
            seconds = text[len(KEEP_ALIVE_TIMEOUT) :]
            if seconds.isdigit():
                return int(seconds) - KEEP_ALIVE_MARGIN_S
    return IDLE_S
