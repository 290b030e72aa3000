"""Servers that state in their answers that they leave."""

import math

from beryllug.core.placement import listing
from beryllug.kernel import log_lines


class LeavingServers:
    """Takes out of the listed servers those that state that they leave."""

    def __init__(self, book: listing.Book, lines: log_lines.LineWriter) -> None:
        """Bind to the listed servers, and to the log."""
        self._book = book
        self._lines = lines

    def heard(self, instance: str, source: str, now: float) -> bool:
        """Take that a server leaves; returns whether that is new.

        Args:
            instance: The server.
            source: Who has heard it.
            now: The present second.
        """
        is_new = listing.states_leaving(self._book, instance, now)
        if is_new:
            self._lines.write(
                'server_leaving', instance=instance, source=source
            )
        return is_new

    def listed(self, now: float) -> list[str]:
        """Return those that are listed, and forget those long gone."""
        if not self._book.leaving:
            return []
        listing.forget_leaving(self._book, now)
        return sorted(
            instance
            for instance, until in self._book.leaving.items()
            if until == math.inf
        )
