"""The availability zones that are evacuated, as they stand in the store.

While the operator has a zone evacuated, nothing more is sent to the backend
servers there. What runs there ends there.
"""

from collections.abc import Callable, Iterable
from typing import Any

from beryllug.core import stamps
from beryllug.drivers import store_data
from beryllug.kernel import log_lines

Listener = Callable[[float], None]
ReopenedListener = Callable[[str, float], None]


class ZoneList:
    """Follows the store's list of evacuated zones, or what peers tell of it.

    Attributes:
        evacuated: Names of the zones that are taken to be evacuated.
        stated: Those of them that the store names.
        revision: Stamp of the store that the list is of, 0 for none.
        on_reopened: Told of each zone that takes requests again.
    """

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Begin without a list."""
        self.evacuated: frozenset[str] = frozenset()
        self.stated: frozenset[str] = frozenset()
        self.revision = 0
        self.on_reopened: ReopenedListener = _pass_over
        self._lines = lines
        self._listeners: list[Listener] = []
        self._held: dict[str, float] = {}

    def on_changed(self, listener: Listener) -> None:
        """Tell of each time that another set of zones is evacuated."""
        self._listeners.append(listener)

    def dump(self) -> dict[str, Any]:
        """Return the evacuated zones."""
        return {
            'revision': stamps.shown(self.revision),
            'evacuated': sorted(self.evacuated),
            'held': sorted(self._held),
        }

    def listed(self, found: store_data.Listing, now: float) -> None:
        """Take a whole list of the store."""
        names = (each.name for each in found.found)
        self.take(names, found.revision, 'store', now)

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Take changes that the store reports."""
        names = set(self.stated)
        for change in changes.changes:
            self._held.pop(change.stored.name, None)
            if change.is_gone:
                names.discard(change.stored.name)
            else:
                names.add(change.stored.name)
        self.take(names, changes.revision, 'store', now)

    def take(
        self, names: Iterable[str], revision: int, source: str, now: float
    ) -> None:
        """Take the whole set of evacuated zones, if it is newer.

        Where the store has returned from a copy, zones that it lacks stay
        evacuated for a while.
        """
        if revision <= self.revision:
            return
        if stamps.is_return(revision, self.revision):
            until = now + stamps.HELD_S
            self._held.update(dict.fromkeys(self.evacuated, until))
        self.revision = revision
        self.stated = frozenset(names)
        self._put_in_force(source, now)

    def take_held(
        self, names: Iterable[str], left_s: float, now: float
    ) -> None:
        """Take what a peer, whose list is no older, holds against the store."""
        for name in names:
            self._held.setdefault(name, now + left_s)
        self._put_in_force('held', now)

    def held(self) -> tuple[str, ...]:
        """Return the zones that are evacuated against the store's word."""
        return tuple(sorted(self._held))

    def settle(self, now: float) -> None:
        """Let go of zones that were held for long enough."""
        if self._held:
            self._put_in_force('held', now)

    def _put_in_force(self, source: str, now: float) -> None:
        self._held = {
            zone: until
            for zone, until in self._held.items()
            if until > now and zone not in self.stated
        }
        before = self.evacuated
        self.evacuated = self.stated | frozenset(self._held)
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
            revision=stamps.shown(self.revision),
        )


def _pass_over(zone: str, now: float) -> None:
    """Tell nobody of a zone that takes requests again."""
