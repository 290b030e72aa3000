"""The shards of the journal: those owned here, and the way to the others."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Generic, NamedTuple, TypeVar

from absl import logging

from beryllug.control import (
    candidate_calls,
    commit,
    copies,
    leases,
    promises,
    shard_cover,
    shard_owner,
)
from beryllug.core import settings_data
from beryllug.drivers import object_api, rpc, rpc_peers

LEASE_PREFIX = 'journal/'
MAX_HOPS = 2
CALL_S = 3.0
# Seconds for which a message waits for a shard that is handed over: a flush
# and the return of a lease take that long on a slow platform.
HAND_OVER_S = 2.5
RETRY_S = 0.05
# gRPC gives one status to a connection that was refused and to one that broke
# in the middle of a call; only its text tells them apart.
NOT_REACHED = 'failed to connect'

Ask = TypeVar('Ask')
Reply = TypeVar('Reply')


class Parts(NamedTuple):
    """The services that the journal works with."""

    api: object_api.ObjectApi
    leases: leases.Leases
    peers: rpc_peers.Caller


class Routed(NamedTuple, Generic[Ask, Reply]):
    """A message that is passed on to a shard's owner.

    Attributes:
        method: The method to pass it on by.
        ask: The message.
        hops: Processes that it will have reached so.
        is_missed: Tells a reply of a process that does not own the shard;
            None where such a process waits for the owner itself.
    """

    method: rpc.Method[Ask, Reply]
    ask: Ask
    hops: int
    is_missed: Callable[[Reply], bool] | None = None


@dataclass(frozen=True, slots=True)
class Lost:
    """No owner answered.

    Attributes:
        doubtful: Whether one may have taken the message all the same.
    """

    doubtful: bool


class Shards:
    """Owners of the shards whose leases this process holds.

    Attributes:
        owners: They by shard.
    """

    def __init__(
        self, parts: Parts, cfg: settings_data.Control, boot: str
    ) -> None:
        """Make the table; it owns nothing before `start`."""
        self._parts = parts
        self._cfg = cfg
        self._boot = boot
        self._stopping = False
        self._unflushed: set[int] = set()
        self._ending: dict[int, shard_owner.ShardOwner] = {}
        self.owners: dict[int, shard_owner.ShardOwner] = {}
        calls = candidate_calls.CandidateCalls(parts.leases.outage, parts.peers)
        given = promises.Promises(parts.api, parts.leases.outage, calls, boot)
        kept = copies.Copies(
            parts.leases.outage, calls, given.given_to, self.surrender
        )
        self._outage = shard_cover.OutageParts(parts.leases.outage, given, kept)

    def serve(self, server: candidate_calls.Server) -> None:
        """Add the methods for outages to the server of this process."""
        self._outage.promises.serve(server)
        self._outage.copies.serve(server)

    def start(self) -> None:
        """Want the lease of every shard."""
        for shard in range(self._cfg.shards):
            self._parts.leases.want(lease_name(shard), self)
        self._outage.promises.start()

    async def stop(self, grace_s: float) -> None:
        """Make pending rows durable; the leases are given back after."""
        self._stopping = True
        await self._outage.promises.stop()
        shards = list(self.owners)
        await asyncio.gather(*(self._end(shard, grace_s) for shard in shards))

    def dump(self) -> dict[str, Any]:
        """Return the state of every owned shard."""
        return {
            str(shard): owner.dump() for shard, owner in self.owners.items()
        }

    def dump_outage(self) -> dict[str, Any]:
        """Return promises and copies."""
        return {
            'promises_s': self._outage.promises.dump(),
            'copies': self._outage.copies.dump(),
        }

    async def on_lease(self, name: str, fencing: int) -> None:
        """Begin or end to own a shard."""
        shard = shard_of_lease(name)
        owner = self.owners.pop(shard, None)
        if owner is not None:
            await owner.stop()
        if fencing:
            self._own(shard, fencing)

    async def before_release(self, name: str) -> bool:
        """Make the rows of a shard durable that is to be handed over."""
        shard = shard_of_lease(name)
        owner = self.owners.get(shard)
        if owner is not None and not owner.may_end():
            return False
        if await self._end(shard, self._cfg.drain_s):
            return True
        if owner is not None and not self._stopping:
            # The lease stays here, so the shard goes on being served.
            self._own(shard, owner.fencing)
        return False

    async def surrender(self, shard: int, fencing: int) -> None:
        """End an owner that is older than a fencing token."""
        for table in (self.owners, self._ending):
            owner = table.get(shard)
            if owner is not None and owner.fencing < fencing:
                table.pop(shard)
                await owner.stop()

    async def route(
        self,
        shard: int,
        routed: Routed[Ask, Reply],
        local: Callable[[shard_owner.ShardOwner], Awaitable[Reply]],
    ) -> Reply | Lost:
        """Hand a message to the shard's owner.

        Two processes that each believe the other to be the owner would pass
        a message on for ever: it carries its hops, and their number ends it.
        A message may reach owners twice; they know its rows by their ids.
        While a shard is handed over, a short wait spares a refusal. Only the
        first process waits for a message that says so: one that was passed
        it and does not own the shard answers at once, and the first asks for
        the owner anew. Waiting there, on a host that stops, an intent was
        refused although the next owner was in place.

        Returns:
            The owner's reply, or that there was none.
        """
        doubtful = False
        is_missed = routed.is_missed or _is_no_miss
        wait_s = HAND_OVER_S
        if routed.is_missed and routed.hops > 1:
            wait_s = 0
        deadline = time.monotonic() + wait_s
        while True:
            owner = self.owners.get(shard)
            if owner is not None:
                return await local(owner)
            reply = await self._forward(shard, routed)
            if isinstance(reply, Lost):
                doubtful = doubtful or reply.doubtful
            elif not is_missed(reply):
                return reply
            if time.monotonic() >= deadline:
                break
            await asyncio.sleep(RETRY_S)
            await self._parts.leases.owner_of(lease_name(shard), fresh=True)
        if wait_s:
            logging.warning('event=shard_unreachable shard=%d', shard)
        return Lost(doubtful)

    async def _end(self, shard: int, grace_s: float) -> bool:
        """Flush a shard; what comes from now on waits for its next owner."""
        owner = self.owners.pop(shard, None)
        if owner is None:
            return shard not in self._unflushed
        # A new owner that gathers meanwhile must find what it holds.
        self._ending[shard] = owner
        flushed = await owner.flush(grace_s)
        await owner.stop()
        self._ending.pop(shard, None)
        if not flushed:
            self._unflushed.add(shard)
        return flushed

    async def _forward(
        self, shard: int, routed: Routed[Ask, Reply]
    ) -> Reply | Lost:
        owner = await self._parts.leases.owner_of(lease_name(shard))
        address = owner.address if owner else ''
        if address in {'', self._cfg.listen} or routed.hops > MAX_HOPS:
            return Lost(doubtful=False)
        try:
            return await self._parts.peers.call(
                address, routed.method, routed.ask, CALL_S
            )
        except rpc.RpcError as exc:
            return Lost(doubtful=NOT_REACHED not in str(exc))

    def _own(self, shard: int, fencing: int) -> None:
        self._unflushed.discard(shard)
        owner = shard_owner.ShardOwner(
            self._parts.api,
            commit.OwnerCfg(
                shard,
                fencing,
                self._boot,
                self._cfg.commits_per_s,
                self._cfg.retention_s,
            ),
            lambda: self._valid_s(shard, fencing),
            shard_cover.ShardCover(
                self._outage,
                shard_cover.Tenure(lease_name(shard), shard, fencing),
            ),
        )
        self.owners[shard] = owner
        owner.start()

    def _valid_s(self, shard: int, fencing: int) -> float:
        now = time.monotonic()
        token = self._parts.leases.held(lease_name(shard), now)
        if token is None or token.fencing != fencing:
            return 0
        return token.valid_until - now


def _is_no_miss(reply: object) -> bool:
    return False


def lease_name(shard: int) -> str:
    """Return the name of a shard's lease."""
    return f'{LEASE_PREFIX}{shard}'


def shard_of_lease(name: str) -> int:
    """Return the shard that a lease is for."""
    return int(name.removeprefix(LEASE_PREFIX))
