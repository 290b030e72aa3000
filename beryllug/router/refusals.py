"""Entries of the store that can't be read, logged once each.

Another writer may put anything into the kinds that this system follows, and a
list that holds such an entry is read again and again.
"""

from beryllug.kernel import log_lines

# Entries whose last error is remembered; of more, some are logged again.
MAX_REMEMBERED = 1000


class Refusals:
    """Logs each refused entry once, until it is accepted or differs."""

    def __init__(self, event: str, lines: log_lines.LineWriter) -> None:
        """Bind to the log; `event` names its lines."""
        self._event = event
        self._lines = lines
        self._errors: dict[str, str] = {}

    def refused(self, name: str, error: str) -> None:
        """Log that an entry names nothing that can be used."""
        if self._errors.get(name) == error:
            return
        self._errors[name] = error
        while len(self._errors) > MAX_REMEMBERED:
            self._errors.pop(next(iter(self._errors)))
        self._lines.write(self._event, name=name, error=error)

    def accepted(self, name: str) -> None:
        """Take that an entry is sound, or is gone."""
        self._errors.pop(name, None)
