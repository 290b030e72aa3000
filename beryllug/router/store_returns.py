"""Service 'store_returns': detects restores of the store from a copy."""

from collections.abc import Callable, Iterable
from typing import Any

from beryllug.drivers import store_era
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import invalid_entry_log


class StoreReturns:
    """Triggers a new listing of all kinds after each restore.

    Attributes:
        eras: The era of the store.
        on_returned: Called after each restore.
    """

    def __init__(
        self, eras: store_era.StoreEra, lines: log_lines.LineWriter
    ) -> None:
        """Bind to the era, as the store's answers and peers tell it."""
        self.eras = eras
        self.on_returned: Callable[[], None] = _ignore_return
        self._count = 0
        self._lines = lines
        self._refusals = invalid_entry_log.InvalidEntryLog(
            'store_era_unreadable', lines
        )
        eras.on_changed = self._changed
        eras.on_invalid = self._note_unreadable

    async def start(self) -> None:
        """Do nothing: it acts on answers of the store and on notes."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the era and the number of detected restores."""
        return {'era': self.eras.era, 'returns': self._count}

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the number of detected restores as a metric."""
        yield metrics_data.Sample(
            'store_returns',
            self._count,
            'Times that the store has returned from an older copy.',
            metrics_data.Kind.COUNTER,
        )

    def _changed(self, era: int, before: int) -> None:
        # The first era that a process learns is not a restore.
        if not before:
            return
        self._count += 1
        self._lines.write('store_returned', era=era, before=before)
        self.on_returned()

    def _note_unreadable(self, text: str) -> None:
        self._refusals.log_once('era', text)


def _ignore_return() -> None:
    """Default of `on_returned`."""
