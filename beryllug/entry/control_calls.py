"""Calls from an entry to the control processes, with failover.

The control process of the same host is used first; while it is down, calls go
to the next one in the settings. Every method is idempotent: rows carry their
request id, by which the owner of a shard detects a duplicate.
"""

from collections.abc import AsyncIterator
from typing import TypeVar

from absl import logging

from beryllug.core import rpc_data
from beryllug.drivers import answer_timeouts, fleet_key, methods, rpc

Ask = TypeVar('Ask')
Reply = TypeVar('Reply')

# A frozen control process keeps its connection open but sends nothing. After
# this many seconds without an update, the next one is tried.
STREAM_SILENCE_TIMEOUT_S = 5.0


class ControlCalls:
    """Clients of all control processes, one of which is current."""

    def __init__(
        self, addresses: tuple[str, ...], keys: fleet_key.KeyRing
    ) -> None:
        """Create the clients, which connect on the first call."""
        self._clients = [rpc.RpcClient(address, keys) for address in addresses]
        self._current = 0
        self._timeouts = answer_timeouts.AnswerTimeouts()

    @property
    def address(self) -> str:
        """Address of the current control process."""
        return self._clients[self._current].address

    async def call(
        self, method: rpc.Method[Ask, Reply], request: Ask, timeout_s: float
    ) -> Reply:
        """Call a method of the first control process that answers.

        Raises:
            RpcError: No control process answered.
        """
        failure = rpc.RpcError('UNAVAILABLE', 'no control process')
        for client in self._failover_order():
            try:
                return await client.call(method, request, timeout_s)
            except rpc.RpcError as exc:
                failure = exc
        raise failure

    async def updates(
        self, request: rpc_data.ViewRequest
    ) -> AsyncIterator[rpc_data.ViewUpdate]:
        """Yield view updates of the current control process until it fails.

        The next control process then becomes the current one.
        """
        client = self._clients[self._current]
        stream = client.stream(methods.WATCH_VIEW, request)
        try:
            while True:
                async with self._timeouts.within(STREAM_SILENCE_TIMEOUT_S):
                    update = await anext(stream, None)
                if update is None:
                    break
                yield update
        except (rpc.RpcError, TimeoutError) as exc:
            logging.warning(
                'event=control_lost control=%s error=%s', client.address, exc
            )
        self._current = (self._current + 1) % len(self._clients)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            await client.close()

    def _failover_order(self) -> list[rpc.RpcClient]:
        return self._clients[self._current :] + self._clients[: self._current]
