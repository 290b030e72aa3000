"""Fetches newer data of the platform's store from peers."""

import asyncio
from typing import NamedTuple

from beryllug.core.peering import members, peering_data
from beryllug.kernel import background_tasks
from beryllug.router import peering

# Seconds between two first calls for newer data, and the part of a second over
# which a fleet's calls to the few that have it are spread.
PERIOD_S = 0.3
SPREAD_S = 0.15
# Maximum number of calls to processes that certainly have the missing data, if
# the first one called lacked it.
MAX_FURTHER_CALLS = 2


def is_small(known: members.Members) -> bool:
    """Return whether all processes of a fleet may call the same one at once."""
    return len(known.known) <= members.MAX_PEERS_PER_MESSAGE


class _Source(NamedTuple):
    """A process that has newer data, by its note: its address and versions."""

    address: str
    versions: peering_data.Versions


class CatchUp:
    """Calls peers until this process has the data that notes told of.

    Attributes:
        calls: The series of calls in progress.
    """

    def __init__(self, peers: peering.Peering) -> None:
        """Bind to the peers."""
        self.calls: set[asyncio.Task[None]] = set()
        self._peers = peers
        self._exchange = peers.store_exchange
        self._started_at = 0.0
        self._newest = _Source('', peering_data.NOTHING_KNOWN)

    def start(
        self, note: peering_data.PeerNote, address: str, now: float
    ) -> None:
        """Fetch the data that a note tells of.

        Args:
            note: The note; its sender has the data.
            address: Process to call first, so that not all call the sender.
            now: Current time in seconds.
        """
        source = _Source(note.address, note.versions)
        if now - self._started_at < PERIOD_S:
            if _is_newer(source.versions, self._newest.versions):
                self._newest = source
            return
        self._started_at = now
        self._newest = source
        max_delay_s = 0.0
        if not is_small(self._peers.members):
            max_delay_s = SPREAD_S
        task = background_tasks.run_once(
            'catch_up', self._fetch(address, max_delay_s)
        )
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    def stop(self) -> None:
        """Cancel the calls."""
        for task in self.calls:
            task.cancel()

    async def _fetch(self, address: str, max_delay_s: float) -> None:
        """Call a process, and then those that certainly have the data.

        The first one may not have got the data itself yet, and newer notes may
        have come, for which no call of their own was made.
        """
        await self._peers.compare(address, max_delay_s)
        for _ in range(MAX_FURTHER_CALLS):
            source = self._newest
            if not self._exchange.is_behind(source.versions):
                return
            await self._peers.compare(source.address)


def _is_newer(
    versions: peering_data.Versions, others: peering_data.Versions
) -> bool:
    """Return whether some kind of data is newer than in others."""
    return any(mine > theirs for mine, theirs in zip(versions, others))
