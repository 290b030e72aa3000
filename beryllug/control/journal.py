"""Service 'journal': at-most-once execution, and billing exactly once.

It receives rows from entry processes and from peers, groups them by shard,
processes the rows of shards it owns and forwards the others to their owners.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, TypeVar

from beryllug.control import candidate_calls, images, shard_owner, shards
from beryllug.core import (
    journal,
    journal_data,
    rpc_data,
    settings_data,
    shard_state,
    usage_data,
)
from beryllug.drivers import methods

JournalServices = shards.JournalServices
Reply = TypeVar('Reply')


class Journal:
    """The request journal of one control process."""

    def __init__(
        self,
        parts: shards.JournalServices,
        cfg: settings_data.Control,
        boot: str,
    ) -> None:
        """Initialize the service.

        Args:
            parts: Services it depends on.
            cfg: Settings.
            boot: Random id of this process start.
        """
        self._api = parts.api
        self._count = cfg.shards
        self._shards = shards.Shards(parts, cfg, boot)

    def serve(self, server: candidate_calls.Server) -> None:
        """Register the RPC methods of the journal."""
        server.unary(methods.BEGIN, self.begin)
        server.unary(methods.FINISH, self.finish)
        server.unary(methods.LOOKUP, self.lookup)
        self._shards.serve(server)

    async def start(self) -> None:
        """Start to acquire the lease of every shard."""
        self._shards.start()

    async def stop(self, grace_s: float) -> None:
        """Make pending rows durable; the leases are released afterwards."""
        await self._shards.stop(grace_s)

    def dump(self) -> dict[str, Any]:
        """Return the state of every owned shard."""
        return {**self._shards.dump(), 'outage': self._shards.dump_outage()}

    async def begin(self, batch: rpc_data.IntentBatch) -> rpc_data.GrantBatch:
        """Make intents durable and grant their dispatch."""
        grants = await self._by_shard(
            batch.rows,
            lambda shard, rows: self._begin_in_shard(shard, rows, batch.hops),
        )
        return rpc_data.GrantBatch(grants)

    async def finish(self, batch: rpc_data.OutcomeBatch) -> rpc_data.Ack:
        """Make outcomes durable."""
        durable = await self._by_shard(
            batch.rows,
            lambda shard, rows: self._finish_in_shard(shard, rows, batch.hops),
        )
        return rpc_data.Ack(durable)

    async def lookup(
        self, request: rpc_data.LookupRequest
    ) -> rpc_data.LookupReply:
        """Return the latest row of a kind for a key."""
        shard = self._shard_of(request.account_id, request.shard_key)
        forwarded = request._replace(hops=request.hops + 1)
        reply = await self._shards.route(
            shard,
            shards.RoutedMessage(methods.LOOKUP, forwarded, forwarded.hops),
            lambda owner: owner.lookup(request),
        )
        if isinstance(reply, shards.NoOwnerReply):
            return rpc_data.LookupReply(None, available=False)
        return reply

    def owners(self) -> Mapping[int, shard_owner.ShardOwner]:
        """Return the owners of the shards that this process owns."""
        return self._shards.owners

    async def usage(self) -> usage_data.Usage:
        """Return the usage of all accounts, each request counted once.

        Raises:
            ObjectApiError: The platform failed.
        """
        return await images.usage_report(self._api, self._count)

    async def _by_shard(
        self,
        rows: Sequence[journal_data.Row],
        handle: Callable[
            [int, Sequence[journal_data.Row]], Awaitable[Sequence[Reply]]
        ],
    ) -> tuple[Reply, ...]:
        """Process rows grouped by shard; return replies in row order."""
        groups: dict[int, list[int]] = {}
        for position, row in enumerate(rows):
            shard = self._shard_of(row.account_id, row.shard_key)
            groups.setdefault(shard, []).append(position)
        if len(groups) == 1:
            return tuple(await handle(next(iter(groups)), rows))
        handled = (
            handle(shard, [rows[index] for index in positions])
            for shard, positions in groups.items()
        )
        ordered: dict[int, Reply] = {}
        replies = await asyncio.gather(*handled)
        for indexes, group in zip(groups.values(), replies, strict=True):
            ordered.update(zip(indexes, group, strict=True))
        return tuple(ordered[index] for index in range(len(rows)))

    async def _begin_in_shard(
        self, shard: int, rows: Sequence[journal_data.Row], hops: int
    ) -> Sequence[journal_data.Grant]:
        batch = rpc_data.IntentBatch(tuple(rows), hops + 1)
        reply = await self._shards.route(
            shard,
            shards.RoutedMessage(
                methods.BEGIN, batch, batch.hops, _is_not_owner
            ),
            lambda owner: _begin_with_owner(owner, rows),
        )
        if isinstance(reply, shards.NoOwnerReply):
            return [_unavailable_grant(row, reply, hops) for row in rows]
        return reply.grants

    async def _finish_in_shard(
        self, shard: int, rows: Sequence[journal_data.Row], hops: int
    ) -> Sequence[bool]:
        batch = rpc_data.OutcomeBatch(tuple(rows), hops + 1)
        reply = await self._shards.route(
            shard,
            shards.RoutedMessage(methods.FINISH, batch, batch.hops),
            lambda owner: _finish_with_owner(owner, rows),
        )
        if isinstance(reply, shards.NoOwnerReply):
            return [False for _ in rows]
        return reply.durable

    def _shard_of(self, account_id: str, shard_key: str) -> int:
        return shard_state.shard_of(account_id, shard_key, self._count)


def _unavailable_grant(
    row: journal_data.Row, lost: shards.NoOwnerReply, hops: int
) -> journal_data.Grant:
    return journal.unavailable(row)._replace(
        doubtful=lost.doubtful, is_owner=not hops
    )


def _is_not_owner(reply: rpc_data.GrantBatch) -> bool:
    return not any(grant.is_owner or grant.doubtful for grant in reply.grants)


async def _process_concurrently(
    handle: Callable[[journal_data.Row], Awaitable[Reply]],
    rows: Sequence[journal_data.Row],
) -> Sequence[Reply]:
    """Process rows concurrently; a single row needs no extra task."""
    if len(rows) == 1:
        return [await handle(rows[0])]
    return await asyncio.gather(*map(handle, rows))


async def _begin_with_owner(
    owner: shard_owner.ShardOwner, rows: Sequence[journal_data.Row]
) -> rpc_data.GrantBatch:
    grants = await _process_concurrently(owner.begin, rows)
    return rpc_data.GrantBatch(tuple(grants))


async def _finish_with_owner(
    owner: shard_owner.ShardOwner, rows: Sequence[journal_data.Row]
) -> rpc_data.Ack:
    durable = await _process_concurrently(owner.finish, rows)
    return rpc_data.Ack(tuple(durable))
