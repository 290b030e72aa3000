"""Copies of intents that the platform does not have, kept for each other.

The rules stand in `core.outage`. Nothing here replaces the platform: copies
are of rows that it can't take at the time, and are dropped when it has.
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

Surrender = Callable[[int, int], Awaitable[None]]


class Gathered(NamedTuple):
    """What a new owner got.

    Attributes:
        rows: Copies of intents.
        complete: Whether no copy can be missing.
    """

    rows: tuple[journal_data.Row, ...]
    complete: bool


class Copies:
    """Copies that this process keeps, sends and gathers."""

    def __init__(
        self,
        leases: lease_outage.LeaseOutage,
        calls: candidate_calls.CandidateCalls,
        promised_to: Callable[[str], bool],
        surrender: Surrender,
    ) -> None:
        """Bind to the leases and the peers.

        Args:
            leases: This process's leases.
            calls: Calls to candidates.
            promised_to: Whether this process ever promised to a boot.
            surrender: Ends the owner of a shard here that is older than a
                fencing token; its unflushed intents become copies.
        """
        self._leases = leases
        self._calls = calls
        self._promised_to = promised_to
        self._surrender = surrender
        self._kept = outage.Copies()

    def serve(self, server: candidate_calls.Server) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.COPY, self.copy)
        server.unary(methods.FLUSHED, self.drop)
        server.unary(methods.GATHER, self.answer)

    def dump(self) -> dict[int, int]:
        """Return the number of kept copies by shard."""
        return outage.unclaimed(self._kept.shards)

    async def send(
        self, lease_name: str, ask: outage_data.CopyAsk
    ) -> str | None:
        """Have a candidate keep copies; return its name, or None."""
        candidates = self._leases.candidates(lease_name)
        names = [candidate.name for candidate in candidates]
        for name in rendezvous.order(lease_name, names)[:MAX_TRIES]:
            reply = await self._calls.call(name, methods.COPY, ask, COPY_S)
            if reply is not None and reply.kept:
                return name
        return None

    async def tell_flushed(
        self, name: str, ask: outage_data.FlushedAsk
    ) -> bool:
        """Tell a candidate to drop copies; False when it did not answer."""
        reply = await self._calls.call(name, methods.FLUSHED, ask, COPY_S)
        return reply is not None

    def keep_own(self, ask: outage_data.CopyAsk) -> None:
        """Keep rows of a shard that this process has lost."""
        outage.keep(self._kept, ask, time.monotonic())

    async def gather(
        self, before: lease_data.Lease | None, ask: outage_data.GatherAsk
    ) -> Gathered:
        """Gather what the platform may not have of a shard.

        Args:
            before: The lease as it was taken.
            ask: The shard and its new owner's token.
        """
        own = self._leases.own()
        reply = await self.answer(ask)
        if before is None or not outage.must_gather(before, own, reply):
            return Gathered((), complete=True)
        names = [candidate.name for candidate in before.candidates]
        # The earlier owner may live, and hold rows itself.
        replies = await self._ask_all({*names, before.holder}, ask)
        replies[own.name] = reply
        rows = _rows(replies.values())
        complete = outage.is_complete(before, replies)
        logging.warning(
            'event=copies_gathered shard=%d rows=%d complete=%s',
            ask.shard,
            len(rows),
            complete,
        )
        return Gathered(rows, complete)

    async def copy(self, ask: outage_data.CopyAsk) -> outage_data.CopyReply:
        """Keep copies for the owner of a shard."""
        now = time.monotonic()
        outage.expire(self._kept, now)
        return outage_data.CopyReply(outage.keep(self._kept, ask, now))

    async def drop(self, ask: outage_data.FlushedAsk) -> rpc_data.Empty:
        """Drop copies that are durable now."""
        outage.flushed(self._kept, ask)
        return rpc_data.Empty()

    async def answer(
        self, ask: outage_data.GatherAsk
    ) -> outage_data.GatherReply:
        """Answer a new owner, and act as an earlier one no longer."""
        await self._surrender(ask.shard, ask.fencing)
        kept = outage.gather(self._kept, ask)
        return outage_data.GatherReply(
            self._leases.own().started,
            self._promised_to(ask.boot),
            kept,
        )

    async def _ask_all(
        self, names: set[str], ask: outage_data.GatherAsk
    ) -> dict[str, outage_data.GatherReply]:
        others = sorted(names - {self._leases.own().name})
        replies = await asyncio.gather(
            *(self._ask_for_copies(name, ask) for name in others)
        )
        pairs = zip(others, replies, strict=True)
        return {name: reply for name, reply in pairs if reply is not None}

    async def _ask_for_copies(
        self, name: str, ask: outage_data.GatherAsk
    ) -> outage_data.GatherReply | None:
        return await self._calls.call(name, methods.GATHER, ask, GATHER_S)


def _rows(
    replies: Iterable[outage_data.GatherReply],
) -> tuple[journal_data.Row, ...]:
    """Return the rows of all replies, each once."""
    found = {row.request_id: row for reply in replies for row in reply.rows}
    return tuple(found.values())
