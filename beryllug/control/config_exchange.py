"""Exchange of configuration between control processes.

A process that watches the platform pushes each new revision to some processes
of its zone that don't watch, and these forward it. In addition every process
periodically compares revisions with one of a few others. This makes up for
missed pushes and lets a new host start from its peers during an outage of the
platform.
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

CALL_TIMEOUT_S = 2.0
START_SAMPLE_SIZE = 16
REPLY_BYTES = 2097152
MIN_JITTER = 0.5


class Others(Protocol):
    """Selection of the peers to exchange with."""

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all other control processes."""

    def gossip_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the peers to compare with."""

    def push_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the peers to push to."""


class ConfigExchange:
    """Offers this process's configuration to peers and accepts newer ones."""

    def __init__(
        self,
        holder: config_holder.ConfigHolder,
        calls: rpc_peers.PeerCaller,
        others: Others,
        address: str,
    ) -> None:
        """Create the exchange; `run` is its task.

        Args:
            holder: The current configuration of this process.
            calls: RPC client for peers.
            others: Selection of the peers to exchange with.
            address: Address by which peers reach this process.
        """
        self._holder = holder
        self._calls = calls
        self._others = others
        self._address = address
        self._random = random.Random(address)
        self._previous = config_state.ProcessConfig()
        self._obtaining_revision = 0
        self._pushes: dict[str, asyncio.Task[None]] = {}

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the methods that peers call."""
        server.unary(methods.OFFER_CONFIG, self.on_offer)
        server.unary(methods.FETCH_PARTS, self.on_fetch)

    async def stop(self) -> None:
        """Cancel pushes in progress."""
        pushes = list(self._pushes.values())
        for task in pushes:
            task.cancel()
        await asyncio.gather(*pushes, return_exceptions=True)

    async def compare_with_sample(self) -> None:
        """Compare with many peers concurrently, at the start."""
        everyone = self._others.all_addresses()
        sampled = self._random.sample(
            everyone, min(len(everyone), START_SAMPLE_SIZE)
        )
        await asyncio.gather(*map(self.compare, sampled))

    async def run(self, interval_s: float) -> None:
        """Compare with a random peer periodically, without end."""
        while True:
            jitter = MIN_JITTER + self._random.random()
            await asyncio.sleep(interval_s * jitter)
            partners = self._others.gossip_addresses()
            if partners:
                await self.compare(self._random.choice(partners))

    def push_to_children(self, before: config_state.ProcessConfig) -> None:
        """Push the current configuration to this process's children.

        Args:
            before: The previous configuration; pushes contain the difference.
        """
        self._previous = before
        for address in self._others.push_addresses():
            # A push in progress checks for a newer revision when its call
            # ends, so a slow peer has one open call and no backlog.
            if address not in self._pushes:
                task = asyncio.create_task(self._push(address))
                self._pushes[address] = task

    async def compare(self, address: str) -> bool:
        """Compare with one peer and update the older side.

        Returns:
            Whether the peer was reached.
        """
        offer = self.offer()
        reply = await self._exchange(address, offer)
        return reply is not None

    async def on_offer(
        self, offer: rpc_data.ConfigOffer
    ) -> rpc_data.ConfigOffer:
        """Accept a peer's offer if it is newer; reply with our own."""
        self._holder.record_peer_contact(time.monotonic())
        if offer.revision > self._holder.held.revision:
            await self._obtain(offer)
        keys = self._holder.keys
        if keys.version > offer.keys_version:
            return self.offer()._replace(keys=keys.raw)
        return self.offer()

    async def on_fetch(self, ask: rpc_data.PartsRequest) -> rpc_data.PartsReply:
        """Return the parts that a peer requests."""
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
        """Return an offer of the current configuration and keys."""
        held = self._holder.held
        return rpc_data.ConfigOffer(
            self._address,
            held.revision,
            document_parts.manifest(held.digests).digest,
            keys_version=self._holder.keys.version,
        )

    def delta_offer(self) -> rpc_data.ConfigOffer:
        """Return an offer with the difference to the previous revision."""
        held = self._holder.held
        before = self._previous
        change = config_state.splice(before.digests, held.digests)
        end = len(before.digests) - change.tail
        replaced = before.digests[change.head : end]
        parts = tuple(
            _delta_part(held.chunks[digest], digest, before, base)
            for digest, base in itertools.zip_longest(change.added, replaced)
            if digest is not None
        )
        return self.offer()._replace(splice=change, parts=parts)

    async def _push(self, address: str) -> None:
        pushed = 0
        try:
            while pushed < self._holder.held.revision:
                pushed = self._holder.held.revision
                await self._exchange(address, self.delta_offer())
        finally:
            self._pushes.pop(address, None)

    async def _exchange(
        self, address: str, offer: rpc_data.ConfigOffer
    ) -> rpc_data.ConfigOffer | None:
        """Send an offer to a peer and accept what is newer in its reply."""
        try:
            reply = await self._calls.call(
                address, methods.OFFER_CONFIG, offer, CALL_TIMEOUT_S
            )
        except rpc.RpcError:
            return None
        self._holder.record_peer_contact(time.monotonic())
        self._holder.update_keys(reply.keys_version, reply.keys)
        if reply.revision > self._holder.held.revision:
            await self._obtain(reply)
        return reply

    async def _obtain(self, offer: rpc_data.ConfigOffer) -> None:
        """Assemble a peer's newer configuration and accept it."""
        if offer.revision <= self._obtaining_revision:
            return
        self._obtaining_revision = offer.revision
        try:
            held = self._holder.held
            offered = await part_fetch.fetch_config(self._calls, offer, held)
        except (rpc.RpcError, ValueError, LookupError) as exc:
            logging.warning(
                'event=config_not_obtained peer=%s revision=%d error=%s',
                offer.address,
                offer.revision,
                exc,
            )
        else:
            self._holder.accept_if_newer(offered, 'peer')
        finally:
            self._obtaining_revision = 0


def _delta_part(
    content: bytes,
    digest: str,
    before: config_state.ProcessConfig,
    base: str | None,
) -> rpc_data.ConfigPart:
    """Return a part, encoded as a delta to the one that it replaces."""
    if base is None:
        return rpc_data.ConfigPart(digest, content)
    delta = part_delta.compress(content, before.chunks[base])
    return rpc_data.ConfigPart(digest, delta, base)
