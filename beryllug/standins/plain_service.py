"""Stand-in of a plain service: it holds slots and counts what it ran.

It does not look at idempotency keys: a request that comes twice runs twice,
and the record shows it.
"""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

import msgspec

from beryllug.drivers import http_data
from beryllug.standins import engine_answers, faults, party


class PlainServiceCfg(NamedTuple):
    """Options.

    Attributes:
        concurrency: Requests that run at once; more wait.
        work_s: Seconds that a request takes.
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


class _Hold(TypedDict):
    slot: str


class PlainServiceParty:
    """A plain service's behaviour."""

    def __init__(self, cfg: PlainServiceCfg, switches: faults.Switches) -> None:
        """Begin with no slot held."""
        self.on_poison: Callable[[], None] = _no_crash
        self.runs: list[PlainRun] = []
        self.holds: dict[str, list[str]] = {}
        self._cfg = cfg
        self._switches = switches
        self._places = asyncio.Semaphore(cfg.concurrency)

    @property
    def doubled(self) -> int:
        """Count the holds on slots that were already held."""
        return sum(len(names) - 1 for names in self.holds.values())

    async def handle(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        """Answer one request."""
        async with self._places:
            present = self._switches.present
            if present.poison and present.poison.encode() in req.body:
                self.on_poison()
                answer.cut()
            if self._cfg.work_s:
                await asyncio.sleep(self._cfg.work_s * present.slow_factor)
            run = _run(req)
            self.runs.append(run)
        match req.method, req.target.partition('?')[0]:
            case 'POST', path if path.endswith('/holds'):
                await self._hold(req, run, answer)
            case 'GET', path if path.endswith('/slots'):
                await answer.respond_json(HTTPStatus.OK, {'held': self.holds})
            case _:
                await answer.respond_json(HTTPStatus.OK, run._asdict())

    def record(self) -> Any:
        """Return every run, the holds and how many are doubled."""
        return {
            'runs': [run._asdict() for run in self.runs],
            'holds': self.holds,
            'doubled': self.doubled,
        }

    def crash(self) -> None:
        """Lose nothing: its record is the test's."""

    async def _hold(
        self, req: http_data.Request, run: PlainRun, answer: faults.Answer
    ) -> None:
        try:
            slot = msgspec.json.decode(req.body, type=_Hold)['slot']
        except msgspec.DecodeError:
            await answer.refuse(HTTPStatus.BAD_REQUEST, 'bad_hold')
            return
        names = self.holds.setdefault(slot, [])
        names.append(run.idempotency_key)
        document = {'slot': slot, 'holds': len(names), **run._asdict()}
        await answer.respond_json(HTTPStatus.CREATED, document)


def stand_in(cfg: PlainServiceCfg | None = None) -> party.StandIn:
    """Make a plain service stand-in; `start` opens its sockets."""
    switches = faults.Switches()
    behaviour = PlainServiceParty(cfg or PlainServiceCfg(), switches)
    made = party.StandIn(behaviour, switches)
    behaviour.on_poison = made.crash
    return made


def _no_crash() -> None:
    """Stand in for the crash until the sockets are bound."""


def _run(req: http_data.Request) -> PlainRun:
    return PlainRun(
        req.method,
        req.target,
        req.headers.get('idempotency-key', ''),
        req.headers.get('x-request-id', ''),
        req.headers.get('x-account', ''),
        engine_answers.digest(req.body.decode(errors='replace')),
        time.time(),
    )
