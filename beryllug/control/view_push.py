"""Exchange of configuration between control processes.

A process that watches the platform pushes each new revision to some of those
of its zone that don't, and these push it on. Beside that every process
compares with one of a few others now and then, which mends whatever a push
missed and lets a new host start from its peers while the platform is away.
"""

import asyncio
import itertools
import random
import time
from typing import Protocol

from absl import logging

from beryllug.control import config_holder, part_fetch
from beryllug.core import (
    config_state,
    document_parts,
    part_delta,
    rpc_data,
)
from beryllug.drivers import methods, rpc, rpc_peers

CALL_S = 2.0
ASKED_AT_START = 16
REPLY_BYTES = 2097152
LEAST_JITTER = 0.5


class Others(Protocol):
    """Whom to exchange with."""

    def everyone(self) -> tuple[str, ...]:
        """Return the addresses of all other control processes."""

    def partners(self) -> tuple[str, ...]:
        """Return the addresses of those to compare with."""

    def children(self) -> tuple[str, ...]:
        """Return the addresses of those to push to."""


class ViewPush:
    """Offers what this process holds to peers, and takes what they have."""

    def __init__(
        self,
        holder: config_holder.ConfigHolder,
        calls: rpc_peers.Caller,
        others: Others,
        address: str,
    ) -> None:
        """Make the exchange; `run` is its task.

        Args:
            holder: What this process holds.
            calls: Calls of peers.
            others: Whom to exchange with.
            address: Where peers reach this process.
        """
        self._holder = holder
        self._calls = calls
        self._others = others
        self._address = address
        self._random = random.Random(address)
        self._before = config_state.Held()
        self._obtaining = 0
        self._pushes: dict[str, asyncio.Task[None]] = {}

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the methods that peers call."""
        server.unary(methods.OFFER_CONFIG, self.on_offer)
        server.unary(methods.FETCH_PARTS, self.on_fetch)

    async def stop(self) -> None:
        """End pushes that are under way."""
        pushes = list(self._pushes.values())
        for task in pushes:
            task.cancel()
        await asyncio.gather(*pushes, return_exceptions=True)

    async def ask_all(self) -> None:
        """Compare with many peers at once, at the start."""
        everyone = self._others.everyone()
        asked = self._random.sample(
            everyone, min(len(everyone), ASKED_AT_START)
        )
        await asyncio.gather(*map(self.compare, asked))

    async def run(self, interval_s: float) -> None:
        """Compare with one peer after the other, without end."""
        while True:
            jitter = LEAST_JITTER + self._random.random()
            await asyncio.sleep(interval_s * jitter)
            partners = self._others.partners()
            if partners:
                await self.compare(self._random.choice(partners))

    def spread(self, before: config_state.Held) -> None:
        """Push what is held to those who get it from this process.

        Args:
            before: What was held before; peers are told the difference.
        """
        self._before = before
        for address in self._others.children():
            # A push that is under way looks again when it ends, so a slow
            # peer has one call open and never a backlog.
            if address not in self._pushes:
                task = asyncio.create_task(self._push(address))
                self._pushes[address] = task

    async def compare(self, address: str) -> bool:
        """Compare with one peer, and bring the older side up to date.

        Returns:
            Whether the peer was reached.
        """
        offer = self.offer()
        reply = await self._exchange(address, offer)
        return reply is not None

    async def on_offer(
        self, offer: rpc_data.ConfigOffer
    ) -> rpc_data.ConfigOffer:
        """Take what a peer offers if it is newer; answer with our own."""
        self._holder.heard_peer(time.monotonic())
        if offer.revision > self._holder.held.revision:
            await self._obtain(offer)
        keys = self._holder.keys
        if keys.version > offer.keys_version:
            return self.offer()._replace(keys=keys.raw)
        return self.offer()

    async def on_fetch(self, ask: rpc_data.PartsAsk) -> rpc_data.PartsReply:
        """Give a peer the parts that it lacks."""
        held = self._holder.held
        listed = document_parts.manifest(held.digests)
        known = {**held.chunks, listed.digest: listed.content}
        found: list[rpc_data.ConfigPart] = []
        size = 0
        for digest in ask.digests:
            chunk = known.get(digest)
            if chunk is not None and size < REPLY_BYTES:
                found.append(rpc_data.ConfigPart(digest, chunk))
                size += len(chunk)
        return rpc_data.PartsReply(tuple(found))

    def offer(self) -> rpc_data.ConfigOffer:
        """Tell what is held."""
        held = self._holder.held
        return rpc_data.ConfigOffer(
            self._address,
            held.revision,
            document_parts.manifest(held.digests).digest,
            keys_version=self._holder.keys.version,
        )

    def news(self) -> rpc_data.ConfigOffer:
        """Tell what is held and how it differs from what was before."""
        held = self._holder.held
        before = self._before
        change = config_state.splice(before.digests, held.digests)
        end = len(before.digests) - change.tail
        replaced = before.digests[change.head : end]
        parts = tuple(
            _part(held.chunks[digest], digest, before, base)
            for digest, base in itertools.zip_longest(change.added, replaced)
            if digest is not None
        )
        return self.offer()._replace(splice=change, parts=parts)

    async def _push(self, address: str) -> None:
        pushed = 0
        try:
            while pushed < self._holder.held.revision:
                pushed = self._holder.held.revision
                await self._exchange(address, self.news())
        finally:
            self._pushes.pop(address, None)

    async def _exchange(
        self, address: str, offer: rpc_data.ConfigOffer
    ) -> rpc_data.ConfigOffer | None:
        """Make an offer to a peer and take what its answer shows as newer."""
        try:
            reply = await self._calls.call(
                address, methods.OFFER_CONFIG, offer, CALL_S
            )
        except rpc.RpcError:
            return None
        self._holder.heard_peer(time.monotonic())
        self._holder.take_keys(reply.keys_version, reply.keys)
        if reply.revision > self._holder.held.revision:
            await self._obtain(reply)
        return reply

    async def _obtain(self, offer: rpc_data.ConfigOffer) -> None:
        """Put a peer's newer configuration together and take it."""
        if offer.revision <= self._obtaining:
            return
        self._obtaining = offer.revision
        try:
            held = self._holder.held
            offered = await part_fetch.obtain(self._calls, offer, held)
        except (rpc.RpcError, ValueError, LookupError) as exc:
            logging.warning(
                'event=config_not_obtained peer=%s revision=%d error=%s',
                offer.address,
                offer.revision,
                exc,
            )
        else:
            self._holder.take(offered, 'peer')
        finally:
            self._obtaining = 0


def _part(
    content: bytes, digest: str, before: config_state.Held, base: str | None
) -> rpc_data.ConfigPart:
    """Return a part as its difference from the one that it replaces."""
    if base is None:
        return rpc_data.ConfigPart(digest, content)
    delta = part_delta.compress(content, before.chunks[base])
    return rpc_data.ConfigPart(digest, delta, base)
