"""An HTTP/1.1 server on asyncio and h11.

It serves callers, operators and the simulated services. A handler gets the
complete request and an `Exchange` through which it responds, at once or in
chunks. Every connection is bounded in bytes and in time, so a slow or hostile
client costs no more than one small task.
"""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable

import h11
from absl import logging

from beryllug.drivers import http_data, http_exchange, http_link, http_reader

Exchange = http_exchange.Exchange
Handler = Callable[[http_data.Request, Exchange], Awaitable[None]]
JSON_TYPE = http_exchange.JSON_TYPE

SERVER_ERROR = 500
# Seconds for which the rest of a rejected request is read: closing a socket
# with unread bytes resets the connection, and the response would be lost.
LINGER_S = 1.0
# Seconds for which a new connection may still send its first request at stop.
FIRST_REQUEST_GRACE_S = 1.0
# Event loop iterations from accepting a connection to creating its transport.
ACCEPT_ITERATIONS = 3
MAX_CHECK_INTERVAL_S = 1.0
CHECKS_PER_LIMIT = 8


class _Client:
    """A client's connection with its task and the task's state."""

    __slots__ = ('busy', 'link', 'peer', 'served', 'task')

    def __init__(self, link: http_link.Link) -> None:
        self.link = link
        self.busy = False
        self.served = False
        peer = link.transport.get_extra_info('peername') or ('',)
        self.peer: str = peer[0]
        self.task: asyncio.Task[None] | None = None


class _ServerLink(http_link.Link):
    """A link that notifies its server when it opens and when it closes."""

    def __init__(
        self,
        on_open: Callable[[http_link.Link], None],
        on_close: Callable[[http_link.Link], None],
    ) -> None:
        super().__init__()
        self._on_open = on_open
        self._on_close = on_close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._on_close(self)


