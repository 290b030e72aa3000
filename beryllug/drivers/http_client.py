"""An HTTP/1.1 client on asyncio streams and h11, with kept connections.

Its errors tell what a router must know: `NotSentError` where no byte can
have reached the server, `BrokenError` where one may have. A connection whose
answer was not read to its end is closed and never used again, so no caller
can get the rest of another's answer.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import h11

from beryllug.drivers import http_data

READ_SIZE = 65536
CONNECT_S = 2.0
IDLE_S = 30.0
MAX_KEPT = 64


class _Link(NamedTuple):
    """An open connection and the state of its protocol."""

    address: str
    conn: h11.Connection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float


class Incoming:
    """An answer whose head has arrived and whose body is still to be read."""

    def __init__(
        self, client: 'HttpClient', link: _Link, head: h11.Response
    ) -> None:
        """Bind the answer to its connection."""
        self.status = head.status_code
        self.headers: http_data.Headers = {
            name.decode(): text.decode('latin-1') for name, text in head.headers
        }
        self._client = client
        self._link = link
        self._complete = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, joining what came in one read.

        Raises:
            BrokenError: The connection broke before the end.
        """
        while True:
            chunk = await self.next_chunk()
            if not chunk:
                return
            yield chunk

    async def next_chunk(self) -> bytes:
        """Return what has arrived of the body, waiting for the first byte.

        Returns:
            At least one byte, or none at the end of the body.

        Raises:
            BrokenError: The connection broke before the end.
        """
        chunk = b''
        while not chunk and not self._complete:
            chunk = await self._next_chunk()
        return chunk

    async def read(self) -> bytes:
        """Read the rest of the body.

        Raises:
            BrokenError: The connection broke before the end.
        """
        parts = [chunk async for chunk in self.chunks()]
        return b''.join(parts)

    async def read_json(self) -> Any:
        """Read the rest of the body as JSON."""
        return json.loads(await self.read())

    def close(self) -> None:
        """Give the connection back if the answer is whole, else cut it."""
        if self._complete:
            self._client.keep(self._link)
        else:
            self._link.writer.transport.abort()

    async def _next_chunk(self) -> bytes:
        pieces = self._parsed()
        if pieces or self._complete:
            return b''.join(pieces)
        try:
            received = await self._link.reader.read(READ_SIZE)
        except OSError as exc:
            raise http_data.BrokenError(str(exc)) from exc
        try:
            self._link.conn.receive_data(received)
        except h11.RemoteProtocolError as exc:
            raise http_data.BrokenError(str(exc)) from exc
        return b''.join(self._parsed())

    def _parsed(self) -> list[bytes]:
        pieces = []
        conn = self._link.conn
        while True:
            try:
                event = conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise http_data.BrokenError(str(exc)) from exc
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete = True
                return pieces
            elif event is h11.NEED_DATA:
                return pieces
            else:
                raise http_data.BrokenError('server closed the connection')


class HttpClient:
    """Sends requests; keeps connections to each address for reuse."""

    def __init__(self, connect_s: float = CONNECT_S) -> None:
        """Make a client with no connections."""
        self._connect_s = connect_s
        self._kept: dict[str, list[_Link]] = {}

    async def request(
        self,
        address: str,
        outgoing: http_data.Outgoing,
        timeout_s: float | None = None,
    ) -> Incoming:
        """Send a request and return its answer when the head has arrived.

        Args:
            address: ``ip:port`` of the server.
            outgoing: What to send.
            timeout_s: Seconds until the head must have arrived.

        Returns:
            The answer; the caller must close it.

        Raises:
            NotSentError: No byte can have reached the server.
            BrokenError: A byte was written; it may or may not have run.
        """
        deadline = _deadline(timeout_s)
        link = None if outgoing.fresh else self._take(address)
        if link is None:
            link = await self._connect(address, timeout_s)
        try:
            async with asyncio.timeout_at(deadline):
                return await self._exchange(link, outgoing)
        except TimeoutError as exc:
            link.writer.transport.abort()
            raise http_data.BrokenError(f'{address}: timeout') from exc
        except BaseException:
            link.writer.transport.abort()
            raise

    async def call(
        self,
        address: str,
        outgoing: http_data.Outgoing,
        timeout_s: float | None = None,
    ) -> tuple[Incoming, bytes]:
        """Send a request and read its whole answer.

        Raises:
            NotSentError: No byte can have reached the server.
            BrokenError: A byte was written; it may or may not have run.
        """
        deadline = _deadline(timeout_s)
        incoming = await self.request(address, outgoing, timeout_s)
        try:
            async with asyncio.timeout_at(deadline):
                body = await incoming.read()
        except TimeoutError as exc:
            raise http_data.BrokenError(f'{address}: timeout') from exc
        finally:
            incoming.close()
        return incoming, body

    def keep(self, link: _Link) -> None:
        """Take back a connection whose answer was read to its end."""
        conn = link.conn
        done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        kept = self._kept.setdefault(link.address, [])
        # Bytes after the end of an answer belong to nobody we know: such a
        # connection would hand them to the next caller as its answer.
        clean = done and not conn.trailing_data[0]
        if clean and len(kept) < MAX_KEPT:
            conn.start_next_cycle()
            now = asyncio.get_running_loop().time()
            kept.append(link._replace(used_at=now))
        else:
            link.writer.close()

    async def close(self) -> None:
        """Close every kept connection."""
        links = [link for kept in self._kept.values() for link in kept]
        self._kept.clear()
        for link in links:
            link.writer.close()

    def _take(self, address: str) -> _Link | None:
        kept = self._kept.get(address, [])
        now = asyncio.get_running_loop().time()
        while kept:
            link = kept.pop()
            stale = now - link.used_at > IDLE_S
            if stale or link.reader.at_eof() or link.writer.is_closing():
                link.writer.close()
            else:
                return link
        return None

    async def _connect(self, address: str, timeout_s: float | None) -> _Link:
        host, _, port = address.rpartition(':')
        connect_s = min(self._connect_s, timeout_s or self._connect_s)
        try:
            async with asyncio.timeout(connect_s):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as exc:
            raise http_data.NotSentError(f'{address}: {exc}') from exc
        conn = h11.Connection(h11.CLIENT)
        return _Link(address, conn, reader, writer, 0)

    async def _exchange(
        self, link: _Link, outgoing: http_data.Outgoing
    ) -> Incoming:
        fields = [('host', link.address), *outgoing.headers.items()]
        fields.append(('content-length', str(len(outgoing.body))))
        head = h11.Request(
            method=outgoing.method, target=outgoing.target, headers=fields
        )
        payload = link.conn.send(head) or b''
        if outgoing.body:
            payload += link.conn.send(h11.Data(data=outgoing.body)) or b''
        payload += link.conn.send(h11.EndOfMessage()) or b''
        try:
            link.writer.write(payload)
            await link.writer.drain()
            return await self._read_head(link)
        except (OSError, h11.RemoteProtocolError) as exc:
            raise http_data.BrokenError(f'{link.address}: {exc}') from exc

    async def _read_head(self, link: _Link) -> Incoming:
        while True:
            event = link.conn.next_event()
            if isinstance(event, h11.Response):
                return Incoming(self, link, event)
            if event is h11.NEED_DATA:
                link.conn.receive_data(await link.reader.read(READ_SIZE))
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError('closed before an answer')


def _deadline(timeout_s: float | None) -> float | None:
    if timeout_s is None:
        return None
    return asyncio.get_running_loop().time() + timeout_s
