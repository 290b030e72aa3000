"""HTTP server shared by all stand-ins, with fault injection and a record.

A stand-in serves the API of its external service on one address. A second
control address serves ``/faults`` and ``/record`` even while the first refuses
connections, for example after a crash. The first address serves them too.
"""

import asyncio
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from beryllug.drivers import http_data, http_server
from beryllug.standins import faults, options

HOST = '127.0.0.1'
BODY_BYTES = 2**24
IDLE_S = 600.0
LIMITS = http_data.Limits(body_bytes=BODY_BYTES, idle_s=IDLE_S)


class Behaviour(Protocol):
    """Behaviour of one external service, independent of sockets."""

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""

    def record(self) -> Any:
        """Return the service's activity as JSON-compatible data."""

    def crash(self) -> None:
        """Discard the state that a process crash would lose."""


class StandIn:
    """Serves one external service until it is stopped."""

    def __init__(
        self,
        party: Behaviour,
        injector: faults.FaultInjector,
        *,
        cancel_on_disconnect: bool = False,
    ) -> None:
        """Store the behaviour and its faults; `start` opens the sockets.

        Args:
            party: The behaviour.
            injector: Its faults.
            cancel_on_disconnect: Whether a request ends with its connection.
        """
        self._cancel_on_disconnect = cancel_on_disconnect
        self.service_behaviour = party
        self.injector = injector
        self.address = ''
        self.control_address = ''
        self.crashes = 0
        self._server: http_server.HttpServer | None = None
        self._control = http_server.HttpServer(self._handle_control, LIMITS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket_lock = asyncio.Lock()
        injector.add_listener(self._apply_faults)

    async def start(self, host: str = HOST, port: int = 0) -> str:
        """Start listening and return the address as ``ip:port``."""
        control_port = await self._control.start(host, 0)
        self.control_address = f'{host}:{control_port}'
        self.address = f'{host}:{port}'
        await self._open()
        return self.address

    async def stop(self) -> None:
        """Close all sockets and cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._close()
        await self._control.stop()

    def put_faults(self, **fault_settings: Any) -> None:
        """Replace the injected faults; omitted ones are disabled."""
        self.injector.put(options.build(faults.Faults, fault_settings))

    def crash(self) -> None:
        """Close every connection, refuse new ones and lose volatile state.

        The service restarts after `restart_s`, or when the faults are
        replaced.
        """
        self.crashes += 1
        self.service_behaviour.crash()
        self._spawn(self._crash_and_restart())

    async def settle(self) -> None:
        """Wait until changed faults have been applied to the sockets."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_faults(self) -> None:
        if self.address:
            self._spawn(self._update_listener())

    async def _update_listener(self) -> None:
        if self.injector.active.refuse:
            await self._close()
        else:
            await self._open()

    async def _crash_and_restart(self) -> None:
        await self._close()
        restart_s = self.injector.active.restart_s
        if restart_s >= 0:
            await asyncio.sleep(restart_s)
            await self._update_listener()

    async def _open(self) -> None:
        async with self._socket_lock:
            if self._server is not None:
                return
            host, _, port = self.address.rpartition(':')
            server = http_server.HttpServer(
                self._handle,
                LIMITS,
                cancel_on_disconnect=self._cancel_on_disconnect,
            )
            bound = await server.start(host, int(port))
            self.address = f'{host}:{bound}'
            self._server = server

    async def _close(self) -> None:
        async with self._socket_lock:
            server = self._server
            self._server = None
            if server is not None:
                await server.stop()

    async def _handle(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        if req.target in {'/faults', '/record'}:
            await self._handle_control(req, exchange)
            return
        injected = self.injector.faults_for(req)
        if await faults.inject_before_execution(
            exchange, injected, self.injector
        ):
            await self.service_behaviour.handle(
                req, faults.Response(exchange, injected)
            )

    async def _handle_control(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        match req.method, req.target:
            case 'GET', '/faults':
                snapshot = self.injector.active._asdict()
                await exchange.respond_json(HTTPStatus.OK, snapshot)
            case 'PUT', '/faults':
                await self._put_faults(req, exchange)
            case 'GET', '/record':
                await exchange.respond_json(
                    HTTPStatus.OK, self.service_behaviour.record()
                )
            case _:
                not_found = faults.error('not_found', req.target, 'not_run')
                await exchange.respond_json(HTTPStatus.NOT_FOUND, not_found)

    async def _put_faults(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        try:
            self.put_faults(**msgspec.json.decode(req.body))
        except (msgspec.DecodeError, options.OptionError) as exc:
            invalid = faults.error('bad_faults', str(exc), 'not_run')
            await exchange.respond_json(HTTPStatus.BAD_REQUEST, invalid)
            return
        await exchange.respond_json(
            HTTPStatus.OK, self.injector.active._asdict()
        )
