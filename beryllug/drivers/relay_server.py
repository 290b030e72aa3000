"""Forwards connections of other processes of the fleet to backend servers.

A process that can't connect to a server itself asks for it, see
`drivers.relay`. Only listed servers are connected to, and a connection is never
passed on to a third process.
"""

import asyncio
import contextlib
import functools
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import h11

from beryllug.drivers import fleet_key, http_link, relay, relay_frames

# Connections that are forwarded at a time; more are refused.
MAX_CONNECTIONS = 256
MAX_HEAD_BYTES = 8192
HEAD_TIMEOUT_S = 1.0


class Access(Protocol):
    """What decides whether a connection is forwarded."""

    def refusal(self, address: str) -> HTTPStatus | None:
        """Return why a server is not connected to, or None if it is."""

    async def connect(self, address: str) -> http_link.Link:
        """Connect to a server; raises OSError."""


class _RefusedError(Exception):
    """A connection is not forwarded; its status is sent."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


class _AcceptedLink(http_link.Link):
    """A link that starts a task when it opens."""

    def __init__(self, on_open: Callable[[http_link.Link], None]) -> None:
        super().__init__()
        self._on_open = on_open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._on_open(self)


class RelayServer:
    """Service 'relay': forwards connections until it is stopped.

    Attributes:
        forwarded: Connections forwarded so far.
        refused: Connections refused so far.
    """

    def __init__(
        self, address: str, keys: fleet_key.KeyRing, access: Access
    ) -> None:
        """Create the service; `start` opens its socket."""
        self.forwarded = 0
        self.refused = 0
        self._address = address
        self._keys = keys
        self._access = access
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def in_flight(self) -> int:
        """Number of connections that are being forwarded."""
        return len(self._tasks)

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        accepted = functools.partial(_AcceptedLink, self._on_open)
        self._server = await loop.create_server(accepted, host, int(port))

    async def stop(self, grace_s: float) -> None:
        """Close the socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return counts of connections."""
        return {
            'in_flight': self.in_flight,
            'forwarded': self.forwarded,
            'refused': self.refused,
        }

    def _on_open(self, link: http_link.Link) -> None:
        task = asyncio.create_task(self._serve(link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: http_link.Link) -> None:
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        try:
            req = await self._read_request(link, parser)
            server = await self._connect(req.target.decode('ascii'))
        except _RefusedError as exc:
            self.refused += 1
            _answer(link, parser, exc.status)
            link.transport.close()
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            self.refused += 1
            link.abort()
        else:
            self.forwarded += 1
            is_framed = relay_frames.is_named(req.headers)
            _answer(link, parser, HTTPStatus.OK, is_framed=is_framed)
            await _forward_both(link, server, is_framed=is_framed)

    async def _read_request(
        self, link: http_link.Link, parser: h11.Connection
    ) -> h11.Request:
        """Read which server is asked for, as the target.

        Raises:
            _RefusedError: The asking process is not of the fleet.
            OSError: It is gone, or silent.
        """
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            req = await _read_head(link, parser)
        if not self._is_authentic(req):
            raise _RefusedError(HTTPStatus.FORBIDDEN)
        return req

    async def _connect(self, address: str) -> http_link.Link:
        """Connect to a server.

        Raises:
            _RefusedError: It is not connected to, or can't be reached.
        """
        status = self._access.refusal(address)
        if self.in_flight > MAX_CONNECTIONS:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        if status is not None:
            raise _RefusedError(status)
        try:
            return await self._access.connect(address)
        except OSError as exc:
            raise _RefusedError(HTTPStatus.BAD_GATEWAY) from exc

    def _is_authentic(self, req: h11.Request) -> bool:
        if req.method != relay.METHOD.encode():
            return False
        sent = dict(req.headers).get(fleet_key.METADATA_KEY.encode(), b'')
        return self._keys.verify(
            relay.signed_method(req.target.decode('ascii')),
            sent.decode('ascii', errors='replace'),
            time.time(),
        )


async def _read_head(
    link: http_link.Link, parser: h11.Connection
) -> h11.Request:
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await link.read())
        event = parser.next_event()
    if not isinstance(event, h11.Request):
        raise ConnectionResetError('closed before a request')
    return event


def _answer(
    link: http_link.Link,
    parser: h11.Connection,
    status: HTTPStatus,
    *,
    is_framed: bool = False,
) -> None:
    headers = [] if status is HTTPStatus.OK else [('content-length', '0')]
    if is_framed:
        headers.append((relay_frames.FIELD, relay_frames.VERSION))
    head = h11.Response(status_code=status, headers=headers)
    with contextlib.suppress(OSError, h11.LocalProtocolError):
        link.write(parser.send(head) or b'')


async def _forward_both(
    asking: http_link.Link, server: http_link.Link, *, is_framed: bool
) -> None:
    """Forward until one side closes.

    The asking process closes its side when its caller has left, so the
    server's connection is closed at once. What the server has sent is
    delivered before its end is passed on.
    """
    up = asyncio.create_task(_forward(asking, server))
    forward_down = _forward_framed if is_framed else _forward
    down = asyncio.create_task(forward_down(server, asking))
    try:
        await asyncio.wait((up, down), return_when=asyncio.FIRST_COMPLETED)
    finally:
        _close(asking, server, down)
        await _cancel(up, down)


async def _cancel(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _close(
    asking: http_link.Link,
    server: http_link.Link,
    down: asyncio.Task[None],
) -> None:
    """Close both sides; passes on how the server's side ended."""
    server.abort()
    is_ended = down.done() and not down.cancelled()
    if is_ended and down.exception() is None:
        asking.transport.close()
    else:
        asking.abort(hard=True)


async def _forward(source: http_link.Link, sink: http_link.Link) -> None:
    chunk = await source.read()
    while chunk:
        sink.write(chunk)
        await sink.drain()
        chunk = await source.read()


async def _forward_framed(source: http_link.Link, sink: http_link.Link) -> None:
    """Forward in frames, the last of which states how the source ended."""
    chunk = await _read_or_broken(source)
    while chunk:
        sink.write(relay_frames.of_bytes(chunk))
        await sink.drain()
        chunk = await _read_or_broken(source)
    sink.write(relay_frames.BROKEN if chunk is None else relay_frames.END)


async def _read_or_broken(source: http_link.Link) -> bytes | None:
    """Return received bytes, empty at EOF; None if the connection broke."""
    try:
        return await source.read()
    except OSError:
        # The asking process logs it with the request.
        return None
