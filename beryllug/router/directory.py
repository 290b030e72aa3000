"""Service 'directory': what this process knows from the platform's store.

The route table, the backend servers and the ordered roll-outs. A table is
replaced only by one of a higher version, whoever brings it.
"""

import functools
import time
from collections.abc import Callable
from typing import Any

import msgspec

from beryllug.core.canary import canary_data
from beryllug.core.routes import routes_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import server_list, store_watch

OrderListener = Callable[[canary_data.Order, canary_data.Phase, float], None]
TableListener = Callable[[routes_data.RouteTable], None]


class Directory:
    """Follows the store and answers from memory."""

    def __init__(
        self,
        api: store.Store,
        servers: server_list.ServerList,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the store, and to the list that is kept of the servers."""
        self.table: routes_data.RouteTable | None = None
        self.table_spec: Any = None
        self.servers = servers
        self._lines = lines
        self._table_listeners: list[TableListener] = []
        self._order_listeners: list[OrderListener] = []
        followers = {
            store.TABLES: _one_by_one(self._take_table),
            store.SERVERS: store_watch.Follower(
                servers.listed, servers.changed, servers.reached
            ),
            store.ROLLOUTS: _one_by_one(self._take_order),
        }
        self._watches = [
            store_watch.StoreWatch(api, kind, follower, lines)
            for kind, follower in followers.items()
        ]

    def on_table(self, listener: TableListener) -> None:
        """Tell of each table that comes in force."""
        self._table_listeners.append(listener)

    def on_order(self, listener: OrderListener) -> None:
        """Tell of each roll-out order and each change of its status."""
        self._order_listeners.append(listener)

    async def start(self) -> None:
        """Start to follow the store."""
        for watch in self._watches:
            watch.start()

    async def stop(self, grace_s: float) -> None:
        """Stop to follow the store."""
        for watch in self._watches:
            await watch.stop()

    def is_ready(self) -> bool:
        """Tell whether requests can be placed at all."""
        return self.table is not None and self.servers.is_known

    def dump(self) -> dict[str, Any]:
        """Return the version in force and the servers."""
        return {
            'table_version': self.table.version if self.table else 0,
            'servers': self.servers.dump(),
        }

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

    def _take_table(self, change: store.Change, now: float) -> None:
        if change.stored.name == store.TABLE and not change.is_gone:
            self.take_table_spec(change.stored.spec, 'store')

    def _take_order(self, change: store.Change, now: float) -> None:
        if change.is_gone:
            return
        stored = change.stored
        try:
            order, phase = documents.order(
                stored.revision, stored.spec, stored.status
            )
        except (msgspec.ValidationError, ValueError) as exc:
            self._lines.write('order_refused', name=stored.name, error=str(exc))
            return
        for listener in self._order_listeners:
            listener(order, phase, time.monotonic())


def _one_by_one(
    take: Callable[[store.Change, float], None],
) -> store_watch.Follower:
    """Return a follower to whom a listing is so many changes."""
    listed = functools.partial(_take_each, take)
    return store_watch.Follower(listed, take, _ignore)


def _take_each(
    take: Callable[[store.Change, float], None],
    listed: store.Listing,
    now: float,
) -> None:
    for each in listed.found:
        take(store.Change(each, is_gone=False), now)


def _ignore(is_reached: bool, now: float) -> None:
    """Pass over whether the store answered: only servers lapse with it."""
