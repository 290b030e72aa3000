"""Looks up the holders of leases that this process does not hold.

Holders announce acquired leases with their heartbeats. The platform is read
only for a lease that nobody announced, or when a call to the known holder
failed or reached a process that does not hold the lease.
"""

import time
from collections.abc import Mapping
from typing import Protocol

from beryllug.control import lease_task
from beryllug.core import lease_data, member_data

MAX_FRESH_AGE_S = 0.2
MAX_CACHE_AGE_S = 60.0
NOTE_PREFIX = 'lease/'


class Members(Protocol):
    """The part of the membership service that leases use."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members, this process among them."""

    def live_s(self, member: str, now: float) -> float:
        """Return for how many seconds another member has been live."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""

    def started(self, member: str) -> int:
        """Return the start number of a member, 0 when it is not known."""

    def publish(self, note: member_data.GossipNote) -> None:
        """Spread a note to all members."""

    def note(self, key: str) -> member_data.GossipNote | None:
        """Return a note that a member published, by its key."""


class LeaseLookup:
    """Returns the current holders of leases."""

    def __init__(
        self,
        context: lease_task.TaskContext,
        tasks: Mapping[str, lease_task.LeaseTask],
        members: Members,
    ) -> None:
        """Initialize the lookup.

        Args:
            context: Dependencies that all lease tasks share.
            tasks: Tasks of the leases that this process wants, by name.
            members: The membership service.
        """
        self._context = context
        self._tasks = tasks
        self._members = members
        self._lookup_tasks: dict[str, lease_task.LeaseTask] = {}

    def announce(
        self, name: str, fencing: int, owner: lease_data.Owner
    ) -> None:
        """Announce to all members that this process holds a lease."""
        body = f'{owner.name} {owner.address}'
        self._members.publish(
            member_data.GossipNote(NOTE_PREFIX + name, fencing, body)
        )

    async def owner_of(
        self, name: str, *, fresh: bool
    ) -> lease_data.Lease | None:
        """Return the current lease, or the last known one in an outage."""
        task = self._task(name)
        announced = _from_note(self._members.note(NOTE_PREFIX + name))
        age_s = time.monotonic() - task.state.read_at
        stale = announced is None and age_s > MAX_CACHE_AGE_S
        if stale or (fresh and age_s > MAX_FRESH_AGE_S):
            await task.read()
        known = task.state.lease
        if announced and (known is None or announced.fencing > known.fencing):
            return announced
        return known

    def _task(self, name: str) -> lease_task.LeaseTask:
        task = self._tasks.get(name) or self._lookup_tasks.get(name)
        if task is None:
            task = lease_task.LeaseTask(name, self._context)
            self._lookup_tasks[name] = task
        return task


def _from_note(note: member_data.GossipNote | None) -> lease_data.Lease | None:
    if note is None:
        return None
    holder, _, address = note.body.partition(' ')
    return lease_data.Lease(holder, note.number, address=address)
