"""Which control processes to exchange configuration with.

The peers of the settings are enough to join by; the membership service adds
those that came later. Which processes of a zone watch the platform follows
from the live members by rendezvous hash, so all agree without a message; two
that disagree for a while watch both, which costs a call and harms nothing.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from beryllug.core import push_tree, rendezvous, settings_data

WATCHERS = 'config watchers'
CHORES = 'config chores'
PARTNERS = 8


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
        live = self._addresses(self._live())
        seeds = self._cfg.peers
        own = self._cfg.listen
        known = dict.fromkeys((*live, *seeds))
        return tuple(address for address in known if address != own)

    def partners(self) -> tuple[str, ...]:
        """Return the addresses of the few processes to compare with.

        The same few as long as they live: to talk to any of a large fleet
        would cost a connection each time, and a change still reaches all in
        a few rounds. Without any, the peers of the settings.
        """
        own = self._process.name
        others = [name for name in self._live() if name != own]
        chosen = rendezvous.order(own, others)[:PARTNERS]
        return self._addresses(chosen) or self.everyone()

    def children(self) -> tuple[str, ...]:
        """Return the addresses of those who get changes from this one."""
        order, roots = self._order()
        own = self._process.name
        return self._addresses(push_tree.children(order, roots, own))

    def _watchers(self) -> frozenset[str]:
        order, roots = self._order()
        return frozenset(order[:roots])

    def _order(self) -> tuple[list[str], int]:
        """Return the members of the zone, and how many of them watch."""
        zone = self._zone()
        roots = self._cfg.watchers or len(zone)
        return rendezvous.order(WATCHERS, zone), roots

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

    def _addresses(self, names: Iterable[str]) -> tuple[str, ...]:
        if self._members is None:
            return ()
        found = map(self._members.address_of, names)
        return tuple(address for address in found if address)
