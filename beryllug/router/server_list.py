"""The backend servers that this process believes to be there."""

import time
from collections.abc import Mapping
from typing import Any

import msgspec

from beryllug.core.placement import listing, servers_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store


class ServerList:
    """Follows the store's list of servers, or a peer's while it is away.

    Attributes:
        is_known: Whether there is a list at all.
        is_cut_off: Whether the store did not answer the last call.
        specs: The stored entries by instance, for peers.
        revision: Revision of the store that the list is of.
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
        self._lines = lines

    def usable(
        self, now: float
    ) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
        """Return the listed servers that take work, and the doubted ones."""
        return listing.usable(self._book, now)

    def dump(self) -> dict[str, Any]:
        """Return the listed and the doubted servers."""
        return {
            'revision': self.revision,
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

    def listed(self, found: store.Listing, now: float) -> None:
        """Take a whole list of the store."""
        specs = {each.name: each.spec for each in found.found}
        self._replace(specs, found.revision, now)
        self._lines.write(
            'servers_listed', servers=len(specs), revision=found.revision
        )

    def take_specs(
        self, specs: Mapping[str, Any], revision: int, source: str
    ) -> None:
        """Take a peer's list while the store does not answer."""
        if not self.is_cut_off or revision <= self.revision:
            return
        self._replace(specs, revision, time.monotonic())
        self._lines.write(
            'servers_taken',
            source=source,
            revision=revision,
            servers=len(specs),
        )

    def changed(self, change: store.Change, now: float) -> None:
        """Take a change of one entry."""
        stored = change.stored
        self.revision = max(self.revision, stored.revision)
        if change.is_gone:
            self.specs.pop(stored.name, None)
            listing.drop(self._book, stored.name, now)
            self._lines.write(
                'server_dropped',
                instance=stored.name,
                revision=stored.revision,
            )
            return
        self.specs[stored.name] = stored.spec
        server = self._read(stored.name, stored.spec)
        if server is None:
            return
        listing.put(self._book, server)
        self._lines.write(
            'server_listed',
            instance=stored.name,
            service=server.service,
            software=server.version,
            state=server.state.value,
            revision=stored.revision,
        )

    def _replace(
        self, specs: Mapping[str, Any], revision: int, now: float
    ) -> None:
        found = (self._read(name, spec) for name, spec in specs.items())
        servers = [server for server in found if server is not None]
        listing.replace(self._book, servers, now)
        self.specs = dict(specs)
        self.revision = revision
        self.is_known = True

    def _read(self, instance: str, spec: Any) -> servers_data.Server | None:
        try:
            return documents.server(instance, spec)
        except (msgspec.ValidationError, ValueError) as exc:
            self._lines.write(
                'server_refused', instance=instance, error=str(exc)
            )
        return None
