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

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Begin without any."""
        self.entries: dict[str, servers_data.Server] = {}
        self._until = 0.0
        self._lines = lines

    def hold(
        self,
        book: listing.Book,
        servers: Iterable[servers_data.Server],
        now: float,
    ) -> list[servers_data.Server]:
        """Hold entries of a new era, and return the others."""
        self._until = now + stamps.HELD_S
        listed = list(servers)
        self.entries = {
            server.name: server
            for server in listed
            if listing.is_contradicted(book, server)
        }
        self._lines.write('servers_held', held=sorted(self.entries))
        return [each for each in listed if each.name not in self.entries]

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
