"""The list of backend servers, from the store or from peers."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from beryllug.core import stamps
from beryllug.core.placement import listing, servers_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import held_servers, leaving_servers, invalid_entry_log

LostListener = Callable[[str, float], None]
RestartListener = Callable[[servers_data.Server], None]
ListedListener = Callable[[servers_data.Server, float], None]


class Delta(NamedTuple):
    """Changes of the list between two revisions of the store.

    Attributes:
        since: Stamp of the list that the changes apply to.
        revision: Stamp of the list after them.
        entries: Names in order, each with its entry; None if it was deleted.
    """

    since: int
    revision: int
    entries: tuple[tuple[str, Any], ...]


class ServerList:
    """Tracks the store's list of servers, directly or through peers.

    Attributes:
        is_known: Whether there is a list at all.
        is_cut_off: Whether the store did not answer the last call.
        specs: The valid entries by name, to send to peers.
        revision: Stamp of the list.
        held: Entries of a restored, older store that are withheld for now.
        leaving: Servers that announce in their answers that they are leaving.
        on_list_replaced: Called after each full list, the first one included.
        on_lost: Called for each server that is gone without notice.
        on_restarted: Called with each instance that another one of the same
            name has replaced.
        on_listed: Called for each new or changed entry.
    """

    def __init__(self, doubt_s: float, lines: log_lines.LineWriter) -> None:
        """Start without a list.

        Args:
            doubt_s: Seconds for which a server is doubted once its entry is
                gone.
            lines: Log writer.
        """
        self.is_known = False
        self.is_cut_off = False
        self.specs: dict[str, Any] = {}
        self.revision = 0
        self._book = listing.ServerListing(doubt_s)
        self.held = held_servers.HeldServers(self._book, lines)
        self.leaving = leaving_servers.LeavingServers(self._book, lines)
        self._lines = lines
        self._listeners: list[Callable[[Delta], None]] = []
        self._refusals = invalid_entry_log.InvalidEntryLog(
            'server_refused', lines
        )
        self.on_list_replaced: Callable[[], None] = _ignore_list
        self.on_lost: LostListener = _ignore_loss
        self.on_restarted: RestartListener = _ignore_restart
        self.on_listed: ListedListener = _ignore_entry

    def on_changes(self, listener: Callable[[Delta], None]) -> None:
        """Register a listener for changes that come from the store."""
        self._listeners.append(listener)

    def usable(
        self, now: float
    ) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
        """Return the listed servers that accept work, and the doubted ones."""
        for server in self.held.release(now):
            self._put(server, 'held', now)
        return listing.usable(self._book, now)

    def returned_ago_s(self, now: float) -> float:
        """Return the seconds since the store recovered from an outage."""
        return now - self._book.returned_at

    def dump(self) -> dict[str, Any]:
        """Return the listed, held and doubted servers."""
        return {
            'revision': stamps.format_stamp(self.revision),
            'held': sorted(self.held.entries),
            'is_cut_off': self.is_cut_off,
            'listed': sorted(self._book.servers),
            'doubted': sorted(self._book.doubted),
        }

    def reached(self, is_reached: bool, now: float) -> None:
        """Record whether the store answered the last call."""
        self.is_cut_off = not is_reached
        if is_reached:
            listing.store_answered(self._book, now)
        else:
            listing.store_failed(self._book)

    def peer_store_recovered(self, at: float) -> None:
        """Record when a peer saw the store recover from an outage."""
        self._book.returned_at = max(self._book.returned_at, at)

    def listed(self, found: store_data.Listing, now: float) -> None:
        """Process a full list from the store, unless its era is over."""
        if stamps.is_restored(self.revision, found.revision):
            return
        specs = {each.name: each.spec for each in found.found}
        self._replace(specs, found.revision, 'store', now)
        self._lines.write(
            'servers_listed',
            servers=len(specs),
            revision=stamps.format_stamp(found.revision),
        )

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Process changes from the store, unless their era is over."""
        if stamps.is_restored(self.revision, changes.revision):
            return
        entries: list[tuple[str, Any]] = []
        for change in changes.changes:
            name = change.stored.name
            server = None
            if change.is_deleted:
                self._refusals.clear(name)
            else:
                server = self._read(name, change.stored.spec)
            spec = documents.server_spec(server) if server else None
            entries.append((name, spec))
        delta = Delta(self.revision, changes.revision, tuple(entries))
        self._apply(delta, 'store', now)
        for listener in self._listeners:
            listener(delta)

    def apply_specs(
        self, specs: Mapping[str, Any], revision: int, source: str, now: float
    ) -> None:
        """Replace the list by that of a peer, if it is newer."""
        if revision <= self.revision:
            return
        self._replace(specs, revision, source, now)
        self._lines.write(
            'servers_taken',
            source=source,
            revision=stamps.format_stamp(revision),
            servers=len(specs),
        )

    def apply_delta(self, delta: Delta, source: str, now: float) -> bool:
        """Apply a peer's changes; returns whether they connect to the list.

        Changes that are known already may be applied again: in order, they lead
        to the same list.
        """
        if not self.is_known or delta.since > self.revision:
            return False
        if stamps.is_restored(delta.revision, delta.since):
            return False
        if delta.revision > self.revision:
            self._apply(delta, source, now)
        return True

    def _apply(self, delta: Delta, source: str, now: float) -> None:
        for name, spec in delta.entries:
            self.held.discard(name)
            server = None if spec is None else self._read(name, spec)
            if server is not None:
                self._put(server, source, now)
            elif name in self.specs:
                self._drop(name, source, now)
        self.revision = max(self.revision, delta.revision)

    def _drop(self, name: str, source: str, now: float) -> None:
        self.specs.pop(name, None)
        known = self._book.servers.get(name)
        instance = known.instance if known else name
        lost = listing.drop(self._book, name, now)
        self._lines.write('server_dropped', instance=instance, source=source)
        if lost is not None:
            self.on_lost(lost.instance, now)

    def _put(
        self, server: servers_data.Server, source: str, now: float
    ) -> None:
        if listing.is_stale(self._book, server):
            self._lines.write(
                'server_stale', instance=server.instance, source=source
            )
            return
        self.specs[server.name] = documents.server_spec(server)
        before = listing.put(self._book, server)
        if before is not None:
            # No deletion of the earlier instance was seen, as after a crash:
            # its requests are lost and its connections are dead.
            self.on_restarted(before)
            self.on_lost(before.instance, now)
        self.on_listed(server, now)
        self._lines.write(
            'server_listed',
            instance=server.instance,
            service=server.service,
            software=server.version,
            state=server.state.value,
            cold_s=server.cold_s,
            source=source,
        )

    def _replace(
        self,
        specs: Mapping[str, Any],
        revision: int,
        source: str,
        now: float,
    ) -> None:
        found = (self._read(name, spec) for name, spec in specs.items())
        servers = [server for server in found if server is not None]
        listed = {server.name for server in servers}
        if stamps.is_restored(revision, self.revision):
            listing.store_returned(self._book, now)
            self.held.hold(servers, now)
        servers = self.held.without_held(servers)
        gone = [name for name in self._book.servers if name not in listed]
        for name in gone:
            self._drop(name, source, now)
        for server in servers:
            if self._book.servers.get(server.name) != server:
                self._put(server, source, now)
        # Peers get the entries of the store; each of them decides by its own
        # data which ones to hold.
        for held in self.held.entries.values():
            self.specs[held.name] = documents.server_spec(held)
        self.revision = revision
        self.is_known = True
        self.on_list_replaced()

    def _read(self, name: str, spec: Any) -> servers_data.Server | None:
        try:
            server = documents.server(name, spec)
        except (msgspec.ValidationError, ValueError) as exc:
            self._refusals.log_once(name, str(exc))
            return None
        self._refusals.clear(name)
        return server


def _ignore_list() -> None:
    """Default of `on_list_replaced`."""


def _ignore_restart(before: servers_data.Server) -> None:
    """Default of `on_restarted`."""


def _ignore_entry(server: servers_data.Server, now: float) -> None:
    """Default of `on_listed`."""


def _ignore_loss(instance: str, now: float) -> None:
    """Default of `on_lost`."""


def addresses(known: ServerList, now: float) -> list[str]:
    """Return the addresses of the servers that accept work."""
    listed, doubted = known.usable(now)
    return [server.address for server in (*listed, *doubted)]
