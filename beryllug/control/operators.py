"""The routes that a control process adds to the operators' address."""

import functools
import json
from typing import Any, Protocol

from beryllug.control import (
    config,
    config_desk,
    console,
    fleet_status,
)
from beryllug.control import operator_replies as replies
from beryllug.core import config_data, diff, document_plain, edits, plain
from beryllug.drivers import rpc, rpc_peers
from beryllug.kernel import ops

GET = 'GET'
POST = 'POST'

Answers = dict[tuple[str, str], replies.Answer]
Query = replies.Query


class Usage(Protocol):
    """What is needed of the journal."""

    async def usage(self) -> Any:
        """Return the aggregate of all bills."""


def routes(
    desk: config_desk.ConfigDesk,
    status: fleet_status.FleetStatus,
    usage: Usage | None = None,
) -> ops.Routes:
    """Return the handlers by method and path.

    Args:
        desk: What operators do with the configuration.
        status: The state of the fleet.
        usage: The journal; None in a process without one.
    """
    answers = {
        **ConfigRoutes(desk).answers(),
        **EditRoutes(desk).answers(),
        **StatusRoutes(status, usage).answers(),
    }
    served = {
        ops.Route(*route): functools.partial(replies.serve, answer)
        for route, answer in answers.items()
    }
    return {**served, **console.Console(desk).routes()}


def for_control(
    view: config.Config,
    calls: rpc_peers.Caller,
    server: rpc.RpcServer,
    usage: Usage | None = None,
) -> ops.Routes:
    """Return all routes of a control process.

    Args:
        view: The configuration service.
        calls: Calls of peers.
        server: Takes the method by which peers ask for this process's state.
        usage: The journal; None in a process without one.
    """
    status = fleet_status.FleetStatus(view, calls)
    status.serve(server)
    return routes(config_desk.ConfigDesk(view), status, usage)


class ConfigRoutes:
    """Shows, judges and applies whole documents."""

    def __init__(self, desk: config_desk.ConfigDesk) -> None:
        """Bind to the desk."""
        self._desk = desk

    def answers(self) -> Answers:
        """Return the answers by method and path."""
        return {
            (GET, '/v1/config'): self.show,
            (POST, '/v1/config'): self.apply,
            (GET, '/v1/config/history'): self.history,
            (GET, '/v1/schema'): self.schema,
            (POST, '/v1/validate'): self.validate,
            (POST, '/v1/diff'): self.compare,
        }

    async def show(self, query: Query, body: bytes) -> replies.Reply:
        """Show the document in force, or one that is remembered."""
        if 'revision' in query:
            return await self._show_past(replies.number_of(query, 'revision'))
        shown = await self._desk.show()
        return replies.Reply(
            replies.OK,
            {
                'revision': shown.root.revision,
                'author': shown.root.author,
                'source': shown.source,
                'document': shown.rendered,
            },
        )

    async def apply(self, query: Query, body: bytes) -> replies.Reply:
        """Put a document in force."""
        expect = replies.number_of(query, 'expect')
        order = replies.order_of(query, expect)
        return replies.applied(await self._desk.apply(body, order), order)

    async def history(self, query: Query, body: bytes) -> replies.Reply:
        """Show who applied the last revisions, and when."""
        shown = await self._desk.show()
        listed = plain.to_plain(shown.root.history)
        return replies.Reply(replies.OK, {'history': listed})

    async def schema(self, query: Query, body: bytes) -> replies.Reply:
        """Show the JSON Schema of a document."""
        return replies.Reply(replies.OK, await self._desk.schema())

    async def validate(self, query: Query, body: bytes) -> replies.Reply:
        """Judge a document and change nothing."""
        document, findings = await self._desk.judge(body)
        if document is None:
            return replies.invalid(findings)
        return replies.Reply(replies.OK, {'findings': []})

    async def compare(self, query: Query, body: bytes) -> replies.Reply:
        """Tell how a document differs from the one in force."""
        document, findings = await self._desk.judge(body)
        if document is None:
            return replies.invalid(findings)
        shown = await self._desk.show()
        differences = diff.compare(shown.document, document)
        return replies.Reply(
            replies.OK,
            {
                'revision': shown.root.revision,
                'differences': plain.to_plain(differences),
            },
        )

    async def _show_past(self, revision: int) -> replies.Reply:
        document = await self._desk.past(revision)
        if document is None:
            message = f'revision {revision} is not remembered'
            return replies.failed(replies.NOT_FOUND, 'unknown', message)
        rendered = document_plain.render(document)
        shown = {'revision': revision, 'document': rendered}
        return replies.Reply(replies.OK, shown)


