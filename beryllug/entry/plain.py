"""Calls of plain services: lookups, slot holds, valuations.

The answer is read whole before a byte goes to the caller, so a broken answer
is never given out in part. A call that may not repeat has a durable intent
first and a fresh connection: on a kept one the server may close it just as
the call is written, and nobody would know whether it ran.
"""

import time
from beryllug.core import balance_data, journal_data, refusal, view_data
from beryllug.drivers import http_client, http_data, http_server, plain_service
from beryllug.entry import (
    attempts,
    begun,
    call_data,
    delivery,
    headers,
    parts,
    probe,
    replays,
    routing,
)

MIN_EXPECTED_S = 0.001


class PlainFlow:
    """Takes one call of a plain service from admission to its bill."""

    def __init__(self, wired: parts.Parts) -> None:
        """Bind the services."""
        self._parts = wired

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve one call.

        Raises:
            RefusedError: It got no answer; says whether it ran.
        """
        wired = self._parts
        index = wired.link.index
        pool = index.services[call.facts.asked].pool
        ticket = wired.admission.admit(call, pool, call.facts.asked)
        try:
            await self._admitted(call, pool, exchange)
        finally:
            wired.admission.release(ticket)

    async def _admitted(
        self, call: call_data.Call, pool: str, exchange: http_server.Exchange
    ) -> None:
        wired = self._parts
        if not call.facts.repeatable:
            found = await wired.bills.begin(call, call.facts.asked)
            if not isinstance(found, begun.MayRun):
                await self._first_try(found, exchange)
                return
        try:
            opened = await wired.attempts.open(call, self._order(call, pool))
        except refusal.RefusedError as exc:
            await wired.bills.refuse(call, exc.refusal)
            raise
        try:
            await self._deliver(call, opened, exchange)
        finally:
            wired.attempts.close(call, opened)

    async def _first_try(
        self,
        found: begun.Finished | begun.Unfinished,
        exchange: http_server.Exchange,
    ) -> None:
        match found:
            case begun.Finished(row=row):
                await replays.replay_first(self._parts.answers, row, exchange)
            case begun.Unfinished(refused=refused):
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
            self._parts.routing.failed(opened.attempt, time.monotonic())
            broken = refusal.Refusal(
                refusal.Code.BACKEND_FAILED,
                'the service broke off its answer',
                refusal.Run.UNKNOWN,
            )
            await self._parts.bills.refuse(call, broken)
            raise refusal.RefusedError(broken)
        self._learn(call, opened.attempt, first_at)
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
            self._parts.routing.failed(opened.attempt, time.monotonic())
        answer = None
        if not call.facts.repeatable:
            answer = await self._parts.answers.keep(
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
        await self._parts.bills.finish(call, state, (use,), answer)

    def _learn(
        self, call: call_data.Call, attempt: routing.Attempt, first_at: float
    ) -> None:
        now = time.monotonic()
        first_s = first_at - attempt.started
        known = self._parts.admission.estimate(
            call.facts.asked, call.facts.request_class
        )
        ratio = first_s / max(known.first_token_s, MIN_EXPECTED_S)
        self._parts.routing.answered(attempt, ratio, now)
        self._parts.admission.observe(
            call.facts.asked,
            call.facts,
            (first_s, now - first_at),
            attempt.load_share,
        )

    def _order(self, call: call_data.Call, pool: str) -> attempts.Order:
        ask = _ask(call)

        async def send(  # noqa: WPS430
            server: view_data.BackendServer,
        ) -> http_client.Incoming:
            return await self._parts.plain.call(server.address, ask)

        return attempts.Order(
            pick=balance_data.Pick(pool),
            send=send,
            barred=lambda: self._barred(call),
            probe=probe.NoProbe(),
        )

    def _barred(self, call: call_data.Call) -> refusal.Code | None:
        """Tell why the service may not be called now, if so."""
        if not self._parts.link.may_accept(time.monotonic()):
            return refusal.Code.CUT_OFF
        view = self._parts.link.known.view
        asked = call.facts.asked
        allowed = any(
            account.account_id == call.account.account_id
            and asked in account.services
            for account in view.document.accounts
        )
        return None if allowed else refusal.Code.NOT_ALLOWED


def _ask(call: call_data.Call) -> plain_service.PlainAsk:
    return plain_service.PlainAsk(
        request_id=call.request_id,
        account_id=call.account.account_id,
        method=call.method,
        target=call.target,
        body=call.body,
        content_type=call.content_type,
        idempotency_key=call.idempotency_key,
        fresh=not call.facts.repeatable,
    )


def _content_type(incoming: http_client.Incoming) -> str:
    return incoming.headers.get(headers.CONTENT_TYPE, headers.JSON_TYPE)
