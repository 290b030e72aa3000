"""Service 'servers': the backend servers of the host list, and their loads.

If the host list can't be read, the last one stays valid and the dump shows its
age. A server that leaves is published as leaving at once; one that is no
longer listed is removed.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Any

from absl import logging

from beryllug.control import config
from beryllug.core import config_data, view_data
from beryllug.drivers import engine, engine_data, host_list

HOST_LIST_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 1.0

Servers = tuple[view_data.BackendServer, ...]


class BackendServers:
    """Polls the host list and the engines' load reports."""

    def __init__(
        self,
        listed: host_list.HostList,
        engines: engine.Engine,
        view: config.Config,
    ) -> None:
        """Bind to the host list, the engines and the view to publish to."""
        self._host_list = listed
        self._engines = engines
        self._view = view
        self._servers: Servers = ()
        self._listed_at: float | None = None
        self._loads: dict[str, view_data.ServerLoad] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Read the host list once, then poll in the background."""
        await self._read_hosts()
        self._tasks = [
            asyncio.create_task(self._follow_hosts()),
            asyncio.create_task(self._follow_loads()),
        ]

    async def stop(self, grace_s: float) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return servers, loads and the age of the host list."""
        age_s = None
        if self._listed_at is not None:
            age_s = round(time.monotonic() - self._listed_at, 3)
        return {
            'host_list_age_s': age_s,
            'servers': [server._asdict() for server in self._servers],
            'loads': [load._asdict() for load in self._loads.values()],
        }

    async def _follow_hosts(self) -> None:
        while True:
            await asyncio.sleep(HOST_LIST_INTERVAL_S)
            await self._read_hosts()

    async def _read_hosts(self) -> None:
        try:
            servers = await self._host_list.read()
        except host_list.HostListError as exc:
            logging.warning('event=host_list_unread error=%s', exc)
            return
        self._listed_at = time.monotonic()
        if servers != self._servers:
            self._servers = servers
            self._view.publish(servers=servers)

    async def _follow_loads(self) -> None:
        while True:
            await self._read_loads()
            await asyncio.sleep(LOAD_INTERVAL_S)

    async def _read_loads(self) -> None:
        engines = _engine_servers(self._servers, self._view.document)
        listed = {server.server_id for server in engines}
        reports = await asyncio.gather(*map(self._read_load, engines))
        for report in reports:
            if report is not None:
                self._loads[report.server_id] = report
        for server_id in set(self._loads) - listed:
            self._loads.pop(server_id)
        self._view.publish(loads=tuple(self._loads.values()))

    async def _read_load(
        self, server: view_data.BackendServer
    ) -> view_data.ServerLoad | None:
        try:
            report = await self._engines.load(server.address)
        except engine_data.EngineError:
            return None
        return view_data.ServerLoad(
            server_id=server.server_id,
            running=report.running,
            queued=report.queued,
            reported_at=report.measured_at,
            loaded=report.loaded,
        )


def _engine_servers(
    servers: Sequence[view_data.BackendServer],
    document: config_data.Document,
) -> list[view_data.BackendServer]:
    pools = {
        pool.name
        for pool in document.pools
        if pool.kind is config_data.PoolKind.ENGINE
    }
    return [server for server in servers if server.pool in pools]
