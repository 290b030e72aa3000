"""Billing, roll-out evidence and latency estimates of chat answers.

A complete answer is billed by the token counts that the engine reports. A
partial one is billed by the events received, since no count is known.
"""

import time

from beryllug.core import config_data, evidence_book, journal_data, request_data
from beryllug.drivers import engine_data, engine_stream
from beryllug.entry import (
    attempts,
    chat_data,
    delivery,
    headers,
    flow_dependencies,
    routing,
)

MIN_EXPECTED_S = 0.001
OK = 200
TOKENS_PER_PRICE = 1000


class ChatBill:
    """Records the outcome of chat answers."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps

    async def finish_stream(
        self,
        turn: chat_data.Turn,
        attempt: routing.Attempt,
        relay: delivery.StreamRelay,
    ) -> None:
        """Bill a complete stream, before its end is sent to the client."""
        usage = relay.tail.usage()
        tokens = (turn.call.facts.tokens_in, relay.events)
        if usage is not None:
            tokens = (usage.tokens_in, usage.tokens_out)
        self._record_times(turn, attempt, relay.first_at or time.monotonic())
        answer = None
        if not turn.call.facts.repeatable:
            answer = await self._deps.answers.store(
                turn.call.request_id,
                OK,
                headers.EVENTS_TYPE,
                bytes(relay.collected_body),
            )
        self._record_evidence(turn, relay.first_at, failed=False)
        self._submit_rating(turn, bytes(relay.collected_body))
        await self._deps.bills.finish(
            turn.call,
            journal_data.OutcomeState.DONE,
            (*turn.earlier, stage_use(turn, attempt, tokens)),
            answer,
        )

    async def finish_partial_stream(
        self,
        turn: chat_data.Turn,
        attempt: routing.Attempt,
        relay: delivery.StreamRelay,
        state: journal_data.OutcomeState,
    ) -> None:
        """Bill a stream that the engine or the client ended early."""
        failed = state is journal_data.OutcomeState.FAILED
        if failed:
            self._record_evidence(turn, relay.first_at, failed=True)
        tokens = (turn.call.facts.tokens_in, relay.events)
        await self._deps.bills.finish(
            turn.call, state, (*turn.earlier, stage_use(turn, attempt, tokens))
        )

    async def finish_body(
        self, turn: chat_data.Turn, opened: attempts.Opened, body: bytes
    ) -> None:
        """Bill an answer that was read as one body."""
        status = opened.incoming.status
        failed = attempts.is_error(status)
        if failed:
            self._deps.routing.record_failure(opened.attempt, time.monotonic())
        else:
            self._record_times(turn, opened.attempt, opened.head_at)
            self._submit_rating(turn, body)
        self._record_evidence(turn, opened.head_at, failed)
        state = journal_data.OutcomeState.DONE
        if status != OK:
            state = journal_data.OutcomeState.FAILED
        answer = None
        if not turn.call.facts.repeatable:
            content_type = opened.incoming.headers.get(
                headers.CONTENT_TYPE, headers.JSON_TYPE
            )
            answer = await self._deps.answers.store(
                turn.call.request_id, status, content_type, body
            )
        use = stage_use_of_body(turn, opened.attempt, body)
        await self._deps.bills.finish(
            turn.call, state, (*turn.earlier, use), answer
        )

    def _record_evidence(
        self,
        turn: chat_data.Turn,
        first_at: float | None,
        failed: bool,
    ) -> None:
        """Record whether the version failed or was late."""
        facts = turn.call.facts
        due = request_data.first_token_by(facts)
        late = first_at is None or first_at > due
        turn.observer.end(evidence_book.Answer(failed=failed, late=late))

    def _submit_rating(self, turn: chat_data.Turn, answer: bytes) -> None:
        subject = evidence_book.Subject(
            turn.version.ref, turn.call.account.account_id
        )
        self._deps.exposure.rate(subject, turn.call.request_id, answer)

    def _record_times(
        self,
        turn: chat_data.Turn,
        attempt: routing.Attempt,
        first_at: float,
    ) -> None:
        now = time.monotonic()
        name = chat_data.name_of(turn.version.ref)
        facts = turn.call.facts
        first_s = first_at - attempt.started
        known = self._deps.admission.estimate(name, facts.request_class)
        ratio = first_s / max(known.first_token_s, MIN_EXPECTED_S)
        self._deps.routing.record_answer(attempt, ratio, now)
        times = (first_s, now - first_at)
        self._deps.admission.observe(name, facts, times, attempt.load_share)


def stage_use(
    turn: chat_data.Turn, attempt: routing.Attempt, tokens: tuple[int, int]
) -> journal_data.StageUse:
    """Return the billed usage of one stage."""
    return _make_stage_use(turn.version, attempt.server.server_id, tokens)


def stage_use_of_body(
    turn: chat_data.Turn, attempt: routing.Attempt, body: bytes
) -> journal_data.StageUse:
    """Return the billed usage of an answer read as one body."""
    return stage_use_of_stored(turn.version, attempt.server.server_id, body)


def stage_use_of_stored(
    version: config_data.Version, server_id: str, body: bytes
) -> journal_data.StageUse:
    """Return the billed usage of a complete answer of a version."""
    usage = _usage_in(body)
    tokens = (usage.tokens_in, usage.tokens_out) if usage else (0, 0)
    return _make_stage_use(version, server_id, tokens)


def _make_stage_use(
    version: config_data.Version, server_id: str, tokens: tuple[int, int]
) -> journal_data.StageUse:
    tokens_in, tokens_out = tokens
    return journal_data.StageUse(
        model=version.ref.model,
        version=version.ref.version,
        server_id=server_id,
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        cost_micro=cost_micro(version, tokens_in + tokens_out),
    )


def cost_micro(version: config_data.Version, tokens: int) -> int:
    """Return the price of tokens, in millionths of the currency unit."""
    return tokens * version.cost_micro // TOKENS_PER_PRICE


def _usage_in(body: bytes) -> engine_data.Usage | None:
    """Return the usage stated in a complete answer, streamed or not."""
    if not body.startswith(engine_stream.EVENT_START):
        return engine_stream.usage_of(body)
    tail = engine_stream.StreamTail()
    tail.feed(body)
    return tail.usage()
