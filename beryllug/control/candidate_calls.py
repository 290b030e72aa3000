"""Calls of candidates of a lease by their names."""

from typing import Any, Protocol

from beryllug.control import lease_outage
from beryllug.drivers import rpc, rpc_peers


class Server(Protocol):
    """What these modules need of the process's server."""

    def unary(self, method: rpc.Method[Any, Any], handler: rpc.Unary) -> None:
        """Serve a method that takes one message and gives one."""


class CandidateCalls:
    """Calls of members by name; a failure is no answer."""

    def __init__(
        self, leases: lease_outage.LeaseOutage, calls: rpc_peers.Caller
    ) -> None:
        """Bind to the members, as the leases know them."""
        self._leases = leases
        self._calls = calls

    async def call(
        self,
        name: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply | None:
        """Call a member; None when it does not answer."""
        address = self._leases.address_of(name)
        if address is None:
            return None
        try:
            return await self._calls.call(address, method, ask, timeout_s)
        except rpc.RpcError:
            return None
