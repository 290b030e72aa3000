"""Tell other control processes what is known of suspected requests.

A loss concerns every process, so all are told; in waves, since a process
keeps clients for some dozens of peers only.
"""

import asyncio
import time
from collections.abc import Sequence
from typing import Protocol

from absl import logging

from beryllug.core import rendezvous, suspects_data
from beryllug.drivers import methods, rpc, rpc_peers

TRIALS = 'trials of suspected requests'
# Seconds for a peer to tell its entries and have them confirm it.
SPREAD_S = 1.0
ASK_S = 0.3
WAVE = 32
# Calls until a peer counts as not reached.
TRIES = 2
UNAVAILABLE = 'UNAVAILABLE'


class Others(Protocol):
    """What this needs of the neighbours."""

    def everyone(self) -> tuple[str, ...]:
        """Return the addresses of all other control processes."""

    def partners(self) -> tuple[str, ...]:
        """Return the addresses of a few of them."""


class Members(Protocol):
    """What this needs of the membership."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members, this process among them."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""


class Spread:
    """Calls of one control process to the others."""

    def __init__(
        self,
        name: str,
        others: Others,
        members: Members,
        calls: rpc_peers.RedialingCaller,
    ) -> None:
        """Bind the neighbours and the connections to them."""
        self._name = name
        self._others = others
        self._members = members
        self._calls = calls

    def deciders(self) -> list[str]:
        """Return who decides on trials: the first of these that answers."""
        live = self._members.live(time.monotonic())
        return rendezvous.order(TRIALS, {self._name, *live})

    async def pass_on(
        self, ask: suspects_data.TrialAsk
    ) -> suspects_data.TrialReply | None:
        """Have a trial decided by another process.

        Returns:
            The reply; None where this process is the one to decide.
        """
        passed = ask._replace(hops=ask.hops + 1)
        for member in self.deciders():
            if member == self._name:
                return None
            address = self._members.address_of(member)
            if address is None:
                continue
            try:
                return await self._calls.call(
                    address, methods.TRY_SUSPECT, passed, ASK_S
                )
            except rpc.RpcError:
                logging.warning('event=trial_not_decided member=%s', member)
        return None

    async def tell_all(self, notes: tuple[suspects_data.Note, ...]) -> None:
        """Tell every other process, for a bounded time."""
        addresses = self._others.everyone()
        message = suspects_data.Notes(notes)
        for start in range(0, len(addresses), WAVE):
            await self._tell(addresses[start : start + WAVE], message)

    async def ask_partners(self) -> tuple[suspects_data.Note, ...]:
        """Return what a few others know."""
        message = suspects_data.Notes(wants=True)
        return await self._tell(self._others.partners(), message)

    async def exchange(
        self, notes: tuple[suspects_data.Note, ...], turn: int
    ) -> None:
        """Tell one of the partners, each in its turn."""
        partners = self._others.partners()
        if partners and notes:
            partner = partners[turn % len(partners)]
            await self._tell((partner,), suspects_data.Notes(notes))

    async def _tell(
        self, addresses: Sequence[str], message: suspects_data.Notes
    ) -> tuple[suspects_data.Note, ...]:
        replies = await asyncio.gather(
            *(self._tell_one(address, message) for address in addresses)
        )
        return tuple(note for reply in replies for note in reply.notes)

    async def _tell_one(
        self, address: str, message: suspects_data.Notes
    ) -> suspects_data.Notes:
        failure = ''
        for _ in range(TRIES):
            try:
                return await self._calls.call(
                    address, methods.TELL_SUSPECTS, message, SPREAD_S
                )
            except rpc.RpcError as exc:
                failure = str(exc)
                if exc.code != UNAVAILABLE:
                    break
                # After a peer's start or return a kept connection waits up to
                # a second before it tries to connect again.
                await self._calls.drop(address)
        logging.warning(
            'event=suspects_not_told peer=%s error=%s', address, failure
        )
        return suspects_data.Notes()
