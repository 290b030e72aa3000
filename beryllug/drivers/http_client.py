"""An HTTP/1.1 client on asyncio and h11, with kept connections.

Its errors tell what a router must know: `NotSentError` where no byte can
have reached the server, `BrokenError` where one may have. A connection whose
answer was not read to its end is closed and never used again, and one on
which a byte came unasked neither, so no caller gets a part of another's
answer.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import h11
import msgspec

from beryllug.drivers import http_data, http_headers, http_link

CONNECT_S = 2.0
# Seconds by which a timer is late where the process stood still, and the tries
# to connect of one that does so again and again.
HELD_UP_S = 0.01
MOST_CONNECTS = 3
IDLE_S = 30.0
MAX_KEPT = 64
HOST = 'host'
KEEP_ALIVE = 'keep-alive'
KEEP_ALIVE_TIMEOUT = 'timeout='
# Seconds that a kept connection is dropped before its server would close it.
# The server counts whole seconds from a moment that we see a round trip
# later; one second more covers both.
CLOSE_AHEAD_S = 1.0
BODYLESS = ('GET', 'HEAD')


class _Connection:
    """A link, the state of its protocol and when it was last used."""

    __slots__ = ('idle_s', 'link', 'parser', 'used_at')

    def __init__(self, link: http_link.Link) -> None:
        self.link = link
        self.parser = h11.Connection(h11.CLIENT)
        self.used_at = 0.0
        self.idle_s = IDLE_S


class Incoming:
    """An answer whose head has arrived and whose body is still to be read."""

    def __init__(
        self, client: 'HttpClient', conn: _Connection, head: h11.Response
    ) -> None:
        """Bind the answer to its connection."""
        self.status = head.status_code
        self.headers = http_headers.decode(head)
        self._client = client
        self._conn = conn
        self._complete = False
        self._closed = False
        self._arrived = True
        self._cut = False

    @property
    def is_whole(self) -> bool:
        """Tell whether the body was read to its end."""
        return self._complete

    @property
    def is_cut(self) -> bool:
        """Tell whether the connection broke before the body's end."""
        return self._cut

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
        try:
            return await self._next_chunk()
        except (OSError, h11.RemoteProtocolError) as exc:
            self._cut = True
            raise http_data.BrokenError(str(exc)) from exc

    async def read(self) -> bytes:
        """Read the rest of the body.

        Raises:
            BrokenError: The connection broke before the end.
        """
        parts = [await self.next_chunk()]
        while parts[-1]:
            parts.append(await self.next_chunk())
        return b''.join(parts)

    async def read_json(self) -> Any:
        """Read the rest of the body as JSON.

        Raises:
            BrokenError: The connection broke before the end.
            DecodeError: The body is no JSON.
        """
        return msgspec.json.decode(await self.read())

    def close(self) -> None:
        """Give the connection back if the answer is whole, else cut it.

        Only the first call does. At a second one the connection may already
        carry another caller's request, which would be cut off.
        """
        if self._closed:
            return
        self._closed = True
        if self._complete:
            self._client.keep(self._conn)
        else:
            self._conn.link.abort()

    async def _next_chunk(self) -> bytes:
        pieces: list[bytes] = []
        while not pieces and not self._complete:
            if not self._arrived:
                received = await self._conn.link.read()
                self._conn.parser.receive_data(received)
            self._parse_into(pieces)
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    def _parse_into(self, pieces: list[bytes]) -> None:
        next_event = self._conn.parser.next_event
        event = next_event()
        while isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
            event = next_event()
        self._arrived = False
        if isinstance(event, h11.EndOfMessage):
            self._complete = True
        elif event is not h11.NEED_DATA:
            raise ConnectionResetError('server closed the connection')


