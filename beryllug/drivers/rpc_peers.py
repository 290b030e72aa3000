"""Service 'peers': calls to processes on other hosts."""

from typing import Any, Protocol

from beryllug.drivers import fleet_key, rpc

MAX_CLIENTS = 64


class PeerCaller(Protocol):
    """The interface of this service to others."""

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Call a method of one peer.

        Raises:
            RpcError: The call failed or timed out.
        """


class ReconnectingCaller(PeerCaller, Protocol):
    """A caller whose connections can be closed and reopened."""

    async def disconnect(self, address: str) -> None:
        """Close the connection to a peer; the next call opens a new one."""


class Peers:
    """A bounded cache of clients; the least recently used one is closed.

    In a large fleet a process calls a few peers a second and moves on to
    others; open connections to all of them would use too much memory.
    """

    def __init__(self, keys: fleet_key.KeyRing) -> None:
        """Create the service; a client connects on its first call."""
        self._keys = keys
        self._clients: dict[str, rpc.RpcClient] = {}

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def stop(self, grace_s: float) -> None:
        """Close all connections."""
        clients = list(self._clients.values())
        self._clients.clear()
        for client in clients:
            await client.close()

    def dump(self) -> dict[str, Any]:
        """Return the connected addresses."""
        return {'connected': list(self._clients)}

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Call a method of one peer.

        Raises:
            RpcError: The call failed or timed out.
        """
        client = self._clients.pop(address, None)
        if client is None:
            client = rpc.RpcClient(address, self._keys)
        self._clients[address] = client
        await self._evict()
        return await client.call(method, ask, timeout_s)

    async def disconnect(self, address: str) -> None:
        """Close the connection to a peer; the next call opens a new one."""
        client = self._clients.pop(address, None)
        if client is not None:
            await client.close()

    async def _evict(self) -> None:
        while len(self._clients) > MAX_CLIENTS:
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).close()
