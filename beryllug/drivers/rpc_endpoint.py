"""Service 'rpc': the address on which entries and peers call this process.

It starts before the leases and stops after them: a process that hands its
shards over still forwards what reaches it to their new owners.
"""

from typing import Any

from beryllug.drivers import rpc

# Open calls end within this time; the endless streams of entries would use
# up any longer one, and the entries follow another control process at once.
GRACE_S = 3.0


class RpcEndpoint:
    """Serves the methods that other services registered."""

    def __init__(self, server: rpc.RpcServer, address: str) -> None:
        """Bind the server to the address it will listen on."""
        self._server = server
        self._address = address

    async def start(self) -> None:
        """Listen."""
        await self._server.start(self._address)

    async def stop(self, grace_s: float) -> None:
        """Refuse new calls and let open ones end."""
        await self._server.stop(min(grace_s, GRACE_S))

    def dump(self) -> dict[str, Any]:
        """Return the address."""
        return {'listen': self._address}
