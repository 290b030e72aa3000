"""Requests with a short answer, which is read whole before it is sent on.

An answer that is cut off is thus never delivered as complete, and a request
that may run twice is retried without its caller noticing.
"""

import time
from dataclasses import dataclass

from beryllug.core.placement import suspicion
from beryllug.drivers import http_data, http_server
from beryllug.platform import requests
from beryllug.router import (
    attempt_servers,
    attempts,
    dispatch,
    flow_parts,
    pool,
    rollout_state,
)
from beryllug.router import call as call_data

# Timeout of an attempt that may be retried, in multiples of the route's target
# time. The slowest valid answers of a short call take five times the mean.
ANSWER_TIMEOUT_TARGETS = 3.0


@dataclass(frozen=True, slots=True)
class _FullAnswer:
    """An answer that was read to its end.

    Attributes:
        status: Its status.
        headers: The headers to return.
        body: Its body.
        is_reused: Whether it came on a connection that was open before.
        via: The process that forwarded it, or empty.
        is_unframed: Whether it had neither a length nor chunks.
        took_s: Seconds from writing the request to the end of the answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_reused: bool
    via: str
    is_unframed: bool
    took_s: float


class PlainFlow:
    """Serves requests whose answer is not a stream."""

    def __init__(self, parts: flow_parts.FlowParts) -> None:
        """Bind to the services of the flow."""
        self._pool = parts.pool
        self._trials = parts.trials
        self._log = parts.log
        self._suspects = parts.crashes.suspects
        self._servers = attempt_servers.AttemptServers(parts)
        self._timeouts = parts.timeouts

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve a request to its end.

        Raises:
            RefusedError: The router itself answers it with an error.
        """
        self._pool.repeats.count_request(call.service)
        progress = attempts.Progress(self._trials.choose_versions(call))
        failure: _FullAnswer | None = None
        while True:
            choice = await self._servers.choose(call, progress)
            if choice is None:
                break
            outcome = await self._attempt(call, choice, progress)
            if isinstance(outcome, _FullAnswer) and not self._is_failure(
                call, outcome
            ):
                await self._deliver(call, outcome, exchange)
                return
            if isinstance(outcome, _FullAnswer):
                failure = outcome
                outcome = dispatch.Unknown(
                    f'the server failed: {outcome.status}'
                )
            attempts.record_failure(progress, choice, outcome)
            attempts.uncount_terminated_server(call, progress, outcome)
            now = time.monotonic()
            if not attempts.may_retry(call, progress, self._pool, now):
                break
        if failure is not None:
            # The server's own failure tells its caller more than the router's
            # error.
            await self._deliver(call, failure, exchange)
            return
        raise attempts.final_error(call, progress, time.monotonic())

    async def _attempt(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        progress: attempts.Progress,
    ) -> _FullAnswer | dispatch.Outcome:
        if progress.counted_attempts:
            self._pool.repeats.count_repeat(call.service)
        self._trials.record_run(call, choice.server.version)
        attempt_started = time.monotonic()
        outcome = None
        try:
            outcome = await self._send(call, choice, progress)
        finally:
            if outcome is None:
                self._servers.unused(call, choice.server, progress)
            self._pool.request_ended(choice)
        took_s = time.monotonic() - attempt_started
        self._record_outcome(call, choice, outcome)
        if isinstance(outcome, _FullAnswer):
            self._log.attempt(
                call,
                choice.server,
                outcome.status,
                took_s,
                reused=outcome.is_reused,
                via=outcome.via,
                unframed=outcome.is_unframed,
            )
        else:
            self._log.attempt(call, choice.server, outcome, took_s)
        match outcome:
            case _FullAnswer(status) if status < dispatch.SERVER_ERROR:
                self._servers.answered(call, progress)
            case _FullAnswer():
                self._suspects.end(call, progress)
            case _:
                await self._servers.failed(
                    call, choice.server, progress, outcome
                )
        return outcome

    async def _send(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        progress: attempts.Progress,
    ) -> _FullAnswer | dispatch.Outcome:
        left_s = attempts.left_s(call)
        sending = requests.AttemptHeaders(
            choice.server, left_s, call.account_name
        )
        wait_s = self._wait_s(call, progress, left_s)
        try:
            async with self._timeouts.within(wait_s, call.deadline):
                outcome = await self._servers.send(
                    call, progress, sending, wait_s
                )
                if not isinstance(outcome, dispatch.Answered):
                    return outcome
                return await _read_answer(outcome)
        except TimeoutError:
            return dispatch.TimedOut('the answer did not end in time')

    def _wait_s(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        left_s: float,
    ) -> float:
        is_last = progress.counted_attempts + 1 >= call.route.max_attempts
        if is_last or not call.route.is_repeatable:
            return left_s
        return min(left_s, ANSWER_TIMEOUT_TARGETS * call.route.target_s)

    def _record_outcome(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        outcome: _FullAnswer | dispatch.Outcome,
    ) -> None:
        match outcome:
            case _FullAnswer(status):
                is_good = status < dispatch.SERVER_ERROR
                if is_good:
                    self._pool.succeeded(choice)
                elif status != call_data.GATEWAY_TIMEOUT:
                    # At the deadline the request took too long; the server is
                    # not at fault.
                    self._pool.failed(choice, points=suspicion.STATED)
                took = rollout_state.Timing('whole', outcome.took_s)
                self._trials.count_answer(
                    call,
                    choice,
                    is_good=is_good,
                    took=(took,) if is_good else (),
                )
            case dispatch.NotRun(_, is_gone):
                if is_gone:
                    self._pool.failed(choice, at_once=True)
            case dispatch.Unknown(is_excess=True):
                self._pool.failed(choice, at_once=True, points=suspicion.EXCESS)
            case dispatch.Unknown(is_relay_lost=False) | dispatch.TimedOut():
                self._pool.failed(choice)

    def _is_failure(self, call: call_data.Call, outcome: _FullAnswer) -> bool:
        return call.route.is_repeatable and (
            outcome.status >= dispatch.SERVER_ERROR
        )

    async def _deliver(
        self,
        call: call_data.Call,
        outcome: _FullAnswer,
        exchange: http_server.Exchange,
    ) -> None:
        took_s = time.monotonic() - call.arrived_at
        is_late = took_s > call.route.target_s
        self._log.answered(call, outcome.status, late=is_late)
        await exchange.respond(outcome.status, outcome.body, outcome.headers)


async def _read_answer(
    outcome: dispatch.Answered,
) -> _FullAnswer | dispatch.Outcome:
    incoming = outcome.incoming
    try:
        body = await incoming.read()
    except http_data.BrokenError as exc:
        return dispatch.broken(f'the answer ended early: {exc}', exc)
    finally:
        incoming.close()
    return _FullAnswer(
        incoming.status,
        requests.returned(incoming.headers),
        body,
        incoming.is_reused,
        incoming.via,
        incoming.is_unframed,
        time.monotonic() - incoming.sent_at,
    )
