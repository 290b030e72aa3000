"""Server entries of a restored, older store that are withheld for a while."""

from collections.abc import Iterable

from beryllug.core import stamps
from beryllug.core.placement import listing, servers_data
from beryllug.kernel import log_lines


class HeldServers:
    """Entries that contradict what was known before the store was restored.

    A server known to be leaving or gone gets no more requests just because the
    restored store has lost that information; the server will write its entry
    again. One that is doubted stays so.

    Attributes:
        entries: The entries by name.
    """

    def __init__(
        self, book: listing.ServerListing, lines: log_lines.LineWriter
    ) -> None:
        """Bind to the list; no entries are held."""
        self.entries: dict[str, servers_data.Server] = {}
        self._held_until = 0.0
        self._book = book
        self._lines = lines

    def hold(self, servers: Iterable[servers_data.Server], now: float) -> None:
        """Hold the contradicting entries of the first list of a new era."""
        self._held_until = now + stamps.RESTORE_HOLD_S
        self._set_entries(
            server
            for server in servers
            if listing.is_contradicted(self._book, server)
        )
        listing.keep_doubted(self._book, self.entries, self._held_until)

    def without_held(
        self, servers: Iterable[servers_data.Server]
    ) -> list[servers_data.Server]:
        """Return the entries of a whole list that are not held.

        One that differs from the held entry was written after the restore, so
        it is no longer held.
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

    def hold_from_peer(
        self, instances: Iterable[str], left_s: float, now: float
    ) -> None:
        """Hold the entries that a peer holds, whose list is no older.

        Those that are held already stay as they are: their entries are the ones
        of the restored store, by which a later one is known to be newer.

        Args:
            instances: The servers.
            left_s: Seconds for which the peer still holds them.
            now: Current time in seconds.
        """
        peer_instances = set(instances)
        found = [
            server
            for server in self._book.servers.values()
            if server.instance in peer_instances
            and server.name not in self.entries
        ]
        if not found:
            return
        if self._held_until <= now:
            self._held_until = now + left_s
        for server in found:
            listing.withhold(self._book, server.name)
        self._set_entries([*self.entries.values(), *found])

    def remaining(self, now: float) -> tuple[float, tuple[str, ...]]:
        """Return the seconds left and the instances that are still held."""
        held = (server.instance for server in self.entries.values())
        return max(0, self._held_until - now), tuple(held)

    def discard(self, name: str) -> None:
        """Stop holding an entry that its server has written again."""
        self.entries.pop(name, None)

    def release(self, now: float) -> list[servers_data.Server]:
        """Return the entries whose hold time is over, once."""
        if not self.entries or now < self._held_until:
            return []
        released = list(self.entries.values())
        self.entries.clear()
        return released

    def _set_entries(self, held: Iterable[servers_data.Server]) -> None:
        self.entries = {server.name: server for server in held}
        self._lines.write('servers_held', held=sorted(self.entries))
