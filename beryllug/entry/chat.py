"""Chat completions: from the choice of versions to the flow that runs them."""

import types

from beryllug.core import refusal, versions
from beryllug.drivers import http_server
from beryllug.entry import (
    call_data,
    cascade_flow,
    parts,
    seats,
    turn_runner,
)

CODES = types.MappingProxyType(
    {
        versions.Reason.UNKNOWN: refusal.Code.NOT_FOUND,
        versions.Reason.NOT_ALLOWED: refusal.Code.NOT_ALLOWED,
        versions.Reason.WITHDRAWN: refusal.Code.WITHDRAWN,
    }
)


class ChatFlow:
    """Takes one chat call from its plan to its bill."""

    def __init__(self, wired: parts.Parts) -> None:
        """Bind the services."""
        self._parts = wired
        self._seats = seats.Seats(wired)
        self._runner = turn_runner.TurnRunner(wired)
        self._cascade = cascade_flow.CascadeFlow(wired)

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
        if plan.cascade is not None:
            await self._cascade.serve(call, session, plan, exchange)
            return
        seat = self._seats.take(call, session, plan.stages[0])
        try:
            if await self._seats.may_run(seat.turn, exchange):
                await self._runner.run(seat.turn, exchange)
        finally:
            self._seats.give_back(seat)

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
