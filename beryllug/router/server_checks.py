"""Checks whether backend servers still accept connections."""

import asyncio

from beryllug.core.placement import servers_data
from beryllug.router import dispatch


class ServerChecks:
    """Checks a server once for all that ask at the same time."""

    def __init__(self, sender: dispatch.Dispatcher) -> None:
        """Bind to what opens connections."""
        self._sender = sender
        self._running: dict[str, asyncio.Task[bool]] = {}

    def stop(self) -> None:
        """Cancel the checks."""
        for check in self._running.values():
            check.cancel()

    async def is_gone(self, server: servers_data.Server) -> bool:
        """Return whether no connection to a server can be made any more."""
        instance = server.instance
        check = self._running.get(instance)
        if check is None:
            check = asyncio.create_task(self._sender.is_unreachable(server))
            self._running[instance] = check
            check.add_done_callback(lambda _: self._running.pop(instance))
        return await asyncio.shield(check)
