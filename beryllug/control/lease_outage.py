"""What a platform outage needs to know of the leases, and changes in them.

While the platform is down a holder can't renew. It may go on when every
process that could take its lease has promised not to for a while.
"""

import time
from collections.abc import Mapping

from beryllug.control import lease_balance, lease_task
from beryllug.core import lease, lease_data, outage_data

LATE_RENEWALS = 1.5


class LeaseOutage:
    """The leases of a process in an outage.

    Attributes:
        terms: Durations of leases.
        unflushed: Names of leases under which something was granted, or may
            have to be gathered, that the platform does not have.
    """

    def __init__(
        self,
        tasks: Mapping[str, lease_task.LeaseTask],
        terms: lease_data.Terms,
        balance: lease_balance.Balance,
    ) -> None:
        """Bind to the tasks of the process's leases."""
        self.terms = terms
        self.unflushed: set[str] = set()
        self._tasks = tasks
        self._balance = balance
        self._no_take_until = float('-inf')

    def standing(self, name: str) -> lease_data.Standing:
        """Return how this process stands to a lease."""
        return lease_data.Standing(
            self._balance.rank(name),
            self._balance.candidates(name),
            name in self.unflushed,
            time.monotonic() >= self._no_take_until,
        )

    def mark(self, name: str, *, unflushed: bool) -> None:
        """Say with the next renewal whether something is unflushed.

        That nothing is any more is said at once: it spares the next holder
        asking the candidates.
        """
        if unflushed:
            self.unflushed.add(name)
            return
        task = self._tasks.get(name)
        if name in self.unflushed and task is not None:
            task.renew_now()
        self.unflushed.discard(name)

    def is_struggling(self, now: float) -> bool:
        """Tell whether a held lease could not be renewed for a while."""
        late_s = LATE_RENEWALS * self.terms.renew_s
        return any(
            task.state.fencing and now - task.state.renewed_at > late_s
            for task in self._tasks.values()
        )

    def candidates(self, name: str) -> tuple[lease_data.Candidate, ...]:
        """Return who may take a held lease, by its last known writes."""
        task = self._tasks.get(name)
        if task is None or not task.state.fencing:
            return ()
        return lease.candidates(task.state)

    def limit(self, name: str) -> float:
        """Return until when nobody else takes a held lease."""
        task = self._tasks.get(name)
        if task is None or not task.state.fencing:
            return float('-inf')
        return lease.outage_limit(task.state, self.terms)

    def before(self, name: str) -> lease_data.Lease | None:
        """Return a held lease as it was when this process took it."""
        task = self._tasks.get(name)
        return task.state.before if task else None

    def hold_off(self, until: float) -> bool:
        """Take no lease before a second; False when one may be taken now.

        A write that takes a lease may be on its way, and may take effect
        after any promise.
        """
        self._no_take_until = max(self._no_take_until, until)
        for watching in self._tasks.values():
            watching.watch_anew()
        return not any(task.state.taking for task in self._tasks.values())

    def held(self) -> tuple[outage_data.HeldLease, ...]:
        """Return the leases that this process holds, as far as it knows.

        One that lapsed in an outage counts until it is seen with another.
        """
        return tuple(
            outage_data.HeldLease(name, task.state.fencing)
            for name, task in self._tasks.items()
            if task.state.fencing
        )

    def known_fencing(self, name: str) -> int:
        """Return the highest fencing token of a lease that was seen here."""
        task = self._tasks.get(name)
        if task is None or task.state.lease is None:
            return 0
        return task.state.lease.fencing

    def own(self) -> lease_data.Candidate:
        """Return this process as others list it."""
        return self._balance.own()

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        return self._balance.address_of(member)
