"""Calls of one server, whose address may change."""

import asyncio

from beryllug.drivers import http_client, http_data

Response = tuple[http_client.IncomingResponse, bytes]


class MovableServer:
    """Sends requests to the current address of a server."""

    def __init__(self, client: http_client.HttpClient, address: str) -> None:
        """Start with an address, as ``ip:port``."""
        self._client = client
        self._address = address
        self._waiting: set[asyncio.Task[Response]] = set()

    def move(self, address: str) -> None:
        """Use another address, and end the calls that wait at this one."""
        self._client.close_idle(self._address)
        self._address = address
        for waiting in self._waiting:
            waiting.cancel()

    async def call(
        self,
        outgoing: http_data.Outgoing,
        timeout_s: float,
        *,
        is_waiting: bool = False,
    ) -> Response:
        """Send a request and read the whole response.

        Args:
            outgoing: The request.
            timeout_s: Timeout in seconds.
            is_waiting: Whether the server responds when something happens, so
                that the call ends if the server moves.

        Raises:
            NotSentError: No byte can have reached the server.
            BrokenError: Bytes were written; the request may have run.
        """
        address = self._address
        try:
            if is_waiting:
                return await self._wait(address, outgoing, timeout_s)
            return await self._client.call(address, outgoing, timeout_s)
        except http_data.BrokenError:
            # Other idle connections may be just as unresponsive.
            self._client.close_idle(address)
            raise

    async def _wait(
        self, address: str, outgoing: http_data.Outgoing, timeout_s: float
    ) -> Response:
        waiting = asyncio.create_task(
            self._client.call(address, outgoing, timeout_s)
        )
        self._waiting.add(waiting)
        try:
            await asyncio.wait((waiting,))
        finally:
            self._waiting.discard(waiting)
            waiting.cancel()
        if waiting.cancelled():
            raise http_data.BrokenError('the server has moved')
        return waiting.result()
