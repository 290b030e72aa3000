"""Orders for the attempts of a chat call."""

from beryllug.core import balance_data, request_data, versions, view_data
from beryllug.drivers import engine_data, http_client
from beryllug.entry import attempts, chat_data, parts


def make(wired: parts.Parts, turn: chat_data.Turn) -> attempts.Order:
    """Return the order of a turn for the attempts."""
    ask = engine_data.ChatAsk(
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
        return await wired.engine.chat(server.address, ask)

    return attempts.Order(
        pick=balance_data.Pick(
            turn.version.pool,
            turn.version.ref,
            turn.call.facts.prefix_key,
        ),
        send=send,
        allowed=lambda: _is_current(wired, turn),
        probe=turn.probe,
    )


def _is_current(wired: parts.Parts, turn: chat_data.Turn) -> bool:
    """Tell whether the turn's version may still get its work."""
    view = wired.link.known.view
    account = turn.call.account
    for declared in view.document.accounts:
        if declared.account_id == account.account_id:
            return versions.is_current(view, declared, turn.version.ref)
    return False
