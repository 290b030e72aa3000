"""Owners of the local journal shards, and routing to remote ones."""

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
    outage_replicator,
    shard_owner,
)
from beryllug.core import settings_data
from beryllug.drivers import object_api, rpc, rpc_peers

LEASE_PREFIX = 'journal/'
MAX_HOPS = 2
CALL_S = 3.0
# Seconds for which a message waits while its shard is handed over: on a slow
# platform the flush and the release of the lease take that long.
HANDOVER_WAIT_S = 2.5
RETRY_S = 0.05
# gRPC reports the same status for a refused connection and for one that broke
# during a call; only the error text distinguishes them.
NOT_CONNECTED_TEXT = 'failed to connect'

Ask = TypeVar('Ask')
Reply = TypeVar('Reply')


class JournalServices(NamedTuple):
    """Services that the journal depends on."""

    api: object_api.ObjectApi
    leases: leases.Leases
    peers: rpc_peers.PeerCaller


class RoutedMessage(NamedTuple, Generic[Ask, Reply]):
    """A message to be forwarded to the owner of a shard.

    Attributes:
        method: The RPC method to forward it with.
        ask: The message.
        hops: Number of processes it has reached once it is forwarded.
        is_not_owner: Tells whether a reply comes from a process that does not
            own the shard; None where such a process waits for the owner
            itself.
    """

    method: rpc.Method[Ask, Reply]
    ask: Ask
    hops: int
    is_not_owner: Callable[[Reply], bool] | None = None


@dataclass(frozen=True, slots=True)
class NoOwnerReply:
    """No owner replied.

    Attributes:
        doubtful: Whether an owner may have processed the message anyway.
    """

    doubtful: bool


