"""Who holds which lease, for processes that do not hold it.

Holders pass on what they won with the heartbeats, so the platform is read
only for what nobody told, or when a holder did not answer as one.
"""

import time
from collections.abc import Mapping
from typing import Protocol

from beryllug.control import lease_task
from beryllug.core import lease_data, member_data

FRESH_S = 0.2
KNOWN_S = 60.0
NOTE = 'lease/'


class Members(Protocol):
    """What leases need of the membership service."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members, this process among them."""

    def live_s(self, member: str, now: float) -> float:
        """Return for how many seconds another member has been live."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""

    def started(self, member: str) -> int:
        """Return the number of a member's start, 0 when not known."""

    def publish(self, note: member_data.Note) -> None:
        """Pass a fact on to all members."""

    def note(self, key: str) -> member_data.Note | None:
        """Return a fact that a member passed on."""


class LeaseLookup:
    """Answers who holds a lease."""

    def __init__(
        self,
        tended: lease_task.Tended,
        tasks: Mapping[str, lease_task.LeaseTask],
        members: Members,
    ) -> None:
        """Make a lookup.

        Args:
            tended: What lease tasks share.
            tasks: The tasks of this process's own leases.
            members: The membership service.
        """
        self._tended = tended
        self._tasks = tasks
        self._members = members
        self._seen: dict[str, lease_task.LeaseTask] = {}

    def tell(self, name: str, fencing: int, owner: lease_data.Owner) -> None:
        """Tell all members that this process holds a lease."""
        body = f'{owner.name} {owner.address}'
        self._members.publish(member_data.Note(NOTE + name, fencing, body))

    async def owner_of(
        self, name: str, *, fresh: bool
    ) -> lease_data.Lease | None:
        """Return a lease as it stands; the last known in an outage."""
        task = self._task(name)
        told = _from_note(self._members.note(NOTE + name))
        age_s = time.monotonic() - task.state.read_at
        stale = told is None and age_s > KNOWN_S
        if stale or (fresh and age_s > FRESH_S):
            await task.read()
        known = task.state.lease
        if told and (known is None or told.fencing > known.fencing):
            return told
        return known

    def _task(self, name: str) -> lease_task.LeaseTask:
        task = self._tasks.get(name) or self._seen.get(name)
        if task is None:
            task = lease_task.LeaseTask(name, self._tended)
            self._seen[name] = task
        return task


def _from_note(note: member_data.Note | None) -> lease_data.Lease | None:
    if note is None:
        return None
    holder, _, address = note.body.partition(' ')
    return lease_data.Lease(holder, note.number, address=address)
