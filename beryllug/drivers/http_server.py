"""An HTTP/1.1 server on asyncio streams and h11.

It serves callers, operators and the stand-ins. A handler gets the whole
request and an `Exchange` through which it answers, at once or in chunks.
Every connection is bounded in bytes and in time, so a slow or hostile
client costs one small task and nothing else.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import h11
from absl import logging

from beryllug.drivers import http_data

READ_SIZE = 65536
JSON_TYPE = 'application/json'
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
SERVER_ERROR = 500
LENGTH = b'content-length'
CHUNKED = b'transfer-encoding'
RESET = struct.pack('ii', 1, 0)  # linger on, for no time: close resets


class Exchange:
    """The answering side of one request."""

    def __init__(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: http_data.Limits,
    ) -> None:
        """Bind the exchange to its connection."""
        self.started = False
        self.finished = False
        self._conn = conn
        self._reader = reader
        self._writer = writer
        self._limits = limits

    def is_gone(self) -> bool:
        """Tell whether the client has closed its side or the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole answer in one write."""
        framed = {'content-length': str(len(body)), **(headers or {})}
        head = self._head(status, framed)
        payload = self._conn.send(h11.Data(data=body)) or b'' if body else b''
        tail = self._conn.send(h11.EndOfMessage()) or b''
        self.finished = True
        await self._write(head + payload + tail)

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
        framed = {'transfer-encoding': 'chunked', **headers}
        await self._write(self._head(status, framed))

    async def send(self, chunk: bytes) -> None:
        """Send one chunk; waits while the client reads slowly.

        Raises:
            ConnectionError: The client has gone.
            TimeoutError: The client has not read for too long.
        """
        if chunk:
            await self._write(self._conn.send(h11.Data(data=chunk)) or b'')

    async def finish(self, last: bytes = b'') -> None:
        """End a chunked answer, with a last chunk in the same write."""
        payload = self._conn.send(h11.Data(data=last)) or b'' if last else b''
        tail = self._conn.send(h11.EndOfMessage()) or b''
        self.finished = True
        await self._write(payload + tail)

    def abort(self, *, hard: bool = False) -> None:
        """Cut the connection, so that a half answer is never taken as whole.

        Args:
            hard: Cut with a TCP reset, which also discards what the client
                has not read yet.
        """
        if hard:
            sock = self._writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._writer.transport.abort()

    def _head(self, status: int, headers: Mapping[str, str]) -> bytes:
        self.started = True
        fields = list(headers.items())
        head = h11.Response(status_code=status, headers=fields, reason=b'')
        return self._conn.send(head) or b''

    async def _write(self, payload: bytes) -> None:
        if self._writer.is_closing():
            raise ConnectionResetError('client has gone')
        self._writer.write(payload)
        if self._writer.transport.get_write_buffer_size():
            async with asyncio.timeout(self._limits.write_s):
                await self._writer.drain()


Handler = Callable[[http_data.Request, Exchange], Awaitable[None]]


class _RefusedError(Exception):
    """The request can't be served; carries the status to answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class HttpServer:
    """Serves one address until it is stopped."""

    def __init__(
        self,
        handler: Handler,
        limits: http_data.Limits | None = None,
    ) -> None:
        """Make a server; `start` opens its socket."""
        self._handler = handler
        self._limits = limits or http_data.Limits()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[asyncio.Task[None]] = set()
        self._draining = False

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port."""
        server = await asyncio.start_server(self._accept, host, port)
        self._server = server
        bound: int = server.sockets[0].getsockname()[1]
        return bound

    async def stop(self, grace_s: float = 0) -> None:
        """Stop accepting, let requests in flight end, close the rest."""
        self._draining = True
        if self._server is not None:
            self._server.close()
        for idle in self._tasks - self._busy:
            idle.cancel()
        if self._busy and grace_s:
            await asyncio.wait(self._busy, timeout=grace_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def in_flight(self) -> int:
        """Count the requests that are being handled."""
        return len(self._busy)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(task, reader, writer)
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._forget(task, writer)

    def _forget(
        self, task: 'asyncio.Task[None]', writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.discard(task)
        self._busy.discard(task)
        writer.close()

    async def _serve(
        self,
        task: 'asyncio.Task[None]',
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.header_bytes,
        )
        while not self._draining:
            exchange = Exchange(conn, reader, writer, self._limits)
            req = await self._next_request(conn, reader, writer, exchange)
            if req is None:
                return
            self._busy.add(task)
            await self._handle(req, exchange)
            self._busy.discard(task)
            if conn.our_state is not h11.DONE:
                return
            if conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _handle(self, req: http_data.Request, exchange: Exchange) -> None:
        try:
            await self._handler(req, exchange)
        except (ConnectionError, TimeoutError):
            exchange.abort()
        except Exception:
            logging.exception('event=handler_failed target=%s', req.target)
            if exchange.started:
                exchange.abort()
                return
            with contextlib.suppress(ConnectionError, TimeoutError):
                await exchange.respond(SERVER_ERROR)
        if exchange.started and not exchange.finished:
            exchange.abort()

    async def _next_request(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        exchange: Exchange,
    ) -> http_data.Request | None:
        try:
            return await self._read_request(conn, reader, writer)
        except _RefusedError as exc:
            refusal = (exc.status, str(exc))
        except h11.RemoteProtocolError as exc:
            refusal = (exc.error_status_hint, 'malformed request')
        if conn.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            status, reason = refusal
            document = {'error': {'code': 'bad_request', 'message': reason}}
            document['error']['run'] = 'not_run'
            await exchange.respond_json(
                status, document, {'connection': 'close'}
            )
        return None

    async def _read_request(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> http_data.Request | None:
        event = await self._first_event(conn, reader)
        if not isinstance(event, h11.Request):
            return None
        _refuse_ambiguous_framing(event, self._limits)
        try:
            async with asyncio.timeout(self._limits.read_s):
                body = await self._read_body(conn, reader, writer)
        except TimeoutError:
            raise _RefusedError(REQUEST_TIMEOUT, 'body came too slowly')
        peer = writer.get_extra_info('peername') or ('',)
        return http_data.Request(
            event.method.decode(),
            event.target.decode(),
            _headers(event),
            body,
            peer[0],
        )

    async def _first_event(
        self, conn: h11.Connection, reader: asyncio.StreamReader
    ) -> Any:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(self._limits.idle_s):
                chunk = await reader.read(READ_SIZE)
            conn.receive_data(chunk)
            event = conn.next_event()
        try:
            async with asyncio.timeout(self._limits.read_s):
                while event is h11.NEED_DATA:
                    conn.receive_data(await reader.read(READ_SIZE))
                    event = conn.next_event()
        except TimeoutError:
            raise _RefusedError(REQUEST_TIMEOUT, 'header came too slowly')
        return event

    async def _read_body(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        if conn.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            writer.write(conn.send(interim) or b'')
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await reader.read(READ_SIZE))
            elif isinstance(event, h11.Data):
                body += event.data
                _refuse_large(len(body), self._limits)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ConnectionResetError('client has gone')


def _headers(event: h11.Request) -> http_data.Headers:
    """Decode the header fields, repeats joined as the standard allows."""
    fields: http_data.Headers = {}
    for raw_name, raw_value in event.headers:
        name = raw_name.decode('ascii')
        text = raw_value.decode('latin-1')
        fields[name] = f'{fields[name]}, {text}' if name in fields else text
    return fields


def _refuse_ambiguous_framing(
    event: h11.Request, limits: http_data.Limits
) -> None:
    """Refuse a request whose length could be read in two ways.

    A proxy that reads it one way before a server that reads it the other is
    the hole through which one caller's request is smuggled into another's.
    """
    names = [name for name, _ in event.headers]
    if CHUNKED in names and LENGTH in names:
        raise _RefusedError(BAD_REQUEST, 'two framings in one request')
    if event.http_version != b'1.1' and CHUNKED in names:
        raise _RefusedError(BAD_REQUEST, 'chunks need HTTP/1.1')
    lengths = [int(text) for name, text in event.headers if name == LENGTH]
    _refuse_large(max(lengths, default=0), limits)


def _refuse_large(size: int, limits: http_data.Limits) -> None:
    if size > limits.body_bytes:
        raise _RefusedError(TOO_LARGE, 'body is too large')
