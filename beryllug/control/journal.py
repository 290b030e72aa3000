"""Service 'journal': at most once, and billed once.

It takes rows of entry processes and of peers, sorts them by shard, decides
about those of shards it owns and hands the others to their owners.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple, TypeVar

from absl import logging

from beryllug.control import commit, leases, peers, shard_owner
from beryllug.core import (
    journal,
    journal_data,
    rpc_data,
    settings_data,
    shard_state,
)
from beryllug.drivers import methods, object_api, rpc

LEASE_PREFIX = 'journal/'
MAX_HOPS = 2
CALL_S = 4.0

Reply = TypeVar('Reply')


class Parts(NamedTuple):
    """The services that the journal works with."""

    api: object_api.ObjectApi
    leases: leases.Leases
    peers: peers.Caller


class Journal:
    """The request journal of one control process."""

    def __init__(
        self, parts: Parts, cfg: settings_data.Control, boot: str
    ) -> None:
        """Make the service.

        Args:
            parts: Services it works with.
            cfg: Settings.
            boot: Random id of this process start.
        """
        self._parts = parts
        self._cfg = cfg
        self._boot = boot
        self._owners: dict[int, shard_owner.ShardOwner] = {}

    def serve(self, server: rpc.RpcServer) -> None:
        """Add the journal's methods to the server of this process."""
        server.unary(methods.BEGIN, self.begin)
        server.unary(methods.FINISH, self.finish)
        server.unary(methods.LOOKUP, self.lookup)

    async def start(self) -> None:
        """Want the lease of every shard."""
        for shard in range(self._cfg.shards):
            self._parts.leases.want(lease_name(shard), self._on_lease)

    async def stop(self, grace_s: float) -> None:
        """Make pending rows durable; the leases are given back after."""
        owners = list(self._owners.values())
        await asyncio.gather(*(owner.flush(grace_s) for owner in owners))
        for owner in owners:
            await owner.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of every owned shard."""
        return {
            str(shard): owner.dump() for shard, owner in self._owners.items()
        }

    async def begin(self, batch: rpc_data.IntentBatch) -> rpc_data.GrantBatch:
        """Make intents durable and grant their dispatch."""
        grants = await self._by_shard(
            batch.rows,
            lambda shard, rows: self._begin_in(shard, rows, batch.hops),
        )
        return rpc_data.GrantBatch(grants)

    async def finish(self, batch: rpc_data.OutcomeBatch) -> rpc_data.Ack:
        """Make outcomes durable."""
        durable = await self._by_shard(
            batch.rows,
            lambda shard, rows: self._finish_in(shard, rows, batch.hops),
        )
        return rpc_data.Ack(durable)

    async def lookup(self, ask: rpc_data.LookupAsk) -> rpc_data.LookupReply:
        """Return the latest row of a kind under a key."""
        shard = self._shard_of(ask.account_id, ask.shard_key)
        owner = self._owners.get(shard)
        if owner is not None:
            return await owner.lookup(ask)
        forwarded = ask._replace(hops=ask.hops + 1)
        reply = await self._forward(
            shard, methods.LOOKUP, forwarded, forwarded.hops
        )
        return reply or rpc_data.LookupReply(None, available=False)

    async def _by_shard(
        self,
        rows: Sequence[journal_data.Row],
        handle: Callable[
            [int, Sequence[journal_data.Row]], Awaitable[Sequence[Reply]]
        ],
    ) -> tuple[Reply, ...]:
        """Handle the rows of each shard together; replies in their order."""
        groups: dict[int, list[int]] = {}
        for place, row in enumerate(rows):
            shard = self._shard_of(row.account_id, row.shard_key)
            groups.setdefault(shard, []).append(place)
        handled = (
            handle(shard, [rows[index] for index in places])
            for shard, places in groups.items()
        )
        ordered: dict[int, Reply] = {}
        replies = await asyncio.gather(*handled)
        for indexes, group in zip(groups.values(), replies, strict=True):
            ordered.update(zip(indexes, group, strict=True))
        return tuple(ordered[index] for index in range(len(rows)))

    async def _begin_in(
        self, shard: int, rows: Sequence[journal_data.Row], hops: int
    ) -> Sequence[journal_data.Grant]:
        owner = self._owners.get(shard)
        if owner is not None:
            return await asyncio.gather(*map(owner.begin, rows))
        batch = rpc_data.IntentBatch(tuple(rows), hops + 1)
        reply = await self._forward(shard, methods.BEGIN, batch, batch.hops)
        if reply is None:
            return [journal.unavailable(row) for row in rows]
        return reply.grants

    async def _finish_in(
        self, shard: int, rows: Sequence[journal_data.Row], hops: int
    ) -> Sequence[bool]:
        owner = self._owners.get(shard)
        if owner is not None:
            return await asyncio.gather(*map(owner.finish, rows))
        batch = rpc_data.OutcomeBatch(tuple(rows), hops + 1)
        reply = await self._forward(shard, methods.FINISH, batch, batch.hops)
        return [False for _ in rows] if reply is None else reply.durable

    async def _forward(
        self,
        shard: int,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        hops: int,
    ) -> rpc.Reply | None:
        """Hand a message to the shard's owner; None when that fails.

        Two processes that each believe the other to be the owner would pass
        a message on for ever: it carries its hops, and their number ends it.
        """
        if hops > MAX_HOPS:
            return None
        name = lease_name(shard)
        owner = await self._parts.leases.owner_of(name)
        if owner is None or owner.address in {'', self._cfg.listen}:
            await self._parts.leases.owner_of(name, fresh=True)
            return None
        try:
            return await self._parts.peers.call(
                owner.address, method, ask, CALL_S
            )
        except rpc.RpcError as exc:
            logging.warning(
                'event=forward_failed shard=%d owner=%s error=%s',
                shard,
                owner.holder,
                exc,
            )
        await self._parts.leases.owner_of(name, fresh=True)
        return None

    def _shard_of(self, account_id: str, shard_key: str) -> int:
        return shard_state.shard_of(account_id, shard_key, self._cfg.shards)

    async def _on_lease(self, name: str, fencing: int) -> None:
        shard = int(name.removeprefix(LEASE_PREFIX))
        owner = self._owners.pop(shard, None)
        if owner is not None:
            await owner.stop()
        if fencing:
            self._own(shard, fencing)

    def _own(self, shard: int, fencing: int) -> None:
        owner = shard_owner.ShardOwner(
            self._parts.api,
            commit.OwnerCfg(
                shard, fencing, self._boot, self._cfg.commits_per_s
            ),
            lambda: self._valid_s(shard, fencing),
        )
        self._owners[shard] = owner
        owner.start()

    def _valid_s(self, shard: int, fencing: int) -> float:
        now = time.monotonic()
        token = self._parts.leases.held(lease_name(shard), now)
        if token is None or token.fencing != fencing:
            return 0
        return token.valid_until - now


def lease_name(shard: int) -> str:
    """Return the name of a shard's lease."""
    return f'{LEASE_PREFIX}{shard}'
