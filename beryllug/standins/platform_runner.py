"""Stand-in for a backend server of the platform: a model runner or a service.

It has places and a short queue, reads prompts one after the other and keeps
what it has read by model, states how sure a model is, resumes a stream behind
an event, seals its answers, and refuses what is meant for another instance.
Besides the fault switches of all stand-ins it has some of its own kind of
trouble, drawn by `Trouble`.
"""

import asyncio
import time
import zlib
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import names, requests
from beryllug.standins import faults, party

MS = 1000
PERCENT = 100
SURE = 100
SMALL_SURE = 54


class PlatformRunnerCfg(NamedTuple):
    """Options of a backend server.

    Attributes:
        instance: Id of this start of it.
        version: Version of its software.
        slots: Requests that it runs at once.
        queue: Requests that wait; more are refused.
        work_s: Seconds of a plain call.
        events: Events of a stream.
        event_s: Seconds between two events.
        token_s: Seconds to read one token, on a model of pace one.
        paces: How much longer each model takes, by its name.
        error_rate: Share of requests that it fails.
    """

    instance: str
    version: str = 'v1'
    slots: int = 8
    queue: int = 8
    work_s: float = 0.005
    events: int = 5
    event_s: float = 0.005
    token_s: float = 0.000015
    paces: Mapping[str, float] = {}
    error_rate: float = 0.0


class Run(NamedTuple):
    """A request that began to run, as the server saw it.

    Attributes:
        attempt_id: Id of the caller's try.
        account: Client account that it came for.
        model: Model that it named.
        last_event: Event that it goes on from, or empty.
        headers: All headers.
        at: Monotonic second at which it began.
    """

    attempt_id: str
    account: str
    model: str
    last_event: str
    headers: Mapping[str, str]
    at: float


