"""Claims: asks for permits to send to limited servers, and grants them.

One datagram each way. Who gets no answer in time takes the server for refused:
the caller goes to another one, or is refused at once.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from beryllug.core import settings_data
from beryllug.core.peering import members, peering_data
from beryllug.core.placement import fleet_size, permits
from beryllug.router import peering, server_limits

# Seconds after which a claim counts as lost: ten round trips between zones, or
# a turn of a busy process.
ANSWER_S = 0.05
Send = Callable[[Iterable[str], peering_data.Note], None]


class Claims:
    """Asks the first process in a server's rank, and answers as the first."""

    def __init__(
        self,
        cfg: settings_data.Router,
        zone: str,
        peers: peering.Peering,
        limits: server_limits.ServerLimits,
        size: fleet_size.FleetSize,
        send: Send,
    ) -> None:
        """Bind to the processes that are known, and to who sends notes."""
        self._cfg = cfg
        self._zone = zone
        self._peers = peers
        self._limits = limits
        self._size = size
        self._send = send
        self._number = 0
        self._asked: dict[int, asyncio.Future[peering_data.Permit]] = {}

    async def claim(self, instance: str) -> bool:
        """Tell whether a request may be sent to a limited server now."""
        first = members.ranked(self._peers.members, instance)[0]
        if first == self._peers.members.name:
            wait_s = self._permit(instance, time.monotonic())
        else:
            wait_s = await self._ask(first, instance)
        if wait_s <= 0:
            return True
        permits.refuse(self._limits.permits, instance, wait_s, time.monotonic())
        return False

    def take(self, note: peering_data.Note, now: float) -> None:
        """Take what a note says of limits and permits."""
        self._limits.take(note.limits, note.name, now)
        if note.claim is not None:
            self._answer(note, note.claim, now)
        if note.permit is not None:
            self._limits.take_one(note.permit.limit, note.name, now)
            asked = self._asked.pop(note.permit.number, None)
            if asked is not None and not asked.done():
                asked.set_result(note.permit)

    async def _ask(self, first: str, instance: str) -> float:
        known = self._peers.members.known[first]
        now = time.monotonic()
        self._number += 1
        number = self._number
        claim = peering_data.Claim(number, self._limits.news(instance, now))
        asked: asyncio.Future[peering_data.Permit] = asyncio.Future()
        self._asked[number] = asked
        self._send((known.notes,), self._note()._replace(claim=claim))
        try:
            async with asyncio.timeout(ANSWER_S):
                return (await asked).wait_s
        except TimeoutError:
            self._peers.ask(first)
            return permits.AGAIN_S
        finally:
            self._asked.pop(number, None)

    def _answer(
        self, note: peering_data.Note, claim: peering_data.Claim, now: float
    ) -> None:
        instance = claim.limit.instance
        self._limits.take_one(claim.limit, note.name, now)
        first = members.ranked(self._peers.members, instance)[0]
        wait_s = permits.AGAIN_S
        if first == self._peers.members.name:
            wait_s = self._permit(instance, now)
        told = self._limits.news(instance, now)
        permit = peering_data.Permit(claim.number, wait_s, told)
        self._send((note.notes,), self._note()._replace(permit=permit))

    def _permit(self, instance: str, now: float) -> float:
        """Return the seconds until a request is due; 0 where it is now."""
        per_s = self._limits.per_s(instance)
        if per_s is None:
            return 0
        return permits.permit(
            self._limits.permits, instance, per_s, self._size, now
        )

    def _note(self) -> peering_data.Note:
        """Return a note with where this process is reached."""
        return peering_data.Note(
            self._peers.members.name,
            self._cfg.peer_listen,
            notes=self._cfg.notes_listen,
            zone=self._zone,
        )
