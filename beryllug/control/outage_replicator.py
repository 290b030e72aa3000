"""Replication of a shard's intents while the platform is down.

There is one replicator for each ownership of a shard. It copies intents to a
lease candidate before they are granted, gathers copies before the shard is
served, and tells the candidates to drop them when all rows are durable.
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


MAX_FLUSH_NOTICES = 50


class OutageServices(NamedTuple):
    """Services for outages, shared by the shards of a process."""

    leases: lease_outage.LeaseOutage
    promises: promises.Promises
    copies: copies.Copies


class ShardOwnership(NamedTuple):
    """One ownership of a shard, identified by its fencing token."""

    lease_name: str
    shard: int
    fencing: int


class OutageReplicator:
    """Sends and gathers copies of one shard's intents."""

    def __init__(
        self, services: OutageServices, ownership: ShardOwnership
    ) -> None:
        """Initialize for one ownership of a shard.

        If the previous owner did not release the lease, it is marked as
        unflushed: any next owner has to gather copies too, until this
        process has gathered them and all rows are durable.
        """
        self._services = services
        self._ownership = ownership
        self._queue = copy_queue.CopyQueue(self._send)
        self._copy_holders: set[str] = set()
        self._refuse_new_until = float('-inf')
        self._flush_announced = False
        self._flush_notices = 0
        previous = services.leases.previous_lease(ownership.lease_name)
        if previous is not None and previous.holder:
            services.leases.mark_unflushed(ownership.lease_name, unflushed=True)

    def dump(self) -> dict[str, Any]:
        """Return the state."""
        return {
            'settled': self._flush_announced,
            'copies_at': sorted(self._copy_holders),
            'covered_s': self.valid_s(),
            'refuses_new': self.refuses_new(time.monotonic()),
        }

    def valid_s(self) -> float:
        """Return for how long it is certain that nobody takes the lease."""
        return self._services.promises.covered_s(self._ownership.lease_name)

    def refuses_new(self, now: float) -> bool:
        """Tell whether unknown keys are refused as copies may be missing.

        An unknown key may have been granted by the earlier owner, and its
        copy lost with the process that stored it.
        """
        return now < self._refuse_new_until

    async def replicate(self, row: journal_data.Row) -> bool:
        """Copy an intent to a candidate; tell whether it may be granted."""
        if (
            await self._services.promises.ensure_covered(
                self._ownership.lease_name
            )
            <= 0
        ):
            return False
        self._flush_announced = False
        self._services.leases.mark_unflushed(
            self._ownership.lease_name, unflushed=True
        )
        return await self._queue.put(row)

    async def prepare(
        self, state: shard_state.ShardState, reader: readback.RowReader
    ) -> None:
        """Gather copies before the shard is served."""
        if not await self._gather(state, reader):
            now = time.monotonic()
            self._refuse_new_until = now + outage.QUARANTINE_S

    async def maintain(
        self, state: shard_state.ShardState, reader: readback.RowReader
    ) -> None:
        """Gather missing copies, replace lost ones, or announce the flush."""
        now = time.monotonic()
        if self.refuses_new(now) and await self._gather(state, reader):
            self._refuse_new_until = now
        if state.unflushed:
            await self._replace_lost_copies(state)
        elif not self.refuses_new(now) and not self._flush_announced:
            await self.announce_flushed()

    async def end_ownership(self, state: shard_state.ShardState) -> bool:
        """End the ownership; tell whether the lease may be released.

        If not, the next owner has to gather copies. The processes that
        stored them may be gone, so unflushed intents are copied again.
        """
        if state.unflushed:
            await self._send(_unflushed_rows(state))
            return False
        if self.refuses_new(time.monotonic()):
            return False
        await self.announce_flushed()
        return True

    async def announce_flushed(self) -> None:
        """Tell candidates to drop copies, then mark the lease as flushed."""
        request = outage_data.FlushedRequest(
            self._ownership.shard, self._ownership.fencing
        )
        for name in sorted(self._copy_holders):
            if await self._services.copies.notify_flushed(name, request):
                self._copy_holders.discard(name)
        self._flush_notices += 1
        if self._flush_notices > MAX_FLUSH_NOTICES:
            # The candidate is considered gone. If it does return, its copies
            # belong to keys with a final outcome, and `_gather` skips them.
            self._copy_holders.clear()
        await self._services.copies.drop_copies(request)
        self._flush_announced = not self._copy_holders
        if self._flush_announced:
            self._services.leases.mark_unflushed(
                self._ownership.lease_name, unflushed=False
            )

    def store_unflushed(self, state: shard_state.ShardState) -> None:
        """Store the rows that are not durable when the shard is lost."""
        rows = _unflushed_rows(state)
        if rows:
            self._services.copies.store_unflushed(self._copy_request(rows))

    async def _replace_lost_copies(self, state: shard_state.ShardState) -> None:
        """Copy intents again when the candidates that stored them are lost.

        Otherwise no process would know the keys if this one failed too.
        """
        lost = {
            candidate.name
            for candidate in self._services.leases.candidates(
                self._ownership.lease_name
            )
            if not self._services.promises.is_promise_valid(
                self._ownership.lease_name, candidate
            )
        }
        if self._copy_holders and self._copy_holders <= lost:
            self._copy_holders.clear()
            await self._send(_unflushed_rows(state))

    async def _gather(
        self, state: shard_state.ShardState, reader: readback.RowReader
    ) -> bool:
        previous = self._services.leases.previous_lease(
            self._ownership.lease_name
        )
        request = outage_data.GatherRequest(
            self._ownership.shard,
            self._ownership.fencing,
            previous.boot if previous else '',
        )
        gathered = await self._services.copies.gather(previous, request)
        for row in gathered.rows:
            if not await _is_ended(state, reader, row):
                journal_log.add_gathered_intent(state, row, time.monotonic())
        if previous is not None and gathered.rows:
            names = (candidate.name for candidate in previous.candidates)
            self._copy_holders.update(names)
        return gathered.complete

    async def _send(self, rows: tuple[journal_data.Row, ...]) -> bool:
        name = await self._services.copies.send(
            self._ownership.lease_name, self._copy_request(rows)
        )
        if name is not None:
            self._copy_holders.add(name)
        return name is not None

    def _copy_request(
        self, rows: tuple[journal_data.Row, ...]
    ) -> outage_data.CopyRequest:
        return outage_data.CopyRequest(
            self._ownership.shard, self._ownership.fencing, rows
        )


def _unflushed_rows(
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
    """Tell whether another attempt of a copy's key has a final outcome.

    The copy then belongs to an attempt that was denied, or was flushed long
    ago. As an open attempt it would hide that outcome from a resend.

    Raises:
        ObjectApiError: The log can't be read at present.
    """
    if journal.pending_final_outcome(state, row):
        return True
    seq = journal.find_latest(
        state, journal_data.RowKind.OUTCOME, row.account_id, row.shard_key
    )
    if seq is None:
        return False
    found = await reader.find_deciding_row(seq, row)
    if found is None:
        raise object_data.UnavailableError(f'segment {seq} is unreadable')
    deciding_row = found.row
    return deciding_row is not None and journal.is_final(deciding_row)