class Statement(NamedTuple):
    """What a server's answers say of the server itself.

    Attributes:
        limit_per_s: Limit in requests a second; None for none.
        is_leaving: Whether it leaves.
        retry_after_s: Seconds after which callers may come back, as it refuses
            their requests; None where it takes them.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None


class Arrival(NamedTuple):
    """A request that reached the server, run or refused.

    Attributes:
        attempt_id: Id of the caller's try.
        at: Monotonic second.
        answered: What its answer says of the server.
    """

    attempt_id: str
    at: float
    answered: Statement


class PlatformRunner:
    """A backend server without its sockets.

    Attributes:
        states: What its answers say of it.
        arrivals: Requests that reached it and were meant for it.
    """

    def __init__(
        self, cfg: PlatformRunnerCfg, switches: faults.Switches
    ) -> None:
        """Begin idle, with nothing read."""
        self.cfg = cfg
        self.runs: list[Run] = []
        self.ended: list[str] = []
        self.refused = 0
        self.cut_after: int | None = None
        self.stall_after: int | None = None
        self.is_sealed = True
        self.refused_model = ''
        self.states = Statement()
        self.arrivals: list[Arrival] = []
        self._switches = switches
        self._running = 0
        self._read: set[tuple[str, str]] = set()
        self._reading = asyncio.Lock()

    def record(self) -> Any:
        """Return the ids of the requests that ran."""
        return {'runs': [run.attempt_id for run in self.runs]}

    def crash(self) -> None:
        """Forget the prompts that were read."""
        self._read.clear()

    async def handle(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        """Answer one request."""
        asked = requests.read(req)
        expected = req.headers.get(names.EXPECT_INSTANCE, self.cfg.instance)
        if expected != self.cfg.instance:
            await self._refuse(HTTPStatus.MISDIRECTED_REQUEST, answer)
            return
        self.arrivals.append(
            Arrival(asked.attempt_id, time.monotonic(), self.states)
        )
        if self._is_refused(asked):
            await self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, answer)
            return
        self._running += 1
        try:
            await self._run(req, asked, answer)
        finally:
            self._running -= 1

    def _is_refused(self, asked: requests.Asked) -> bool:
        is_full = self._running >= self.cfg.slots + self.cfg.queue
        is_refused_model = bool(asked.model) and (
            asked.model == self.refused_model
        )
        return (
            is_full or is_refused_model or self.states.retry_after_s is not None
        )

    async def _run(
        self,
        req: http_data.Request,
        asked: requests.Asked,
        answer: faults.Answer,
    ) -> None:
        if asked.shared or asked.own_tokens:
            await self._read_prompt(asked)
        self.runs.append(
            Run(
                asked.attempt_id,
                req.headers.get(names.TENANT, ''),
                asked.model,
                asked.last_event,
                req.headers,
                time.monotonic(),
            )
        )
        if self._switches.chance(self.cfg.error_rate):
            await answer.respond(
                HTTPStatus.INTERNAL_SERVER_ERROR, b'', self._headers(asked)
            )
        elif asked.model:
            await self._stream(asked, answer)
        else:
            await asyncio.sleep(self.cfg.work_s)
            body = f'{req.method} {req.target}'.encode() + req.body
            await answer.respond(HTTPStatus.OK, body, self._headers(asked))
        self.ended.append(asked.attempt_id)

    async def _read_prompt(self, asked: requests.Asked) -> None:
        kept = (asked.model, asked.shared)
        tokens = asked.own_tokens
        if kept not in self._read:
            tokens += asked.shared_tokens
        async with self._reading:
            pace = self.cfg.paces.get(asked.model, 1)
            slow = self._switches.present.slow_factor
            await asyncio.sleep(tokens * self.cfg.token_s * pace * slow)
        self._read.add(kept)

    async def _stream(
        self, asked: requests.Asked, answer: faults.Answer
    ) -> None:
        headers = self._headers(asked)
        headers[names.CONTENT_TYPE] = names.EVENT_STREAM
        headers[names.CONFIDENCE] = str(_sure(asked))
        first = int(asked.last_event or 0) + 1
        await answer.start(HTTPStatus.OK, headers)
        for number in range(first, self.cfg.events + 1):
            if number == self.cut_after:
                await answer.send(b'id: %d\ndata: ha' % number)
                answer.cut()
            if number == self.stall_after:
                await asyncio.Event().wait()
            data = f'{asked.model} {number}'
            event = f'id: {number}\ndata: {data}\n\n'
            await answer.send(event.encode())
            await asyncio.sleep(self.cfg.event_s)
        await answer.finish()

    async def _refuse(self, status: int, answer: faults.Answer) -> None:
        self.refused += 1
        headers = {names.NOT_RUN: '1', names.INSTANCE: self.cfg.instance}
        is_unavailable = status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_unavailable and self.states.retry_after_s is not None:
            headers[names.RETRY_AFTER] = str(self.states.retry_after_s)
        await answer.respond(status, b'', headers | self._stated())

    def _headers(self, asked: requests.Asked) -> dict[str, str]:
        headers = {names.ATTEMPT: asked.attempt_id}
        if self.is_sealed:
            headers[names.SEAL] = f'{self.cfg.instance}.{asked.attempt_id}'
        return headers | self._stated()

    def _stated(self) -> dict[str, str]:
        """Return what all answers say of the server itself."""
        stated = {}
        if self.states.limit_per_s is not None:
            stated[names.LIMIT] = str(self.states.limit_per_s)
        if self.states.is_leaving:
            stated[names.LEAVING] = '1'
        return stated


def stand_in(cfg: PlatformRunnerCfg) -> party.StandIn:
    """Make the stand-in."""
    switches = faults.Switches()
    return party.StandIn(PlatformRunner(cfg, switches), switches)


def _sure(asked: requests.Asked) -> int:
    """Return how sure a model is: a small one of about half its answers."""
    if not asked.model.startswith('small'):
        return SURE
    drawn = zlib.crc32(asked.attempt_id.encode()) % PERCENT
    return SURE if drawn < SMALL_SURE else drawn - SMALL_SURE
