"""What all stand-ins share: sockets, fault switches and their record.

A stand-in serves its party's API on one address. A second, control address
serves ``/faults`` and ``/record`` even while the first refuses connections,
as after a crash; the first serves them too.
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


class Party(Protocol):
    """One outside party: its behaviour without the sockets."""

    async def handle(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        """Answer one request."""

    def record(self) -> Any:
        """Return what the party did, as plain data."""

    def crash(self) -> None:
        """Lose what a crash of the process loses."""


class StandIn:
    """Serves one party until it is stopped."""

    def __init__(self, party: Party, switches: faults.Switches) -> None:
        """Bind the party and its switches; `start` opens the sockets."""
        self.party = party
        self.switches = switches
        self.address = ''
        self.control_address = ''
        self.crashes = 0
        self._server: http_server.HttpServer | None = None
        self._control = http_server.HttpServer(self._handle_control, LIMITS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._gate = asyncio.Lock()
        switches.on_change(self._follow_switches)

    async def start(self, host: str = HOST, port: int = 0) -> str:
        """Listen and return the address as ``ip:port``."""
        control_port = await self._control.start(host, 0)
        self.control_address = f'{host}:{control_port}'
        self.address = f'{host}:{port}'
        await self._open()
        return self.address

    async def stop(self) -> None:
        """Close all sockets and end all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._close()
        await self._control.stop()

    def put_faults(self, **given: Any) -> None:
        """Replace the fault switches; those not given are off."""
        self.switches.put(options.build(faults.Faults, given))

    def crash(self) -> None:
        """Drop every connection, refuse new ones, lose volatile state.

        It is back after `restart_s`, or as soon as the switches are put.
        """
        self.crashes += 1
        self.party.crash()
        self._spawn(self._crash_and_restart())

    async def settle(self) -> None:
        """Wait until a change of the switches has reached the sockets."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _follow_switches(self) -> None:
        if self.address:
            self._spawn(self._open_or_close())

    async def _open_or_close(self) -> None:
        if self.switches.present.refuse:
            await self._close()
        else:
            await self._open()

    async def _crash_and_restart(self) -> None:
        await self._close()
        restart_s = self.switches.present.restart_s
        if restart_s >= 0:
            await asyncio.sleep(restart_s)
            await self._open_or_close()

    async def _open(self) -> None:
        async with self._gate:
            if self._server is not None:
                return
            host, _, port = self.address.rpartition(':')
            server = http_server.HttpServer(self._handle, LIMITS)
            bound = await server.start(host, int(port))
            self.address = f'{host}:{bound}'
            self._server = server

    async def _close(self) -> None:
        async with self._gate:
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
        hit = self.switches.draw(req)
        if await faults.before_run(exchange, hit, self.switches):
            await self.party.handle(req, faults.Answer(exchange, hit))

    async def _handle_control(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        match req.method, req.target:
            case 'GET', '/faults':
                shown = self.switches.present._asdict()
                await exchange.respond_json(HTTPStatus.OK, shown)
            case 'PUT', '/faults':
                await self._put_faults(req, exchange)
            case 'GET', '/record':
                await exchange.respond_json(HTTPStatus.OK, self.party.record())
            case _:
                missing = faults.error('not_found', req.target, 'not_run')
                await exchange.respond_json(HTTPStatus.NOT_FOUND, missing)

    async def _put_faults(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        try:
            self.put_faults(**msgspec.json.decode(req.body))
        except (msgspec.DecodeError, options.OptionError) as exc:
            wrong = faults.error('bad_faults', str(exc), 'not_run')
            await exchange.respond_json(HTTPStatus.BAD_REQUEST, wrong)
            return
        await exchange.respond_json(
            HTTPStatus.OK, self.switches.present._asdict()
        )
