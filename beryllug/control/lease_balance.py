"""Decides which of the wanted leases this process should hold."""

import time
from collections.abc import Iterable, Mapping

from beryllug.control import lease_lookup, lease_task
from beryllug.core import lease_data, lease_spread

SUCCESSOR_LIVE_LEASES = 2
MAX_CANDIDATES = 12


class Balance:
    """Distributes the leases among the live members."""

    def __init__(
        self,
        own: str,
        tasks: Mapping[str, lease_task.LeaseTask],
        members: lease_lookup.Members,
        lease_s: float,
    ) -> None:
        """Initialize the balance.

        Args:
            own: Name of this process.
            tasks: Tasks of the wanted leases by name.
            members: The membership service.
            lease_s: Duration of a lease without renewal.
        """
        self._own = own
        self._tasks = tasks
        self._members = members
        self._successor_live_s = SUCCESSOR_LIVE_LEASES * lease_s
        self._preferences = lease_spread.LeasePreferences()

    def rank(self, name: str) -> int:
        """Return this process's rank for a lease; rank 0 is preferred."""
        self._update()
        return lease_spread.rank(self._preferences, name, self._own)

    def candidates(self, name: str) -> tuple[lease_data.Candidate, ...]:
        """Return the other members that may acquire a lease.

        Their number is bounded whatever the size of the fleet, because in an
        outage the holder needs a promise from each of them.
        """
        self._update()
        members = self._members.live(time.monotonic())
        if len(members) > MAX_CANDIDATES:
            members = lease_spread.best(self._preferences, name)
        return tuple(
            lease_data.Candidate(member, self._members.started(member))
            for member in members
            if member != self._own
        )

    def own(self) -> lease_data.Candidate:
        """Return this process as a candidate."""
        started = self._members.started(self._own)
        return lease_data.Candidate(self._own, started)

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        return self._members.address_of(member)

    def preferred(self, name: str) -> str | None:
        """Return the member that should hold a lease."""
        return self._preferences.preferred.get(name)

    def successor_address(self, name: str) -> str | None:
        """Return the address of the preferred member, except this one."""
        successor = lease_spread.successor_of(
            self._preferences, name, self._own
        )
        return self._members.address_of(successor) if successor else None

    def excess(self, held: Iterable[str]) -> str | None:
        """Return a lease to hand over if this process holds too many.

        Its successor must have been live for a minimum time, so that leases
        do not move back and forth with a process that keeps restarting.
        """
        self._update()
        name = lease_spread.excess(self._preferences, held, self._own)
        if name is None:
            return None
        successor = self._preferences.preferred[name]
        live_s = self._members.live_s(successor, time.monotonic())
        return name if live_s > self._successor_live_s else None

    def _update(self) -> None:
        members = self._members.live(time.monotonic())
        lease_spread.update(self._preferences, self._tasks, members)
