"""Selects the control processes to exchange configuration with.

The peers in the settings are sufficient to join; the membership service adds
processes that joined later. The processes of a zone that watch the platform
are selected from the live members by rendezvous hashing, so all processes
agree without messages. While the members of two processes differ, an extra
process may watch, which costs one call and is harmless.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from beryllug.core import push_tree, rendezvous, settings_data

WATCHERS_KEY = 'config watchers'
SINGLETON_KEY = 'config chores'
MAX_PARTNERS = 8


class Members(Protocol):
    """The part of the membership service that is used here."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live control processes, this one included."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""

    def zone_of(self, member: str) -> str | None:
        """Return a member's availability zone."""


class ExchangePeers:
    """The known other control processes."""

    def __init__(
        self,
        process: settings_data.Process,
        cfg: settings_data.Control,
        members: Members | None,
        clock: Callable[[], float],
    ) -> None:
        """Initialize; without a membership service all processes watch."""
        self._process = process
        self._cfg = cfg
        self._members = members
        self._clock = clock

    def should_watch(self) -> bool:
        """Tell whether this process should watch the platform."""
        return self._process.name in self._watchers()

    def runs_singleton_tasks(self) -> bool:
        """Tell whether this process runs the tasks of which a fleet has one."""
        own = self._process.name
        return (
            rendezvous.order(SINGLETON_KEY, {own, *self._live_members()})[0]
            == own
        )

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all other control processes."""
        live = self._addresses(self._live_members())
        seeds = self._cfg.peers
        own = self._cfg.listen
        known = dict.fromkeys((*live, *seeds))
        return tuple(address for address in known if address != own)

    def gossip_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the processes to compare configuration with.

        These stay the same while they are live: random peers of a large
        fleet would cost a new connection each time, and a change reaches all
        processes in a few rounds anyway. When there are none, all known
        addresses are returned, which include the peers in the settings.
        """
        own = self._process.name
        others = [name for name in self._live_members() if name != own]
        chosen = rendezvous.order(own, others)[:MAX_PARTNERS]
        return self._addresses(chosen) or self.all_addresses()

    def push_addresses(self) -> tuple[str, ...]:
        """Return the addresses to which this process pushes changes."""
        order, roots = self._order()
        own = self._process.name
        return self._addresses(push_tree.children(order, roots, own))

    def _watchers(self) -> frozenset[str]:
        order, roots = self._order()
        return frozenset(order[:roots])

    def _order(self) -> tuple[list[str], int]:
        """Return the ordered members of the zone and the number of watchers."""
        zone = self._zone()
        roots = self._cfg.watchers or len(zone)
        return rendezvous.order(WATCHERS_KEY, zone), roots

    def _zone(self) -> list[str]:
        """Return the live members of this zone, this process included."""
        own = self._process.name
        found = [name for name in self._live_members() if self._in_zone(name)]
        return found if own in found else [*found, own]

    def _in_zone(self, name: str) -> bool:
        assert self._members is not None
        return self._members.zone_of(name) == self._process.zone

    def _live_members(self) -> tuple[str, ...]:
        if self._members is None:
            return ()
        return self._members.live(self._clock())

    def _addresses(self, names: Iterable[str]) -> tuple[str, ...]:
        if self._members is None:
            return ()
        found = map(self._members.address_of, names)
        return tuple(address for address in found if address)
