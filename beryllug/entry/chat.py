"""Chat completions on one model: from admission to the bill.

The version is looked at anew for every attempt. The caller sees the answer
as it is made, but its end only when the bill is durable. A stream that breaks
is taken up at its exact byte where the engine can, and otherwise ends with an
error: text of two runs is never joined.
"""

import time
import types

from beryllug.core import (
    config_data,
    evidence_book,
    journal_data,
    limits,
    refusal,
    versions,
)
from beryllug.drivers import (
    http_client,
    http_data,
    http_server,
)
from beryllug.entry import (
    attempts,
    call_data,
    chat_bill,
    chat_data,
    chat_order,
    delivery,
    headers,
    parts,
    probe,
    replays,
)

CODES = types.MappingProxyType(
    {
        versions.Reason.UNKNOWN: refusal.Code.NOT_FOUND,
        versions.Reason.NOT_ALLOWED: refusal.Code.NOT_ALLOWED,
        versions.Reason.WITHDRAWN: refusal.Code.WITHDRAWN,
    }
)
OK = 200
MAX_RESUMES = 3
BROKEN_EVENT = (
    b'data: {"error":{"code":"backend_failed","run":"ran",'
    b'"message":"the answer broke off"}}\n\n'
)


class ChatFlow:
    """Takes one chat call from admission to its bill."""

    def __init__(self, wired: parts.Parts) -> None:
        """Bind the services."""
        self._parts = wired
        self._bill = chat_bill.ChatBill(wired)

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve one call.

        Raises:
            RefusedError: It got no answer; says whether it ran.
        """
        self._parts.crashes.refuse_suspect(call)
        session = await self._parts.sessions.find(call)
        plan = self._plan(call, session)
        stage = plan.stages[-1]
        version, ticket = self._admit(call, stage)
        subject = evidence_book.Subject(version.ref, call.account.account_id)
        turn = chat_data.Turn(
            call,
            session,
            version,
            stage.pin_broken,
            probe.VersionProbe(self._parts.exposure, subject),
        )
        try:
            await self._admitted(turn, exchange)
        finally:
            self._parts.admission.release(ticket)

    def _plan(
        self, call: call_data.Call, session: versions.Session
    ) -> versions.Plan:
        plan = versions.candidates(
            self._parts.link.known.view,
            call.account,
            call.facts.asked,
            session,
            self._parts.exposure.budgets(),
        )
        if isinstance(plan, versions.Refusal):
            message = f'{plan.model}: {plan.reason.value}'
            raise refusal.RefusedError(
                refusal.Refusal(CODES[plan.reason], message)
            )
        return plan

    def _admit(
        self, call: call_data.Call, stage: versions.Stage
    ) -> tuple[config_data.Version, limits.Ticket]:
        """Admit a call to the first version of a stage that has room."""
        refused = refusal.RefusedError(
            refusal.Refusal(refusal.Code.NO_SERVER, 'no version to run on')
        )
        for version in stage.versions:
            name = chat_data.name_of(version.ref)
            try:
                ticket = self._parts.admission.admit(call, version.pool, name)
            except refusal.RefusedError as exc:
                refused = exc
            else:
                return version, ticket
        raise refused

    async def _admitted(
        self, turn: chat_data.Turn, exchange: http_server.Exchange
    ) -> None:
        wired = self._parts
        if not turn.call.facts.repeatable:
            note = chat_data.name_of(turn.version.ref)
            first = await wired.bills.begin(turn.call, note)
            if first is not None:
                await replays.replay_first(wired.answers, first, exchange)
                return
        try:
            opened = await wired.attempts.open(
                turn.call, chat_order.make(self._parts, turn)
            )
        except refusal.RefusedError as exc:
            await wired.bills.refuse(turn.call, exc.refusal)
            raise
        try:
            await self._deliver(turn, opened, exchange)
        finally:
            turn.probe.drop()
            wired.attempts.close(turn.call, opened)

    async def _deliver(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        if turn.call.stream and opened.incoming.status == OK:
            await self._stream(turn, opened, exchange)
        else:
            await self._whole(turn, opened, exchange)

    async def _stream(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        keep = self._parts.exposure.wants_text(turn.version.ref)
        relay = delivery.StreamRelay(turn.call, exchange, keep)
        fields = await self._headers(turn)
        fields[headers.CONTENT_TYPE] = headers.EVENTS_TYPE
        try:
            await exchange.start(OK, fields)
        except ConnectionError:
            relay.caller_gone = True
        if await self._pump(turn.call, opened, relay):
            await self._bill.whole_stream(turn, opened.attempt, relay)
            await relay.finish()
        else:
            await self._cut(turn, opened, relay)

    async def _cut(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        relay: delivery.StreamRelay,
    ) -> None:
        if relay.unwanted:
            await self._parts.engine.cancel(
                opened.attempt.server.address, turn.call.request_id
            )
            await self._bill.cut_stream(
                turn, opened.attempt, relay, journal_data.OutcomeState.CANCELLED
            )
        else:
            self._parts.routing.failed(opened.attempt, time.monotonic())
            await self._bill.cut_stream(
                turn, opened.attempt, relay, journal_data.OutcomeState.FAILED
            )
            await relay.fail(BROKEN_EVENT)

    async def _pump(
        self,
        call: call_data.Call,
        opened: attempts.Opened,
        relay: delivery.StreamRelay,
    ) -> bool:
        """Pass a stream on, taking it up again where it broke.

        Returns:
            Whether it came to its end.
        """
        incoming: http_client.Incoming | None = opened.incoming
        for _ in range(MAX_RESUMES):
            if incoming is None:
                return False
            try:
                await relay.pump(incoming)
            except http_data.BrokenError:
                incoming = await self._resume(call, opened, relay.tail.size)
            except TimeoutError:
                return False
            else:
                return relay.tail.is_whole()
        return False

    async def _resume(
        self, call: call_data.Call, opened: attempts.Opened, offset: int
    ) -> http_client.Incoming | None:
        """Take an answer up at an exact byte, at the engine that made it."""
        try:
            return await self._parts.engine.resume(
                opened.attempt.server.address, call.request_id, offset
            )
        except (http_data.NotSentError, http_data.BrokenError):
            return None

    async def _whole(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        body = await self._read(turn, opened)
        await self._bill.whole_body(turn, opened, body)
        fields = await self._headers(turn)
        fields[headers.CONTENT_TYPE] = opened.incoming.headers.get(
            headers.CONTENT_TYPE, headers.JSON_TYPE
        )
        await exchange.respond(opened.incoming.status, body, fields)

    async def _read(
        self, turn: chat_data.Turn, opened: attempts.Opened
    ) -> bytes:
        try:
            return await delivery.read_whole(turn.call, opened.incoming)
        except (http_data.BrokenError, TimeoutError):
            self._parts.routing.failed(opened.attempt, time.monotonic())
        broken = refusal.Refusal(
            refusal.Code.BACKEND_FAILED,
            'the engine broke off its answer',
            refusal.Run.UNKNOWN,
        )
        await self._parts.bills.refuse(turn.call, broken)
        raise refusal.RefusedError(broken)

    async def _headers(self, turn: chat_data.Turn) -> dict[str, str]:
        """Return the headers of an answer, once its session is pinned."""
        fields = {
            headers.REQUEST_ID: turn.call.request_id,
            headers.VERSION: chat_data.name_of(turn.version.ref),
        }
        token = await self._parts.sessions.pin(
            turn.call, turn.session, turn.version.ref
        )
        if token:
            fields[headers.SESSION_TOKEN] = token
        if turn.moved:
            fields[headers.SESSION_MOVED] = 'yes'
        return fields
