"""Chat completions: selects versions and runs the matching flow."""

import types

from beryllug.core import refusal, versions
from beryllug.drivers import http_server
from beryllug.entry import (
    call_data,
    cascade_flow,
    flow_dependencies,
    turn_admission,
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
    """Serves chat calls from the plan to the billing record."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps
        self._turn_admission = turn_admission.TurnAdmission(deps)
        self._runner = turn_runner.TurnRunner(deps)
        self._cascade = cascade_flow.CascadeFlow(deps)

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve one call.

        Raises:
            RefusedError: It has no answer; states whether it ran.
        """
        self._deps.crashes.refuse_suspect(call)
        session = await self._deps.sessions.find(call)
        plan = self._plan(call, session)
        if plan.cascade is not None:
            await self._cascade.serve(call, session, plan, exchange)
            return
        admitted = self._turn_admission.admit_turn(
            call, session, plan.stages[0]
        )
        try:
            if await self._turn_admission.may_run(admitted.turn, exchange):
                await self._runner.run(admitted.turn, exchange)
        finally:
            self._turn_admission.release_ticket(admitted)

    def _plan(
        self, call: call_data.Call, session: versions.Session
    ) -> versions.Plan:
        plan = versions.candidates(
            self._deps.link.known.view,
            call.account,
            call.facts.asked,
            session,
            self._deps.exposure.budgets(),
        )
        if isinstance(plan, versions.Refusal):
            message = f'{plan.model}: {plan.reason.value}'
            raise refusal.RefusedError(
                refusal.Refusal(CODES[plan.reason], message)
            )
        return plan
