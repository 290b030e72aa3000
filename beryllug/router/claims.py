"""Distributed rate limiting: permits to send to servers with a limit.

A claim and its permit are one datagram each. A process that gets no permit in
time treats the server as refused: the request goes to another server or is
refused at once.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from beryllug.core import settings_data
from beryllug.core.peering import members, peering_data
from beryllug.core.placement import fleet_size, permits
from beryllug.router import peering, server_limits

# Timeout for the answer to a claim: ten round trips between zones, or one turn
# of the event loop in a busy process.
ANSWER_TIMEOUT_S = 0.05
# Seconds within which a note was sent if this process did not stall.
MAX_QUEUED_S = 2.0
Send = Callable[[Iterable[str], peering_data.PeerNote], None]


class Claims:
    """Requests permits from a server's coordinator, and grants them as one.

    The coordinator is the process that ranks first for the server.
    """

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        limits: server_limits.ServerLimits,
        size: fleet_size.FleetSize,
        send: Send,
    ) -> None:
        """Bind to the known processes and to the function that sends notes."""
        self._cfg = cfg
        self._zone = zone
        self._peers = peers
        self._limits = limits
        self._size = size
        self._send = send
        self._last_number = 0
        self._pending: dict[int, asyncio.Future[peering_data.Permit]] = {}

    async def claim(self, instance: str) -> bool:
        """Return whether a request may be sent to a limited server now."""
        coordinator = members.ranked(self._peers.members, instance)[0]
        wait_s: float | None
        if coordinator == self._peers.members.name:
            wait_s = self._grant(instance, time.monotonic())
        else:
            wait_s = await self._request_permit(coordinator, instance)
        if wait_s is not None and wait_s <= 0:
            return True
        self._limits.permit_refused(instance, coordinator, wait_s)
        return False

    def handle_note(self, note: peering_data.PeerNote, now: float) -> None:
        """Process the limits, claims and permits of a received note."""
        # While this process stalled, the note waited for it. Without this, a
        # limit that ended meanwhile would look younger than its end.
        stalled_s = self._peers.timeouts.stalled_s(now - MAX_QUEUED_S, now)
        sent_at = now - stalled_s
        self._limits.merge_observations(note.limits, note.name, sent_at)
        if note.claim is not None:
            self._answer_claim(note, note.claim, sent_at, now)
        if note.permit is not None:
            self._limits.merge_observation(
                note.permit.limit, note.name, sent_at
            )
            pending = self._pending.pop(note.permit.number, None)
            if pending is not None and not pending.done():
                pending.set_result(note.permit)

    async def _request_permit(
        self, coordinator: str, instance: str
    ) -> float | None:
        """Return the coordinator's answer in seconds; None if none came."""
        known = self._peers.members.known[coordinator]
        now = time.monotonic()
        self._last_number += 1
        number = self._last_number
        claim = peering_data.PermitRequest(
            number, self._limits.observation(instance, now)
        )
        pending: asyncio.Future[peering_data.Permit] = asyncio.Future()
        self._pending[number] = pending
        self._send((known.notes,), self._note()._replace(claim=claim))
        try:
            async with self._peers.timeouts.within(ANSWER_TIMEOUT_S):
                return (await pending).wait_s
        except TimeoutError:
            self._peers.contact(coordinator)
            return None
        finally:
            self._pending.pop(number, None)

    def _answer_claim(
        self,
        note: peering_data.PeerNote,
        claim: peering_data.PermitRequest,
        sent_at: float,
        now: float,
    ) -> None:
        instance = claim.limit.instance
        self._limits.merge_observation(claim.limit, note.name, sent_at)
        coordinator = members.ranked(self._peers.members, instance)[0]
        wait_s = permits.AGAIN_S
        if coordinator == self._peers.members.name:
            wait_s = self._grant(instance, now)
        known_limit = self._limits.observation(instance, now)
        permit = peering_data.Permit(claim.number, wait_s, known_limit)
        self._send((note.notes,), self._note()._replace(permit=permit))

    def _grant(self, instance: str, now: float) -> float:
        """Return the seconds until a request is permitted; 0 if it is now."""
        per_s = self._limits.per_s(instance)
        if per_s is None:
            return 0
        return permits.permit(
            self._limits.permits, instance, per_s, self._size, now
        )

    def _note(self) -> peering_data.PeerNote:
        """Return a note that carries this process's addresses."""
        return peering_data.PeerNote(
            self._peers.members.name,
            self._cfg.peer_listen,
            notes=self._cfg.notes_listen,
            zone=self._zone,
        )
