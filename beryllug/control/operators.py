"""The routes that a control process adds to the operators' address."""

import functools
import json
from typing import Any, Protocol

from beryllug.control import (
    config,
    config_admin,
    console,
    fleet_status,
)
from beryllug.control import operator_replies as replies
from beryllug.core import config_data, diff, document_plain, edits, record_codec
from beryllug.drivers import rpc, rpc_peers
from beryllug.kernel import ops

GET = 'GET'
POST = 'POST'

Handlers = dict[tuple[str, str], replies.Handler]
Query = replies.Query


class Usage(Protocol):
    """Interface of the journal."""

    async def usage(self) -> Any:
        """Return the sum of all billed usage."""


def routes(
    admin: config_admin.ConfigAdmin,
    status: fleet_status.FleetStatus,
    usage: Usage | None = None,
) -> ops.Routes:
    """Return the handlers by method and path.

    Args:
        admin: Operations on the configuration.
        status: State of the fleet.
        usage: The journal; None in a process without one.
    """
    handlers = {
        **ConfigRoutes(admin).handlers(),
        **EditRoutes(admin).handlers(),
        **StatusRoutes(status, usage).handlers(),
    }
    served = {
        ops.Route(*route): functools.partial(replies.serve, handler)
        for route, handler in handlers.items()
    }
    return {**served, **console.Console(admin).routes()}


def control_routes(
    view: config.Config,
    calls: rpc_peers.PeerCaller,
    server: rpc.RpcServer,
    usage: Usage | None = None,
) -> ops.Routes:
    """Return all routes of a control process.

    Args:
        view: The configuration service.
        calls: RPC client for peers.
        server: RPC server of this process; peers request its state there.
        usage: The journal; None in a process without one.
    """
    status = fleet_status.FleetStatus(view, calls)
    status.serve(server)
    return routes(config_admin.ConfigAdmin(view), status, usage)


class ConfigRoutes:
    """Shows, validates and applies whole documents."""

    def __init__(self, admin: config_admin.ConfigAdmin) -> None:
        """Bind to the configuration operations."""
        self._admin = admin

    def handlers(self) -> Handlers:
        """Return the handlers by method and path."""
        return {
            (GET, '/v1/config'): self.show,
            (POST, '/v1/config'): self.apply,
            (GET, '/v1/config/history'): self.history,
            (GET, '/v1/schema'): self.schema,
            (POST, '/v1/validate'): self.validate,
            (POST, '/v1/diff'): self.compare,
        }

    async def show(self, query: Query, body: bytes) -> replies.Reply:
        """Show the current document or a retained past revision."""
        if 'revision' in query:
            return await self._show_past(
                replies.integer_param(query, 'revision')
            )
        shown = await self._admin.show()
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
        """Apply a document."""
        expect = replies.integer_param(query, 'expect')
        params = replies.apply_params(query, expect)
        return replies.apply_reply(
            await self._admin.apply(body, params), params
        )

    async def history(self, query: Query, body: bytes) -> replies.Reply:
        """Show author and time of the last revisions."""
        shown = await self._admin.show()
        listed = record_codec.to_plain(shown.root.history)
        return replies.Reply(replies.OK, {'history': listed})

    async def schema(self, query: Query, body: bytes) -> replies.Reply:
        """Show the JSON Schema of a document."""
        return replies.Reply(replies.OK, await self._admin.schema())

    async def validate(self, query: Query, body: bytes) -> replies.Reply:
        """Validate a document without applying it."""
        document, findings = await self._admin.check_document(body)
        if document is None:
            return replies.invalid_reply(findings)
        return replies.Reply(replies.OK, {'findings': []})

    async def compare(self, query: Query, body: bytes) -> replies.Reply:
        """Show the differences between a document and the current one."""
        document, findings = await self._admin.check_document(body)
        if document is None:
            return replies.invalid_reply(findings)
        shown = await self._admin.show()
        differences = diff.compare(shown.document, document)
        return replies.Reply(
            replies.OK,
            {
                'revision': shown.root.revision,
                'differences': record_codec.to_plain(differences),
            },
        )

    async def _show_past(self, revision: int) -> replies.Reply:
        document = await self._admin.past(revision)
        if document is None:
            message = f'revision {revision} is not remembered'
            return replies.error_reply(replies.NOT_FOUND, 'unknown', message)
        rendered = document_plain.render(document)
        shown = {'revision': revision, 'document': rendered}
        return replies.Reply(replies.OK, shown)


