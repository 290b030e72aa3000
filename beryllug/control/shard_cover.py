"""What covers a shard's grants while the platform is down.

One object belongs to one ownership of a shard. It has intents copied before
they are granted, gathers copies before the shard is served, and tells the
candidates when all of it is durable.
"""

import time
from typing import Any, NamedTuple

from beryllug.control import (
    copies,
    copy_queue,
    lease_outage,
    promises,
    readback,
)
from beryllug.core import (
    journal,
    journal_data,
    journal_log,
    outage,
    outage_data,
    shard_state,
)
from beryllug.drivers import object_data


MOST_TELLINGS = 50


class OutageParts(NamedTuple):
    """What the shards of a process share for outages."""

    leases: lease_outage.LeaseOutage
    promises: promises.Promises
    copies: copies.Copies


class Tenure(NamedTuple):
    """One ownership of a shard."""

    lease_name: str
    shard: int
    fencing: int


class ShardCover:
    """Copies of one shard's intents, got and given."""

    def __init__(self, parts: OutageParts, tenure: Tenure) -> None:
        """Bind to an ownership.

        Where the shard was not given back, others must gather as this
        process does, until it has and all is durable.
        """
        self._parts = parts
        self._tenure = tenure
        self._queue = copy_queue.CopyQueue(self._send)
        self._told: set[str] = set()
        self._refuse_until = float('-inf')
        self._settled = False
        self._tellings = 0
        before = parts.leases.before(tenure.lease_name)
        if before is not None and before.holder:
            parts.leases.mark(tenure.lease_name, unflushed=True)

    def dump(self) -> dict[str, Any]:
        """Return the state."""
        return {
            'settled': self._settled,
            'copies_at': sorted(self._told),
            'covered_s': self.valid_s(),
            'refuses_new': self.refuses_new(time.monotonic()),
        }

    def valid_s(self) -> float:
        """Return for how long surely nobody takes the lease."""
        return self._parts.promises.valid_s(self._tenure.lease_name)

    def refuses_new(self, now: float) -> bool:
        """Tell whether copies may be missing.

        A key that is not known may have been granted by the earlier owner,
        and its copy be lost with the process that kept it.
        """
        return now < self._refuse_until

    async def cover(self, row: journal_data.Row) -> bool:
        """Have an intent copied; tell whether it may be granted."""
        if await self._parts.promises.cover(self._tenure.lease_name) <= 0:
            return False
        self._settled = False
        self._parts.leases.mark(self._tenure.lease_name, unflushed=True)
        return await self._queue.put(row)

    async def prepare(
        self, state: shard_state.ShardState, reader: readback.RowReader
    ) -> None:
        """Gather copies before the shard is served."""
        if not await self._gather(state, reader):
            now = time.monotonic()
            self._refuse_until = now + outage.QUARANTINE_S

    async def tend(
        self, state: shard_state.ShardState, reader: readback.RowReader
    ) -> None:
        """Gather what is missing, or say that all is durable."""
        now = time.monotonic()
        if self.refuses_new(now) and await self._gather(state, reader):
            self._refuse_until = now
        if state.unflushed:
            await self._copy_again(state)
        elif not self.refuses_new(now) and not self._settled:
            await self.settle()

    async def end(self, state: shard_state.ShardState) -> bool:
        """End the ownership; tell whether the lease may be given back.

        Where it may not, the next owner must gather; the copies it will ask
        for may have been lost with their keepers, so they are sent anew.
        """
        if state.unflushed:
            await self._send(_unflushed(state))
            return False
        if self.refuses_new(time.monotonic()):
            return False
        await self.settle()
        return True

    async def settle(self) -> None:
        """Tell candidates to drop copies, then let the lease say so."""
        ask = outage_data.FlushedAsk(self._tenure.shard, self._tenure.fencing)
        for name in sorted(self._told):
            if await self._parts.copies.tell_flushed(name, ask):
                self._told.discard(name)
        self._tellings += 1
        if self._tellings > MOST_TELLINGS:
            # A keeper that is gone for good; should it come back, its copies
            # are of keys that have ended, which who gathers them drops.
            self._told.clear()
        await self._parts.copies.drop(ask)
        self._settled = not self._told
        if self._settled:
            self._parts.leases.mark(self._tenure.lease_name, unflushed=False)

    def keep_own(self, state: shard_state.ShardState) -> None:
        """Keep what is not durable when the shard is lost."""
        rows = _unflushed(state)
        if rows:
            self._parts.copies.keep_own(self._ask(rows))

    async def _copy_again(self, state: shard_state.ShardState) -> None:
        """Copy anew what a lost candidate kept.

        Otherwise the loss of this process too would leave nobody who knows
        the keys.
        """
        lost = {
            candidate.name
            for candidate in self._parts.leases.candidates(
                self._tenure.lease_name
            )
            if not self._parts.promises.is_held(
                self._tenure.lease_name, candidate
            )
        }
        if self._told and self._told <= lost:
            self._told.clear()
            await self._send(_unflushed(state))

    async def _gather(
        self, state: shard_state.ShardState, reader: readback.RowReader
    ) -> bool:
        before = self._parts.leases.before(self._tenure.lease_name)
        ask = outage_data.GatherAsk(
            self._tenure.shard,
            self._tenure.fencing,
            before.boot if before else '',
        )
        gathered = await self._parts.copies.gather(before, ask)
        for row in gathered.rows:
            if not await _is_ended(state, reader, row):
                journal_log.gathered(state, row, time.monotonic())
        if before is not None and gathered.rows:
            names = (candidate.name for candidate in before.candidates)
            self._told.update(names)
        return gathered.complete

    async def _send(self, rows: tuple[journal_data.Row, ...]) -> bool:
        name = await self._parts.copies.send(
            self._tenure.lease_name, self._ask(rows)
        )
        if name is not None:
            self._told.add(name)
        return name is not None

    def _ask(self, rows: tuple[journal_data.Row, ...]) -> outage_data.CopyAsk:
        return outage_data.CopyAsk(
            self._tenure.shard, self._tenure.fencing, rows
        )


def _unflushed(
    state: shard_state.ShardState,
) -> tuple[journal_data.Row, ...]:
    return tuple(
        state.tries[request_id].row
        for request_id in state.unflushed
        if request_id in state.tries
    )


async def _is_ended(
    state: shard_state.ShardState,
    reader: readback.RowReader,
    row: journal_data.Row,
) -> bool:
    """Tell whether another try of a copy's key has ended for good.

    Then the copy is of a try that was denied, or was flushed long ago.
    As an open try it would hide that outcome from a resend.

    Raises:
        ObjectApiError: The log can't be read now.
    """
    if journal.ends_soon(state, row):
        return True
    seq = journal.find_latest(
        state, journal_data.RowKind.OUTCOME, row.account_id, row.shard_key
    )
    if seq is None:
        return False
    found = await reader.about_key(seq, row)
    if found is None:
        raise object_data.UnavailableError(f'segment {seq}')
    first = found.row
    return first is not None and journal.is_final(first)
