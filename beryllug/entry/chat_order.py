"""Orders for the attempts of a chat call."""

import time

from beryllug.core import (
    balance_data,
    refusal,
    request_data,
    versions,
    view_data,
)
from beryllug.drivers import engine_data, http_client
from beryllug.entry import attempts, chat_data, parts


def make(deps: parts.Parts, turn: chat_data.Turn) -> attempts.Order:
    """Return the order of a turn for the attempts."""
    request = engine_data.ChatAsk(
        request_id=turn.run_id,
        account_id=turn.call.account.account_id,
        version=turn.version.ref,
        body=turn.call.body,
        priority=request_data.priority(turn.call.facts.targets),
        fresh=not turn.call.facts.repeatable,
    )

    async def send(  # noqa: WPS430
        server: view_data.BackendServer,
    ) -> http_client.Incoming:
        return await deps.engine.chat(server.address, request)

    return attempts.Order(
        pick=balance_data.Pick(
            turn.version.pool,
            turn.version.ref,
            turn.call.facts.prefix_key,
        ),
        send=send,
        refusal_check=lambda: _refusal_code(deps, turn),
        probe=turn.probe,
    )


def _refusal_code(
    deps: parts.Parts, turn: chat_data.Turn
) -> refusal.Code | None:
    """Tell why the turn's version may not get its work now, if so.

    A process that was frozen since the call was admitted may not have heard
    of a withdrawal; it sends nothing on a view that it knows to be old.
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
