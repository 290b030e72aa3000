"""Builds the attempt specification of a chat call."""

import time

from beryllug.core import (
    balance_data,
    refusal,
    request_data,
    versions,
    view_data,
)
from beryllug.drivers import engine_data, http_client
from beryllug.entry import attempts, chat_data, flow_dependencies


def make(
    deps: flow_dependencies.FlowDependencies, turn: chat_data.Turn
) -> attempts.AttemptSpec:
    """Return the attempt specification of a turn."""
    request = engine_data.ChatRequest(
        request_id=turn.run_id,
        account_id=turn.call.account.account_id,
        version=turn.version.ref,
        body=turn.call.body,
        priority=request_data.priority(turn.call.facts.targets),
        new_connection=not turn.call.facts.repeatable,
    )

    async def send(  # noqa: WPS430
        server: view_data.BackendServer,
    ) -> http_client.IncomingResponse:
        return await deps.engine.chat(server.address, request)

    return attempts.AttemptSpec(
        pick=balance_data.Pick(
            turn.version.pool,
            turn.version.ref,
            turn.call.facts.prefix_key,
        ),
        send=send,
        refusal_check=lambda: _refusal_code(deps, turn),
        observer=turn.observer,
    )


def _refusal_code(
    deps: flow_dependencies.FlowDependencies, turn: chat_data.Turn
) -> refusal.Code | None:
    """Return why the turn must not be sent to its version now, or None.

    A process that was frozen after it admitted the call may have missed a
    withdrawal, so nothing is sent on the basis of a stale view.
    """
    if not deps.link.may_accept(time.monotonic()):
        return refusal.Code.CUT_OFF
    view = deps.link.known.view
    account = turn.call.account
    for declared in view.document.accounts:
        if declared.account_id == account.account_id:
            current = versions.is_current(view, declared, turn.version.ref)
            return None if current else refusal.Code.WITHDRAWN
    return refusal.Code.NOT_ALLOWED
