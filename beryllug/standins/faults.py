"""Fault injection common to all stand-ins.

A stand-in works correctly until a test enables a fault, either in the same
process or through ``PUT /faults``. `only` and `times` restrict request-level
faults to selected requests, so that a test can fail one specific step.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from beryllug.drivers import http_data, http_server

RUN = 'x-run'
NOT_RUN = 'not_run'


class Faults(NamedTuple):
    """Fault settings; the defaults inject no fault.

    Attributes:
        only: Prefix of ``METHOD target`` that selects the requests for
            request-level faults; empty selects all.
        times: Maximum number of requests affected; -1 for no limit.
        refuse: Stop listening, so that connections are refused.
        delay_s: Delay before the request takes effect.
        unavailable: Respond with 503 and ``not_run``, without effect.
        reset_before_run: Close the connection before the request takes
            effect.
        answer_delay_s: Delay between the effect and the response.
        drop_answer: Close the connection after the effect, without a
            response.
        reset_at_byte: Close the connection after this many bytes of the
            response body; -1 for never.
        hard_reset: Close with a TCP reset instead of a premature end of
            stream.
        error_rate: Fraction of requests that get a 500 without effect.
        stale: Reads return the state at the time this was enabled.
        lag_s: Reports return the state this many seconds ago.
        gap_rate: Fraction of events omitted from a feed.
        ignore_fencing: Execute orders with an outdated fencing token.
        poison: A request that contains this text crashes the service.
        restart_s: Seconds until a crashed stand-in restarts; -1 for never.
        slow_factor: Multiplier for the processing time.
        version_errors: Fraction of runs that fail, by version.
        version_quality: Added to the response quality, by version.
        bias: Added to every rating.
        seed: Seed of the injector's random decisions.
    """

    only: str = ''
    times: int = -1
    refuse: bool = False
    delay_s: float = 0.0
    unavailable: bool = False
    reset_before_run: bool = False
    answer_delay_s: float = 0.0
    drop_answer: bool = False
    reset_at_byte: int = -1
    hard_reset: bool = False
    error_rate: float = 0.0
    stale: bool = False
    lag_s: float = 0.0
    gap_rate: float = 0.0
    ignore_fencing: bool = False
    poison: str = ''
    restart_s: float = -1.0
    slow_factor: float = 1.0
    version_errors: Mapping[str, float] = {}
    version_quality: Mapping[str, float] = {}
    bias: float = 0.0
    seed: int = 0


NONE = Faults()


class FaultInjector:
    """The current faults of one stand-in and their hit count."""

    def __init__(self) -> None:
        """Start with no faults enabled."""
        self.active = NONE
        self.random = random.Random(NONE.seed)
        self.injected_count = 0
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call whenever the faults change."""
        self._listeners.append(listener)

    def put(self, active: Faults) -> None:
        """Replace all faults, reseed and reset the hit count."""
        self.active = active
        self.random = random.Random(active.seed)
        self.injected_count = 0
        for listener in self._listeners:
            listener()

    def faults_for(self, req: http_data.Request) -> Faults:
        """Return the request-level faults for this request."""
        active = self.active
        line = f'{req.method} {req.target}'
        if not line.startswith(active.only):
            return NONE
        if 0 <= active.times <= self.injected_count:
            return NONE
        self.injected_count += 1
        return active

    def should_inject(self, rate: float) -> bool:
        """Decide at random, with the given probability."""
        return rate > 0 and self.random.random() < rate


class Response:
    """The response to a request, with the faults injected into it."""

    def __init__(
        self, exchange: http_server.Exchange, injected: Faults
    ) -> None:
        """Bind the response to its exchange."""
        self.bytes_sent = 0
        self._exchange = exchange
        self._injected = injected

    def is_gone(self) -> bool:
        """Return whether the client has disconnected."""
        return self._exchange.is_gone()

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete response."""
        if self._injected.reset_at_byte < 0:
            await self._inject_before_headers()
            self.bytes_sent += len(body)
            await self._exchange.respond(status, body, headers)
            return
        await self.start(status, headers or {})
        await self.send(body)
        await self._exchange.finish()

    async def respond_json(
        self,
        status: int,
        document: Any,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete JSON response."""
        json_headers = {
            'content-type': http_server.JSON_TYPE,
            **(headers or {}),
        }
        await self.respond(status, http_data.to_json(document), json_headers)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and headers of a chunked response."""
        await self._inject_before_headers()
        await self._exchange.start(status, headers)

    async def send(self, chunk: bytes) -> None:
        """Send one chunk of the body."""
        limit = self._injected.reset_at_byte
        is_reached = self.bytes_sent + len(chunk) >= limit
        is_last = limit >= 0 and is_reached
        if is_last:
            chunk = chunk[: limit - self.bytes_sent]
        self.bytes_sent += len(chunk)
        await self._exchange.send(chunk)
        if is_last:
            self.abort_connection()

    async def finish(self) -> None:
        """Finish a chunked response."""
        await self._exchange.finish()

    async def refuse(
        self,
        status: int,
        code: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Reject a request and mark it as certainly not executed."""
        document = error(code, 'refused', NOT_RUN)
        refusal_headers = {RUN: NOT_RUN, **(headers or {})}
        await self.respond_json(status, document, refusal_headers)

    def abort_connection(self) -> None:
        """Close the connection in the middle of a response.

        Raises:
            ConnectionResetError: Always, to terminate the handler.
        """
        self._exchange.abort(hard=self._injected.hard_reset)
        raise ConnectionResetError('aborted by an injected fault')

    async def _inject_before_headers(self) -> None:
        if self._injected.answer_delay_s:
            await asyncio.sleep(self._injected.answer_delay_s)
        if self._injected.drop_answer:
            self.abort_connection()


async def inject_before_execution(
    exchange: http_server.Exchange, injected: Faults, injector: FaultInjector
) -> bool:
    """Inject the faults that occur before a request takes effect.

    Returns:
        Whether to execute the request.
    """
    if injected.delay_s:
        await asyncio.sleep(injected.delay_s)
    if injected.reset_before_run:
        exchange.abort(hard=injected.hard_reset)
        return False
    if injected.unavailable:
        await exchange.respond_json(
            HTTPStatus.SERVICE_UNAVAILABLE,
            error('unavailable', 'switched off', NOT_RUN),
            {RUN: NOT_RUN},
        )
        return False
    if injector.should_inject(injected.error_rate):
        failure = error('internal', 'drawn by a fault switch')
        await exchange.respond_json(HTTPStatus.INTERNAL_SERVER_ERROR, failure)
        return False
    return True


def error(code: str, message: str, run: str = 'unknown') -> dict[str, Any]:
    """Build the body of an error response.

    Args:
        code: Stable error code.
        message: Human-readable description.
        run: ``not_run`` if the request certainly had no effect.
    """
    return {'error': {'code': code, 'message': message, 'run': run}}
