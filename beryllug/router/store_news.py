"""What processes tell one another of the platform's store.

A few follow the store for all, see `core.peering.standing`. They say so, and
how new their knowledge is, to the aggregators of each availability zone; the
primary of a zone says it on with each total of loads. What changes in the
store goes the same way, at once: from who follows it to all aggregators, from
these to their zones. Told to each process singly, those who follow the store
would send as many notes as there are processes, some times a second, while
nothing changes.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from beryllug.core import settings_data
from beryllug.core.peering import aggregation, members, peering_data, standing
from beryllug.core.placement import backlog
from beryllug.router import directory, peering, server_list, store_listing

# Seconds between two calls to a peer that knows more, and part of a second
# over which the calls of a fleet to the few who know are spread.
CATCH_UP_S = 0.3
SPREAD_S = 0.15
# Bytes of changes that fit a note beside the rest of it.
MOST_ENTRIES = 1000

Send = Callable[[Iterable[str], peering_data.Note], None]


class StoreNews:
    """Decides who follows the store, and spreads what those know.

    It belongs to the service that sends the notes.
    """

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        known: directory.Directory,
        send: Send,
    ) -> None:
        """Bind to what is known of the store, and to who sends notes."""
        self._cfg = cfg
        self._zone = zone
        self._peers = peers
        self._members = peers.members
        self._known = known
        self._shared = peers.knowledge
        self.standing = self._shared.standing
        self._send = send
        self._rng = random.Random(peers.members.name)
        self._caught_up_at = 0.0
        self._calls: set[asyncio.Task[None]] = set()
        known.servers.on_changes(self._tell_changes)
        known.on_table(lambda _: self._tell_change(self.stated()))
        known.orders.on_order(lambda *_: self._tell_change(self.stated()))
        known.zones.on_changed(lambda _: self._tell_change(self.stated()))
        known.pulse.on_silent = self._tell_silent

    def start(self, now: float) -> None:
        """Leave the store to the seeds for a moment, where all start."""
        seeds = self._cfg.seeds
        is_seed = not seeds or self._cfg.peer_listen in seeds
        wait_s = 0 if is_seed else self._cfg.start_wait_s
        self._known.pause_between_pages(
            store_listing.page_pause_s(self._rng.random(), is_seed=is_seed)
        )
        standing.started(self.standing, now, wait_s, self._rng.random())

    def stop(self) -> None:
        """Ask no more for what others know."""
        for task in self._calls:
            task.cancel()

    async def follow_or_not(self, now: float) -> None:
        """Follow the store, if this process is to."""
        if self._known.is_current():
            standing.heard(self.standing, self._members.name, now)
        must = standing.must_watch(self.standing, self._members, now)
        await self._known.follow_or_not(must=must)

    def tell(self) -> None:
        """Say that this process follows the store, if it does."""
        if self._known.is_current():
            self._send(
                members.note_addresses(self._members, self._aggregators()),
                self.stated(),
            )

    def stated(self) -> peering_data.Note:
        """Return a note with what this process knows of the store."""
        returned_ago_s = self._known.servers.returned_ago_s(time.monotonic())
        return peering_data.Note(
            name=self._members.name,
            address=self._cfg.peer_listen,
            is_watching=self._known.is_current(),
            versions=self._shared.versions(),
            evacuated=self._shared.evacuated(),
            returned_ago_s=min(returned_ago_s, backlog.KEPT_S),
        )

    def relayed(self, note: peering_data.Note, now: float) -> peering_data.Note:
        """Return a note with what this process has heard of the store."""
        mine = self.stated()
        return note._replace(
            followers=standing.followers(self.standing, now),
            versions=mine.versions,
            evacuated=mine.evacuated,
            returned_ago_s=mine.returned_ago_s,
        )

    def take(self, note: peering_data.Note, now: float) -> None:
        """Take what a process tells of the store."""
        if note.is_watching:
            standing.heard(self.standing, note.name, now)
        if note.has_lost_store:
            standing.silent(self.standing, note.name, now)
        standing.take_followers(self.standing, note.followers, now)
        if note.versions == peering_data.NOTHING_KNOWN:
            return
        self._shared.learn_era(note.versions)
        self._known.zones.take(
            note.evacuated, note.versions.zones, note.name, now
        )
        servers = self._known.servers
        servers.peer_returned(now - note.returned_ago_s)
        if note.entries:
            self._take_changes(note, now)
        if self._shared.is_behind(note.versions):
            self._catch_up(self._source(note, now), now)

    def _tell_silent(self) -> None:
        """Tell all that others have to follow the store."""
        name = self._members.name
        standing.silent(self.standing, name, time.monotonic())
        known = self._members.known.values()
        note = self.stated()._replace(has_lost_store=True)
        self._send((each.notes for each in known), note)

    def _tell_changes(self, delta: server_list.Delta) -> None:
        """Tell of changes of the servers that the store has brought."""
        entries = msgspec.json.encode(delta.entries)
        note = self.stated()
        if len(entries) <= MOST_ENTRIES:
            note = note._replace(since=delta.since, entries=entries)
        self._tell_change(note)

    def _take_changes(self, note: peering_data.Note, now: float) -> None:
        delta = server_list.Delta(
            note.since,
            note.versions.servers,
            msgspec.json.decode(note.entries, type=tuple[tuple[str, Any], ...]),
        )
        before = self._known.servers.revision
        self._known.servers.take_delta(delta, note.name, now)
        if self._known.servers.revision == before:
            return
        # What this process knows of the other matters goes on, too; the
        # entries lead to the revision that they came with and to no other.
        mine = self.stated()
        self._tell_change(
            mine._replace(
                versions=mine.versions._replace(servers=delta.revision),
                since=note.since,
                entries=note.entries,
            )
        )

    def _tell_change(self, note: peering_data.Note) -> None:
        """Tell of news: to all aggregators, and as one of them to its zone."""
        told: list[str] = []
        if note.is_watching:
            told.extend(self._aggregators())
        if self._members.name in self._near_aggregators():
            near, _ = members.by_zone(self._members, self._zone)
            told.extend(near)
        addresses = members.note_addresses(self._members, dict.fromkeys(told))
        self._send(addresses, note)

    def _source(self, note: peering_data.Note, now: float) -> str:
        """Return the address of one that knows what this process lacks.

        Not always the first that told: all others would ask it alone, and its
        link would carry the route table to each of them. Of a change that a
        aggregator told of, its zone asks one of the aggregators.
        """
        names: list[str] = []
        near = self._near_aggregators()
        if note.is_watching:
            names = sorted(standing.watching(self.standing, now))
        elif note.name in near:
            names = near
        found = members.addresses(self._members, names)
        return self._rng.choice(found or [note.address])

    def _catch_up(self, address: str, now: float) -> None:
        if now - self._caught_up_at < CATCH_UP_S:
            return
        self._caught_up_at = now
        within_s = 0.0
        if len(self._members.known) > members.TOLD:
            within_s = SPREAD_S
        task = asyncio.create_task(self._peers.compare(address, within_s))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _near_aggregators(self) -> list[str]:
        return aggregation.aggregators(self._members, self._zone, self._zone)

    def _aggregators(self) -> list[str]:
        """Return the aggregators of all zones, also this process if it is."""
        far = aggregation.of_others(self._members, self._zone)
        return [*self._near_aggregators(), *far]
