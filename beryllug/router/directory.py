"""Service 'directory': what this process knows from the platform's store.

The route table, the backend servers, the ordered roll-outs and the evacuated
availability zones. It follows the store itself while told to; else peers tell
it. A table is replaced only by
one of a higher version, whoever brings it.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import msgspec

from beryllug.core.routes import routes_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import (
    order_list,
    server_list,
    store_pulse,
    store_watch,
    zone_list,
)

TableListener = Callable[[routes_data.RouteTable], None]


class Directory:
    """Answers from memory what the store says.

    Attributes:
        table: The route table in force, or None.
        table_spec: The same as it is stored, for peers.
        servers: The list of backend servers.
        orders: The roll-out orders.
        zones: The evacuated availability zones.
        eras: The era of the store.
        pulse: Notices that the store has fallen silent.
    """

    def __init__(
        self,
        api: store.Store,
        servers: server_list.ServerList,
        orders: order_list.OrderList,
        zones: zone_list.ZoneList,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the store, and to the lists that are kept of it."""
        self.table: routes_data.RouteTable | None = None
        self.table_spec: Any = None
        self.servers = servers
        self.orders = orders
        self.zones = zones
        self._lines = lines
        self._table_listeners: list[TableListener] = []
        self._ready = asyncio.Event()
        servers.on_known = self._note_ready
        followers = {
            store.TABLES: store_watch.Follower(
                self._list_tables, self._change_tables, _ignore
            ),
            store.SERVERS: store_watch.Follower(
                servers.listed, servers.changed, servers.reached
            ),
            store.ROLLOUTS: store_watch.Follower(
                orders.listed, orders.changed, _ignore
            ),
            store.EVACUATIONS: store_watch.Follower(
                zones.listed, zones.changed, _ignore
            ),
        }
        self._watches = [
            store_watch.StoreWatch(api, kind, follower, lines)
            for kind, follower in followers.items()
        ]
        self.eras = api.eras
        self.pulse = store_pulse.StorePulse(api, self._watches)

    def on_table(self, listener: TableListener) -> None:
        """Tell of each table that comes in force."""
        self._table_listeners.append(listener)

    async def start(self) -> None:
        """Do nothing: who follows the store is decided among the peers."""

    async def stop(self, grace_s: float) -> None:
        """Stop to follow the store."""
        await self.unfollow()

    def pause_between_pages(self, seconds: float) -> None:
        """Wait so long before each further page of a list."""
        for watch in self._watches:
            watch.page_pause_s = seconds

    async def unfollow(self) -> None:
        """Follow the store no more; what is known stays."""
        await self.pulse.stop()
        for watch in self._watches:
            await watch.stop()

    async def follow_or_not(self, *, must: bool) -> None:
        """Follow the store where one must, else no more once all is known."""
        if must:
            self.pulse.start()
            for watch in self._watches:
                watch.start()
        elif self.is_ready():
            await self.unfollow()

    def is_current(self) -> bool:
        """Tell whether the store answered the last calls of all kinds."""
        return all(watch.is_current for watch in self._watches)

    def is_ready(self) -> bool:
        """Tell whether requests can be placed at all."""
        return self.table is not None and self.servers.is_known

    async def wait_ready(self, within_s: float) -> None:
        """Wait until requests can be placed, for a bounded time."""
        if self._ready.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._ready.wait()

    def dump(self) -> dict[str, Any]:
        """Return the version in force and the servers."""
        return {
            'table_version': self.table.version if self.table else 0,
            'servers': self.servers.dump(),
            'orders': sorted(self.orders.orders),
            'zones': self.zones.dump(),
            'is_current': self.is_current(),
        }

    def renew(self) -> None:
        """List all kinds anew, where this process follows the store."""
        for watch in self._watches:
            watch.renew()

    def take_table_spec(self, spec: Any, source: str) -> None:
        """Take a route table, if it is newer than the one in force."""
        try:
            table = documents.table(spec)
        except (msgspec.ValidationError, ValueError) as exc:
            self._lines.write('table_refused', source=source, error=str(exc))
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.table_spec = spec
        self._lines.write('table_taken', version=table.version, source=source)
        for listener in self._table_listeners:
            listener(table)
        self._note_ready()

    def _note_ready(self) -> None:
        if self.is_ready():
            self._ready.set()

    def _list_tables(self, listed: store_data.Listing, now: float) -> None:
        for stored in listed.found:
            if stored.name == store.TABLE:
                self.take_table_spec(stored.spec, 'store')

    def _change_tables(self, changes: store_data.Changes, now: float) -> None:
        present = [each.stored for each in changes.changes if not each.is_gone]
        self._list_tables(store_data.Listing(tuple(present), 0), now)


def _ignore(is_reached: bool, now: float) -> None:
    """Pass over whether the store answered: only servers lapse with it."""
