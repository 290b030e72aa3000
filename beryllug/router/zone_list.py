"""The evacuated availability zones, from the store or from peers.

While an operator has a zone evacuated, no new requests are sent to its backend
servers. Requests that already run there are left to finish.
"""

from collections.abc import Callable, Iterable
from typing import Any

from beryllug.core import stamps
from beryllug.drivers import store_data
from beryllug.kernel import log_lines

Listener = Callable[[float], None]
ReopenedListener = Callable[[str, float], None]


class ZoneList:
    """Tracks the store's list of evacuated zones, directly or through peers.

    Attributes:
        evacuated: Names of the zones that count as evacuated.
        in_store: Those of them that the store lists.
        revision: Stamp of the list, 0 for none.
        on_reopened: Called for each zone that accepts requests again.
    """

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Start without a list."""
        self.evacuated: frozenset[str] = frozenset()
        self.in_store: frozenset[str] = frozenset()
        self.revision = 0
        self.on_reopened: ReopenedListener = _ignore_reopened_zone
        self._lines = lines
        self._listeners: list[Listener] = []
        self._held: dict[str, float] = {}

    def on_changed(self, listener: Listener) -> None:
        """Register a listener for changes of the set of evacuated zones."""
        self._listeners.append(listener)

    def dump(self) -> dict[str, Any]:
        """Return the evacuated zones."""
        return {
            'revision': stamps.format_stamp(self.revision),
            'evacuated': sorted(self.evacuated),
            'held': sorted(self._held),
        }

    def listed(self, found: store_data.Listing, now: float) -> None:
        """Process a full list from the store."""
        names = (each.name for each in found.found)
        self.take(names, found.revision, 'store', now)

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Process changes from the store."""
        names = set(self.in_store)
        for change in changes.changes:
            self._held.pop(change.stored.name, None)
            if change.is_deleted:
                names.discard(change.stored.name)
            else:
                names.add(change.stored.name)
        self.take(names, changes.revision, 'store', now)

    def take(
        self, names: Iterable[str], revision: int, source: str, now: float
    ) -> None:
        """Replace the set of evacuated zones, if the given one is newer.

        After the store was restored from a copy, zones that it lacks stay
        evacuated for a while.
        """
        if revision <= self.revision:
            return
        if stamps.is_restored(revision, self.revision):
            until = now + stamps.RESTORE_HOLD_S
            self._held.update(dict.fromkeys(self.evacuated, until))
        self.revision = revision
        self.in_store = frozenset(names)
        self._update_evacuated(source, now)

    def take_held(
        self, names: Iterable[str], left_s: float, now: float
    ) -> None:
        """Hold the zones that a peer, whose list is no older, holds."""
        for name in names:
            self._held.setdefault(name, now + left_s)
        self._update_evacuated('held', now)

    def held(self) -> tuple[str, ...]:
        """Return the zones that are evacuated although the store lacks them."""
        return tuple(sorted(self._held))

    def release_expired(self, now: float) -> None:
        """Release zones whose hold time is over."""
        if self._held:
            self._update_evacuated('held', now)

    def _update_evacuated(self, source: str, now: float) -> None:
        self._held = {
            zone: until
            for zone, until in self._held.items()
            if until > now and zone not in self.in_store
        }
        before = self.evacuated
        self.evacuated = self.in_store | frozenset(self._held)
        for zone in sorted(self.evacuated - before):
            self._log('zone_evacuated', zone, source)
        for reopened in sorted(before - self.evacuated):
            self._log('zone_reopened', reopened, source)
            self.on_reopened(reopened, now)
        if self.evacuated != before:
            for listener in self._listeners:
                listener(now)

    def _log(self, event: str, zone: str, source: str) -> None:
        self._lines.write(
            event,
            zone=zone,
            source=source,
            revision=stamps.format_stamp(self.revision),
        )


def _ignore_reopened_zone(zone: str, now: float) -> None:
    """Default of `on_reopened`."""
