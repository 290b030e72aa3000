"""Checks whether backend servers still accept connections."""

import asyncio
from collections.abc import Callable

from beryllug.core.placement import servers_data
from beryllug.router import dispatch


def _ignore(server: servers_data.Server) -> None:
    """Default of `on_gone`."""


class ServerChecks:
    """Checks a server once for all that ask at the same time.

    Attributes:
        on_gone: Called with each server that is gone.
    """

    def __init__(self, sender: dispatch.Dispatcher) -> None:
        """Bind to what opens connections."""
        self.on_gone: Callable[[servers_data.Server], None] = _ignore
        self._sender = sender
        self._running: dict[str, asyncio.Task[bool]] = {}

    def stop(self) -> None:
        """Cancel the checks."""
        for check in self._running.values():
            check.cancel()

    async def is_gone(self, server: servers_data.Server) -> bool:
        """Return whether no connection to a server can be made any more."""
        return await asyncio.shield(self.begin(server))

    def begin(self, server: servers_data.Server) -> asyncio.Task[bool]:
        """Return the check of a server that runs, or begin one."""
        instance = server.instance
        check = self._running.get(instance)
        if check is None:
            check = asyncio.create_task(self._check(server))
            self._running[instance] = check
            check.add_done_callback(lambda _: self._running.pop(instance))
        return check

    async def _check(self, server: servers_data.Server) -> bool:
        is_gone = await self._sender.is_unreachable(server)
        if is_gone:
            self.on_gone(server)
        return is_gone
