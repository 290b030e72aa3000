"""Copies of intents that control processes store for each other in an outage.

The rules are in `core.outage`. Copies do not replace the platform: they are of
rows that it can't store at the time, and are dropped once it has.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from absl import logging

from beryllug.control import candidate_calls, lease_outage
from beryllug.core import (
    journal_data,
    lease_data,
    outage,
    outage_data,
    rendezvous,
    rpc_data,
)
from beryllug.drivers import methods

COPY_S = 0.5
GATHER_S = 1.0
MAX_TRIES = 3

StopOlderOwner = Callable[[int, int], Awaitable[None]]


class GatherResult(NamedTuple):
    """The result of gathering the copies of a shard.

    Attributes:
        rows: Copies of intents.
        complete: Whether it is certain that no copy is missing.
    """

    rows: tuple[journal_data.Row, ...]
    complete: bool


class Copies:
    """Stores, sends and gathers copies of intents."""

    def __init__(
        self,
        leases: lease_outage.LeaseOutage,
        calls: candidate_calls.CandidateCalls,
        promised_to: Callable[[str], bool],
        stop_older_owner: StopOlderOwner,
    ) -> None:
        """Initialize with the leases and the peers.

        Args:
            leases: Leases of this process.
            calls: RPC client for lease candidates.
            promised_to: Tells whether this process ever gave a promise to a
                process start, given its boot id.
            stop_older_owner: Stops the local owner of a shard if it is older
                than a fencing token; its unflushed intents become copies.
        """
        self._leases = leases
        self._calls = calls
        self._promised_to = promised_to
        self._stop_older_owner = stop_older_owner
        self._stored = outage.Copies()

    def serve(self, server: candidate_calls.Server) -> None:
        """Register the RPC methods."""
        server.unary(methods.COPY, self.store_copies)
        server.unary(methods.FLUSHED, self.drop_copies)
        server.unary(methods.GATHER, self.return_copies)

    def dump(self) -> dict[int, int]:
        """Return the number of stored copies by shard."""
        return outage.copy_counts(self._stored.shards)

    async def send(
        self, lease_name: str, request: outage_data.CopyRequest
    ) -> str | None:
        """Copy rows to one candidate; return its name, or None on failure."""
        candidates = self._leases.candidates(lease_name)
        names = [candidate.name for candidate in candidates]
        for name in rendezvous.order(lease_name, names)[:MAX_TRIES]:
            reply = await self._calls.call(name, methods.COPY, request, COPY_S)
            if reply is not None and reply.kept:
                return name
        return None

    async def notify_flushed(
        self, name: str, request: outage_data.FlushedRequest
    ) -> bool:
        """Tell a candidate to drop copies; False if it did not reply."""
        reply = await self._calls.call(name, methods.FLUSHED, request, COPY_S)
        return reply is not None

    def store_unflushed(self, request: outage_data.CopyRequest) -> None:
        """Store the unflushed rows of a shard that this process has lost."""
        outage.store_copies(self._stored, request, time.monotonic())

    async def gather(
        self,
        previous: lease_data.Lease | None,
        request: outage_data.GatherRequest,
    ) -> GatherResult:
        """Gather rows of a shard that the platform may not have.

        Args:
            previous: The lease of the previous owner, None if there was none.
            request: The shard and its new owner's fencing token.
        """
        this_process = self._leases.own()
        reply = await self.return_copies(request)
        if previous is None or not outage.must_gather(
            previous, this_process, reply
        ):
            return GatherResult((), complete=True)
        names = [candidate.name for candidate in previous.candidates]
        # The earlier owner may still run and hold rows itself.
        replies = await self._ask_all({*names, previous.holder}, request)
        replies[this_process.name] = reply
        rows = _unique_rows(replies.values())
        complete = outage.is_complete(previous, replies)
        logging.warning(
            'event=copies_gathered shard=%d rows=%d complete=%s',
            request.shard,
            len(rows),
            complete,
        )
        return GatherResult(rows, complete)

    async def store_copies(
        self, request: outage_data.CopyRequest
    ) -> outage_data.CopyReply:
        """Store copies for the owner of a shard."""
        now = time.monotonic()
        outage.expire(self._stored, now)
        return outage_data.CopyReply(
            outage.store_copies(self._stored, request, now)
        )

    async def drop_copies(
        self, request: outage_data.FlushedRequest
    ) -> rpc_data.Empty:
        """Drop copies of rows that are durable now."""
        outage.drop_flushed(self._stored, request)
        return rpc_data.Empty()

    async def return_copies(
        self, request: outage_data.GatherRequest
    ) -> outage_data.GatherReply:
        """Return copies to a new owner, and stop an older local owner."""
        await self._stop_older_owner(request.shard, request.fencing)
        stored_rows = outage.gather(self._stored, request)
        return outage_data.GatherReply(
            self._leases.own().started,
            self._promised_to(request.boot),
            stored_rows,
        )

    async def _ask_all(
        self, names: set[str], request: outage_data.GatherRequest
    ) -> dict[str, outage_data.GatherReply]:
        peer_names = sorted(names - {self._leases.own().name})
        replies = await asyncio.gather(
            *(self._ask_for_copies(name, request) for name in peer_names)
        )
        pairs = zip(peer_names, replies, strict=True)
        return {name: reply for name, reply in pairs if reply is not None}

    async def _ask_for_copies(
        self, name: str, request: outage_data.GatherRequest
    ) -> outage_data.GatherReply | None:
        return await self._calls.call(name, methods.GATHER, request, GATHER_S)


def _unique_rows(
    replies: Iterable[outage_data.GatherReply],
) -> tuple[journal_data.Row, ...]:
    """Return the rows of all replies without duplicates."""
    found = {row.request_id: row for reply in replies for row in reply.rows}
    return tuple(found.values())
