"""Which control processes to exchange configuration with.

The peers of the settings are enough to join by; the membership service adds
those that came later. Which processes of a zone watch the platform follows
from the live members by rendezvous hash, so all agree without a message; two
that disagree for a while watch both, which costs a call and harms nothing.
"""

from collections.abc import Callable
from typing import Protocol

from beryllug.core import rendezvous, settings_data

WATCHERS = 'config watchers'
CHORES = 'config chores'


class Members(Protocol):
    """What the exchange needs of the membership service."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live control processes, this one included."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""

    def zone_of(self, member: str) -> str | None:
        """Return a member's availability zone."""


class Neighbours:
    """The other control processes, as far as they are known."""

    def __init__(
        self,
        process: settings_data.Process,
        cfg: settings_data.Control,
        members: Members | None,
        clock: Callable[[], float],
    ) -> None:
        """Bind to the membership service; without one all watch."""
        self._process = process
        self._cfg = cfg
        self._members = members
        self._clock = clock

    def watches(self) -> bool:
        """Tell whether this process is to watch the platform."""
        return self._process.name in self._watchers()

    def is_first(self) -> bool:
        """Tell whether this process does what one of the fleet has to do."""
        own = self._process.name
        return rendezvous.order(CHORES, {own, *self._live()})[0] == own

    def everyone(self) -> tuple[str, ...]:
        """Return the addresses of all other control processes."""
        live = self._others(self._live())
        seeds = self._cfg.peers
        own = self._cfg.listen
        known = dict.fromkeys((*live, *seeds))
        return tuple(address for address in known if address != own)

    def followers(self) -> tuple[str, ...]:
        """Return the addresses of those of the zone that don't watch."""
        watchers = self._watchers()
        return self._others(
            [name for name in self._zone() if name not in watchers]
        )

    def _watchers(self) -> frozenset[str]:
        zone = self._zone()
        count = self._cfg.watchers or len(zone)
        return frozenset(rendezvous.order(WATCHERS, zone)[:count])

    def _zone(self) -> list[str]:
        """Return the live members of this zone, this process included."""
        own = self._process.name
        found = [name for name in self._live() if self._in_zone(name)]
        return found if own in found else [*found, own]

    def _in_zone(self, name: str) -> bool:
        assert self._members is not None
        return self._members.zone_of(name) == self._process.zone

    def _live(self) -> tuple[str, ...]:
        if self._members is None:
            return ()
        return self._members.live(self._clock())

    def _others(self, names: list[str] | tuple[str, ...]) -> tuple[str, ...]:
        if self._members is None:
            return ()
        found = (
            self._members.address_of(name)
            for name in names
            if name != self._process.name
        )
        return tuple(address for address in found if address)
