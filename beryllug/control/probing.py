"""The task that probes other control processes and passes news on.

It probes one member a round. One that does not answer is suspected only when
others can't reach it either, and has time to contradict.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from beryllug.control import lasting
from beryllug.core import member_data, membership
from beryllug.drivers import methods, rpc, rpc_peers

HELPERS = 2
JOIN_ROUNDS = 10
WHOLE_ROUNDS = 60
TIMEOUT_SHARE = 0.5

Listener = Callable[[member_data.Member, int], None]


class Join(NamedTuple):
    """How a process takes part.

    Attributes:
        zone: Its availability zone.
        seeds: Addresses to join by.
        heartbeat_s: Time between two probes.
        calls: Calls to peers.
    """

    zone: str
    seeds: tuple[str, ...]
    heartbeat_s: float
    calls: rpc_peers.Caller


class Prober:
    """Exchanges heartbeats with other members.

    Attributes:
        table: What is believed of them.
        rounds: Rounds of probes so far.
        revision: Revision of the configuration that peers are told.
        listeners: Called with each member heard and its revision.
    """

    def __init__(self, own: member_data.Member, join: Join) -> None:
        """Make the prober; it knows only itself before `start`."""
        self.table = membership.Table(own)
        self.revision = 0
        self.rounds = 0
        self.listeners: list[Listener] = []
        self._cfg = join
        self._random = random.Random(own.name)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to probe."""
        self._task = asyncio.create_task(
            lasting.repeat('membership', self._run)
        )

    async def stop(self) -> None:
        """Tell the next members on the ring that this process leaves."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        membership.leave(self.table)
        told = membership.others(self.table)[:JOIN_ROUNDS]
        await asyncio.gather(
            *(self._exchange(member.address, member.name) for member in told)
        )

    async def answer(
        self, heartbeat: member_data.Heartbeat
    ) -> member_data.Heartbeat:
        """Answer a peer's heartbeat."""
        self._take(heartbeat)
        return self._heartbeat(heartbeat.sender.name, heartbeat.whole)

    async def probe_for(
        self, ask: member_data.ProbeAsk
    ) -> member_data.ProbeReply:
        """Probe a member for a peer that could not reach it."""
        reply = await self._exchange(ask.address, '')
        return member_data.ProbeReply(reply is not None)

    async def _run(self) -> None:
        started = time.monotonic()
        if self.rounds % JOIN_ROUNDS == 0 or len(self.table.ring) < 2:
            await self._join()
        await self._probe(self.rounds % WHOLE_ROUNDS == 0)
        membership.expire(self.table, self._cfg.heartbeat_s, time.monotonic())
        self.rounds += 1
        spent_s = time.monotonic() - started
        await asyncio.sleep(self._cfg.heartbeat_s - spent_s)

    async def _join(self) -> None:
        """Try a seed or a dead member: that is how two halves meet again."""
        known = {member.address for member in membership.others(self.table)}
        known.add(self.table.own.address)
        dead = (member.address for member in membership.gone(self.table))
        missing = [
            address
            for address in (*self._cfg.seeds, *dead)
            if address not in known
        ]
        if missing:
            address = self._random.choice(missing)
            await self._exchange(address, '', whole=True)

    async def _probe(self, compare: bool) -> None:
        target = membership.next_target(self.table)
        if target is None:
            return
        reply = await self._exchange(target.address, target.name)
        own = membership.digest(self.table)
        if reply is not None and compare and reply.digest != own:
            await self._exchange(target.address, target.name, whole=True)
        if reply is None and not await self._others_reach(target):
            logging.warning('event=member_suspected member=%s', target.name)
            membership.suspect(self.table, target.name, time.monotonic())

    async def _others_reach(self, target: member_data.Member) -> bool:
        """Let others probe a member: our own link to it may be broken."""
        helpers = [
            member
            for member in membership.others(self.table)
            if member.name != target.name
        ]
        count = min(HELPERS, len(helpers))
        replies = await asyncio.gather(
            *(
                self._ask_helper(helper, target)
                for helper in self._random.sample(helpers, count)
            )
        )
        return any(replies)

    async def _ask_helper(
        self, helper: member_data.Member, target: member_data.Member
    ) -> bool:
        ask = member_data.ProbeAsk(target.address)
        try:
            reply = await self._cfg.calls.call(
                helper.address, methods.PROBE, ask, self._cfg.heartbeat_s
            )
        except rpc.RpcError:
            return False
        return reply.reached

    async def _exchange(
        self, address: str, name: str, *, whole: bool = False
    ) -> member_data.Heartbeat | None:
        heartbeat = self._heartbeat(name, whole)._replace(whole=whole)
        timeout_s = self._cfg.heartbeat_s * TIMEOUT_SHARE
        try:
            reply = await self._cfg.calls.call(
                address, methods.HEARTBEAT, heartbeat, timeout_s
            )
        except rpc.RpcError:
            return None
        self._take(reply)
        return reply

    def _heartbeat(self, receiver: str, whole: bool) -> member_data.Heartbeat:
        table = self.table
        if whole:
            news, notes = membership.everything(table)
        else:
            news, notes = membership.take_news(table, receiver)
        return member_data.Heartbeat(
            sender=table.own,
            news=news,
            notes=notes,
            digest=membership.digest(table),
            revision=self.revision,
        )

    def _take(self, heartbeat: member_data.Heartbeat) -> None:
        now = time.monotonic()
        told = (heartbeat.sender, *heartbeat.news)
        membership.merge_all(self.table, told, now)
        for note in heartbeat.notes:
            membership.merge_note(self.table, note)
        for listener in self.listeners:
            listener(heartbeat.sender, heartbeat.revision)
