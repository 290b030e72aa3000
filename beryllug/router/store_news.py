"""Spreads news of the platform's store among the processes.

A few processes follow the store for all, see `core.peering.watcher_election`.
They tell the aggregators of each availability zone that they do, and how recent
their data is; the primary of a zone passes this on with each total of loads.
Changes in the store take the same way at once: from those who follow it to all
aggregators, and from these to their zones. If they told each process directly,
the followers would send as many notes as there are processes, several times a
second, even while nothing changes.
"""

import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from beryllug.core import settings_data
from beryllug.core.peering import (
    aggregation,
    members,
    peering_data,
    watcher_election,
)
from beryllug.core.placement import backlog
from beryllug.router import (
    catch_up,
    directory,
    peering,
    server_list,
    store_following,
    store_listing,
)

# Bytes of changes, or of a route table, that fit a note beside its other
# fields.
MAX_ENTRIES_BYTES = 1000

Send = Callable[[Iterable[str], peering_data.PeerNote], None]


class StoreNews:
    """Decides whether to follow the store, and spreads the data.

    The service that sends the notes owns it.

    Attributes:
        catch_up: Fetches the data that this process lacks.
    """

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        known: directory.Directory,
        send: Send,
    ) -> None:
        """Bind to the store's data and to the sender of notes."""
        self._cfg = cfg
        self._zone = zone
        self._peers = peers
        self._members = peers.members
        self._known = known
        self._exchange = peers.store_exchange
        self.standing = self._exchange.standing
        self._send = send
        self._rng = random.Random(peers.members.name)
        self.catch_up = catch_up.CatchUp(peers)
        self._following = store_following.StoreFollowing(
            self.standing, self._members, known
        )
        known.servers.on_changes(self._publish_delta)
        known.on_table(lambda _: self._publish_table())
        known.orders.on_order(lambda *_: self._publish(self.own_state_note()))
        known.zones.on_changed(lambda _: self._publish(self.own_state_note()))
        known.liveness.on_unresponsive = self._broadcast_store_lost

    def start(self, now: float) -> None:
        """Leave the store to the seeds at first, when all processes start."""
        seeds = self._cfg.seeds
        is_seed = not seeds or self._cfg.peer_listen in seeds
        wait_s = 0 if is_seed else self._cfg.start_wait_s
        self._known.set_page_pause(
            store_listing.page_pause_s(self._rng.random(), is_seed=is_seed)
        )
        watcher_election.delay_watch_at_start(
            self.standing, now, wait_s, self._rng.random()
        )

    def stop(self) -> None:
        """Cancel the calls to peers, and start no more watches."""
        self.catch_up.stop()
        self._following.stop()

    async def update_following(self, now: float) -> None:
        """Follow the store, if this process should."""
        await self._following.update(now)

    def announce(self) -> None:
        """Announce that this process follows the store, if it does."""
        if self._known.is_current():
            self._send(
                members.note_addresses(self._members, self._all_aggregators()),
                self.own_state_note(),
            )

    def own_state_note(self) -> peering_data.PeerNote:
        """Return a note with this process's data of the store."""
        returned_ago_s = self._known.servers.returned_ago_s(time.monotonic())
        return peering_data.PeerNote(
            name=self._members.name,
            address=self._cfg.peer_listen,
            is_watching=self._known.is_current(),
            versions=self._exchange.versions(),
            evacuated=self._exchange.evacuated(),
            returned_ago_s=min(returned_ago_s, backlog.KEPT_S),
        )

    def with_store_state(
        self, note: peering_data.PeerNote, now: float
    ) -> peering_data.PeerNote:
        """Return a note with the store's followers and the data's versions."""
        mine = self.own_state_note()
        return note._replace(
            followers=watcher_election.known_watchers(self.standing, now),
            versions=mine.versions,
            evacuated=mine.evacuated,
            returned_ago_s=mine.returned_ago_s,
        )

    def handle_note(self, note: peering_data.PeerNote, now: float) -> None:
        """Process what a process tells of the store."""
        if note.is_watching:
            watcher_election.record_watcher(self.standing, note.name, now)
        if note.has_lost_store:
            self._following.record_store_silence(note.name, now)
        watcher_election.record_watchers(self.standing, note.followers, now)
        if note.versions == peering_data.NOTHING_KNOWN:
            return
        self._exchange.learn_era(note.versions)
        self._known.zones.take(
            note.evacuated, note.versions.zones, note.name, now
        )
        if note.table:
            self._exchange.take_table(note.table, note.name)
        servers = self._known.servers
        servers.peer_store_recovered(now - note.returned_ago_s)
        if note.entries:
            self._apply_changes(note, now)
        if self._exchange.is_behind(note.versions):
            self.catch_up.start(note, self._catch_up_address(note, now), now)

    def _broadcast_store_lost(self) -> None:
        """Tell all processes that the store no longer answers this one."""
        name = self._members.name
        self._following.record_store_silence(name, time.monotonic())
        known = self._members.known.values()
        note = self.own_state_note()._replace(has_lost_store=True)
        self._send((each.notes for each in known), note)

    def _publish_table(self) -> None:
        """Send the route table that has just come into force.

        With a short one the receivers need no call to fetch it.
        """
        table = self._exchange.compressed_table()
        note = self.own_state_note()
        if len(table) <= MAX_ENTRIES_BYTES:
            note = note._replace(table=table)
        self._publish(note)

    def _publish_delta(self, delta: server_list.Delta) -> None:
        """Send changes of the servers that came from the store."""
        entries = msgspec.json.encode(delta.entries)
        note = self.own_state_note()
        if len(entries) <= MAX_ENTRIES_BYTES:
            note = note._replace(since=delta.since, entries=entries)
        self._publish(note)

    def _apply_changes(self, note: peering_data.PeerNote, now: float) -> None:
        delta = server_list.Delta(
            note.since,
            note.versions.servers,
            msgspec.json.decode(note.entries, type=tuple[tuple[str, Any], ...]),
        )
        before = self._known.servers.revision
        self._known.servers.apply_delta(delta, note.name, now)
        if self._known.servers.revision == before:
            return
        # The note is passed on with this process's data of the other kinds. The
        # entries lead to the revision that they came with, and to no other.
        mine = self.own_state_note()
        self._publish(
            mine._replace(
                versions=mine.versions._replace(servers=delta.revision),
                since=note.since,
                entries=note.entries,
            )
        )

    def _publish(self, note: peering_data.PeerNote) -> None:
        """Send news to all aggregators, and as one of them to its zone."""
        receivers: list[str] = []
        if note.is_watching:
            receivers.extend(self._all_aggregators())
        if self._members.name in self._zone_aggregators():
            near, _ = members.by_zone(self._members, self._zone)
            receivers.extend(near)
        addresses = members.note_addresses(
            self._members, dict.fromkeys(receivers)
        )
        self._send(addresses, note)

    def _catch_up_address(self, note: peering_data.PeerNote, now: float) -> str:
        """Return the address of a process with the data that is missing.

        It is not always the sender of the first note: all others would ask it
        alone, and its link would carry the route table to each of them. After a
        note of a process that follows the store, any of those is asked; after
        one of an aggregator of the zone, any aggregator of the zone. In a small
        fleet it is, since others may not have the data yet.
        """
        if catch_up.is_small(self._members):
            return note.address
        names: list[str] = []
        near = self._zone_aggregators()
        if note.is_watching:
            names = sorted(watcher_election.watching(self.standing, now))
        elif note.name in near:
            names = near
        found = members.addresses(self._members, names)
        return self._rng.choice(found or [note.address])

    def _zone_aggregators(self) -> list[str]:
        return aggregation.aggregators(self._members, self._zone, self._zone)

    def _all_aggregators(self) -> list[str]:
        """Return the aggregators of all zones, this process if it is one."""
        far = aggregation.aggregators_of_other_zones(self._members, self._zone)
        return [*self._zone_aggregators(), *far]