class HttpClient:
    """Sends requests; keeps connections to each address for reuse."""

    def __init__(self, connect_s: float = CONNECT_S) -> None:
        """Make a client with no connections."""
        self._connect_s = connect_s
        self._kept: dict[str, dict[http_link.Link, _Connection]] = {}

    @property
    def kept(self) -> int:
        """Count the idle connections that are kept for reuse."""
        return sum(len(kept) for kept in self._kept.values())

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
        conn = None if outgoing.fresh else self._take(address)
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

    async def is_reachable(self, address: str) -> bool:
        """Tell whether a server takes a new connection, which is closed."""
        try:
            conn = await self._connect(address, None)
        except http_data.NotSentError:
            return False
        conn.link.abort()
        return True

    def keep(self, conn: _Connection) -> None:
        """Take back a connection whose answer was read to its end."""
        link = conn.link
        kept = self._kept.setdefault(link.address, {})
        if len(kept) >= MAX_KEPT or not _is_reusable(conn):
            link.abort()
            return
        conn.parser.start_next_cycle()
        conn.used_at = asyncio.get_running_loop().time()
        link.on_idle_end = self._forget
        kept[link] = conn

    def forget(self, address: str) -> None:
        """Close the kept connections to an address."""
        for link in self._kept.pop(address, {}):
            link.on_idle_end = None
            link.abort()

    async def close(self) -> None:
        """Close every kept connection."""
        links = [link for kept in self._kept.values() for link in kept]
        self._kept.clear()
        for link in links:
            link.on_idle_end = None
            link.transport.close()

    def _forget(self, link: http_link.Link) -> None:
        kept = self._kept.get(link.address, {})
        kept.pop(link, None)
        if not kept:
            self._kept.pop(link.address, None)

    def _take(self, address: str) -> _Connection | None:
        kept = self._kept.get(address)
        now = asyncio.get_running_loop().time()
        while kept:
            link, conn = kept.popitem()
            link.on_idle_end = None
            if now - conn.used_at < conn.idle_s and link.is_quiet():
                return conn
            link.abort()
        return None

    async def _connect(
        self, address: str, timeout_s: float | None
    ) -> _Connection:
        connect_s = min(self._connect_s, timeout_s or self._connect_s)
        loop = asyncio.get_running_loop()
        # Where the caller's own time is over, nothing may be sent any more.
        tries = MOST_CONNECTS if timeout_s is None else 1
        for _ in range(tries):
            deadline = loop.time() + connect_s
            try:
                async with asyncio.timeout_at(deadline):
                    return await _connected(address)
            except TimeoutError:
                # A process that stood still finds its own delay here.
                if loop.time() < deadline + HELD_UP_S:
                    break
            except OSError as exc:
                raise http_data.NotSentError(f'{address}: {exc}') from exc
        raise http_data.NotSentError(
            f'{address}: no connection within {connect_s} s'
        )

    async def _exchange(
        self,
        conn: _Connection,
        outgoing: http_data.Outgoing,
        deadline: float | None,
    ) -> Incoming:
        payload = _serialize(conn, outgoing)
        link = conn.link
        if link.transport.is_closing():
            raise http_data.NotSentError(f'{link.address}: closed at once')
        try:
            if deadline is None:
                return await self._send(conn, payload)
            async with asyncio.timeout_at(deadline):
                return await self._send(conn, payload)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as exc:
            raise http_data.BrokenError(f'{link.address}: {exc!r}') from exc

    async def _send(self, conn: _Connection, payload: bytes) -> Incoming:
        link = conn.link
        parser = conn.parser
        # A server may answer before it has read a long body: waiting for the
        # body to go out first would wait for ever.
        link.write(payload)
        event = parser.next_event()
        while not isinstance(event, h11.Response):
            if event is h11.NEED_DATA:
                parser.receive_data(await link.read())
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError('closed before an answer')
            event = parser.next_event()
        incoming = Incoming(self, conn, event)
        conn.idle_s = _idle_s(incoming.headers)
        return incoming


async def _connected(address: str) -> _Connection:
    host, _, port = address.rpartition(':')
    link = http_link.Link(address)
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: link, host, int(port))
    return _Connection(link)


def _deadline(timeout_s: float | None) -> float | None:
    if timeout_s is None:
        return None
    return asyncio.get_running_loop().time() + timeout_s


def _serialize(conn: _Connection, outgoing: http_data.Outgoing) -> bytes:
    """Return the bytes of a request.

    Raises:
        NotSentError: It can't be written as HTTP; nothing was sent.
    """
    fields = list(outgoing.headers.items())
    if HOST not in outgoing.headers:
        fields.insert(0, (HOST, conn.link.address))
    if outgoing.body or outgoing.method not in BODYLESS:
        fields.append((http_headers.LENGTH, str(len(outgoing.body))))
    parser = conn.parser
    try:
        head = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=http_headers.encode(fields),
        )
    except (UnicodeEncodeError, h11.LocalProtocolError) as exc:
        raise http_data.NotSentError(f'no valid request: {exc}') from exc
    payload = parser.send(head) or b''
    if outgoing.body:
        payload += parser.send(h11.Data(data=outgoing.body)) or b''
    return payload + (parser.send(h11.EndOfMessage()) or b'')


def _is_reusable(conn: _Connection) -> bool:
    """Tell whether the next answer on a connection will be the next one's.

    Bytes after the end of an answer belong to nobody we know: they would be
    handed to the next caller as its answer.
    """
    parser = conn.parser
    done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
    unread = parser.trailing_data[0] or conn.link.has_unread()
    # An answer that came before the whole request went out: the rest of the
    # body would stand where the next request is due.
    unsent = conn.link.transport.get_write_buffer_size()
    return done and not unread and not unsent


def _idle_s(headers: http_data.Headers) -> float:
    """Return for how long a connection may be kept unused."""
    for part in headers.get(KEEP_ALIVE, '').split(','):
        text = part.strip()
        if text.startswith(KEEP_ALIVE_TIMEOUT):
            seconds = text[len(KEEP_ALIVE_TIMEOUT) :]
            if seconds.isdigit():
                return int(seconds) - CLOSE_AHEAD_S
    return IDLE_S