class EditRoutes:
    """Edits versions and rollouts of the current document."""

    def __init__(self, admin: config_admin.ConfigAdmin) -> None:
        """Bind to the configuration operations."""
        self._admin = admin

    def handlers(self) -> Handlers:
        """Return the handlers by method and path."""
        return {
            (POST, '/v1/withdraw'): self.withdraw,
            (POST, '/v1/restore'): self.restore,
            (POST, '/v1/rollout/start'): self.start,
            (POST, '/v1/rollout/promote'): self.promote,
            (POST, '/v1/rollout/stop'): self.stop,
        }

    async def withdraw(self, query: Query, body: bytes) -> replies.Reply:
        """Withdraw a version."""
        return await self._edit(
            edits.Withdraw(replies.version_ref_param(query)), query
        )

    async def restore(self, query: Query, body: bytes) -> replies.Reply:
        """Let a withdrawn version serve again."""
        return await self._edit(
            edits.Restore(replies.version_ref_param(query)), query
        )

    async def start(self, query: Query, body: bytes) -> replies.Reply:
        """Start the rollout that the body declares."""
        try:
            rollout = record_codec.from_plain(
                config_data.Rollout, json.loads(body)
            )
        except (TypeError, ValueError) as exc:
            reason = f'the body is no roll-out: {exc}'
            raise replies.UsageError(reason) from exc
        return await self._edit(edits.StartRollout(rollout), query)

    async def promote(self, query: Query, body: bytes) -> replies.Reply:
        """End a rollout and make the candidate the incumbent."""
        model = replies.identifier_param(query, 'model')
        return await self._edit(edits.PromoteRollout(model), query)

    async def stop(self, query: Query, body: bytes) -> replies.Reply:
        """End a rollout and withdraw the candidate."""
        model = replies.identifier_param(query, 'model')
        return await self._edit(edits.StopRollout(model), query)

    async def _edit(self, edit: edits.Edit, query: Query) -> replies.Reply:
        expect = config_admin.CURRENT_REVISION
        if 'expect' in query:
            expect = replies.integer_param(query, 'expect')
        params = replies.apply_params(query, expect)
        return replies.apply_reply(await self._admin.edit(edit, params), params)


class StatusRoutes:
    """Shows the state of the fleet and the billed usage."""

    def __init__(
        self, status: fleet_status.FleetStatus, usage: Usage | None
    ) -> None:
        """Bind to the fleet's state and to the journal."""
        self._status = status
        self._usage = usage

    def handlers(self) -> Handlers:
        """Return the handlers by method and path."""
        return {
            (GET, '/v1/status'): self.show_status,
            (GET, '/v1/usage'): self.show_usage,
        }

    async def show_status(self, query: Query, body: bytes) -> replies.Reply:
        """Show all known processes and backend servers."""
        processes = await self._status.gather()
        return replies.Reply(
            replies.OK,
            {
                'processes': record_codec.to_plain(processes),
                'servers': self._status.backend_servers(),
            },
        )

    async def show_usage(self, query: Query, body: bytes) -> replies.Reply:
        """Show the billed usage."""
        if self._usage is None:
            message = 'this process keeps no bills'
            return replies.error_reply(replies.NOT_FOUND, 'unknown', message)
        shown = record_codec.to_plain(await self._usage.usage())
        return replies.Reply(replies.OK, shown)
