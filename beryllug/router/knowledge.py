"""What peers hand one another of the platform's store, and how new it is."""

import zlib
from typing import Any

import msgspec

from beryllug.core import stamps
from beryllug.core.peering import peering_data, standing
from beryllug.router import directory, order_list

# Level of compression: a list of backend servers, and a route table, is much
# the same line again and again, and more than the least effort gains little. A
# large table as it is takes longer over slow links, from the few who have it to
# a whole fleet, than it may take to be in force.
LEVEL = 1


class Knowledge:
    """Gives and takes what a directory knows.

    Attributes:
        standing: Who follows the store.
    """

    def __init__(self, known: directory.Directory) -> None:
        """Bind to the directory."""
        self.standing = standing.Standing()
        self._known = known
        self._packed = (0, b'')
        self._packed_list = (0, b'')

    def versions(self) -> peering_data.Versions:
        """Return how new this process's knowledge is."""
        known = self._known
        return peering_data.Versions(
            table=known.table.version if known.table else 0,
            servers=known.servers.revision,
            orders=known.orders.revision(),
            zones=known.zones.revision,
        )

    def evacuated(self) -> tuple[str, ...]:
        """Return the evacuated availability zones, as the store names them."""
        return tuple(sorted(self._known.zones.stated))

    def is_behind(self, versions: peering_data.Versions) -> bool:
        """Tell whether a peer with these versions knows more."""
        own = self.versions()
        return any(mine < theirs for mine, theirs in zip(own, versions))

    def learn_era(self, versions: peering_data.Versions) -> None:
        """Take the era of the store that a peer knows."""
        newest = max(versions.servers, versions.orders, versions.zones)
        self._known.eras.learn(stamps.era(newest))

    def complete(
        self,
        digest: peering_data.Digest,
        asked: peering_data.Versions,
        now: float,
    ) -> peering_data.Digest:
        """Add to a digest what a peer with older versions lacks.

        And who follows the store: one that has just started is told by nobody
        else yet, and would begin to follow it for a moment, at the cost of
        calls of the store.
        """
        digest = digest._replace(
            followers=standing.followers(self.standing, now),
            held=self._held(now),
        )
        own = digest.versions
        known = self._known
        if asked.table < own.table:
            digest = digest._replace(table=self._packed_table(own.table))
        if asked.servers < own.servers:
            digest = digest._replace(servers=self._packed_servers(own.servers))
        if asked.orders < own.orders:
            digest = digest._replace(orders=_encode(known.orders.orders))
        return digest

    def take(self, digest: peering_data.Digest, now: float) -> None:
        """Take what a peer has added to its digest."""
        standing.take_followers(self.standing, digest.followers, now)
        self.learn_era(digest.versions)
        known = self._known
        known.zones.take(
            digest.evacuated, digest.versions.zones, digest.name, now
        )
        if digest.table:
            table = _decode(zlib.decompress(digest.table))
            known.take_table_spec(table, digest.name)
        if digest.servers:
            known.servers.take_specs(
                _decode(zlib.decompress(digest.servers)),
                digest.versions.servers,
                digest.name,
                now,
            )
        if digest.orders:
            orders = msgspec.json.decode(
                digest.orders, type=dict[str, order_list.StoredOrder]
            )
            for name, stored in orders.items():
                known.orders.take(name, stored, now)

        self._take_held(digest, now)

    def _held(self, now: float) -> peering_data.Held:
        """Return what holds against the store, for one that has just started.

        It sees a list of the copy as its first one, and no return.
        """
        known = self._known
        left_s, instances = known.servers.held.told(now)
        if not left_s:
            return peering_data.NOTHING_HELD
        era = stamps.era(known.servers.revision)
        return peering_data.Held(
            left_s,
            instances,
            known.zones.held(),
            _encode(known.orders.held(era)),
        )

    def _take_held(self, digest: peering_data.Digest, now: float) -> None:
        held = digest.held
        if not held.left_s:
            return
        # A peer with an older list may hold what was written again since.
        own = self.versions()
        known = self._known
        if digest.versions.servers >= own.servers:
            known.servers.held.take(held.instances, held.left_s, now)
        if digest.versions.zones >= own.zones:
            known.zones.take_held(held.zones, held.left_s, now)
        orders = msgspec.json.decode(
            held.orders, type=dict[str, peering_data.HeldOrder]
        )
        known.orders.take_held(orders, now)

    def _packed_servers(self, revision: int) -> bytes:
        """Return the list of servers, packed once for all that ask for it.

        Where a whole fleet starts, the few that have read it first hand it to
        all others within a second.
        """
        if self._packed_list[0] != revision:
            raw = _encode(self._known.servers.specs)
            self._packed_list = (revision, zlib.compress(raw, LEVEL))
        return self._packed_list[1]

    def _packed_table(self, version: int) -> bytes:
        """Return the route table, packed once for all that ask for it."""
        if self._packed[0] != version:
            raw = _encode(self._known.table_spec)
            self._packed = (version, zlib.compress(raw, LEVEL))
        return self._packed[1]


def _encode(plain: Any) -> bytes:
    return msgspec.json.encode(plain)


def _decode(raw: bytes) -> Any:
    return msgspec.json.decode(raw)
