"""Simulates entry processes that watch the view of control processes."""

import asyncio
import contextlib
import time

from beryllug.bench.slopes import controls
from beryllug.core import rpc_data
from beryllug.drivers import fleet_key, methods, rpc
from beryllug.standins import fleet_settings

ZONE = 'zone-0'
POLL_S = 0.2
REACH_TIMEOUT_S = 20.0


class Followers:
    """Simulates one entry process at each control process.

    Attributes:
        received_at: For each control process and revision, the wall-clock time
            in seconds at which the first update with the revision arrived.
    """

    def __init__(self, fleet: controls.Controls) -> None:
        """Create a client for each control process; `start` begins to watch."""
        self.received_at: dict[str, dict[int, float]] = {}
        keys = fleet_key.KeyRing((fleet_settings.FLEET_KEY,))
        self._clients = {
            name: rpc.RpcClient(host.control, keys)
            for name, host in zip(fleet.names, fleet.hosts)
        }
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start watching every control process."""
        self._tasks = [
            asyncio.create_task(self._follow(name)) for name in self._clients
        ]

    async def stop(self) -> None:
        """Stop watching and close the clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients.values():
            await client.close()

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until every entry has a revision, up to `REACH_TIMEOUT_S`."""
        deadline = time.monotonic() + REACH_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(revision in seen for seen in self.received_at.values()):
                return
            await asyncio.sleep(POLL_S)

    async def _follow(self, name: str) -> None:
        """Watch one control process; reconnect when the stream ends."""
        request = rpc_data.ViewRequest(f'entry-of-{name}', ZONE)
        seen = self.received_at.setdefault(name, {})
        while True:
            updates = self._clients[name].stream(methods.WATCH_VIEW, request)
            with contextlib.suppress(rpc.RpcError):
                async for update in updates:
                    seen.setdefault(update.revision, time.time())
            await asyncio.sleep(POLL_S)
