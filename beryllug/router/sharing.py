"""Service 'sharing': short notes between the processes of the fleet.

Those who follow the platform's store say so twice a second, and tell its
changes as they come; the others follow it no more. All tell what they have
sent to model runners, while there is something to tell.
"""

import asyncio
import random
import time
from typing import Any, NamedTuple

import msgspec

from beryllug.core import settings_data
from beryllug.core.canary import sessions
from beryllug.core.peering import (
    members,
    peering_data,
    standing,
)
from beryllug.core.placement import backlog, crashers
from beryllug.drivers import datagrams, fleet_key
from beryllug.router import (
    crash_watch,
    directory,
    fleet_loads,
    knowledge,
    peering,
    pool,
    rollout_state,
    server_list,
    trials,
)

# Rounds between two words of a process that follows the store.
ROUNDS_A_WORD = 2
# Seconds between two calls to a peer that knows more, and part of a second
# over which the calls of a fleet to the few who watch are spread.
CATCH_UP_S = 0.3
SPREAD_S = 0.15
# Bytes of changes that fit a note beside the rest of it.
MOST_ENTRIES = 1000
# Sessions in one note, of some 40 bytes each.
MOST_SESSIONS = 20


class Decided(NamedTuple):
    """The services whose knowledge of requests is told."""

    pool: pool.Pool
    trials: trials.Trials
    crashes: crash_watch.CrashWatch


