"""Service 'rpc': the address at which entry hosts and peers call this process.

It starts before the lease service and stops after it: while a process hands
over its shards, it still forwards calls for them to their new owners.
"""

from typing import Any

from beryllug.drivers import rpc

# Open calls end within this time. The endless view streams of entry hosts would
# use up any longer grace period, and the entry hosts follow another control
# process at once.
MAX_GRACE_S = 3.0


class RpcEndpoint:
    """Serves the methods that other services have registered."""

    def __init__(self, server: rpc.RpcServer, address: str) -> None:
        """Keep the server and the address to listen on."""
        self._server = server
        self._address = address

    async def start(self) -> None:
        """Listen."""
        await self._server.start(self._address)

    async def stop(self, grace_s: float) -> None:
        """Reject new calls and let open ones end."""
        await self._server.stop(min(grace_s, MAX_GRACE_S))

    def dump(self) -> dict[str, Any]:
        """Return the listening address."""
        return {'listen': self._address}
