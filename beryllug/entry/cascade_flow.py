"""Model cascades: try a cheaper stage first where it is likely to suffice.

The answer of a checked stage is read whole and rated before any byte of it is
sent, so no client sees text that is then replaced. The answer comes from a
checked stage that is accepted or from an unchecked one; all stages that ran
are on one billing record.
"""

import random
import time
from typing import NamedTuple

from beryllug.core import (
    cascade,
    cascade_data,
    config_data,
    journal_data,
    rating_health,
    request_data,
    versions,
)
from beryllug.drivers import http_server, rating
from beryllug.entry import (
    attempts,
    call_data,
    chat_bill,
    chat_data,
    headers,
    flow_dependencies,
    turn_admission,
    turn_runner,
)
from beryllug.parsing import chat_response

POLICY = cascade_data.LearntPolicy()
OK = 200
MIN_RATING_S = 0.05


class _CascadeCall(NamedTuple):
    """A call of a cascade with its session and plan."""

    call: call_data.Call
    session: versions.Session
    plan: versions.Plan
    declared: config_data.Cascade


class _Checked(NamedTuple):
    """A checked stage that ran, with its answer and rating."""

    turn: chat_data.Turn
    opened: attempts.Opened
    body: bytes
    answer: cascade_data.Answer


class CascadeFlow:
    """Serves calls of a cascade up to their billing record."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps
        self._state = deps.cascades
        self._turn_admission = turn_admission.TurnAdmission(deps)
        self._runner = turn_runner.TurnRunner(deps)
        self._bill = chat_bill.ChatBill(deps)
        self._rng = random.Random(0)

    async def serve(
        self,
        call: call_data.Call,
        session: versions.Session,
        plan: versions.Plan,
        exchange: http_server.Exchange,
    ) -> None:
        """Serve one call.

        Raises:
            RefusedError: It has no answer; states whether it ran.
        """
        assert plan.cascade is not None
        cascade_call = _CascadeCall(call, session, plan, plan.cascade)
        now = time.monotonic()
        begin = cascade.begin(
            POLICY, self._state, self._question(cascade_call, now), now
        )
        if begin.checked:
            await self._serve_checked(cascade_call, begin.stage, exchange)
        else:
            await self._serve_unchecked(cascade_call, begin.stage, (), exchange)

    async def _serve_checked(
        self,
        cascade_call: _CascadeCall,
        number: int,
        exchange: http_server.Exchange,
    ) -> None:
        admitted = self._turn_admission.admit_turn(
            cascade_call.call,
            cascade_call.session,
            cascade_call.plan.stages[number],
        )
        try:
            if not await self._turn_admission.may_run(admitted.turn, exchange):
                return
            checked = await self._run_checked(
                cascade_call, number, admitted.turn
            )
        finally:
            self._turn_admission.release_ticket(admitted)
        now = time.monotonic()
        question = self._question(cascade_call, now)
        decision = cascade.after(
            POLICY, self._state, question, (checked.answer,)
        )
        cascade.learn(self._state, question, checked.answer, escalated=False)
        match decision:
            case cascade_data.Begin(stage=stage):
                use = chat_bill.stage_use_of_body(
                    checked.turn, checked.opened.attempt, checked.body
                )
                await self._serve_unchecked(
                    cascade_call, stage, (use,), exchange
                )
            case cascade_data.ReturnAnswer():
                cascade.record_returned(
                    self._state, question, checked.answer, escalated=False
                )
                await self._deliver(checked, exchange)

    async def _run_checked(
        self, cascade_call: _CascadeCall, number: int, turn: chat_data.Turn
    ) -> _Checked:
        staged = turn._replace(run_suffix=f'.{number}')
        opened, body = await self._runner.answer(staged)
        rated = None
        if opened.incoming.status == OK:
            rated = await self._rate(staged, body)
        answer = cascade_data.Answer(number, rated)
        return _Checked(staged, opened, body, answer)

    async def _serve_unchecked(
        self,
        cascade_call: _CascadeCall,
        number: int,
        earlier: tuple[journal_data.StageUse, ...],
        exchange: http_server.Exchange,
    ) -> None:
        """Run a stage whose answer is sent as it arrives."""
        admitted = self._turn_admission.admit_turn(
            cascade_call.call,
            cascade_call.session,
            cascade_call.plan.stages[number],
        )
        turn = admitted.turn._replace(earlier=earlier)
        try:
            if earlier or await self._turn_admission.may_run(turn, exchange):
                await self._runner.run(turn, exchange)
        finally:
            self._turn_admission.release_ticket(admitted)
        answer = cascade_data.Answer(number, None)
        question = self._question(cascade_call, time.monotonic())
        cascade.record_returned(
            self._state, question, answer, escalated=bool(earlier)
        )

    async def _deliver(
        self, checked: _Checked, exchange: http_server.Exchange
    ) -> None:
        await self._bill.finish_body(checked.turn, checked.opened, checked.body)
        fields = await self._runner.headers(checked.turn)
        fields[headers.CONTENT_TYPE] = checked.opened.incoming.headers.get(
            headers.CONTENT_TYPE, headers.JSON_TYPE
        )
        await exchange.respond(
            checked.opened.incoming.status, checked.body, fields
        )

    async def _rate(self, turn: chat_data.Turn, body: bytes) -> float | None:
        """Rate an answer, within the time that ratings usually take."""
        judge = self._state.judge
        longest_s = max(rating_health.longest_s(judge), MIN_RATING_S)
        started = time.monotonic()
        request = rating.RatingRequest(
            turn.call.request_id,
            turn.version.ref,
            chat_response.extract_text(body),
        )
        rated = await self._deps.ratings.rate_now(request, longest_s)
        now = time.monotonic()
        if rated is None:
            rating_health.missed(judge, now - started, now)
        else:
            rating_health.rated(judge, now - started)
        return rated

    def _question(
        self, cascade_call: _CascadeCall, now: float
    ) -> cascade_data.CascadeRequest:
        """Return the input of the cascade policy, with the time left."""
        facts = cascade_call.call.facts
        offers = (
            self._stage_offer(cascade_call, stage)
            for stage in cascade_call.plan.stages
        )
        return cascade_data.CascadeRequest(
            account_id=facts.account_id,
            kind=facts.request_class,
            cascade=cascade_call.declared,
            offers=tuple(offers),
            first_token_left_s=request_data.first_token_by(facts) - now,
            whole_left_s=cascade_call.call.deadline - now,
        )

    def _stage_offer(
        self, cascade_call: _CascadeCall, stage: versions.Stage
    ) -> cascade_data.Offer:
        version = stage.versions[0]
        facts = cascade_call.call.facts
        known = self._deps.admission.estimate(
            chat_data.name_of(version.ref), facts.request_class
        )
        tokens = facts.tokens_in + facts.tokens_out
        return cascade_data.Offer(
            model=stage.model,
            cost=chat_bill.cost_micro(version, tokens),
            first_token_s=known.first_token_s,
            whole_s=known.first_token_s + known.service_s,
            open=self._deps.admission.has_room(version.pool),
        )
