"""Service 'suspects': requests suspected of crashing backend servers.

Every control process keeps the whole table, and tells all others of a change
before it answers the entry that brought it. So the suspicion is on every
entry host before the entry tries the request again or its caller can. The
table is a sum of mergeable notes: nothing has to be agreed for it, and it
works while the platform is down. Only a trial needs one who decides, or two
hosts would try the same request at once: the first live member by rendezvous
hash does. Its grants are spread like losses, so that the next one knows them
when it is gone. Two processes that disagree on the members can grant two
trials of one request; that costs one more server and is bounded by their
number.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.control import suspects_spread, suspects_store
from beryllug.core import crash_causes, rpc_data, suspects, suspects_data
from beryllug.drivers import methods, rpc

START_S = 1.0
# A caller that is answered must meet the suspicion on any entry host. So the
# entries confirm it first, for a bounded time since one may be frozen: well
# under the time that a peer waits for this process.
SEEN_S = 0.6
ROUND_S = 5.0
NOTES_A_ROUND = 32


class View(Protocol):
    """What the service needs of the configuration service."""

    def publish(
        self, *, suspects: tuple[rpc_data.Suspect, ...] | None = None
    ) -> None:
        """Replace the suspects of the view."""

    async def seen(self, within_s: float) -> None:
        """Wait until the entries have the view's suspects."""


class Server(Protocol):
    """What the service needs of the server of this process."""

    def unary(self, method: Any, handler: rpc.Unary) -> None:
        """Serve a method."""


class Suspects:
    """Service 'suspects' of a control process.

    Attributes:
        table: What is known here.
    """

    def __init__(
        self,
        name: str,
        view: View,
        spread: suspects_spread.Spread,
        store: suspects_store.SuspectsStore,
    ) -> None:
        """Bind the view, the other control processes and the platform."""
        self.table = suspects_data.Table()
        self._name = name
        self._view = view
        self._spread = spread
        self._store = store
        self._task: asyncio.Task[None] | None = None
        self._rounds = 0
        self._counts = {'reports': 0, 'trials': 0, 'refused': 0}

    def serve(self, server: Server) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.CRASH, self.report)
        server.unary(methods.TRY_SUSPECT, self.ask_trial)
        server.unary(methods.END_SUSPECT, self.end)
        server.unary(methods.TELL_SUSPECTS, self.told)

    async def start(self) -> None:
        """Learn what platform and peers know, then keep in step."""
        asked = [
            asyncio.create_task(self._read_platform()),
            asyncio.create_task(self._ask_peers()),
        ]
        _, late = await asyncio.wait(asked, timeout=START_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop; peers know all that is known here."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return counts, the cause that losses point to, and the table."""
        crashes = crash_causes.crashes_of(self.table)
        return {
            **self._counts,
            'cause': crash_causes.classify(crashes).value,
            'crashes': len(crashes),
            'notes': [note._asdict() for note in self.table.notes.values()],
        }

    async def report(self, report: rpc_data.CrashReport) -> rpc_data.Empty:
        """Take the report of a lost server, and answer when all know."""
        self._counts['reports'] += 1
        notes = suspects.reported(self.table, report, time.time())
        crashes = crash_causes.crashes_of(self.table)
        logging.warning(
            'event=server_lost server=%s entry=%s requests=%d cause=%s',
            report.server_id,
            report.entry,
            len(report.fingerprints),
            crash_causes.classify(crashes).value,
        )
        await self._tell_all(notes)
        return rpc_data.Empty()

    async def ask_trial(
        self, ask: suspects_data.TrialAsk
    ) -> suspects_data.TrialReply:
        """Have it decided whether a suspected request may run."""
        reply = None if ask.hops else await self._spread.pass_on(ask)
        return reply or await self._decide(ask)

    async def end(self, end: suspects_data.TrialEnd) -> rpc_data.Empty:
        """Take the end of a trial, or an answer that clears a request."""
        note = suspects.ended(self.table, end)
        if note is not None:
            await self._tell_all((note,))
        return rpc_data.Empty()

    async def told(self, told: suspects_data.Notes) -> suspects_data.Notes:
        """Take a peer's notes; reply with all own ones where it wants them."""
        if suspects.merge(self.table, told.notes, time.time()):
            await self._show()
        if not told.wants:
            return suspects_data.Notes()
        return suspects_data.Notes(tuple(self.table.notes.values()))

    async def round(self) -> None:
        """Expire, record, and tell one peer what it may have missed."""
        suspects.expire(self.table, time.time())
        await self._show()
        notes = tuple(self.table.notes.values())
        if self._spread.deciders()[0] == self._name:
            await self._store.write(notes)
        self._rounds += 1
        await self._spread.exchange(notes[-NOTES_A_ROUND:], self._rounds)

    async def _decide(
        self, ask: suspects_data.TrialAsk
    ) -> suspects_data.TrialReply:
        reply = suspects.judge(self.table, ask, time.time())
        match reply.verdict:
            case suspects_data.Verdict.TRY:
                self._counts['trials'] += 1
                # Before the trial runs: who decides next must know of it,
                # and other entries must leave the server to it.
                await self._tell_all((self.table.notes[ask.fingerprint],))
            case suspects_data.Verdict.REFUSE:
                self._counts['refused'] += 1
        return reply

    async def _tell_all(self, notes: tuple[suspects_data.Note, ...]) -> None:
        await asyncio.gather(self._show(), self._spread.tell_all(notes))

    async def _ask_peers(self) -> None:
        notes = await self._spread.ask_partners()
        await self.told(suspects_data.Notes(notes))

    async def _read_platform(self) -> None:
        await self.told(suspects_data.Notes(await self._store.read()))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_S)
            await self.round()

    async def _show(self) -> None:
        """Tell the entries that follow this process, and wait for it."""
        shown = suspects.shown(self.table, time.time())
        self._view.publish(suspects=shown)
        await self._view.seen(SEEN_S)
