"""Service 'suspects': requests suspected of crashing backend servers.

Every control process keeps the whole table. It sends a change to all other
processes before it replies to the entry that reported it, so every entry host
knows the suspicion before the entry or the caller can retry the request. The
table consists of mergeable notes: it needs no consensus and works while the
platform is down.

Only a trial needs a single decider, or two hosts could try the same request at
once. The decider is the first live member by rendezvous hashing. Its grants are
spread like losses, so that the next decider knows them if it fails. Two
processes that disagree on the members can grant two trials of one request; the
extra servers this can cost are bounded by the number of such processes.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.control import suspects_broadcast, suspects_store
from beryllug.core import crash_causes, rpc_data, suspects, suspects_data
from beryllug.drivers import methods, rpc

START_TIMEOUT_S = 1.0
# Every entry host must know the suspicion before the caller gets its answer, so
# the entries confirm it first. The wait is bounded because an entry may be
# frozen, and is well below the time for which a peer waits for this process.
CONFIRM_TIMEOUT_S = 0.6
ROUND_INTERVAL_S = 5.0
NOTES_PER_ROUND = 32


class View(Protocol):
    """The part of the configuration service that is used here."""

    def publish(
        self, *, suspects: tuple[rpc_data.Suspect, ...] | None = None
    ) -> None:
        """Replace the suspects of the view."""

    async def wait_for_confirmation(self, within_s: float) -> None:
        """Wait until the entries confirm the suspects of the view."""


class Server(Protocol):
    """The part of the RPC server of this process that is used here."""

    def unary(self, method: Any, handler: rpc.Unary) -> None:
        """Register the handler of a unary method."""


class Suspects:
    """Service 'suspects' of a control process.

    Attributes:
        table: The suspicions known to this process.
    """

    def __init__(
        self,
        name: str,
        view: View,
        spread: suspects_broadcast.SuspectsBroadcaster,
        store: suspects_store.SuspectsStore,
    ) -> None:
        """Initialize with the view, the other processes and the platform."""
        self.table = suspects_data.Table()
        self._name = name
        self._view = view
        self._spread = spread
        self._store = store
        self._task: asyncio.Task[None] | None = None
        self._rounds = 0
        self._counts = {'reports': 0, 'trials': 0, 'refused': 0}

    def serve(self, server: Server) -> None:
        """Register the RPC methods at the server of this process."""
        server.unary(methods.CRASH, self.report)
        server.unary(methods.TRY_SUSPECT, self.ask_trial)
        server.unary(methods.END_SUSPECT, self.end)
        server.unary(methods.TELL_SUSPECTS, self.merge_notes)

    async def start(self) -> None:
        """Load the notes of platform and peers, then run the rounds."""
        asked = [
            asyncio.create_task(self._read_platform()),
            asyncio.create_task(self._ask_peers()),
        ]
        _, unfinished = await asyncio.wait(asked, timeout=START_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop; nothing is sent, since peers already have all notes."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return counts, the likely cause of the losses, and the table."""
        crashes = crash_causes.crashes_of(self.table)
        return {
            **self._counts,
            'cause': crash_causes.classify(crashes).value,
            'crashes': len(crashes),
            'notes': [note._asdict() for note in self.table.notes.values()],
        }

    async def report(self, report: rpc_data.CrashReport) -> rpc_data.Empty:
        """Record the loss of a server; reply when all processes were told."""
        self._counts['reports'] += 1
        notes = suspects.record_report(self.table, report, time.time())
        crashes = crash_causes.crashes_of(self.table)
        logging.warning(
            'event=server_lost server=%s entry=%s requests=%d cause=%s',
            report.server_id,
            report.entry,
            len(report.fingerprints),
            crash_causes.classify(crashes).value,
        )
        await self._broadcast(notes)
        return rpc_data.Empty()

    async def ask_trial(
        self, ask: suspects_data.TrialRequest
    ) -> suspects_data.TrialReply:
        """Return the decision whether a suspected request may run."""
        reply = None if ask.hops else await self._spread.forward(ask)
        return reply or await self._decide(ask)

    async def end(self, end: suspects_data.TrialEnd) -> rpc_data.Empty:
        """Record the end of a trial, or an answer that clears a request."""
        note = suspects.record_trial_end(self.table, end)
        if note is not None:
            await self._broadcast((note,))
        return rpc_data.Empty()

    async def merge_notes(
        self, received: suspects_data.Notes
    ) -> suspects_data.Notes:
        """Merge the notes of a peer; reply with all notes on request."""
        if suspects.merge(self.table, received.notes, time.time()):
            await self._publish()
        if not received.wants:
            return suspects_data.Notes()
        return suspects_data.Notes(tuple(self.table.notes.values()))

    async def round(self) -> None:
        """Expire and store notes, and send one peer what it may lack."""
        suspects.expire(self.table, time.time())
        await self._publish()
        notes = tuple(self.table.notes.values())
        if self._spread.decider_order()[0] == self._name:
            await self._store.write(notes)
        self._rounds += 1
        await self._spread.exchange(notes[-NOTES_PER_ROUND:], self._rounds)

    async def _decide(
        self, ask: suspects_data.TrialRequest
    ) -> suspects_data.TrialReply:
        reply = suspects.judge(self.table, ask, time.time())
        match reply.verdict:
            case suspects_data.Verdict.TRY:
                self._counts['trials'] += 1
                # Spread before the trial runs: the next decider must know
                # it, and other entries must not use the server.
                await self._broadcast((self.table.notes[ask.fingerprint],))
            case suspects_data.Verdict.REFUSE:
                self._counts['refused'] += 1
        return reply

    async def _broadcast(
        self, notes: tuple[suspects_data.SuspectNote, ...]
    ) -> None:
        await asyncio.gather(self._publish(), self._spread.broadcast(notes))

    async def _ask_peers(self) -> None:
        notes = await self._spread.ask_partners()
        await self.merge_notes(suspects_data.Notes(notes))

    async def _read_platform(self) -> None:
        await self.merge_notes(suspects_data.Notes(await self._store.read()))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self.round()

    async def _publish(self) -> None:
        """Publish to the entries of this process, and await confirmation."""
        shown = suspects.suspects_for_entries(self.table, time.time())
        self._view.publish(suspects=shown)
        await self._view.wait_for_confirmation(CONFIRM_TIMEOUT_S)
