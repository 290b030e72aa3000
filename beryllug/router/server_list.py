"""The backend servers that this process believes to be there."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from beryllug.core import stamps
from beryllug.core.placement import listing, servers_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import held_servers, leaving_servers, refusals

LostListener = Callable[[str, float], None]
RestartListener = Callable[[servers_data.Server], None]
ListedListener = Callable[[servers_data.Server, float], None]


class Delta(NamedTuple):
    """Changes of the list between two revisions of the store.

    Attributes:
        since: Stamp that the changes follow on.
        revision: Stamp that the list is of with them.
        entries: Names in order, each with its entry; None where it went.
    """

    since: int
    revision: int
    entries: tuple[tuple[str, Any], ...]


class ServerList:
    """Follows the store's list of servers, or what peers tell of it.

    Attributes:
        is_known: Whether there is a list at all.
        is_cut_off: Whether the store did not answer the last call.
        specs: The sound entries by name, for peers.
        revision: Stamp of the store that the list is of.
        held: Entries of an older copy that are not believed yet.
        leaving: Those that state in their answers that they leave.
        on_known: Told when there is a list.
        on_lost: Told of each server that is gone without having said so.
        on_restarted: Told of each incarnation that another one of the same
            name has taken the place of.
        on_listed: Told of each entry that is new or has changed.
    """

    def __init__(self, doubt_s: float, lines: log_lines.LineWriter) -> None:
        """Begin without a list.

        Args:
            doubt_s: Seconds for which a dropped server is doubted.
            lines: Takes log lines.
        """
        self.is_known = False
        self.is_cut_off = False
        self.specs: dict[str, Any] = {}
        self.revision = 0
        self._book = listing.Book(doubt_s)
        self.held = held_servers.HeldServers(self._book, lines)
        self.leaving = leaving_servers.LeavingServers(self._book, lines)
        self._lines = lines
        self._listeners: list[Callable[[Delta], None]] = []
        self._refusals = refusals.Refusals('server_refused', lines)
        self.on_known: Callable[[], None] = _pass_over_list
        self.on_lost: LostListener = _pass_over
        self.on_restarted: RestartListener = _pass_over_restart
        self.on_listed: ListedListener = _pass_over_listed

    def on_changes(self, listener: Callable[[Delta], None]) -> None:
        """Tell of changes that the store has brought."""
        self._listeners.append(listener)

    def usable(
        self, now: float
    ) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
        """Return the listed servers that take work, and the doubted ones."""
        for server in self.held.release(now):
            self._put(server, 'held', now)
        return listing.usable(self._book, now)

    def returned_ago_s(self, now: float) -> float:
        """Return the seconds since the store came back from an outage."""
        return now - self._book.returned_at

    def dump(self) -> dict[str, Any]:
        """Return the listed and the doubted servers."""
        return {
            'revision': stamps.shown(self.revision),
            'held': sorted(self.held.entries),
            'is_cut_off': self.is_cut_off,
            'listed': sorted(self._book.servers),
            'doubted': sorted(self._book.doubted),
        }

    def reached(self, is_reached: bool, now: float) -> None:
        """Take whether the store has answered."""
        self.is_cut_off = not is_reached
        if is_reached:
            listing.store_answered(self._book, now)
        else:
            listing.store_failed(self._book)

    def peer_returned(self, at: float) -> None:
        """Take when a peer saw the store come back from an outage."""
        self._book.returned_at = max(self._book.returned_at, at)

    def listed(self, found: store_data.Listing, now: float) -> None:
        """Take a whole list of the store, unless it is of an earlier era."""
        if stamps.is_return(self.revision, found.revision):
            return
        specs = {each.name: each.spec for each in found.found}
        self._replace(specs, found.revision, 'store', now)
        self._lines.write(
            'servers_listed',
            servers=len(specs),
            revision=stamps.shown(found.revision),
        )

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Take changes that the store reports, likewise."""
        if stamps.is_return(self.revision, changes.revision):
            return
        entries: list[tuple[str, Any]] = []
        for change in changes.changes:
            name = change.stored.name
            server = None
            if change.is_gone:
                self._refusals.accepted(name)
            else:
                server = self._read(name, change.stored.spec)
            spec = documents.server_spec(server) if server else None
            entries.append((name, spec))
        delta = Delta(self.revision, changes.revision, tuple(entries))
        self._apply(delta, 'store', now)
        for listener in self._listeners:
            listener(delta)

    def take_specs(
        self, specs: Mapping[str, Any], revision: int, source: str, now: float
    ) -> None:
        """Take a peer's list, if it is newer."""
        if revision <= self.revision:
            return
        self._replace(specs, revision, source, now)
        self._lines.write(
            'servers_taken',
            source=source,
            revision=stamps.shown(revision),
            servers=len(specs),
        )

    def take_delta(self, delta: Delta, source: str, now: float) -> bool:
        """Take a peer's changes; returns whether they follow on the list.

        Changes that are known already may come again: in their order, they
        end with the same list.
        """
        if not self.is_known or delta.since > self.revision:
            return False
        if stamps.is_return(delta.revision, delta.since):
            return False
        if delta.revision > self.revision:
            self._apply(delta, source, now)
        return True

    def _apply(self, delta: Delta, source: str, now: float) -> None:
        for name, spec in delta.entries:
            self.held.changed(name)
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
            # It was not seen to go, which a crash explains: what ran there
            # is lost, and its connections lead nowhere.
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
        if stamps.is_return(revision, self.revision):
            listing.store_returned(self._book, now)
            self.held.hold(servers, now)
        servers = self.held.believed(servers)
        gone = [name for name in self._book.servers if name not in listed]
        for name in gone:
            self._drop(name, source, now)
        for server in servers:
            if self._book.servers.get(server.name) != server:
                self._put(server, source, now)
        # Peers are handed what the store says, and hold what they know.
        for held in self.held.entries.values():
            self.specs[held.name] = documents.server_spec(held)
        self.revision = revision
        self.is_known = True
        self.on_known()

    def _read(self, name: str, spec: Any) -> servers_data.Server | None:
        try:
            server = documents.server(name, spec)
        except (msgspec.ValidationError, ValueError) as exc:
            self._refusals.refused(name, str(exc))
            return None
        self._refusals.accepted(name)
        return server


def _pass_over_list() -> None:
    """Tell nobody that there is a list."""


def _pass_over_restart(before: servers_data.Server) -> None:
    """Tell nobody of a server that has started again."""


def _pass_over_listed(server: servers_data.Server, now: float) -> None:
    """Tell nobody of an entry."""


def _pass_over(instance: str, now: float) -> None:
    """Tell nobody of a lost server."""
