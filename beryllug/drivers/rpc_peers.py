"""Service 'peers': connections to processes of other hosts."""

from typing import Any, Protocol

from beryllug.drivers import fleet_key, rpc

MAX_CLIENTS = 64


class Caller(Protocol):
    """What services need of this one."""

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


class RedialingCaller(Caller, Protocol):
    """A caller whose connections can be made anew."""

    async def drop(self, address: str) -> None:
        """Close the connection to a peer; the next call makes a new one."""


class Peers:
    """Clients by address; the least recently used is closed beyond a bound.

    A process of a large fleet calls a few peers a second, never the
    same ones for long: connections to all would cost it its memory.
    """

    def __init__(self, keys: fleet_key.KeyRing) -> None:
        """Make the service; a client connects on its first call."""
        self._keys = keys
        self._clients: dict[str, rpc.RpcClient] = {}

    async def start(self) -> None:
        """Do nothing: connections are made when needed."""

    async def stop(self, grace_s: float) -> None:
        """Close all connections."""
        clients = list(self._clients.values())
        self._clients.clear()
        for client in clients:
            await client.close()

    def dump(self) -> dict[str, Any]:
        """Return the addresses that are connected."""
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
        await self._trim()
        return await client.call(method, ask, timeout_s)

    async def drop(self, address: str) -> None:
        """Close the connection to a peer; the next call makes a new one."""
        client = self._clients.pop(address, None)
        if client is not None:
            await client.close()

    async def _trim(self) -> None:
        while len(self._clients) > MAX_CLIENTS:
            oldest = next(iter(self._clients))
            await self._clients.pop(oldest).close()
