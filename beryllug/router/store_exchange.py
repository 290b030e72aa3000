"""Exchange of store data between peers, and of how recent it is."""

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec
from absl import logging

from beryllug.core import stamps
from beryllug.core.peering import (
    peering_data,
    stamp_fields,
    watcher_election,
)
from beryllug.router import directory, order_list

# Compression level. Lists of backend servers and route tables repeat much the
# same line, so a higher level gains little. Uncompressed, a large table would
# take longer over slow links, from the few processes that have it to the whole
# fleet, than it may take to come into force.
LEVEL = 1
# Many times the list of 10,000 backend servers.
MAX_DOCUMENT_BYTES = 67108864


class StoreExchange:
    """Sends and receives the data of a directory.

    Attributes:
        standing: Which processes follow the store.
    """

    def __init__(self, known: directory.Directory) -> None:
        """Bind to the directory."""
        self.standing = watcher_election.WatcherState()
        self._known = known
        self._table_cache = (0, b'')
        self._servers_cache = (0, b'')

    def versions(self) -> peering_data.Versions:
        """Return the versions of the data in this process."""
        known = self._known
        return peering_data.Versions(
            table=known.table.version if known.table else 0,
            servers=known.servers.revision,
            orders=known.orders.revision(),
            zones=known.zones.revision,
        )

    def newest_stamp(self) -> int:
        """Return the newest stamp of the data in this process."""
        own = self.versions()
        return max(own.servers, own.orders, own.zones)

    def evacuated(self) -> tuple[str, ...]:
        """Return the evacuated availability zones that the store lists."""
        return tuple(sorted(self._known.zones.in_store))

    def is_behind(self, versions: peering_data.Versions) -> bool:
        """Tell whether a peer with these versions has newer data."""
        own = self.versions()
        return any(mine < theirs for mine, theirs in zip(own, versions))

    def learn_era(self, versions: peering_data.Versions) -> None:
        """Learn the era of the store from a peer's versions."""
        newest = max(versions.servers, versions.orders, versions.zones)
        self._known.eras.advance(stamps.era(newest))

    def add_missing(
        self,
        digest: peering_data.Digest,
        asked: peering_data.Versions,
        now: float,
    ) -> peering_data.Digest:
        """Add the data that a peer with older versions lacks to a digest.

        It also tells which processes follow the store. One that has just
        started has not heard it from anyone else and would begin to follow the
        store for a moment, at the cost of calls to the store.
        """
        digest = digest._replace(
            followers=watcher_election.known_watchers(self.standing, now),
            held=self._held(now),
        )
        own = digest.versions
        known = self._known
        if asked.table < own.table:
            digest = digest._replace(table=self.compressed_table())
        if asked.servers < own.servers:
            digest = digest._replace(
                servers=self._compressed_servers(own.servers)
            )
        if asked.orders < own.orders:
            encoded, large = _encode_orders(known.orders.orders)
            digest = digest._replace(orders=encoded, large_orders=large)
        return digest

    def apply(self, digest: peering_data.Digest, now: float) -> None:
        """Apply the data that a peer has added to its digest."""
        watcher_election.record_watchers(self.standing, digest.followers, now)
        self.learn_era(digest.versions)
        known = self._known
        known.zones.take(
            digest.evacuated, digest.versions.zones, digest.name, now
        )
        if digest.table:
            self.take_table(digest.table, digest.name)
        if digest.servers:
            servers = _inflate(digest.servers, digest.name)
            if servers is not None:
                known.servers.apply_specs(
                    servers, digest.versions.servers, digest.name, now
                )
        if digest.orders:
            orders = msgspec.json.decode(
                digest.orders, type=dict[str, order_list.StoredOrder]
            )
            numbers = self._reader(digest.large_orders)
            for name, stored in orders.items():
                stamped = numbers.stamp(stored.revision, name)
                stored = stored._replace(revision=stamped)
                known.orders.update(name, stored, now)
        self._apply_held(digest, now)

    def take_table(self, compressed: bytes, source: str) -> None:
        """Put a compressed route table of a peer in force, if it is newer."""
        spec = _inflate(compressed, source)
        if spec is not None:
            self._known.take_table_spec(spec, source)

    def compressed_table(self) -> bytes:
        """Return the route table, compressed once for all requests."""
        version = self.versions().table
        if self._table_cache[0] != version:
            raw = _encode(self._known.table_spec)
            self._table_cache = (version, zlib.compress(raw, LEVEL))
        return self._table_cache[1]

    def _held(self, now: float) -> peering_data.HeldState:
        """Return what is held against the store, for a newly started process.

        Such a process gets the restored copy as its first list and can't detect
        the restore itself.
        """
        known = self._known
        left_s, instances = known.servers.held.remaining(now)
        if not left_s:
            return peering_data.NOTHING_HELD
        era = stamps.era(known.servers.revision)
        encoded, large = _encode_orders(known.orders.held(era))
        return peering_data.HeldState(
            left_s, instances, known.zones.held(), encoded, large
        )

    def _apply_held(self, digest: peering_data.Digest, now: float) -> None:
        held = digest.held
        if not held.left_s:
            return
        # A peer with an older list may hold entries that were written again
        # since.
        own = self.versions()
        known = self._known
        if digest.versions.servers >= own.servers:
            known.servers.held.hold_from_peer(held.instances, held.left_s, now)
        if digest.versions.zones >= own.zones:
            known.zones.take_held(held.zones, held.left_s, now)
        orders = msgspec.json.decode(
            held.orders, type=dict[str, peering_data.HeldOrder]
        )
        numbers = self._reader(held.large)
        known.orders.apply_held(
            {
                name: order._replace(
                    revision=numbers.stamp(order.revision, name)
                )
                for name, order in orders.items()
            },
            now,
        )

    def _reader(
        self, large: stamp_fields.Numbers | None
    ) -> stamp_fields.Reader:
        return stamp_fields.reader(large, self.newest_stamp())

    def _compressed_servers(self, revision: int) -> bytes:
        """Return the list of servers, compressed once for all requests.

        When a whole fleet starts, the few processes that have read the list
        first send it to all others within a second.
        """
        if self._servers_cache[0] != revision:
            raw = _encode(self._known.servers.specs)
            self._servers_cache = (revision, zlib.compress(raw, LEVEL))
        return self._servers_cache[1]


def _encode_orders(
    orders: Mapping[str, order_list.StoredOrder]
    | Mapping[str, peering_data.HeldOrder],
) -> tuple[bytes, stamp_fields.Numbers]:
    """Encode orders; also returns their stamps of over 64 bits."""
    packed, large = stamp_fields.pack_stamps(
        {name: order.revision for name, order in orders.items()}
    )
    encoded = _encode(
        {
            name: order._replace(revision=packed[name])
            for name, order in orders.items()
        }
    )
    return encoded, large


def _encode(document: Any) -> bytes:
    return msgspec.json.encode(document)


def _inflate(compressed: bytes, source: str) -> Any:
    """Return a document that a peer has compressed; None if it is invalid."""
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(compressed, MAX_DOCUMENT_BYTES)
        return msgspec.json.decode(raw)
    except (zlib.error, ValueError, RecursionError) as exc:
        logging.error('event=document_refused source=%s: %s', source, exc)
    return None
