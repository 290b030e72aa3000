"""Service 'sharing': short datagrams between the processes of the fleet.

Each round it sends the load of this process on backend servers, and which
processes follow the platform's store, through the aggregators of the zones; see
`core.peering.aggregation`. Rare events go to all processes at once: a process
that is gone, a server that was lost during a request, the phase of a roll-out.
"""

import asyncio
import functools
import itertools
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from beryllug.core import settings_data
from beryllug.core.canary import sessions
from beryllug.core.peering import (
    members,
    peering_data,
    stamp_fields,
    suspect_reports,
)
from beryllug.core.placement import backlog, fleet_size
from beryllug.drivers import datagrams, fleet_key
from beryllug.kernel import background_tasks
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
    suspect_notes,
    trials,
)

# Sessions per note, of about 40 bytes each.
MAX_SESSIONS_PER_NOTE = 20


class RequestServices(NamedTuple):
    """The services whose data about requests is shared."""

    pool: pool.Pool
    trials: trials.Trials
    crashes: crash_watch.CrashWatch
    statements: statements.Statements


class Sharing:
    """Sends notes and handles received ones."""

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        known: directory.Directory,
        decided: RequestServices,
        keys: fleet_key.KeyRing,
    ) -> None:
        """Bind to the services that provide and receive the data."""
        self._cfg = cfg
        self._zone = zone
        self._peers = peers
        self._known = known
        self._pool = decided.pool
        self._loads = fleet_loads.FleetLoads(zone, peers.members, decided.pool)
        self._trials = decided.trials
        self._suspects = suspect_notes.SuspectNotes(
            decided.crashes,
            lambda reports: self._broadcast(
                _with_suspects(self._new_note(), reports)
            ),
            lambda report: self._broadcast(
                self._new_note()._replace(segments=(report,))
            ),
            lambda: len(peers.members.known),
        )
        peers.on_suspects = self._suspects.handle_reports
        peers.suspects = self._suspects.recent
        self._notes = datagrams.Datagrams(
            keys, peering_data.PeerNote, self._handle_note
        )
        self._send = functools.partial(_send_packed, self._notes)
        self._news = store_news.StoreNews(cfg, zone, peers, known, self._send)
        self._probes = probes.Probes(
            cfg, zone, peers, decided.trials, self._send
        )
        self._limits = decided.pool.eligible.limits
        self._claims = claims.Claims(
            cfg,
            zone,
            peers,
            self._limits,
            decided.pool.eligible.size,
            self._send,
        )
        self._limits.claim = self._claims.claim
        self._statements = decided.statements
        self._limits.on_changed = self._broadcast_statements
        self._statements.on_changed = self._broadcast_statements
        self._statements.on_full = self._broadcast_full
        self._statements_sent_at = float('-inf')
        self._task: asyncio.Task[None] | None = None
        peers.contact = self._send_probe
        peers.roster.on_gone = lambda name: self._broadcast(
            _gone_note(name, cfg)
        )

    async def start(self) -> None:
        """Start sending and receiving notes."""
        await self._notes.start(self._cfg.notes_listen)
        now = time.monotonic()
        self._news.start(now)
        await self._news.update_following(now)
        self._task = background_tasks.start('sharing', self._run)

    async def stop(self, grace_s: float) -> None:
        """Stop sending, and tell all others that this process is stopping."""
        self._news.stop()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._broadcast(_gone_note(self._peers.members.name, self._cfg))
        self._notes.stop()

    def dump(self) -> dict[str, Any]:
        """Return the backlog by runner, and counts of notes."""
        now = time.monotonic()
        return {
            'own': backlog.reported(self._pool.prompt_backlog, now),
            'reports': sorted(self._loads.state.reports),
            'zones': sorted(self._loads.state.zones),
            'others_ago_s': now - self._pool.peer_loads.at,
            'paces_s': dict(self._pool.prompt_backlog.paces),
            'watching': sorted(self._news.standing.watching),
            'notes_sent': self._notes.sent,
            'notes_dropped': self._notes.dropped,
        }

    def broadcast_phase(
        self, rollout: rollout_state.Rollout, now: float
    ) -> None:
        """Tell all processes the phase of a roll-out when it changes.

        A version that was rolled back must get no more requests from any
        process within seconds, even while the store can't be written.
        """
        phases = rollout_state.phase_reports((rollout,), now)
        self._broadcast(self._new_note()._replace(rollouts=phases))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(fleet_loads.PERIOD_S)
            now = time.monotonic()
            known = self._peers.members
            present = len(known.known) + 1
            self._pool.repeats.processes = present
            ever = members.count_known_and_gone(known)
            fleet_size.count(self._pool.eligible.size, present, ever, now)
            self._forget_limits(now)
            self._statements.forget(now)
            self._broadcast_statements()
            self._known.zones.release_expired(now)
            await self._news.update_following(now)
            self._news.announce()
            self._send_loads(self._loads.due(now), now)
            self._broadcast_events()
            self._probes.call_overdue(now)

    def _send_probe(self, name: str) -> None:
        now = time.monotonic()
        self._probes.ask(name, self._state_note(now), now)

    def _state_note(self, now: float) -> peering_data.PeerNote:
        """Return a note with what this process knows, for a single peer."""
        own_note = self._news.with_store_state(self._news.own_state_note(), now)
        return own_note._replace(
            limits=self._limits.sample_recent(now),
            leaving=self._statements.sample_leaving(now),
            suspects=self._suspects.sample(now),
        )

    def _broadcast(self, note: peering_data.PeerNote) -> None:
        known = self._peers.members.known.values()
        self._send((each.notes for each in known), note)

    def _send_loads(
        self, messages: Iterable[fleet_loads.OutgoingMessage], now: float
    ) -> None:
        for due in messages:
            note = with_loads(self._new_note(), due.payload)
            if note.total is not None:
                note = self._news.with_store_state(note, now)
            if self._loads.lacks_totals(now):
                note = note._replace(
                    notes=self._cfg.notes_listen, zone=self._zone
                )
            self._send(due.addresses, note)

    def _new_note(self) -> peering_data.PeerNote:
        return peering_data.PeerNote(
            self._peers.members.name, self._cfg.peer_listen
        )

    def _broadcast_events(self) -> None:
        """Send sessions that a roll-out may select."""
        running = sessions.tell(
            self._trials.pins.sessions, MAX_SESSIONS_PER_NOTE
        )
        if running:
            self._broadcast(self._new_note()._replace(running=tuple(running)))

    def _forget_limits(self, now: float) -> None:
        # Going through all servers four times a second would cost a large fleet
        # as much as all its other idle work.
        if self._limits.known.observed:
            listed, doubted = self._known.servers.usable(now)
            self._limits.forget(itertools.chain(listed, doubted), now)

    def _broadcast_statements(self) -> None:
        """Send all processes what servers announced, at most once a round.

        The limit also covers a server whose answers keep changing their limit.
        """
        now = time.monotonic()
        if now - self._statements_sent_at < fleet_loads.PERIOD_S:
            return
        limits = self._limits.pop_changed(now)
        leaving = self._statements.pop_changed()
        if limits or leaving:
            self._statements_sent_at = now
            note = self._new_note()
            self._broadcast(note._replace(limits=limits, leaving=leaving))

    def _broadcast_full(self, server: peering_data.FullServer) -> None:
        """Tell all processes of a full server, before more are turned away."""
        self._broadcast(self._new_note()._replace(full=(server,)))

    def _handle_note(self, received: peering_data.PeerNote) -> None:
        now = time.monotonic()
        newest = self._peers.store_exchange.newest_stamp()
        note = stamp_fields.unpack_note(received, newest)
        if note.notes:
            seen = members.KnownPeer(note.address, note.notes, now, note.zone)
            self._peers.roster.record_alive(note.name, seen)
        elif not note.gone:
            members.refresh_peer(self._peers.members, note.name, now)
        for name in note.gone:
            self._peers.roster.record_gone(name, now)
        for payload in (note.report, note.zone_sum, note.total):
            if payload is not None:
                self._loads.handle_message(note.name, payload, now)
        if note.report is not None or note.zone_sum is not None:
            self._send_loads(self._loads.due_immediately(now), now)
        self._trials.pins.merge_sessions(note.running)
        self._suspects.handle_note(note, now)
        self._claims.handle_note(note, now)
        self._statements.handle_note(note, now)
        self._trials.apply_phases(note.rollouts, note.name, now)
        self._news.handle_note(note, now)
        if note.asks:
            self._probes.answer(note, self._state_note(now), now)
        self._probes.handle_note(note, now)


def _send_packed(
    notes: datagrams.Datagrams,
    addresses: Iterable[str],
    note: peering_data.PeerNote,
) -> None:
    notes.send(addresses, stamp_fields.pack_note(note))


def with_loads(
    note: peering_data.PeerNote, payload: fleet_loads.LoadMessage
) -> peering_data.PeerNote:
    """Return a note with a load message as its content."""
    match payload:
        case peering_data.Report():
            return note._replace(report=payload)
        case peering_data.ZoneSum():
            return note._replace(zone_sum=payload)
        case peering_data.Total():
            return note._replace(total=payload)


def _with_suspects(
    note: peering_data.PeerNote,
    reports: tuple[peering_data.SuspectReport, ...],
) -> peering_data.PeerNote:
    """Return a note with reports on requests that crash servers."""
    losses = suspect_reports.losses_of(reports)
    return note._replace(suspects=reports, losses=losses)


def _gone_note(name: str, cfg: settings_data.Router) -> peering_data.PeerNote:
    """Return the note that a process is gone, or that this one stops."""
    return peering_data.PeerNote(name, cfg.peer_listen, gone=(name,))
