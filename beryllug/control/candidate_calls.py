"""RPC calls to the candidates of a lease, addressed by member name."""

from typing import Any, Protocol

from beryllug.control import lease_outage
from beryllug.drivers import rpc, rpc_peers


class Server(Protocol):
    """The part of the RPC server of this process that is used here."""

    def unary(self, method: rpc.Method[Any, Any], handler: rpc.Unary) -> None:
        """Register the handler of a unary method."""


class CandidateCalls:
    """Calls members by name; an RPC error counts as no answer."""

    def __init__(
        self, leases: lease_outage.LeaseOutage, calls: rpc_peers.PeerCaller
    ) -> None:
        """Use the member addresses that the leases service knows."""
        self._leases = leases
        self._calls = calls

    async def call(
        self,
        name: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply | None:
        """Call a member; return None when it does not answer."""
        address = self._leases.address_of(name)
        if address is None:
            return None
        try:
            return await self._calls.call(address, method, ask, timeout_s)
        except rpc.RpcError:
            return None
