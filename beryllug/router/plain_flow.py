"""Requests with a short answer: it is read whole before any of it goes out.

So an answer that breaks off is never taken for a whole one, and a request
that may run twice is tried again without its caller noticing.
"""

import asyncio
import time
from dataclasses import dataclass

from beryllug.core.placement import suspicion
from beryllug.drivers import http_data, http_server
from beryllug.platform import requests
from beryllug.router import (
    attempts,
    dispatch,
    flow_parts,
    pool,
    rollout_state,
)
from beryllug.router import call as call_data

# A server that has not answered a request, which may run twice, after so many
# times the time that its answer is due in is given up for another one. The
# slowest sound answers of a short call take five times the mean.
SILENT_TARGETS = 3.0


@dataclass(frozen=True, slots=True)
class _Whole:
    """An answer that was read to its end."""

    status: int
    headers: dict[str, str]
    body: bytes


class PlainFlow:
    """Serves requests whose answer is not a stream."""

    def __init__(self, parts: flow_parts.FlowParts) -> None:
        """Bind to the services it uses."""
        self._pool = parts.pool
        self._sender = parts.sender
        self._trials = parts.trials
        self._log = parts.log
        self._crashes = parts.crashes

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve a request to its end.

        Raises:
            RefusedError: It gets an answer of our own.
        """
        self._pool.repeats.asked(call.service)
        progress = attempts.Progress(self._trials.draw(call))
        failure: _Whole | None = None
        while True:
            choice = await self._pool.choose(attempts.wish(call, progress))
            if choice is None:
                attempts.note_lack(call, progress, self._pool)
                break
            came = await self._attempt(call, choice, progress)
            if isinstance(came, _Whole) and not self._is_failure(call, came):
                await self._deliver(call, came, exchange)
                return
            if isinstance(came, _Whole):
                failure = came
                came = dispatch.Unknown(f'the server failed: {came.status}')
            attempts.note(progress, choice, came)
            await attempts.excuse_ended(
                call, progress, choice.server, came, self._sender
            )
            now = time.monotonic()
            if not attempts.may_go_on(call, progress, self._pool, now):
                break
        if failure is not None:
            # The server's own failure tells its caller more than ours.
            await self._deliver(call, failure, exchange)
            return
        raise attempts.given_up(call, progress, time.monotonic())

    async def _attempt(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        progress: attempts.Progress,
    ) -> _Whole | dispatch.Outcome:
        if progress.arrivals:
            self._pool.repeats.repeated(call.service)
        self._trials.ran(call, choice.server.version)
        began = time.monotonic()
        try:
            came = await self._send(call, choice, progress)
        finally:
            self._pool.ended(choice)
        took_s = time.monotonic() - began
        self._learn(call, choice, came, took_s)
        told = came.status if isinstance(came, _Whole) else came
        self._log.attempt(call, choice.server, told, took_s)
        return came

    async def _send(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        progress: attempts.Progress,
    ) -> _Whole | dispatch.Outcome:
        left_s = attempts.left_s(call)
        sending = requests.Sending(choice.server, left_s, call.account_name)
        wait_s = self._wait_s(call, progress, left_s)
        try:
            async with asyncio.timeout(wait_s):
                came = await self._sender.send(call, sending, wait_s)
                if not isinstance(came, dispatch.Answered):
                    return came
                return await _read(came)
        except TimeoutError:
            return dispatch.TimedOut('the answer did not end in time')

    def _wait_s(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        left_s: float,
    ) -> float:
        is_last = progress.arrivals + 1 >= call.route.max_attempts
        if is_last or not call.route.is_repeatable:
            return left_s
        return min(left_s, SILENT_TARGETS * call.route.target_s)

    def _learn(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        came: _Whole | dispatch.Outcome,
        took_s: float,
    ) -> None:
        match came:
            case _Whole(status):
                is_good = status < dispatch.SERVER_ERROR
                if is_good:
                    self._pool.succeeded(choice)
                    self._crashes.answered(call)
                elif status != call_data.GATEWAY_TIMEOUT:
                    # At the time limit the request was long, not the server
                    # at fault.
                    self._pool.failed(choice, points=suspicion.STATED)
                took = rollout_state.Took('whole', took_s)
                self._trials.judged(
                    call,
                    choice,
                    is_good=is_good,
                    took=(took,) if is_good else (),
                )
            case dispatch.NotRun(_, is_gone):
                if is_gone:
                    self._pool.failed(choice, is_gone=True)
            case dispatch.Unknown():
                self._crashes.broke(call, choice.server)
                self._pool.failed(choice)
            case _:
                self._pool.failed(choice)

    def _is_failure(self, call: call_data.Call, came: _Whole) -> bool:
        return call.route.is_repeatable and (
            came.status >= dispatch.SERVER_ERROR
        )

    async def _deliver(
        self,
        call: call_data.Call,
        came: _Whole,
        exchange: http_server.Exchange,
    ) -> None:
        took_s = time.monotonic() - call.arrived_at
        is_late = took_s > call.route.target_s
        self._log.answered(call, came.status, late=is_late)
        await exchange.respond(came.status, came.body, came.headers)


async def _read(came: dispatch.Answered) -> _Whole | dispatch.Outcome:
    incoming = came.incoming
    try:
        body = await incoming.read()
    except http_data.BrokenError as exc:
        return dispatch.Unknown(f'the answer broke off: {exc}')
    finally:
        incoming.close()
    headers = requests.returned(incoming.headers)
    return _Whole(incoming.status, headers, body)
