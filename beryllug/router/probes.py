"""Liveness probes by datagram, with an exchange of known processes.

Each process probes a few others a second and sends them some of the processes
that it knows; the answer has some of those that the other one knows. Only if no
answer comes, or one of the two lacks data, does a call follow: a call costs ten
times the processor time of a datagram.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from beryllug.core import settings_data
from beryllug.core.peering import members, peering_data
from beryllug.drivers import answer_timeouts
from beryllug.router import peering, rollout_state, trials

# Seconds after which a probe counts as lost and the process is called: a
# hundred round trips between zones.
ANSWER_TIMEOUT_S = 0.4
Send = Callable[[Iterable[str], peering_data.PeerNote], None]


class _PendingProbe(NamedTuple):
    """A probe that is not answered yet."""

    name: str
    at: float


def _waited_s(
    pending: _PendingProbe, stalled_s: answer_timeouts.StalledS, now: float
) -> float:
    """Return for how long a probe is unanswered, without own stalls."""
    return now - pending.at - stalled_s(pending.at, now)


class Probes:
    """Sends and answers probes, and calls processes that do not answer."""

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        canaries: trials.Trials,
        send: Send,
    ) -> None:
        """Bind to the known processes and to the sender of notes."""
        self._cfg = cfg
        self._zone = zone
        self._peers = peers
        self._trials = canaries
        self._send = send
        self._rng = random.Random(peers.members.name)
        self._last_number = 0
        self._pending: dict[int, _PendingProbe] = {}

    def ask(self, name: str, note: peering_data.PeerNote, now: float) -> None:
        """Probe a known process.

        Args:
            name: Its name.
            note: What this process knows of the store.
            now: Current time in seconds.
        """
        known = self._peers.members.known.get(name)
        if known is None:
            return
        self._last_number += 1
        self._pending[self._last_number] = _PendingProbe(name, now)
        probe = self._with_sender_details(note, now)._replace(
            asks=self._last_number
        )
        self._send((known.notes,), probe)

    def answer(
        self,
        note: peering_data.PeerNote,
        state_note: peering_data.PeerNote,
        now: float,
    ) -> None:
        """Answer a probe.

        Args:
            note: The probe.
            state_note: What this process knows of the store.
            now: Current time in seconds.
        """
        answer = self._with_sender_details(state_note, now)._replace(
            answers=note.asks
        )
        self._send((note.notes,), answer)

    def handle_note(self, note: peering_data.PeerNote, now: float) -> None:
        """Record the processes in a note, and whether it is an answer."""
        self._peers.roster.merge_peers(note.peers, now)
        if note.answers in self._pending:
            self._pending.pop(note.answers)
            self._peers.roster.reached()

    def call_overdue(self, now: float) -> None:
        """Call the processes whose answer is overdue."""
        stalled_s = self._peers.timeouts.stalled_s
        expired = [
            number
            for number, pending in self._pending.items()
            if _waited_s(pending, stalled_s, now) > ANSWER_TIMEOUT_S
        ]
        for number in expired:
            name = self._pending.pop(number).name
            for address in members.addresses(self._peers.members, (name,)):
                self._peers.call_later(address)

    def _with_sender_details(
        self, note: peering_data.PeerNote, now: float
    ) -> peering_data.PeerNote:
        """Return a note with the sender's address, peers and roll-outs."""
        return note._replace(
            notes=self._cfg.notes_listen,
            zone=self._zone,
            peers=members.sample_peers(self._peers.members, now, self._rng),
            rollouts=rollout_state.phase_reports(self._trials.rollouts(), now),
        )
