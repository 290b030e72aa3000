"""Servers whose entries in an older copy of the store are not believed yet."""

from collections.abc import Iterable

from beryllug.core import stamps
from beryllug.core.placement import listing, servers_data
from beryllug.kernel import log_lines


class HeldServers:
    """Entries that deny what was known before the store returned.

    A server that was known to leave, or to be gone, gets no more because the
    store has lost that; the server writes it again.

    Attributes:
        entries: The entries by name.
    """

    def __init__(self, book: listing.Book, lines: log_lines.LineWriter) -> None:
        """Bind to the list; none are held."""
        self.entries: dict[str, servers_data.Server] = {}
        self._until = 0.0
        self._book = book
        self._lines = lines

    def hold(self, servers: Iterable[servers_data.Server], now: float) -> None:
        """Hold entries of a list that is the first of a new era."""
        self._until = now + stamps.HELD_S
        self._put(
            server
            for server in servers
            if listing.is_contradicted(self._book, server)
        )

    def believed(
        self, servers: Iterable[servers_data.Server]
    ) -> list[servers_data.Server]:
        """Return the entries of a whole list that are not held.

        One that differs from the entry that is held was written since.
        """
        listed = {server.name: server for server in servers}
        self.entries = {
            name: held
            for name, held in self.entries.items()
            if listed.get(name) == held
        }
        return [
            each for each in listed.values() if each.name not in self.entries
        ]

    def take(self, instances: Iterable[str], left_s: float, now: float) -> None:
        """Hold entries that a process, whose list is no older, holds.

        Args:
            instances: The servers.
            left_s: Seconds for which the other process still holds them.
            now: The present second.
        """
        told = set(instances)
        found = [
            server
            for server in self._book.servers.values()
            if server.instance in told
        ]
        if not found:
            return
        if self._until <= now:
            self._until = now + left_s
        for server in found:
            listing.withhold(self._book, server.name)
        self._put([*self.entries.values(), *found])

    def told(self, now: float) -> tuple[float, tuple[str, ...]]:
        """Return for how many seconds which servers are still held."""
        held = (server.instance for server in self.entries.values())
        return max(0, self._until - now), tuple(held)

    def changed(self, name: str) -> None:
        """Take that a server has written its entry again."""
        self.entries.pop(name, None)

    def release(self, now: float) -> list[servers_data.Server]:
        """Return entries that were held for long enough, once."""
        if not self.entries or now < self._until:
            return []
        released = list(self.entries.values())
        self.entries.clear()
        return released

    def _put(self, held: Iterable[servers_data.Server]) -> None:
        self.entries = {server.name: server for server in held}
        self._lines.write('servers_held', held=sorted(self.entries))
