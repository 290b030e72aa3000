"""Stand-in of a plain service that holds slots and records its runs.

It ignores idempotency keys: a request received twice runs twice, and the
record shows both runs.
"""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

import msgspec

from beryllug.drivers import http_data
from beryllug.standins import engine_responses, faults, http_stand_in


class PlainServiceCfg(NamedTuple):
    """Options.

    Attributes:
        concurrency: Maximum number of concurrent requests; more wait.
        work_s: Seconds per request.
    """

    concurrency: int = 16
    work_s: float = 0.0


class PlainRun(NamedTuple):
    """A request that took effect; `at` in wall-clock seconds."""

    method: str
    target: str
    idempotency_key: str
    request_id: str
    account_id: str
    body_hash: str
    at: float


class _HoldRequest(TypedDict):
    slot: str


class PlainServiceBehaviour:
    """Behaviour of a plain service."""

    def __init__(
        self, cfg: PlainServiceCfg, injector: faults.FaultInjector
    ) -> None:
        """Create a service without held slots."""
        self.on_poison: Callable[[], None] = _no_crash
        self.runs: list[PlainRun] = []
        self.holds: dict[str, list[str]] = {}
        self._cfg = cfg
        self._injector = injector
        self._slots = asyncio.Semaphore(cfg.concurrency)

    @property
    def doubled(self) -> int:
        """Number of holds on slots that were already held."""
        return sum(len(keys) - 1 for keys in self.holds.values())

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        async with self._slots:
            active = self._injector.active
            if active.poison and active.poison.encode() in req.body:
                self.on_poison()
                response.abort_connection()
            if self._cfg.work_s:
                await asyncio.sleep(self._cfg.work_s * active.slow_factor)
            run = _describe_run(req)
            self.runs.append(run)
        match req.method, req.target.partition('?')[0]:
            case 'POST', path if path.endswith('/holds'):
                await self._hold(req, run, response)
            case 'GET', path if path.endswith('/slots'):
                await response.respond_json(HTTPStatus.OK, {'held': self.holds})
            case _:
                await response.respond_json(HTTPStatus.OK, run._asdict())

    def record(self) -> Any:
        """Return all runs, the holds and the number of double holds."""
        return {
            'runs': [run._asdict() for run in self.runs],
            'holds': self.holds,
            'doubled': self.doubled,
        }

    def crash(self) -> None:
        """Lose no state: tests need the record after a crash."""

    async def _hold(
        self, req: http_data.Request, run: PlainRun, response: faults.Response
    ) -> None:
        try:
            slot = msgspec.json.decode(req.body, type=_HoldRequest)['slot']
        except msgspec.DecodeError:
            await response.refuse(HTTPStatus.BAD_REQUEST, 'bad_hold')
            return
        keys = self.holds.setdefault(slot, [])
        keys.append(run.idempotency_key)
        document = {'slot': slot, 'holds': len(keys), **run._asdict()}
        await response.respond_json(HTTPStatus.CREATED, document)


def stand_in(cfg: PlainServiceCfg | None = None) -> http_stand_in.StandIn:
    """Create a plain service stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    behaviour = PlainServiceBehaviour(cfg or PlainServiceCfg(), injector)
    server = http_stand_in.StandIn(behaviour, injector)
    behaviour.on_poison = server.crash
    return server


def _no_crash() -> None:
    """Ignore the crash request until the server is attached."""


def _describe_run(req: http_data.Request) -> PlainRun:
    return PlainRun(
        req.method,
        req.target,
        req.headers.get('idempotency-key', ''),
        req.headers.get('x-request-id', ''),
        req.headers.get('x-account', ''),
        engine_responses.digest(req.body.decode(errors='replace')),
        time.time(),
    )
