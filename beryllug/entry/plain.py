"""Calls of plain services: lookups, slot holds, valuations.

The answer is read whole before any byte is sent to the client, so a partial
answer is never returned. A non-repeatable call needs a durable intent and a
fresh connection: the server may close a reused one just as the call is
written, which leaves it unknown whether the call ran.
"""

import time
from beryllug.core import balance_data, journal_data, refusal, view_data
from beryllug.drivers import http_client, http_data, http_server, plain_service
from beryllug.entry import (
    attempts,
    intent_reply,
    call_data,
    delivery,
    headers,
    flow_dependencies,
    attempt_observer,
    replays,
    routing,
)

MIN_EXPECTED_S = 0.001


class PlainFlow:
    """Serves calls of plain services from admission to billing."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve one call.

        Raises:
            RefusedError: It has no answer; states whether it ran.
        """
        deps = self._deps
        index = deps.link.index
        pool = index.services[call.facts.asked].pool
        ticket = deps.admission.admit(call, pool, call.facts.asked)
        try:
            await self._admitted(call, pool, exchange)
        finally:
            deps.admission.release(ticket)

    async def _admitted(
        self, call: call_data.Call, pool: str, exchange: http_server.Exchange
    ) -> None:
        deps = self._deps
        if not call.facts.repeatable:
            first = await deps.bills.begin(call, call.facts.asked)
            if not isinstance(first, intent_reply.MayRun):
                await self._answer_from_first(first, exchange)
                return
        try:
            opened = await deps.attempts.open(call, self._order(call, pool))
        except refusal.RefusedError as exc:
            await deps.bills.refuse(call, exc.refusal)
            raise
        try:
            await self._deliver(call, opened, exchange)
        finally:
            deps.attempts.close(call, opened)

    async def _answer_from_first(
        self,
        first: intent_reply.Finished | intent_reply.Unfinished,
        exchange: http_server.Exchange,
    ) -> None:
        match first:
            case intent_reply.Finished(row=row):
                await replays.replay_first(self._deps.answers, row, exchange)
            case intent_reply.Unfinished(refused=refused):
                raise refusal.RefusedError(refused)

    async def _deliver(
        self,
        call: call_data.Call,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        incoming = opened.incoming
        first_at = time.monotonic()
        try:
            body = await delivery.read_whole(call, incoming)
        except (http_data.BrokenError, TimeoutError):
            self._deps.routing.record_failure(opened.attempt, time.monotonic())
            broken = refusal.Refusal(
                refusal.Code.BACKEND_FAILED,
                'the service broke off its answer',
                refusal.Run.UNKNOWN,
            )
            await self._deps.bills.refuse(call, broken)
            raise refusal.RefusedError(broken)
        self._record_times(call, opened.attempt, first_at)
        await self._finish(call, opened, body)
        await exchange.respond(
            incoming.status,
            body,
            {
                headers.CONTENT_TYPE: _content_type(incoming),
                headers.REQUEST_ID: call.request_id,
            },
        )

    async def _finish(
        self, call: call_data.Call, opened: attempts.Opened, body: bytes
    ) -> None:
        incoming = opened.incoming
        failed = attempts.is_error(incoming.status)
        state = journal_data.OutcomeState.DONE
        if failed:
            state = journal_data.OutcomeState.FAILED
            self._deps.routing.record_failure(opened.attempt, time.monotonic())
        answer = None
        if not call.facts.repeatable:
            answer = await self._deps.answers.store(
                call.request_id, incoming.status, _content_type(incoming), body
            )
        use = journal_data.StageUse(
            model=call.facts.asked,
            version='',
            server_id=opened.attempt.server.server_id,
            tokens_in=0,
            tokens_out=0,
            cost_micro=0,
        )
        await self._deps.bills.finish(call, state, (use,), answer)

    def _record_times(
        self, call: call_data.Call, attempt: routing.Attempt, first_at: float
    ) -> None:
        now = time.monotonic()
        first_s = first_at - attempt.started
        known = self._deps.admission.estimate(
            call.facts.asked, call.facts.request_class
        )
        ratio = first_s / max(known.first_token_s, MIN_EXPECTED_S)
        self._deps.routing.record_answer(attempt, ratio, now)
        self._deps.admission.observe(
            call.facts.asked,
            call.facts,
            (first_s, now - first_at),
            attempt.load_share,
        )

    def _order(self, call: call_data.Call, pool: str) -> attempts.AttemptSpec:
        request = _service_request(call)

        async def send(  # noqa: WPS430
            server: view_data.BackendServer,
        ) -> http_client.IncomingResponse:
            return await self._deps.plain.call(server.address, request)

        return attempts.AttemptSpec(
            pick=balance_data.Pick(pool),
            send=send,
            refusal_check=lambda: self._refusal_code(call),
            observer=attempt_observer.NullObserver(),
        )

    def _refusal_code(self, call: call_data.Call) -> refusal.Code | None:
        """Return why the service must not be called now, or None."""
        if not self._deps.link.may_accept(time.monotonic()):
            return refusal.Code.CUT_OFF
        view = self._deps.link.known.view
        asked = call.facts.asked
        allowed = any(
            account.account_id == call.account.account_id
            and asked in account.services
            for account in view.document.accounts
        )
        return None if allowed else refusal.Code.NOT_ALLOWED


def _service_request(call: call_data.Call) -> plain_service.PlainRequest:
    return plain_service.PlainRequest(
        request_id=call.request_id,
        account_id=call.account.account_id,
        method=call.method,
        target=call.target,
        body=call.body,
        content_type=call.content_type,
        idempotency_key=call.idempotency_key,
        new_connection=not call.facts.repeatable,
    )


def _content_type(incoming: http_client.IncomingResponse) -> str:
    return incoming.headers.get(headers.CONTENT_TYPE, headers.JSON_TYPE)
