"""Access to the leases of this process for the handling of platform outages.

While the platform is down a holder can't renew its lease. It may continue as
long as every process that could acquire the lease has promised not to.
"""

import time
from collections.abc import Mapping

from beryllug.control import lease_balance, lease_task
from beryllug.core import lease, lease_data, outage_data

OVERDUE_FACTOR = 1.5


class LeaseOutage:
    """Reads and changes the leases of this process during an outage.

    Attributes:
        terms: Lease durations.
        unflushed: Names of leases with rows that the platform does not have:
            granted under the lease, or possibly still to be gathered from
            the candidates.
    """

    def __init__(
        self,
        tasks: Mapping[str, lease_task.LeaseTask],
        terms: lease_data.LeaseTimings,
        balance: lease_balance.Balance,
    ) -> None:
        """Initialize with the lease tasks of this process."""
        self.terms = terms
        self.unflushed: set[str] = set()
        self._tasks = tasks
        self._balance = balance
        self._acquire_not_before = float('-inf')

    def claim(self, name: str) -> lease_data.LeaseClaim:
        """Return the rank and the candidates of this process for a lease."""
        return lease_data.LeaseClaim(
            self._balance.rank(name),
            self._balance.candidates(name),
            name in self.unflushed,
            time.monotonic() >= self._acquire_not_before,
        )

    def mark_unflushed(self, name: str, *, unflushed: bool) -> None:
        """Set whether a lease has unflushed rows.

        The flag is written with the next renewal. When it is cleared the
        lease is renewed at once, because the next holder then does not need
        to ask the candidates.
        """
        if unflushed:
            self.unflushed.add(name)
            return
        task = self._tasks.get(name)
        if name in self.unflushed and task is not None:
            task.renew_now()
        self.unflushed.discard(name)

    def is_renewal_overdue(self, now: float) -> bool:
        """Tell whether the renewal of a held lease is overdue."""
        overdue_s = OVERDUE_FACTOR * self.terms.renew_s
        return any(
            task.state.fencing and now - task.state.renewed_at > overdue_s
            for task in self._tasks.values()
        )

    def candidates(self, name: str) -> tuple[lease_data.Candidate, ...]:
        """Return who may acquire a held lease, by its last known writes."""
        task = self._tasks.get(name)
        if task is None or not task.state.fencing:
            return ()
        return lease.candidates(task.state)

    def candidates_only_until(self, name: str) -> float:
        """Return until when only candidates may acquire a held lease."""
        task = self._tasks.get(name)
        if task is None or not task.state.fencing:
            return float('-inf')
        return lease.outage_limit(task.state, self.terms)

    def previous_lease(self, name: str) -> lease_data.Lease | None:
        """Return a held lease as it was before this process acquired it."""
        task = self._tasks.get(name)
        return task.state.before if task else None

    def block_acquisition(self, until: float) -> bool:
        """Acquire no lease before a given time of the monotonic clock.

        Returns:
            False when a write that acquires a lease may be in flight: it
            could take effect after any promise.
        """
        self._acquire_not_before = max(self._acquire_not_before, until)
        for reset_task in self._tasks.values():
            reset_task.reset_observation()
        return not any(task.state.acquiring for task in self._tasks.values())

    def held(self) -> tuple[outage_data.HeldLease, ...]:
        """Return the leases that this process holds, as far as it knows.

        A lease that expired in an outage counts until it is read with
        another holder.
        """
        return tuple(
            outage_data.HeldLease(name, task.state.fencing)
            for name, task in self._tasks.items()
            if task.state.fencing
        )

    def known_fencing(self, name: str) -> int:
        """Return the highest fencing token of a lease known here."""
        task = self._tasks.get(name)
        if task is None or task.state.lease is None:
            return 0
        return task.state.lease.fencing

    def own(self) -> lease_data.Candidate:
        """Return this process as a candidate."""
        return self._balance.own()

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        return self._balance.address_of(member)