class Sharing:
    """Sends notes, and acts on those that come."""

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        known: directory.Directory,
        decided: Decided,
        keys: fleet_key.KeyRing,
    ) -> None:
        """Bind to what is told and to who takes it."""
        self._cfg = cfg
        self._peers = peers
        self._known = known
        self._shared = knowledge.Knowledge(known)
        self._pool = decided.pool
        self._loads = fleet_loads.FleetLoads(zone, peers.members, decided.pool)
        self._trials = decided.trials
        self._crashes = decided.crashes
        self._notes = datagrams.Datagrams(keys, peering_data.Note, self._take)
        self._rng = random.Random(peers.members.name)
        self._standing = standing.Standing()
        self._round = 0
        self._caught_up_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        peers.roster.on_gone = lambda name: self._tell_all(_gone(name, cfg))
        known.servers.on_changes(self._tell_changes)
        known.on_table(lambda _: self._tell_word())
        known.orders.on_order(lambda *_: self._tell_word())

    async def start(self) -> None:
        """Start to tell and to take."""
        await self._notes.start(self._cfg.notes_listen)
        seeds = self._cfg.seeds
        is_seed = not seeds or self._cfg.peer_listen in seeds
        standing.started(
            self._standing,
            time.monotonic(),
            0 if is_seed else self._cfg.start_wait_s,
            self._rng.random(),
        )
        await self._known.follow_or_not(must=self._must_watch())
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop to tell."""
        for task in (self._task, *self._calls):
            if task is not None:
                task.cancel()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
        self._tell_all(_gone(self._peers.members.name, self._cfg))
        self._notes.stop()

    def dump(self) -> dict[str, Any]:
        """Return the backlog by runner, and counts of notes."""
        now = time.monotonic()
        return {
            'own': backlog.told(self._pool.reading, now),
            'reports': sorted(self._loads.state.reports),
            'zones': sorted(self._loads.state.zones),
            'others_at': self._pool.others.at,
            'paces_s': dict(self._pool.reading.paces),
            'watching': sorted(self._standing.watching),
            'notes_sent': self._notes.sent,
            'notes_dropped': self._notes.dropped,
        }

    def tell_phase(self, rollout: rollout_state.Rollout, now: float) -> None:
        """Tell all how far a roll-out has come, as it changes.

        A version that was taken back must get nothing more from any process
        within seconds, also while the store can't be written.
        """
        note = peering_data.Note(
            self._peers.members.name,
            self._cfg.peer_listen,
            rollouts=rollout_state.news((rollout,), now),
        )
        self._tell_all(note)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(fleet_loads.PERIOD_S)
            self._round += 1
            self._pool.processes = len(self._peers.members.known) + 1
            await self._known.follow_or_not(must=self._must_watch())
            if self._round % ROUNDS_A_WORD == 0:
                self._tell_word()
            self._tell_loads()
            self._tell_news()

    def _must_watch(self) -> bool:
        now = time.monotonic()
        known = self._peers.members
        if self._known.is_current():
            standing.heard(self._standing, known.name, now)
        return standing.must_watch(self._standing, known, now)

    def _tell_word(self) -> None:
        """Say that this process follows the store, if it does."""
        if self._known.is_current():
            self._tell_all(self._word())

    def _tell_changes(self, delta: server_list.Delta) -> None:
        entries = msgspec.json.encode(delta.entries)
        note = self._word()
        if len(entries) <= MOST_ENTRIES:
            note = note._replace(since=delta.since, entries=entries)
        self._tell_all(note)

    def _word(self) -> peering_data.Note:
        returned_ago_s = self._known.servers.returned_ago_s(time.monotonic())
        return peering_data.Note(
            name=self._peers.members.name,
            address=self._cfg.peer_listen,
            is_watching=True,
            versions=self._shared.versions(),
            returned_ago_s=min(returned_ago_s, backlog.KEPT_S),
        )

    def _tell_all(self, note: peering_data.Note) -> None:
        known = self._peers.members.known.values()
        self._notes.send((each.notes for each in known), note)

    def _tell_loads(self) -> None:
        for due in self._loads.due(time.monotonic()):
            note = peering_data.Note(
                self._peers.members.name, self._cfg.peer_listen
            )
            self._notes.send(due.addresses, with_loads(note, due.told))

    def _tell_news(self) -> None:
        """Tell of lost servers, and sessions that a roll-out may draw."""
        running = sessions.tell(self._trials.pins.sessions, MOST_SESSIONS)
        losses = crashers.tell(self._crashes.state)
        if running or losses:
            note = peering_data.Note(
                self._peers.members.name,
                self._cfg.peer_listen,
                running=tuple(running),
                losses=losses,
            )
            self._tell_all(note)

    def _take(self, note: peering_data.Note) -> None:
        now = time.monotonic()
        if not note.gone:
            members.heard_again(self._peers.members, note.name, now)
        for name in note.gone:
            self._peers.roster.left(name, now)
        for told in (note.report, note.zone_sum, note.total):
            if told is not None:
                self._loads.take(note.name, told, now)
        self._trials.pins.take(note.running)
        self._crashes.take(note.losses, now)
        self._trials.take_phases(note.rollouts, note.name, now)
        if note.is_watching:
            self._take_word(note, now)

    def _take_word(self, note: peering_data.Note, now: float) -> None:
        standing.heard(self._standing, note.name, now)
        servers = self._known.servers
        servers.peer_returned(now - note.returned_ago_s)
        if note.entries:
            delta = server_list.Delta(
                note.since,
                note.versions.servers,
                msgspec.json.decode(
                    note.entries, type=tuple[tuple[str, Any], ...]
                ),
            )
            servers.take_delta(delta, note.name, now)
        if self._shared.is_behind(note.versions):
            # Not always the first that told: all others would ask it alone,
            # and its link would carry the route table to each of them.
            watching = standing.watching(self._standing, now)
            found = members.addresses(self._peers.members, sorted(watching))
            self._catch_up(self._rng.choice(found or [note.address]), now)

    def _catch_up(self, address: str, now: float) -> None:
        if now - self._caught_up_at < CATCH_UP_S:
            return
        self._caught_up_at = now
        within_s = 0.0
        if len(self._peers.members.known) > members.TOLD:
            within_s = SPREAD_S
        task = asyncio.create_task(self._peers.compare(address, within_s))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)


def with_loads(
    note: peering_data.Note, told: fleet_loads.Told
) -> peering_data.Note:
    """Return a note with what is told of loads."""
    match told:
        case peering_data.Report():
            return note._replace(report=told)
        case peering_data.ZoneSum():
            return note._replace(zone_sum=told)
        case peering_data.Total():
            return note._replace(total=told)


def _gone(name: str, cfg: settings_data.Router) -> peering_data.Note:
    """Return the note that a process is gone, or stops itself."""
    return peering_data.Note(name, cfg.peer_listen, gone=(name,))
