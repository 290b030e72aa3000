"""Logs invalid entries of the store, each one once.

Other writers may store anything in the kinds that this system watches, and a
list that contains an invalid entry is read again and again.
"""

from beryllug.kernel import log_lines

# Maximum number of entries whose last error is remembered; beyond it, some are
# logged again.
MAX_REMEMBERED = 1000


class InvalidEntryLog:
    """Logs each invalid entry once, until it is valid or has changed."""

    def __init__(self, event: str, lines: log_lines.LineWriter) -> None:
        """Bind to the log; `event` is the event name of its lines."""
        self._event = event
        self._lines = lines
        self._errors: dict[str, str] = {}

    def log_once(self, name: str, error: str) -> None:
        """Log that an entry cannot be used, unless this error was logged."""
        if self._errors.get(name) == error:
            return
        self._errors[name] = error
        while len(self._errors) > MAX_REMEMBERED:
            self._errors.pop(next(iter(self._errors)))
        self._lines.write(self._event, name=name, error=error)

    def clear(self, name: str) -> None:
        """Record that an entry is valid or was removed."""
        self._errors.pop(name, None)