class EditRoutes:
    """Changes the document in force by name."""

    def __init__(self, desk: config_desk.ConfigDesk) -> None:
        """Bind to the desk."""
        self._desk = desk

    def answers(self) -> Answers:
        """Return the answers by method and path."""
        return {
            (POST, '/v1/withdraw'): self.withdraw,
            (POST, '/v1/restore'): self.restore,
            (POST, '/v1/rollout/start'): self.start,
            (POST, '/v1/rollout/promote'): self.promote,
            (POST, '/v1/rollout/stop'): self.stop,
        }

    async def withdraw(self, query: Query, body: bytes) -> replies.Reply:
        """Withdraw a version."""
        return await self._edit(edits.Withdraw(replies.ref_of(query)), query)

    async def restore(self, query: Query, body: bytes) -> replies.Reply:
        """Let a withdrawn version serve again."""
        return await self._edit(edits.Restore(replies.ref_of(query)), query)

    async def start(self, query: Query, body: bytes) -> replies.Reply:
        """Start the roll-out that the body declares."""
        try:
            rollout = plain.from_plain(config_data.Rollout, json.loads(body))
        except (TypeError, ValueError) as exc:
            reason = f'the body is no roll-out: {exc}'
            raise replies.UsageError(reason) from exc
        return await self._edit(edits.StartRollout(rollout), query)

    async def promote(self, query: Query, body: bytes) -> replies.Reply:
        """End a roll-out in favour of the candidate."""
        model = replies.word_of(query, 'model')
        return await self._edit(edits.PromoteRollout(model), query)

    async def stop(self, query: Query, body: bytes) -> replies.Reply:
        """End a roll-out and withdraw the candidate."""
        model = replies.word_of(query, 'model')
        return await self._edit(edits.StopRollout(model), query)

    async def _edit(self, edit: edits.Edit, query: Query) -> replies.Reply:
        expect = config_desk.PRESENT
        if 'expect' in query:
            expect = replies.number_of(query, 'expect')
        order = replies.order_of(query, expect)
        return replies.applied(await self._desk.edit(edit, order), order)


class StatusRoutes:
    """Shows the fleet and its bills."""

    def __init__(
        self, status: fleet_status.FleetStatus, usage: Usage | None
    ) -> None:
        """Bind to the fleet's state and to the journal."""
        self._status = status
        self._usage = usage

    def answers(self) -> Answers:
        """Return the answers by method and path."""
        return {
            (GET, '/v1/status'): self.show_status,
            (GET, '/v1/usage'): self.show_usage,
        }

    async def show_status(self, query: Query, body: bytes) -> replies.Reply:
        """Show every process and backend server, as far as known."""
        processes = await self._status.gather()
        return replies.Reply(
            replies.OK,
            {
                'processes': plain.to_plain(processes),
                'servers': self._status.backends(),
            },
        )

    async def show_usage(self, query: Query, body: bytes) -> replies.Reply:
        """Show what was billed."""
        if self._usage is None:
            message = 'this process keeps no bills'
            return replies.failed(replies.NOT_FOUND, 'unknown', message)
        shown = plain.to_plain(await self._usage.usage())
        return replies.Reply(replies.OK, shown)
