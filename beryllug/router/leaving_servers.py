"""Servers that announce in their answers that they are leaving."""

import math

from beryllug.core.placement import listing
from beryllug.kernel import log_lines


class LeavingServers:
    """Excludes listed servers that announce that they are leaving."""

    def __init__(
        self, book: listing.ServerListing, lines: log_lines.LineWriter
    ) -> None:
        """Bind to the listed servers and to the log."""
        self._book = book
        self._lines = lines

    def is_departing(self, instance: str) -> bool:
        """Return whether a server is known to stop, or to have stopped."""
        return listing.is_departing(self._book, instance)

    def record_leaving(self, instance: str, source: str, now: float) -> bool:
        """Record that a server is leaving; returns whether that is new.

        Args:
            instance: The server.
            source: Who reported it.
            now: Current time in seconds.
        """
        is_new = listing.record_leaving(self._book, instance, now)
        if is_new:
            self._lines.write(
                'server_leaving', instance=instance, source=source
            )
        return is_new

    def listed(self, now: float) -> list[str]:
        """Return the leaving servers with an entry, and drop expired ones."""
        if not self._book.leaving:
            return []
        listing.forget_leaving(self._book, now)
        return sorted(
            instance
            for instance, until in self._book.leaving.items()
            if until == math.inf
        )
