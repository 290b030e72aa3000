"""Service 'unread_names': names that the platform's adapter does not know.

A new header or field in the answers of servers or of the store may require
something of this system. It is logged once, so that it is noticed before it
causes a fault.
"""

from collections.abc import Iterable
from typing import Any

from beryllug.kernel import log_lines, metrics_data
from beryllug.router import accusation_documents, dispatch

# Names that a process remembers and logs in its lifetime: a server may send any
# number of them.
MAX_NAMES = 100
# Maximum length of a logged name.
MOST_TEXT = 100
SERVER = 'server'


class UnreadNames:
    """Logs each unknown name once."""

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Bind to the log."""
        self._lines = lines
        self._seen: set[tuple[str, str]] = set()

    async def start(self) -> None:
        """Do nothing: it acts on answers."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the unknown names by source."""
        found: dict[str, list[str]] = {}
        for source, name in sorted(self._seen):
            found.setdefault(source, []).append(name)
        return found

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the number of unknown names as a metric."""
        yield metrics_data.Sample(
            'names_unread',
            len(self._seen),
            'Names in answers of servers and of the store that are not known.',
        )

    def heard(self, said: dispatch.AnswerHead) -> None:
        """Record the unknown names in the head of a server's answer."""
        if said.head.unread:
            self.take(SERVER, said.head.unread)

    def take(self, source: str, unread: Iterable[str]) -> None:
        """Record unknown names; `source` tells where they were found.

        Those of this system's own kind are no news of the platform.
        """
        if source == accusation_documents.KIND:
            return
        for name in unread:
            key = (source, name[:MOST_TEXT])
            if key in self._seen or len(self._seen) >= MAX_NAMES:
                continue
            self._seen.add(key)
            self._lines.write('name_unread', source=source, name=key[1])
