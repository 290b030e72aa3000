"""Runs one turn: a call on the version that was selected for it.

The answer is streamed to the client as it is generated, but its end is sent
only after billing. A broken stream is resumed at its exact byte if the engine
supports it, and otherwise ends with an error: text of two runs is never joined.
"""

import contextlib
import time

from beryllug.core import journal_data, refusal
from beryllug.drivers import (
    engine_data,
    http_client,
    http_data,
    http_server,
)
from beryllug.entry import (
    attempts,
    chat_bill,
    chat_data,
    chat_attempt_spec,
    delivery,
    headers,
    flow_dependencies,
)

OK = 200
MAX_RESUMES = 3
BROKEN_EVENT = (
    b'data: {"error":{"code":"backend_failed","run":"ran",'
    b'"message":"the answer broke off"}}\n\n'
)


class TurnRunner:
    """Runs turns from the first attempt to the billing record."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps
        self._bill = chat_bill.ChatBill(deps)

    async def run(
        self, turn: chat_data.Turn, exchange: http_server.Exchange
    ) -> None:
        """Run a turn and send its answer to the client.

        Raises:
            RefusedError: It has no answer; states whether it ran.
        """
        opened = await self._open(turn)
        try:
            await self._deliver(turn, opened, exchange)
        finally:
            self._close(turn, opened)

    async def answer(
        self, turn: chat_data.Turn
    ) -> tuple[attempts.Opened, bytes]:
        """Run a turn and return its whole answer, which is not billed yet.

        Raises:
            RefusedError: It has no answer; states whether it ran.
        """
        opened = await self._open(turn)
        try:
            body = await self._read_whole(turn, opened)
        finally:
            self._close(turn, opened)
        return opened, body

    async def headers(self, turn: chat_data.Turn) -> dict[str, str]:
        """Pin the session of a turn and return the response headers."""
        fields = {
            headers.REQUEST_ID: turn.call.request_id,
            headers.VERSION: chat_data.name_of(turn.version.ref),
        }
        token = await self._deps.sessions.pin(
            turn.call, turn.session, turn.version.ref
        )
        if token:
            fields[headers.SESSION_TOKEN] = token
        if turn.moved:
            fields[headers.SESSION_MOVED] = 'yes'
        return fields

    async def _open(self, turn: chat_data.Turn) -> attempts.Opened:
        order = chat_attempt_spec.make(self._deps, turn)
        try:
            return await self._deps.attempts.open(turn.call, order)
        except refusal.RefusedError as exc:
            await self._deps.bills.refuse(turn.call, exc.refusal, turn.earlier)
            raise

    def _close(self, turn: chat_data.Turn, opened: attempts.Opened) -> None:
        turn.observer.drop()
        self._deps.attempts.close(turn.call, opened)

    async def _deliver(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        if turn.call.stream and opened.incoming.status == OK:
            await self._send_stream(turn, opened, exchange)
        else:
            await self._send_whole(turn, opened, exchange)

    async def _send_stream(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        keep = self._deps.exposure.needs_answer_text(turn.version.ref)
        relay = delivery.StreamRelay(turn.call, exchange, keep)
        fields = await self.headers(turn)
        fields[headers.CONTENT_TYPE] = headers.EVENTS_TYPE
        try:
            await exchange.start(OK, fields)
        except ConnectionError:
            relay.caller_gone = True
        if await self._forward_stream(turn, opened, relay):
            await self._bill.finish_stream(turn, opened.attempt, relay)
            await relay.finish()
        else:
            await self._finish_partial(turn, opened, relay)

    async def _finish_partial(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        relay: delivery.StreamRelay,
    ) -> None:
        if relay.is_abandoned:
            with contextlib.suppress(engine_data.EngineError):
                await self._deps.engine.cancel(
                    opened.attempt.server.address, turn.run_id
                )
            await self._bill.finish_partial_stream(
                turn, opened.attempt, relay, journal_data.OutcomeState.CANCELLED
            )
        else:
            self._deps.routing.record_failure(opened.attempt, time.monotonic())
            await self._bill.finish_partial_stream(
                turn, opened.attempt, relay, journal_data.OutcomeState.FAILED
            )
            await relay.fail(BROKEN_EVENT)

    async def _forward_stream(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        relay: delivery.StreamRelay,
    ) -> bool:
        """Forward a stream, resuming it where it broke.

        Returns:
            Whether the stream is complete.
        """
        incoming: http_client.IncomingResponse | None = opened.incoming
        for _ in range(MAX_RESUMES):
            if incoming is None:
                return False
            try:
                await relay.forward(incoming)
            except http_data.BrokenError:
                incoming = await self._resume(turn, opened, relay.tail.size)
            except TimeoutError:
                return False
            else:
                return relay.tail.reached_end()
        return False

    async def _resume(
        self, turn: chat_data.Turn, opened: attempts.Opened, offset: int
    ) -> http_client.IncomingResponse | None:
        """Resume an answer at an exact byte, on the engine that runs it."""
        try:
            return await self._deps.engine.resume(
                opened.attempt.server.address, turn.run_id, offset
            )
        except (http_data.NotSentError, http_data.BrokenError):
            return None

    async def _send_whole(
        self,
        turn: chat_data.Turn,
        opened: attempts.Opened,
        exchange: http_server.Exchange,
    ) -> None:
        body = await self._read_whole(turn, opened)
        await self._bill.finish_body(turn, opened, body)
        fields = await self.headers(turn)
        fields[headers.CONTENT_TYPE] = opened.incoming.headers.get(
            headers.CONTENT_TYPE, headers.JSON_TYPE
        )
        await exchange.respond(opened.incoming.status, body, fields)

    async def _read_whole(
        self, turn: chat_data.Turn, opened: attempts.Opened
    ) -> bytes:
        try:
            return await delivery.read_whole(turn.call, opened.incoming)
        except (http_data.BrokenError, TimeoutError):
            self._deps.routing.record_failure(opened.attempt, time.monotonic())
        broken = refusal.Refusal(
            refusal.Code.BACKEND_FAILED,
            'the engine broke off its answer',
            refusal.Run.UNKNOWN,
        )
        await self._deps.bills.refuse(turn.call, broken, turn.earlier)
        raise refusal.RefusedError(broken)
