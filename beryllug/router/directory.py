"""Service 'directory': what this process knows from the platform's store.

The route table, the listed backend servers and the ordered roll-outs. A table
is replaced only by one of a higher version, whoever brings it.
"""

import functools
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from beryllug.core.canary import canary_data
from beryllug.core.placement import listing, servers_data
from beryllug.core.routes import routes_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import store_watch

OrderListener = Callable[[canary_data.Order, canary_data.Phase, float], None]
TableListener = Callable[[routes_data.RouteTable], None]


class Directory:
    """Follows the store and answers from memory."""

    def __init__(
        self,
        api: store.Store,
        doubt_s: float,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the store.

        Args:
            api: The store.
            doubt_s: Seconds for which a dropped server is doubted.
            lines: Takes log lines.
        """
        self.table: routes_data.RouteTable | None = None
        self.table_spec: Any = None
        self.has_servers = False
        self.server_specs: dict[str, Any] = {}
        self.servers_revision = 0
        self.is_cut_off = False
        self._lines = lines
        self._book = listing.Book(doubt_s)
        self._table_listeners: list[TableListener] = []
        self._order_listeners: list[OrderListener] = []
        self._watches = (
            self._watch(api, store.TABLES, self._take_table),
            self._watch(api, store.SERVERS, self._take_server),
            self._watch(api, store.ROLLOUTS, self._take_order),
        )

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
        return self.table is not None and self.has_servers

    def servers(
        self, now: float
    ) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
        """Return the listed servers that take work, and the doubted ones."""
        return listing.usable(self._book, now)

    def dump(self) -> dict[str, Any]:
        """Return versions and the listed servers."""
        table = self.table
        return {
            'table_version': table.version if table else 0,
            'servers': sorted(self._book.servers),
            'doubted': sorted(self._book.doubted),
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

    def _watch(
        self,
        api: store.Store,
        kind: str,
        take: Callable[[store.Change, float], None],
    ) -> store_watch.StoreWatch:
        listed: store_watch.Listed = functools.partial(_take_each, take)
        reached: store_watch.Reached = _ignore
        if kind == store.SERVERS:
            listed = self._take_servers
            reached = self._note_reached
        follower = store_watch.Follower(listed, take, reached)
        return store_watch.StoreWatch(api, kind, follower, self._lines)

    def take_server_specs(
        self, specs: Mapping[str, Any], revision: int, source: str
    ) -> None:
        """Take a peer's list of backend servers while the store is away."""
        if not self.is_cut_off or revision <= self.servers_revision:
            return
        self._replace_servers(specs, revision, time.monotonic())
        self._lines.write(
            'servers_taken',
            source=source,
            revision=revision,
            servers=len(specs),
        )

    def _note_reached(self, is_reached: bool, now: float) -> None:
        self.is_cut_off = not is_reached
        if is_reached:
            listing.store_answered(self._book, now)
        else:
            listing.store_failed(self._book)

    def _take_table(self, change: store.Change, now: float) -> None:
        if change.stored.name == store.TABLE and not change.is_gone:
            self.take_table_spec(change.stored.spec, 'store')

    def _take_servers(self, listed: store.Listing, now: float) -> None:
        specs = {each.name: each.spec for each in listed.found}
        self._replace_servers(specs, listed.revision, now)
        self._lines.write('servers_listed', servers=len(specs))

    def _replace_servers(
        self, specs: Mapping[str, Any], revision: int, now: float
    ) -> None:
        found = (self._server(name, spec) for name, spec in specs.items())
        servers = [server for server in found if server is not None]
        listing.replace(self._book, servers, now)
        self.server_specs = dict(specs)
        self.servers_revision = revision
        self.has_servers = True

    def _take_server(self, change: store.Change, now: float) -> None:
        instance = change.stored.name
        self.servers_revision = max(
            self.servers_revision, change.stored.revision
        )
        if change.is_gone:
            self.server_specs.pop(instance, None)
            listing.drop(self._book, instance, now)
            self._lines.write('server_dropped', instance=instance)
            return
        self.server_specs[instance] = change.stored.spec
        server = self._server(instance, change.stored.spec)
        if server is None:
            return
        listing.put(self._book, server)
        self._lines.write(
            'server_listed',
            instance=instance,
            service=server.service,
            version=server.version,
            state=server.state.value,
        )

    def _server(self, instance: str, spec: Any) -> servers_data.Server | None:
        try:
            return documents.server(instance, spec)
        except (msgspec.ValidationError, ValueError) as exc:
            self._lines.write(
                'server_refused', instance=instance, error=str(exc)
            )
        return None

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


def _take_each(
    take: Callable[[store.Change, float], None],
    listed: store.Listing,
    now: float,
) -> None:
    for each in listed.found:
        take(store.Change(each, is_gone=False), now)


def _ignore(is_reached: bool, now: float) -> None:
    """Pass over whether the store answered: only servers lapse with it."""
