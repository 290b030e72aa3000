"""Service 'store_returns': notices that the store returned from a copy."""

from collections.abc import Callable, Iterable
from typing import Any

from beryllug.drivers import store_era
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import refusals


class StoreReturns:
    """Tells that all kinds are to be listed anew.

    Attributes:
        eras: The era of the store.
        on_returned: Told of each return.
    """

    def __init__(
        self, eras: store_era.StoreEra, lines: log_lines.LineWriter
    ) -> None:
        """Bind to what the store's answers, and peers, tell of its era."""
        self.eras = eras
        self.on_returned: Callable[[], None] = _pass_over
        self._count = 0
        self._lines = lines
        self._refusals = refusals.Refusals('store_era_unreadable', lines)
        eras.on_changed = self._changed
        eras.on_unreadable = self._note_unreadable

    async def start(self) -> None:
        """Do nothing: it is driven by answers and by notes."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the era, and how many returns were noticed."""
        return {'era': self.eras.era, 'returns': self._count}

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return how often the store has returned."""
        yield metrics_data.Sample(
            'store_returns',
            self._count,
            'Times that the store has returned from an older copy.',
            metrics_data.Kind.COUNTER,
        )

    def _changed(self, era: int, before: int) -> None:
        # The first era that a process hears of is no return.
        if not before:
            return
        self._count += 1
        self._lines.write('store_returned', era=era, before=before)
        self.on_returned()

    def _note_unreadable(self, told: str) -> None:
        self._refusals.refused('era', told)


def _pass_over() -> None:
    """Tell nobody of a return."""
