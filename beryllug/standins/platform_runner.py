"""Stand-in for a backend server of the platform: a model runner or a service.

It has request slots and a short queue, processes prompts one at a time and
caches the processed prefixes by model. It reports a model's confidence,
resumes a stream after a given event, seals its responses and rejects requests
meant for another instance. Besides the faults common to all stand-ins it has
faults of its own, set by the attributes `abort_at_event`, `stall_at_event`,
`is_sealed`, `refused_model` and `reported_status`.
"""

import asyncio
import time
import zlib
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import names, requests
from beryllug.standins import faults, http_stand_in

MS = 1000
PERCENT = 100
FULL_CONFIDENCE = 100
SMALL_CONFIDENT_PERCENT = 54
BAD = b'bad'
BAD_SEGMENT = 'bad0'
RunBad = Callable[
    [requests.RequestHeaders, dict[str, str], faults.Response], Awaitable[None]
]


class PlatformRunnerCfg(NamedTuple):
    """Options of a backend server.

    Attributes:
        instance: Id of the server instance.
        version: Version of the server software.
        slots: Maximum number of concurrent requests.
        queue: Maximum number of waiting requests; more are rejected.
        work_s: Seconds per plain request.
        events: Number of events in a stream.
        event_s: Seconds between two events.
        token_s: Prefill seconds per token, for a model with factor 1.
        paces: Prefill time factor by model name; 1 by default.
        error_rate: Fraction of requests that fail.
        drops_closed: Whether it drops a request when its connection closes.
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
    drops_closed: bool = False


class Run(NamedTuple):
    """A request that the server started to run.

    Attributes:
        attempt_id: Id of the caller's attempt.
        account: Client account of the request.
        model: Requested model.
        last_event: Event after which the stream resumes, or empty.
        headers: All headers.
        at: Monotonic start time in seconds.
    """

    attempt_id: str
    account: str
    model: str
    last_event: str
    headers: Mapping[str, str]
    at: float


class ServerStatus(NamedTuple):
    """Server status that a server reports in its response headers.

    Attributes:
        limit_per_s: Limit in requests per second; None for no limit.
        is_leaving: Whether the server is leaving.
        retry_after_s: Seconds after which callers may retry, while the server
            rejects requests; None if it accepts them.
        brittle_per_s: Requests that it may turn away in a second for want of
            room; one more and it falls over. None if it bears any number.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    brittle_per_s: int | None = None


class ReceivedRequest(NamedTuple):
    """A request that reached the server, whether run or rejected.

    Attributes:
        attempt_id: Id of the caller's attempt.
        at: Monotonic time of arrival in seconds.
        answered: Server status that the response reports.
    """

    attempt_id: str
    at: float
    answered: ServerStatus


