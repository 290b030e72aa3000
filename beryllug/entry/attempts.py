"""Attempts of one call on backend servers until one answers.

Each attempt checks again whether its version may still be used, selects a
server and reports the result to the routing service. The error returned to
the client depends on how far each failed attempt may have got.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.core import (
    balance_data,
    config_data,
    evidence_book,
    refusal,
    retry,
    view_data,
)
from beryllug.drivers import answer_timeouts, engine, http_client, http_data
from beryllug.entry import (
    call_data,
    crashes,
    liveness,
    attempt_observer,
    routing,
    trials,
)

SERVER_ERROR = 500
RETRY_AFTER_S = 1.0

Send = Callable[
    [view_data.BackendServer], Awaitable[http_client.IncomingResponse]
]
RefusalCheck = Callable[[], refusal.Code | None]


class AttemptSpec(NamedTuple):
    """Specification of the attempts of a call.

    Attributes:
        pick: Criteria for the selection of a server.
        send: Sends the request to a server and returns the response head.
        refusal_check: Returns why it must not be sent now, None if it may.
        observer: Notified of each attempt.
    """

    pick: balance_data.Pick
    send: Send
    refusal_check: RefusalCheck
    observer: attempt_observer.AttemptObserver


class Opened(NamedTuple):
    """An attempt whose response head has arrived and body is unread."""

    incoming: http_client.IncomingResponse
    attempt: routing.Attempt
    head_at: float


class _Failed(NamedTuple):
    """A failed attempt and its server."""

    failure: retry.Failure
    server_id: str
    crashed: bool


class Attempts:
    """Runs the attempts of calls for the request flows of an entry."""

    def __init__(
        self, routes: routing.Routing, crash_reports: crashes.Crashes
    ) -> None:
        """Use the given routing and crash report services."""
        self._routing = routes
        self._crashes = crash_reports
        self._trials = trials.Trials(routes, crash_reports)

    async def open(self, call: call_data.Call, order: AttemptSpec) -> Opened:
        """Make attempts until a server answers.

        The caller must pass the result to `close`.

        Raises:
            RefusedError: No server answered; states whether one may have
                run the call.
        """
        excluded: set[str] = set()
        definitely_not_run = True
        crashed = False
        number = 0
        self._routing.count_first_attempt(order.pick.pool)
        while True:
            number += 1
            failed = await self._try(
                call, order, frozenset(excluded), definitely_not_run
            )
            if isinstance(failed, Opened):
                return failed
            excluded.add(failed.server_id)
            crashed = crashed or failed.crashed
            failed = failed._replace(crashed=crashed)
            if not retry.did_not_run(failed.failure):
                definitely_not_run = False
            await self._wait_or_refuse(
                call, order, failed, (number, definitely_not_run)
            )

    def close(self, call: call_data.Call, opened: Opened) -> None:
        """End an attempt; release its connection or close it."""
        attempt = opened.attempt
        running = self._routing.fingerprints_on(attempt.server.server_id)
        opened.incoming.close()
        self._routing.end(call, attempt, time.monotonic())
        if opened.incoming.reached_end:
            self._crashes.report_alive(call, attempt, answered=True)
        else:
            cut = opened.incoming.is_broken
            self._crashes.check_in_background(call, attempt, running, cut=cut)

    async def _try(
        self,
        call: call_data.Call,
        order: AttemptSpec,
        excluded: frozenset[str],
        definitely_not_run: bool,
    ) -> Opened | _Failed:
        try:
            return await self._attempt(call, order, excluded)
        except refusal.RefusedError as exc:
            if definitely_not_run:
                raise
            # Refused now, but an earlier attempt may have run the call.
            amended = exc.refusal._replace(run=refusal.Run.UNKNOWN)
            raise refusal.RefusedError(amended) from exc

    async def _attempt(
        self, call: call_data.Call, order: AttemptSpec, excluded: frozenset[str]
    ) -> Opened | _Failed:
        pick = order.pick._replace(excluded=excluded)
        place = await self._trials.select_server(call, pick)
        # No await from this check to the dispatch: the version may have been
        # withdrawn while a suspected request waited for its trial.
        try:
            attempt = self._may_dispatch(order, place)
        except refusal.RefusedError:
            if place.trial_id:
                self._crashes.abandon_trial(call, place.trial_id)
            raise
        self._routing.begin(call, attempt)
        order.observer.begin()
        try:
            return await self._send(call, order, attempt)
        except BaseException:
            order.observer.drop()
            running = self._routing.fingerprints_on(attempt.server.server_id)
            self._routing.end(call, attempt, time.monotonic())
            self._crashes.check_in_background(call, attempt, running)
            raise

    def _may_dispatch(
        self, order: AttemptSpec, place: trials.SelectedServer
    ) -> routing.Attempt:
        code = order.refusal_check()
        if code is not None:
            raise _unusable_error(code, order.pick.version)
        if place.server is None:
            raise _no_server(order.pick.pool)
        attempt = self._routing.attempt(
            order.pick, place.server, time.monotonic()
        )
        return attempt._replace(trial_id=place.trial_id)

    async def _send(
        self, call: call_data.Call, order: AttemptSpec, attempt: routing.Attempt
    ) -> Opened | _Failed:
        try:
            async with answer_timeouts.at_deadline(call.deadline):
                incoming = await order.send(attempt.server)
        except http_data.NotSentError:
            failure = retry.Failure.NOT_SENT
        except http_data.BrokenError:
            failure = retry.Failure.BROKEN
        except TimeoutError:
            failure = retry.Failure.TIMED_OUT
        else:
            outcome = _failure_of(call, incoming)
            if outcome is None:
                self._crashes.report_answer_started(call, attempt)
                return Opened(incoming, attempt, time.monotonic())
            await _discard_body(incoming)
            failure = outcome
        found = await self._record_failure(call, attempt, failure)
        if retry.did_not_run(failure):
            order.observer.drop()
        else:
            gone = found is liveness.ServerLiveness.GONE
            order.observer.end(evidence_book.Answer(failed=True, crashed=gone))
        crashed = found is not liveness.ServerLiveness.ALIVE
        return _Failed(failure, attempt.server.server_id, crashed)

    async def _record_failure(
        self,
        call: call_data.Call,
        attempt: routing.Attempt,
        failure: retry.Failure,
    ) -> liveness.ServerLiveness:
        """Report a failed attempt and return the state of its server."""
        now = time.monotonic()
        if failure is not retry.Failure.DECLINED:
            self._routing.record_failure(attempt, now)
        running = self._routing.fingerprints_on(attempt.server.server_id)
        self._routing.end(call, attempt, now)
        match failure:
            case retry.Failure.BROKEN:
                found = await self._crashes.report_if_gone(
                    call, attempt, running
                )
                if found is liveness.ServerLiveness.GONE:
                    self._routing.record_failure(attempt, now, gone=True)
                return found
            case retry.Failure.TIMED_OUT:
                # A host that lost power sends nothing at all, so the server
                # may be gone.
                self._crashes.check_in_background(call, attempt, running)
            case _:
                self._crashes.report_alive(call, attempt, answered=False)
        return liveness.ServerLiveness.ALIVE

    async def _wait_or_refuse(
        self,
        call: call_data.Call,
        order: AttemptSpec,
        failed: _Failed,
        progress: tuple[int, bool],
    ) -> None:
        number, definitely_not_run = progress
        attempt = retry.Attempt(
            pool=order.pick.pool,
            failure=failed.failure,
            number=number,
            repeatable=call.facts.repeatable,
            answer_begun=False,
            needs_s=0,
            complete_by=call.deadline,
            crashed=failed.crashed,
        )
        decision = self._routing.may_retry(attempt, time.monotonic())
        match decision:
            case retry.RetryAfter(delay_s):
                await asyncio.sleep(delay_s)
            case _:
                raise _final_error(failed.failure, definitely_not_run)


def is_error(status: int) -> bool:
    """Return whether a status reports a server error."""
    return status >= SERVER_ERROR


def _failure_of(
    call: call_data.Call, incoming: http_client.IncomingResponse
) -> retry.Failure | None:
    """Return the failure that a response head stands for, or None.

    A server error is retried if the call is repeatable; otherwise it is
    returned to the client as the answer.
    """
    if engine.is_declined(incoming):
        return retry.Failure.DECLINED
    if is_error(incoming.status) and call.facts.repeatable:
        return retry.Failure.BROKEN
    return None


async def _discard_body(incoming: http_client.IncomingResponse) -> None:
    try:
        await incoming.read()
    except http_data.BrokenError:
        return
    finally:
        incoming.close()


def _unusable_error(
    code: refusal.Code, version: config_data.VersionRef | None
) -> Exception:
    name = f'{version.model}@{version.version}' if version else 'it'
    return refusal.RefusedError(
        refusal.Refusal(
            code,
            f'{name} may not be used now: {code.value}',
            retry_after_s=RETRY_AFTER_S,
        )
    )


def _no_server(pool: str) -> Exception:
    return refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.NO_SERVER,
            f'no backend server of pool {pool} takes work now',
            retry_after_s=RETRY_AFTER_S,
        )
    )


def _final_error(failure: retry.Failure, definitely_not_run: bool) -> Exception:
    """Return the error for a call whose last attempt failed."""
    timed_out = failure is retry.Failure.TIMED_OUT
    code = refusal.Code.DEADLINE if timed_out else refusal.Code.BACKEND_FAILED
    if definitely_not_run:
        return refusal.RefusedError(
            refusal.Refusal(
                refusal.Code.NO_SERVER,
                'no backend server could be reached',
                retry_after_s=RETRY_AFTER_S,
            )
        )
    return refusal.RefusedError(
        refusal.Refusal(
            code,
            f'the backend server did not answer ({failure.value})',
            refusal.Run.UNKNOWN,
        )
    )
