"""Service 'directory': this process's copy of the platform's store.

It holds the route table, the backend servers, the roll-out orders and the
evacuated availability zones. While told to, it watches the store itself;
otherwise peers send the data. A route table is replaced only by one of a higher
version, whatever its source.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from beryllug.core.routes import routes_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import (
    order_list,
    readiness,
    server_list,
    store_liveness,
    store_watch,
    zone_list,
)

TableListener = Callable[[routes_data.RouteTable], None]


class Directory:
    """Answers from memory what the store contains.

    Attributes:
        table: The route table in force, or None.
        table_spec: The route table as stored, to send to peers.
        servers: The list of backend servers.
        orders: The roll-out orders.
        zones: The evacuated availability zones.
        eras: The era of the store.
        readiness: Tells when requests can be placed.
        liveness: Detects that the store has stopped answering.
    """

    def __init__(
        self,
        api: store.Store,
        servers: server_list.ServerList,
        orders: order_list.OrderList,
        zones: zone_list.ZoneList,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the store and to the lists of its objects."""
        self.table: routes_data.RouteTable | None = None
        self.table_spec: Any = None
        self.servers = servers
        self.orders = orders
        self.zones = zones
        self._lines = lines
        self._table_listeners: list[TableListener] = []
        self.readiness = readiness.Readiness(
            lambda: self.table is not None and servers.is_known, lines
        )
        servers.on_list_replaced = self.readiness.update
        followers = {
            store.TABLES: store_watch.Follower(
                self._list_tables, self._change_tables, ignore_store_state
            ),
            store.SERVERS: store_watch.Follower(
                servers.listed, servers.changed, servers.reached
            ),
            store.ROLLOUTS: store_watch.Follower(
                orders.listed, orders.changed, ignore_store_state
            ),
            store.EVACUATIONS: store_watch.Follower(
                zones.listed, zones.changed, ignore_store_state
            ),
        }
        self._watches = [
            store_watch.StoreWatch(api, kind, follower, lines)
            for kind, follower in followers.items()
        ]
        self._api = api
        self.eras = api.eras
        self.liveness = store_liveness.StoreLiveness(api, self._watches)

    def follow(
        self,
        kind: str,
        follower: store_watch.Follower,
        is_known: Callable[[], bool],
    ) -> None:
        """Follow one more kind, and wait for it a short time when starting.

        Args:
            kind: The kind.
            follower: Its callbacks.
            is_known: Returns whether it is known here.
        """
        self._watches.append(
            store_watch.StoreWatch(self._api, kind, follower, self._lines)
        )
        self.readiness.is_complete = is_known

    def on_table(self, listener: TableListener) -> None:
        """Register a listener for each route table that comes into force."""
        self._table_listeners.append(listener)

    async def start(self) -> None:
        """Do nothing: the peers decide which processes follow the store."""

    async def stop(self, grace_s: float) -> None:
        """Stop following the store."""
        self.readiness.stop()
        await self.stop_following()

    def set_page_pause(self, seconds: float) -> None:
        """Set the pause in seconds before each further page of a list."""
        for watch in self._watches:
            watch.page_pause_s = seconds

    async def stop_following(self) -> None:
        """Stop following the store; the data known so far is kept."""
        await self.liveness.stop()
        for watch in self._watches:
            await watch.stop()

    async def update_following(self, *, should_follow: bool) -> None:
        """Follow the store if needed, else stop once the process is ready."""
        if should_follow:
            self.liveness.start()
            for watch in self._watches:
                watch.start()
        elif self.is_ready():
            await self.stop_following()

    def is_current(self) -> bool:
        """Tell whether the store answered the last call for every kind."""
        return all(watch.is_current for watch in self._watches)

    def is_ready(self) -> bool:
        """Tell whether requests can be placed."""
        return self.readiness.is_ready()

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until requests can be placed, at most for the given time."""
        await self.readiness.wait(timeout_s)

    def dump(self) -> dict[str, Any]:
        """Return the table version, the servers, the orders and the zones."""
        return {
            'table_version': self.table.version if self.table else 0,
            'servers': self.servers.dump(),
            'orders': sorted(self.orders.orders),
            'zones': self.zones.dump(),
            'is_current': self.is_current(),
        }

    def relist(self) -> None:
        """List all kinds again, if this process follows the store."""
        for watch in self._watches:
            watch.relist()

    def take_table_spec(self, spec: Any, source: str) -> None:
        """Put a route table in force, if it is newer than the present one."""
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
        self.readiness.update()

    def _list_tables(self, listed: store_data.Listing, now: float) -> None:
        for stored in listed.found:
            if stored.name == store.TABLE:
                self.take_table_spec(stored.spec, 'store')

    def _change_tables(self, changes: store_data.Changes, now: float) -> None:
        present = [
            each.stored for each in changes.changes if not each.is_deleted
        ]
        self._list_tables(store_data.Listing(tuple(present), 0), now)


def ignore_store_state(is_reached: bool, now: float) -> None:
    """Ignore whether the store answered: only servers expire in an outage."""
