"""What may not run freely since trials of it were lost, as the store has it.

It lasts there, so that processes that all start anew do not send on what has
crashed servers before.
"""

import time
from collections.abc import Callable, Iterable

import msgspec

from beryllug.core.placement import accusations, poison_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.router import (
    accusation_documents,
    crash_watch,
    invalid_entry_log,
)

MAX_EXPIRED = 16


class AccusationList:
    """Takes the accusations that the store lists.

    Attributes:
        is_known: Whether the store, or a peer that knows them, has been heard.
        on_known: Called when that becomes so.
        expired: Names of some that no longer matter.
    """

    def __init__(
        self, crashes: crash_watch.CrashWatch, lines: log_lines.LineWriter
    ) -> None:
        """Bind to what decides by them."""
        self.is_known = False
        self.on_known: Callable[[], None] = _ignore
        self.expired: tuple[str, ...] = ()
        self._crashes = crashes
        self._lines = lines
        self._refusals = invalid_entry_log.InvalidEntryLog(
            'accusation_refused', lines
        )

    def listed(self, found: store_data.Listing, now: float) -> None:
        """Process a full list from the store."""
        self._take(found.found, now)
        self.set_known()

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Process changes from the store."""
        present = [each.stored for each in changes.changes]
        gone = {each.stored.name for each in changes.changes if each.is_deleted}
        self._take((each for each in present if each.name not in gone), now)

    def set_known(self) -> None:
        """Note that the accusations are known."""
        if not self.is_known:
            self.is_known = True
            self.on_known()

    def _take(
        self, found: Iterable[store_data.StoredObject], now: float
    ) -> None:
        expired = []
        for stored in found:
            accusation = self._decode(stored)
            if accusation is None:
                continue
            if accusations.is_expired(accusation):
                expired.append(stored.name)
                continue
            self._lines.write(
                'accusation_taken',
                trial=accusation.trial_id,
                keys=accusation.keys,
                ago_s=round(accusation.ago_s, 3),
            )
            notes = accusations.notes_of(accusation, now)
            self._crashes.merge(notes, now)
        self.expired = tuple(expired[:MAX_EXPIRED])

    def _decode(
        self, stored: store_data.StoredObject
    ) -> poison_data.Accusation | None:
        try:
            return accusation_documents.decode(
                stored.name, stored.spec, time.time()
            )
        except (msgspec.ValidationError, ValueError) as exc:
            self._refusals.log_once(stored.name, str(exc))
        return None


def _ignore() -> None:
    """Default of `on_known`."""
