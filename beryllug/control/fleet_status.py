"""The state of every process of the fleet, gathered on request.

Each control process knows itself and the entries that follow it. An operator
asks one of them, which asks all others once; there is no polling.
"""

import asyncio
from typing import Any

from beryllug.control import config
from beryllug.core import rpc_data, settings_data
from beryllug.drivers import methods, rpc, rpc_peers

CALL_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 32

Processes = tuple[rpc_data.ProcessStatus, ...]


class FleetStatus:
    """Returns the state of this process and gathers that of all others."""

    def __init__(
        self, view: config.Config, calls: rpc_peers.PeerCaller
    ) -> None:
        """Bind to the configuration service and the RPC client for peers."""
        self._view = view
        self._calls = calls
        self._call_limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the method that other control processes call."""
        server.unary(methods.STATUS, self.on_status)

    async def on_status(self, ask: rpc_data.Empty) -> rpc_data.StatusReply:
        """Return the state of this process and of its entries to a peer."""
        return rpc_data.StatusReply(self.own_processes())

    def own_processes(self) -> Processes:
        """Return the state of this process and of its entries."""
        process = self._view.process
        control = rpc_data.ProcessStatus(
            name=process.name,
            role=settings_data.Role.CONTROL.value,
            zone=process.zone,
            revision=self._view.revision,
            accepts=self._view.accepts(),
            host=process.host,
        )
        entries = (
            rpc_data.ProcessStatus(
                name=name,
                role=settings_data.Role.ENTRY.value,
                zone=zone,
                revision=revision,
                accepts=self._view.accepts(),
            )
            for name, zone, revision in self._view.feed.followers()
        )
        return (control, *entries)

    async def gather(self) -> Processes:
        """Return all processes, including those that don't answer."""
        others = self._view.others.all_addresses()
        replies = await asyncio.gather(*map(self._ask, others))
        return (
            *self.own_processes(),
            *(item for reply in replies for item in reply),
        )

    def backend_servers(self) -> list[dict[str, Any]]:
        """Return the backend servers with their last reported load."""
        parts = self._view.feed.parts
        loads = {load.server_id: load for load in parts.loads}
        listed = []
        for server in parts.servers:
            load = loads.get(server.server_id)
            listed.append(
                {
                    **server._asdict(),
                    'running': load and load.running,
                    'queued': load and load.queued,
                    'reported_at': load and load.reported_at,
                }
            )
        return listed

    async def _ask(self, address: str) -> Processes:
        async with self._call_limit:
            try:
                reply = await self._calls.call(
                    address, methods.STATUS, rpc_data.Empty(), CALL_TIMEOUT_S
                )
            except rpc.RpcError as exc:
                return (_unreachable(address, exc),)
        return reply.processes


def _unreachable(address: str, exc: rpc.RpcError) -> rpc_data.ProcessStatus:
    return rpc_data.ProcessStatus(
        name=address,
        role=settings_data.Role.CONTROL.value,
        zone='',
        state=f'no answer: {exc.code}',
    )