class PlatformRunner:
    """Behaviour of a backend server, independent of sockets.

    Attributes:
        reported_status: Server status that its responses report.
        received_requests: Requests that reached it and were meant for this
            instance.
    """

    def __init__(
        self, cfg: PlatformRunnerCfg, injector: faults.FaultInjector
    ) -> None:
        """Create an idle server with an empty prefix cache."""
        self.cfg = cfg
        self.runs: list[Run] = []
        self.completed_attempts: list[str] = []
        self.rejected_count = 0
        self.abort_at_event: int | None = None
        self.stall_at_event: int | None = None
        self.is_sealed = True
        self.refused_model = ''
        self.reported_status = ServerStatus()
        self.received_requests: list[ReceivedRequest] = []
        self._run_bad: RunBad | None = None
        self._falls: list[float] = []
        self._turned_away: list[float] = []
        self._injector = injector
        self._running = 0
        self._cached_prefixes: set[tuple[str, str]] = set()
        self._prefill_lock = asyncio.Lock()

    @property
    def running(self) -> int:
        """Number of requests that it holds."""
        return self._running

    @property
    def falls(self) -> int:
        """How often it turned away more requests than it bears."""
        return len(self._falls)

    def record(self) -> Any:
        """Return the ids of the requests that ran."""
        return {'runs': [run.attempt_id for run in self.runs]}

    def crash(self) -> None:
        """Lose the prefix cache."""
        self._cached_prefixes.clear()

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        parsed = requests.read(req)
        expected = req.headers.get(names.EXPECT_INSTANCE, self.cfg.instance)
        if expected != self.cfg.instance:
            await self._refuse(HTTPStatus.MISDIRECTED_REQUEST, response)
            return
        self.received_requests.append(
            ReceivedRequest(
                parsed.attempt_id, time.monotonic(), self.reported_status
            )
        )
        if self._is_refused(parsed):
            await self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, response)
            return
        self._running += 1
        try:
            if self._run_bad is not None and _is_bad(req, parsed):
                await self._run_bad(parsed, self._headers(parsed), response)
            else:
                await self._run(req, parsed, response)
        finally:
            self._running -= 1

    def set_bad_run(self, run_bad: RunBad) -> None:
        """Set how a request with the body `BAD` or `BAD_SEGMENT` is run."""
        self._run_bad = run_bad

    def _is_refused(self, parsed: requests.RequestHeaders) -> bool:
        is_full = self._running >= self.cfg.slots + self.cfg.queue
        if is_full:
            self._turn_away(time.monotonic())
        is_refused_model = bool(parsed.model) and (
            parsed.model == self.refused_model
        )
        return (
            is_full
            or is_refused_model
            or self.reported_status.retry_after_s is not None
        )

    def _turn_away(self, now: float) -> None:
        """Count a request for which there is no room; it may fall over."""
        most = self.reported_status.brittle_per_s
        recent = [at for at in self._turned_away if now - at < 1]
        self._turned_away = [*recent, now]
        if most is not None and len(self._turned_away) > most:
            self._falls.append(now)
            self._turned_away.clear()

    async def _run(
        self,
        req: http_data.Request,
        parsed: requests.RequestHeaders,
        response: faults.Response,
    ) -> None:
        if parsed.shared or parsed.own_tokens:
            await self._prefill(parsed)
        self.runs.append(
            Run(
                parsed.attempt_id,
                req.headers.get(names.TENANT, ''),
                parsed.model,
                parsed.last_event,
                req.headers,
                time.monotonic(),
            )
        )
        if self._injector.should_inject(self.cfg.error_rate):
            await response.respond(
                HTTPStatus.INTERNAL_SERVER_ERROR, b'', self._headers(parsed)
            )
        elif parsed.model:
            await self._stream(parsed, response)
        else:
            await asyncio.sleep(self.cfg.work_s)
            body = f'{req.method} {req.target}'.encode() + req.body
            await response.respond(HTTPStatus.OK, body, self._headers(parsed))
        self.completed_attempts.append(parsed.attempt_id)

    async def _prefill(self, parsed: requests.RequestHeaders) -> None:
        prefix = (parsed.model, parsed.shared)
        tokens = parsed.own_tokens
        if prefix not in self._cached_prefixes:
            tokens += parsed.shared_tokens
        async with self._prefill_lock:
            pace = self.cfg.paces.get(parsed.model, 1)
            factor = self._injector.active.slow_factor
            await asyncio.sleep(tokens * self.cfg.token_s * pace * factor)
        self._cached_prefixes.add(prefix)

    async def _stream(
        self, parsed: requests.RequestHeaders, response: faults.Response
    ) -> None:
        headers = self._headers(parsed)
        headers[names.CONTENT_TYPE] = names.EVENT_STREAM
        headers[names.CONFIDENCE] = str(_confidence(parsed))
        first = int(parsed.last_event or 0) + 1
        await response.start(HTTPStatus.OK, headers)
        for number in range(first, self.cfg.events + 1):
            if number == self.abort_at_event:
                await response.send(b'id: %d\ndata: ha' % number)
                response.abort_connection()
            if number == self.stall_at_event:
                await asyncio.Event().wait()
            data = f'{parsed.model} {number}'
            event = f'id: {number}\ndata: {data}\n\n'
            await response.send(event.encode())
            await asyncio.sleep(self.cfg.event_s)
        await response.finish()

    async def _refuse(self, status: int, response: faults.Response) -> None:
        self.rejected_count += 1
        headers = {names.NOT_RUN: '1', names.INSTANCE: self.cfg.instance}
        is_unavailable = status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_unavailable and self.reported_status.retry_after_s is not None:
            headers[names.RETRY_AFTER] = str(self.reported_status.retry_after_s)
        await response.respond(status, b'', headers | self._status_headers())

    def _headers(self, parsed: requests.RequestHeaders) -> dict[str, str]:
        headers = {names.ATTEMPT: parsed.attempt_id}
        if self.is_sealed:
            headers[names.SEAL] = f'{self.cfg.instance}.{parsed.attempt_id}'
        return headers | self._status_headers()

    def _status_headers(self) -> dict[str, str]:
        """Return the headers that report the server status."""
        reported = {}
        if self.reported_status.limit_per_s is not None:
            reported[names.LIMIT] = str(self.reported_status.limit_per_s)
        if self.reported_status.is_leaving:
            reported[names.LEAVING] = '1'
        if self.reported_status.brittle_per_s is not None:
            reported[names.BRITTLE] = str(self.reported_status.brittle_per_s)
        return reported


def stand_in(cfg: PlatformRunnerCfg) -> http_stand_in.StandIn:
    """Create a backend server stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    return http_stand_in.StandIn(
        PlatformRunner(cfg, injector),
        injector,
        cancel_on_disconnect=cfg.drops_closed,
    )


def _is_bad(req: http_data.Request, parsed: requests.RequestHeaders) -> bool:
    return req.body == BAD or BAD_SEGMENT in parsed.shared.split(',')


def _confidence(parsed: requests.RequestHeaders) -> int:
    """Return the confidence; small models are sure in about half the cases."""
    if not parsed.model.startswith('small'):
        return FULL_CONFIDENCE
    hashed = zlib.crc32(parsed.attempt_id.encode()) % PERCENT
    return (
        FULL_CONFIDENCE
        if hashed < SMALL_CONFIDENT_PERCENT
        else hashed - SMALL_CONFIDENT_PERCENT
    )