class Shards:
    """Owners of the shards whose leases this process holds.

    Attributes:
        owners: The owners by shard.
    """

    def __init__(
        self, parts: JournalServices, cfg: settings_data.Control, boot: str
    ) -> None:
        """Initialize without any shard; `start` requests the leases."""
        self._parts = parts
        self._cfg = cfg
        self._boot = boot
        self._stopping = False
        self._unflushed: set[int] = set()
        self._stopping_owners: dict[int, shard_owner.ShardOwner] = {}
        self.owners: dict[int, shard_owner.ShardOwner] = {}
        calls = candidate_calls.CandidateCalls(parts.leases.outage, parts.peers)
        lease_promises = promises.Promises(
            parts.api, parts.leases.outage, calls, boot
        )
        intent_copies = copies.Copies(
            parts.leases.outage,
            calls,
            lease_promises.has_promised_to,
            self.stop_older_owner,
        )
        self._outage = outage_replicator.OutageServices(
            parts.leases.outage, lease_promises, intent_copies
        )

    def serve(self, server: candidate_calls.Server) -> None:
        """Register the RPC methods used during platform outages."""
        self._outage.promises.serve(server)
        self._outage.copies.serve(server)

    def start(self) -> None:
        """Start to acquire the lease of every shard."""
        for shard in range(self._cfg.shards):
            self._parts.leases.keep_acquiring(lease_name(shard), self)
        self._outage.promises.start()

    async def stop(self, grace_s: float) -> None:
        """Make pending rows durable; the leases are released afterwards."""
        self._stopping = True
        await self._outage.promises.stop()
        shards = list(self.owners)
        await asyncio.gather(
            *(self._flush_and_stop(shard, grace_s) for shard in shards)
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of every owned shard."""
        return {
            str(shard): owner.dump() for shard, owner in self.owners.items()
        }

    def dump_outage(self) -> dict[str, Any]:
        """Return the state of lease promises and intent copies."""
        return {
            'promises_s': self._outage.promises.dump(),
            'copies': self._outage.copies.dump(),
        }

    async def on_lease(self, name: str, fencing: int) -> None:
        """Start or stop the owner of a shard when its lease changes."""
        shard = shard_of_lease(name)
        owner = self.owners.pop(shard, None)
        if owner is not None:
            await owner.stop()
        if fencing:
            self._start_owner(shard, fencing)

    async def before_release(self, name: str) -> bool:
        """Flush a shard before its lease is released.

        Returns:
            Whether the lease may be released.
        """
        shard = shard_of_lease(name)
        owner = self.owners.get(shard)
        if owner is not None and not owner.can_hand_over():
            return False
        if await self._flush_and_stop(shard, self._cfg.drain_s):
            return True
        if owner is not None and not self._stopping:
            # This process keeps the lease, so it must go on serving the shard.
            self._start_owner(shard, owner.fencing)
        return False

    async def stop_older_owner(self, shard: int, fencing: int) -> None:
        """Stop the local owner if its fencing token is older."""
        for table in (self.owners, self._stopping_owners):
            owner = table.get(shard)
            if owner is not None and owner.fencing < fencing:
                table.pop(shard)
                await owner.stop()

    async def route(
        self,
        shard: int,
        routed: RoutedMessage[Ask, Reply],
        local: Callable[[shard_owner.ShardOwner], Awaitable[Reply]],
    ) -> Reply | NoOwnerReply:
        """Process a message at the shard's owner, local or remote.

        Two processes that each take the other for the owner would forward a
        message forever, so the hop count of a message is limited. A message
        may reach owners twice; they deduplicate its rows by their ids.

        While a shard is handed over, the message is retried for a short time
        instead of being refused. If it has an `is_not_owner` check, only the
        first process waits: a process that it was forwarded to and that does
        not own the shard replies at once, and the first process looks the
        owner up again. When the forwarded message waited on a host that was
        stopping, an intent was refused although the next owner was in place.

        Returns:
            The owner's reply, or `NoOwnerReply` if no owner replied.
        """
        doubtful = False
        is_not_owner = routed.is_not_owner or _always_false
        wait_s = HANDOVER_WAIT_S
        if routed.is_not_owner and routed.hops > 1:
            wait_s = 0
        deadline = time.monotonic() + wait_s
        while True:
            owner = self.owners.get(shard)
            if owner is not None:
                return await local(owner)
            reply = await self._forward(shard, routed)
            if isinstance(reply, NoOwnerReply):
                doubtful = doubtful or reply.doubtful
            elif not is_not_owner(reply):
                return reply
            if time.monotonic() >= deadline:
                break
            await asyncio.sleep(RETRY_S)
            await self._parts.leases.owner_of(lease_name(shard), fresh=True)
        if wait_s:
            logging.warning('event=shard_unreachable shard=%d', shard)
        return NoOwnerReply(doubtful)

    async def _flush_and_stop(self, shard: int, grace_s: float) -> bool:
        """Flush a shard and stop its owner; new messages wait for the next."""
        owner = self.owners.pop(shard, None)
        if owner is None:
            return shard not in self._unflushed
        # A new owner that gathers copies meanwhile needs the rows it holds.
        self._stopping_owners[shard] = owner
        flushed = await owner.flush(grace_s)
        await owner.stop()
        self._stopping_owners.pop(shard, None)
        if not flushed:
            self._unflushed.add(shard)
        return flushed

    async def _forward(
        self, shard: int, routed: RoutedMessage[Ask, Reply]
    ) -> Reply | NoOwnerReply:
        owner = await self._parts.leases.owner_of(lease_name(shard))
        address = owner.address if owner else ''
        if address in {'', self._cfg.listen} or routed.hops > MAX_HOPS:
            return NoOwnerReply(doubtful=False)
        try:
            return await self._parts.peers.call(
                address, routed.method, routed.ask, CALL_S
            )
        except rpc.RpcError as exc:
            return NoOwnerReply(doubtful=NOT_CONNECTED_TEXT not in str(exc))

    def _start_owner(self, shard: int, fencing: int) -> None:
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
            outage_replicator.OutageReplicator(
                self._outage,
                outage_replicator.ShardOwnership(
                    lease_name(shard), shard, fencing
                ),
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


def _always_false(reply: object) -> bool:
    return False


def lease_name(shard: int) -> str:
    """Return the name of a shard's lease."""
    return f'{LEASE_PREFIX}{shard}'


def shard_of_lease(name: str) -> int:
    """Return the shard of a lease name."""
    return int(name.removeprefix(LEASE_PREFIX))