class HttpServer:
    """Serves one address until it is stopped.

    Attributes:
        shared_state: The limits and whether the server drains. Changed limits
            of requests apply from the next request of each connection on. A
            shorter idle timeout applies to new connections only: a client may
            rely on the one in force when it connected.
    """

    def __init__(
        self,
        handler: Handler,
        limits: http_data.Limits | None = None,
        *,
        cancel_on_disconnect: bool = False,
    ) -> None:
        """Create a server; `start` opens its socket.

        Args:
            handler: Responds to one request.
            limits: Limits on each connection.
            cancel_on_disconnect: Cancel the handler as soon as its client
                closes the connection, so that abandoned work ends.
        """
        self._handler = handler
        self._end_with_client = cancel_on_disconnect
        self.shared_state = http_exchange.SharedState(
            limits or http_data.Limits()
        )
        self._server: asyncio.Server | None = None
        self._clients: dict[http_link.Link, _Client] = {}
        self._deadline_timer: asyncio.TimerHandle | None = None

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> int:
        """Listen on the address and return the port.

        Args:
            host: Its IP address.
            port: Its port.
            listener: A socket that listens there already; connections in
                its backlog are served.
        """
        loop = asyncio.get_running_loop()
        link = functools.partial(_ServerLink, self._on_open, self._remove)
        if listener is None:
            server = await loop.create_server(link, host, port)
        else:
            server = await loop.create_server(link, sock=listener)
        self._server = server
        self._check_deadlines()
        bound_port: int = server.sockets[0].getsockname()[1]
        return bound_port

    def drain(self) -> None:
        """Keep serving, but close each connection after its next response.

        Called some time before `stop`, it leaves few idle connections: when
        `stop` closes one that a client is just writing a request to, the
        client can't know whether the request ran.
        """
        self.shared_state.draining = True

    async def stop(self, grace_s: float = 0) -> None:
        """Stop accepting, let requests in flight finish, close the rest."""
        self.drain()
        if self._server is not None:
            await _close_listeners(self._server)
        await self._finish_tasks(grace_s)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        for link in list(self._clients):
            link.abort()

    @property
    def in_flight(self) -> int:
        """Number of requests that are being received or handled."""
        return sum(client.busy for client in self._clients.values())

    async def _finish_tasks(self, grace_s: float) -> None:
        clients = tuple(self._clients.values())
        now = _now()
        first_request_s = min(grace_s, FIRST_REQUEST_GRACE_S)
        for client in clients:
            if not client.busy:
                client.link.deadline = (
                    now if client.served else now + first_request_s
                )
        self._expire_overdue(now)
        tasks = [each.task for each in clients if each.task]
        if tasks and grace_s:
            await asyncio.wait(tasks, timeout=grace_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_open(self, link: http_link.Link) -> None:
        if len(self._clients) >= self.shared_state.limits.connections:
            link.abort()
            return
        client = _Client(link)
        self._clients[link] = client
        client.task = asyncio.create_task(self._serve(client))

    def _remove(self, link: http_link.Link) -> None:
        self._clients.pop(link, None)

    def _check_deadlines(self) -> None:
        """Check all deadlines, several times within the shortest limit.

        One timer for all connections costs less than one for every read.
        """
        loop = asyncio.get_running_loop()
        self._expire_overdue(loop.time())
        limits = self.shared_state.limits
        shortest = min(limits.read_s, limits.idle_s, limits.write_s)
        period = min(shortest / CHECKS_PER_LIMIT, MAX_CHECK_INTERVAL_S)
        # At multiples of the period, so that all servers of a process share
        # one wake-up.
        due = (loop.time() // period + 1) * period
        self._deadline_timer = loop.call_at(due, self._check_deadlines)

    def _expire_overdue(self, now: float) -> None:
        overdue = [link for link in self._clients if link.deadline <= now]
        for link in overdue:
            link.expire()

    async def _serve(self, client: _Client) -> None:
        link = client.link
        try:
            await self._serve_requests(client)
        except (OSError, asyncio.CancelledError):
            link.abort()
        except Exception:
            logging.exception('event=connection_failed')
            link.abort()
        finally:
            self._close(client)

    def _close(self, client: _Client) -> None:
        """Close a connection after its write buffer has been sent.

        The deadline bounds this: a client that doesn't read must not hold
        the connection for ever.
        """
        client.busy = False
        client.link.deadline = _now() + self.shared_state.limits.write_s
        client.link.transport.close()

    async def _serve_requests(self, client: _Client) -> None:
        link = client.link
        limits = self.shared_state.limits
        least_idle_s = limits.idle_s
        reader = http_reader.RequestReader(link, limits, client.peer)
        while True:
            idle_s = max(least_idle_s, self.shared_state.limits.idle_s)
            link.deadline = _now() + idle_s
            client.busy = await reader.wait_first_byte()
            if not client.busy:
                return
            limits = self.shared_state.limits
            reader.apply_limits(limits)
            parser = reader.parser
            exchange = Exchange(parser, link, self.shared_state)
            link.deadline = _now() + limits.read_s
            req = await self._read(reader, exchange)
            if req is None:
                return
            link.deadline = http_link.NEVER
            if self._end_with_client and client.task is not None:
                if link.ended:
                    return
                link.on_end = functools.partial(_cancel, client.task)
            await self._handle(req, exchange)
            link.on_end = None
            client.busy = False
            client.served = True
            if parser.our_state is not h11.DONE:
                return
            if parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()

    async def _read(
        self, reader: http_reader.RequestReader, exchange: Exchange
    ) -> http_data.Request | None:
        try:
            req = await reader.read()
        except http_reader.RefusedError as exc:
            await self._reject(reader, exchange, exc)
            return None
        exchange.is_head = req is not None and req.method == 'HEAD'
        return req

    async def _reject(
        self,
        reader: http_reader.RequestReader,
        exchange: Exchange,
        rejection: http_reader.RefusedError,
    ) -> None:
        document = {'error': {'code': 'bad_request', 'message': str(rejection)}}
        document['error']['run'] = 'not_run'
        headers = {'connection': 'close', 'x-run': 'not_run'}
        if reader.can_respond():
            await exchange.respond_json(rejection.status, document, headers)
            await reader.discard(_now() + LINGER_S)

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


async def _close_listeners(server: asyncio.Server) -> None:
    """Stop accepting, then close the listening sockets.

    asyncio never closes a connection that was accepted but has no transport
    yet when its listener closes: the client hangs and takes the server for
    frozen. So the loop runs until accepted connections have a transport.
    """
    loop = asyncio.get_running_loop()
    for listener in server.sockets:
        loop.remove_reader(listener)
    for _ in range(ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    server.close()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
