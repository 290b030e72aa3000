"""Service 'sharing': short notes between the processes of the fleet.

Round by round it tells what this process has at backend servers and who
follows the platform's store, by the aggregators of the zones; see
`core.peering.aggregation`. What is seldom goes to all at once: a process that
is gone, a server that was lost under a request, the phase of a roll-out.
"""

import asyncio
import itertools
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from beryllug.core import settings_data
from beryllug.core.canary import sessions
from beryllug.core.peering import members, peering_data
from beryllug.core.placement import backlog, crashers, fleet_size
from beryllug.drivers import datagrams, fleet_key
from beryllug.router import (
    claims,
    crash_watch,
    directory,
    fleet_loads,
    peering,
    pool,
    probes,
    rollout_state,
    statements,
    store_news,
    trials,
)

# Sessions in one note, of some 40 bytes each.
MOST_SESSIONS = 20


class Decided(NamedTuple):
    """The services whose knowledge of requests is told."""

    pool: pool.Pool
    trials: trials.Trials
    crashes: crash_watch.CrashWatch
    statements: statements.Statements


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
        self._zone = zone
        self._peers = peers
        self._known = known
        self._pool = decided.pool
        self._loads = fleet_loads.FleetLoads(zone, peers.members, decided.pool)
        self._trials = decided.trials
        self._crashes = decided.crashes
        self._notes = datagrams.Datagrams(keys, peering_data.Note, self._take)
        self._news = store_news.StoreNews(
            cfg, zone, peers, known, self._notes.send
        )
        self._probes = probes.Probes(
            cfg, zone, peers, decided.trials, self._notes.send
        )
        self._limits = decided.pool.eligible.limits
        self._claims = claims.Claims(
            cfg,
            zone,
            peers,
            self._limits,
            decided.pool.eligible.size,
            self._notes.send,
        )
        self._limits.claim = self._claims.claim
        self._statements = decided.statements
        self._limits.on_changed = self._tell_statements
        self._statements.on_changed = self._tell_statements
        self._stated_at = float('-inf')
        self._task: asyncio.Task[None] | None = None
        peers.ask = self._ask
        peers.roster.on_gone = lambda name: self._tell_all(_gone(name, cfg))

    async def start(self) -> None:
        """Start to tell and to take."""
        await self._notes.start(self._cfg.notes_listen)
        now = time.monotonic()
        self._news.start(now)
        await self._news.follow_or_not(now)
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop to tell."""
        self._news.stop()
        if self._task is not None:
            self._task.cancel()
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
            'others_ago_s': now - self._pool.others.at,
            'paces_s': dict(self._pool.reading.paces),
            'watching': sorted(self._news.standing.watching),
            'notes_sent': self._notes.sent,
            'notes_dropped': self._notes.dropped,
        }

    def tell_phase(self, rollout: rollout_state.Rollout, now: float) -> None:
        """Tell all how far a roll-out has come, as it changes.

        A version that was taken back must get nothing more from any process
        within seconds, also while the store can't be written.
        """
        told = rollout_state.news((rollout,), now)
        self._tell_all(self._note()._replace(rollouts=told))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(fleet_loads.PERIOD_S)
            now = time.monotonic()
            known = self._peers.members
            present = len(known.known) + 1
            self._pool.repeats.processes = present
            ever = members.count_ever(known)
            fleet_size.count(self._pool.eligible.size, present, ever, now)
            self._forget_limits(now)
            self._statements.forget(now)
            self._tell_statements()
            self._known.zones.settle(now)
            await self._news.follow_or_not(now)
            self._news.tell()
            self._tell_loads(self._loads.due(now), now)
            self._tell_news()
            self._probes.look(now)

    def _ask(self, name: str) -> None:
        now = time.monotonic()
        self._probes.ask(name, self._stated(now), now)

    def _stated(self, now: float) -> peering_data.Note:
        """Return a note of what this process knows, for one other."""
        stated = self._news.relayed(self._news.stated(), now)
        return stated._replace(
            limits=self._limits.recent(now),
            leaving=self._statements.recent(now),
        )

    def _tell_all(self, note: peering_data.Note) -> None:
        known = self._peers.members.known.values()
        self._notes.send((each.notes for each in known), note)

    def _tell_loads(self, told: Iterable[fleet_loads.Due], now: float) -> None:
        for due in told:
            note = with_loads(self._note(), due.told)
            if note.total is not None:
                note = self._news.relayed(note, now)
            if self._loads.is_unheard(now):
                note = note._replace(
                    notes=self._cfg.notes_listen, zone=self._zone
                )
            self._notes.send(due.addresses, note)

    def _note(self) -> peering_data.Note:
        return peering_data.Note(
            self._peers.members.name, self._cfg.peer_listen
        )

    def _tell_news(self) -> None:
        """Tell of lost servers, and sessions that a roll-out may draw."""
        running = sessions.tell(self._trials.pins.sessions, MOST_SESSIONS)
        losses = crashers.tell(self._crashes.state)
        if running or losses:
            note = self._note()
            self._tell_all(note._replace(running=tuple(running), losses=losses))

    def _forget_limits(self, now: float) -> None:
        # To go through all servers four times a second costs a large fleet
        # as much as all else that it does while idle.
        if self._limits.known.observed:
            listed, doubted = self._known.servers.usable(now)
            self._limits.forget(itertools.chain(listed, doubted), now)

    def _tell_statements(self) -> None:
        """Tell all what servers have stated of themselves, once a round.

        A server whose answers name a limit by turns is told of no more often.
        """
        now = time.monotonic()
        if now - self._stated_at < fleet_loads.PERIOD_S:
            return
        limits = self._limits.changed(now)
        leaving = self._statements.changed()
        if limits or leaving:
            self._stated_at = now
            note = self._note()
            self._tell_all(note._replace(limits=limits, leaving=leaving))

    def _take(self, note: peering_data.Note) -> None:
        now = time.monotonic()
        if note.notes:
            seen = members.Known(note.address, note.notes, now, note.zone)
            self._peers.roster.heard(note.name, seen)
        elif not note.gone:
            members.heard_again(self._peers.members, note.name, now)
        for name in note.gone:
            self._peers.roster.left(name, now)
        for told in (note.report, note.zone_sum, note.total):
            if told is not None:
                self._loads.take(note.name, told, now)
        if note.report is not None or note.zone_sum is not None:
            self._tell_loads(self._loads.due_at_once(now), now)
        self._trials.pins.take(note.running)
        self._crashes.take(note.losses, now)
        self._claims.take(note, now)
        self._statements.take(note, now)
        self._trials.take_phases(note.rollouts, note.name, now)
        self._news.take(note, now)
        if note.asks:
            self._probes.answer(note, self._stated(now), now)
        self._probes.take(note, now)


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
