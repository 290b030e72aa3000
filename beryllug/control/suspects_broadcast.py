"""Sends notes on suspected requests to the other control processes.

Every process needs to know of a loss, so notes go to all. They are sent in
batches, because a process keeps clients for only some dozens of peers.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Protocol

from absl import logging

from beryllug.core import rendezvous, suspects_data
from beryllug.drivers import methods, rpc, rpc_peers

DECIDER_KEY = 'trials of suspected requests'
# Timeout for a peer to notify its entries and receive their confirmations.
TELL_TIMEOUT_S = 1.0
ASK_TIMEOUT_S = 0.3
BATCH_SIZE = 32
# Calls until a peer counts as unreachable.
MAX_ATTEMPTS = 2
UNAVAILABLE = 'UNAVAILABLE'


class Others(Protocol):
    """The part of the neighbours that is used here."""

    def all_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all other control processes."""

    def gossip_addresses(self) -> tuple[str, ...]:
        """Return the addresses of a few of them."""


class Members(Protocol):
    """The part of the membership service that is used here."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members, this process among them."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""


class SuspectsBroadcaster:
    """Calls from one control process to the others."""

    def __init__(
        self,
        name: str,
        others: Others,
        members: Members,
        calls: rpc_peers.ReconnectingCaller,
    ) -> None:
        """Initialize with the neighbours and the calls to them."""
        self._name = name
        self._others = others
        self._members = members
        self._calls = calls

    def decider_order(self) -> list[str]:
        """Return the order of deciders: the first that answers decides."""
        live = self._members.live(time.monotonic())
        return rendezvous.order(DECIDER_KEY, {self._name, *live})

    async def forward(
        self, ask: suspects_data.TrialRequest
    ) -> suspects_data.TrialReply | None:
        """Forward a trial request to the process that decides.

        Returns:
            The reply; None if this process has to decide.
        """
        forwarded = ask._replace(hops=ask.hops + 1)
        for member in self.decider_order():
            if member == self._name:
                return None
            address = self._members.address_of(member)
            if address is None:
                continue
            try:
                return await self._calls.call(
                    address, methods.TRY_SUSPECT, forwarded, ASK_TIMEOUT_S
                )
            except rpc.RpcError:
                logging.warning('event=trial_not_decided member=%s', member)
        return None

    async def broadcast(
        self, notes: tuple[suspects_data.SuspectNote, ...]
    ) -> None:
        """Send notes to every other process, for a bounded time."""
        addresses = self._others.all_addresses()
        message = suspects_data.Notes(notes)
        for start in range(0, len(addresses), BATCH_SIZE):
            await self._tell(addresses[start : start + BATCH_SIZE], message)

    async def ask_partners(self) -> tuple[suspects_data.SuspectNote, ...]:
        """Return the notes of a few other processes."""
        message = suspects_data.Notes(wants=True)
        return await self._tell(self._others.gossip_addresses(), message)

    async def exchange(
        self, notes: tuple[suspects_data.SuspectNote, ...], round_number: int
    ) -> None:
        """Send notes to one of the partners, in round-robin order."""
        partners = self._others.gossip_addresses()
        if partners and notes:
            partner = partners[round_number % len(partners)]
            await self._tell((partner,), suspects_data.Notes(notes))

    async def _tell(
        self, addresses: Sequence[str], message: suspects_data.Notes
    ) -> tuple[suspects_data.SuspectNote, ...]:
        replies = await asyncio.gather(
            *(self._tell_one(address, message) for address in addresses)
        )
        return tuple(note for reply in replies for note in reply.notes)

    async def _tell_one(
        self, address: str, message: suspects_data.Notes
    ) -> suspects_data.Notes:
        failure = ''
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._calls.call(
                    address, methods.TELL_SUSPECTS, message, TELL_TIMEOUT_S
                )
            except rpc.RpcError as exc:
                failure = str(exc)
                if exc.code != UNAVAILABLE:
                    break
                # After a peer has restarted or become reachable again, an
                # existing connection waits up to a second before it reconnects.
                await self._calls.disconnect(address)
        logging.warning(
            'event=suspects_not_told peer=%s error=%s', address, failure
        )
        return suspects_data.Notes()
