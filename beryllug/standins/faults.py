"""Fault switches that every stand-in has.

A stand-in works without fault until a test flips a switch, in its own
process or through ``PUT /faults``. `only` and `times` narrow the faults on
the wire to some requests, so that a test can break one exact step.
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
    """All switches; the defaults are a party without fault.

    Attributes:
        only: The faults on the wire hit requests whose ``METHOD target``
            starts so; empty hits all.
        times: How many requests they hit; -1 is no bound.
        refuse: Nothing listens: connections are refused.
        delay_s: Wait before the request takes effect.
        unavailable: Answer 503 without effect, saying that it was not run.
        reset_before_run: Cut the connection without effect.
        answer_delay_s: Wait after the effect, before the answer.
        drop_answer: Cut the connection after the effect, without an answer.
        reset_at_byte: Cut the connection after so many bytes of the
            answer's body; -1 never.
        hard_reset: Cut with a TCP reset, else with an early end.
        error_rate: Share of requests answered 500 without effect.
        stale: Reads show the state of the moment this was switched on.
        lag_s: Reports show the state of so long ago.
        gap_rate: Share of events that are left out of a feed.
        ignore_fencing: Orders with an old fencing token are carried out.
        poison: A prompt that holds this text crashes the engine.
        restart_s: Seconds after which a crashed engine is back; -1 never.
        slow_factor: Multiplies the time an engine takes.
        version_errors: Share of runs that fail, by version.
        version_quality: Added to the quality of answers, by version.
        bias: Added to every rating.
        seed: Seed of all drawn shares.
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


class Switches:
    """The present faults of one stand-in and what they still may hit."""

    def __init__(self) -> None:
        """Start without fault."""
        self.present = NONE
        self.random = random.Random(NONE.seed)
        self.hits = 0
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function whenever the switches change."""
        self._listeners.append(listener)

    def put(self, present: Faults) -> None:
        """Replace all switches and begin the count of hits anew."""
        self.present = present
        self.random = random.Random(present.seed)
        self.hits = 0
        for listener in self._listeners:
            listener()

    def draw(self, req: http_data.Request) -> Faults:
        """Return the faults that hit this request on the wire."""
        present = self.present
        line = f'{req.method} {req.target}'
        if not line.startswith(present.only):
            return NONE
        if 0 <= present.times <= self.hits:
            return NONE
        self.hits += 1
        return present

    def chance(self, share: float) -> bool:
        """Draw whether something of the given share happens."""
        return share > 0 and self.random.random() < share


class Answer:
    """The answering side of a request, with the faults that hit it."""

    def __init__(self, exchange: http_server.Exchange, hit: Faults) -> None:
        """Bind the answer to its exchange."""
        self.bytes_sent = 0
        self._exchange = exchange
        self._hit = hit

    def is_gone(self) -> bool:
        """Tell whether the client has gone."""
        return self._exchange.is_gone()

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a whole answer."""
        if self._hit.reset_at_byte < 0:
            await self._hit_head()
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
        """Send a whole JSON answer."""
        typed = {'content-type': http_server.JSON_TYPE, **(headers or {})}
        await self.respond(status, http_data.to_json(document), typed)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of an answer that follows in chunks."""
        await self._hit_head()
        await self._exchange.start(status, headers)

    async def send(self, chunk: bytes) -> None:
        """Send one chunk."""
        limit = self._hit.reset_at_byte
        reached = self.bytes_sent + len(chunk) >= limit
        last = limit >= 0 and reached
        if last:
            chunk = chunk[: limit - self.bytes_sent]
        self.bytes_sent += len(chunk)
        await self._exchange.send(chunk)
        if last:
            self.cut()

    async def finish(self) -> None:
        """End a chunked answer."""
        await self._exchange.finish()

    async def refuse(
        self,
        status: int,
        code: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Refuse a request that surely had no effect, and say so."""
        document = error(code, 'refused', NOT_RUN)
        framed = {RUN: NOT_RUN, **(headers or {})}
        await self.respond_json(status, document, framed)

    def cut(self) -> None:
        """Cut the connection in the middle of an answer.

        Raises:
            ConnectionResetError: Always, which ends the handler.
        """
        self._exchange.abort(hard=self._hit.hard_reset)
        raise ConnectionResetError('cut by the stand-in')

    async def _hit_head(self) -> None:
        if self._hit.answer_delay_s:
            await asyncio.sleep(self._hit.answer_delay_s)
        if self._hit.drop_answer:
            self.cut()


async def before_run(
    exchange: http_server.Exchange, hit: Faults, switches: Switches
) -> bool:
    """Apply the faults that come before the effect.

    Returns:
        True if the request may go on to take effect.
    """
    if hit.delay_s:
        await asyncio.sleep(hit.delay_s)
    if hit.reset_before_run:
        exchange.abort(hard=hit.hard_reset)
        return False
    if hit.unavailable:
        await exchange.respond_json(
            HTTPStatus.SERVICE_UNAVAILABLE,
            error('unavailable', 'switched off', NOT_RUN),
            {RUN: NOT_RUN},
        )
        return False
    if switches.chance(hit.error_rate):
        failed = error('internal', 'drawn by a fault switch')
        await exchange.respond_json(HTTPStatus.INTERNAL_SERVER_ERROR, failed)
        return False
    return True


def error(code: str, message: str, run: str = 'unknown') -> dict[str, Any]:
    """Build the body of an answer that refuses or fails.

    Args:
        code: Stable name of the error.
        message: What happened, for a person.
        run: ``not_run`` where the request surely had no effect.
    """
    return {'error': {'code': code, 'message': message, 'run': run}}
