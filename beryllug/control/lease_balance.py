"""Which of the wanted leases this process should hold."""

import time
from collections.abc import Iterable, Mapping

from beryllug.control import lease_lookup, lease_task
from beryllug.core import lease_data, lease_spread

SETTLED_LEASES = 2
MAX_CANDIDATES = 12


class Balance:
    """This process's share of the leases, among live members."""

    def __init__(
        self,
        own: str,
        tasks: Mapping[str, lease_task.LeaseTask],
        members: lease_lookup.Members,
        lease_s: float,
    ) -> None:
        """Make the balance.

        Args:
            own: Name of this process.
            tasks: The wanted leases.
            members: The membership service.
            lease_s: How long a lease holds.
        """
        self._own = own
        self._tasks = tasks
        self._members = members
        self._settled_s = SETTLED_LEASES * lease_s
        self._spread = lease_spread.Spread()

    def rank(self, name: str) -> int:
        """Return this process's place for a lease, 0 the preferred."""
        self._update()
        return lease_spread.rank(self._spread, name, self._own)

    def candidates(self, name: str) -> tuple[lease_data.Candidate, ...]:
        """Return who may take a lease from this process.

        They are few whatever the size of the fleet: in an outage the holder
        needs a promise of each.
        """
        self._update()
        members = self._members.live(time.monotonic())
        if len(members) > MAX_CANDIDATES:
            members = lease_spread.best(self._spread, name)
        return tuple(
            lease_data.Candidate(member, self._members.started(member))
            for member in members
            if member != self._own
        )

    def own(self) -> lease_data.Candidate:
        """Return this process as others list it."""
        started = self._members.started(self._own)
        return lease_data.Candidate(self._own, started)

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        return self._members.address_of(member)

    def preferred(self, name: str) -> str | None:
        """Return who should hold a lease."""
        return self._spread.preferred.get(name)

    def heir_address(self, name: str) -> str | None:
        """Return the address of who should hold a lease after this one."""
        heir = lease_spread.heir(self._spread, name, self._own)
        return self._members.address_of(heir) if heir else None

    def excess(self, held: Iterable[str]) -> str | None:
        """Return a held lease to hand over, if this process holds too many.

        Its heir must have been live for a while: leases are not passed back
        and forth with a process that comes and goes.
        """
        self._update()
        name = lease_spread.excess(self._spread, held, self._own)
        if name is None:
            return None
        heir = self._spread.preferred[name]
        live_s = self._members.live_s(heir, time.monotonic())
        return name if live_s > self._settled_s else None

    def _update(self) -> None:
        members = self._members.live(time.monotonic())
        lease_spread.update(self._spread, self._tasks, members)
