"""Failure detection among control processes, and exchange of heartbeats.

One member is probed per round. A member that does not answer is suspected only
if other members can't reach it either, and then has time to refute that.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from beryllug.core import member_data, membership
from beryllug.drivers import methods, rpc, rpc_peers
from beryllug.kernel import background_tasks

INDIRECT_PROBES = 2
JOIN_ROUNDS = 10
FULL_SYNC_ROUNDS = 60
PROBE_TIMEOUT_SHARE = 0.5

Listener = Callable[[member_data.Member, int], None]


class MembershipSettings(NamedTuple):
    """Settings of the exchange with other members.

    Attributes:
        zone: Its availability zone.
        seeds: Addresses to contact in order to join.
        heartbeat_s: Time between two probes.
        calls: Calls to peers.
    """

    zone: str
    seeds: tuple[str, ...]
    heartbeat_s: float
    calls: rpc_peers.PeerCaller


class Prober:
    """Exchanges heartbeats with other members.

    Attributes:
        table: The known members and notes.
        rounds: Number of finished probe rounds.
        revision: Configuration revision that heartbeats carry.
        listeners: Called with the sender and revision of each heartbeat.
    """

    def __init__(
        self, own: member_data.Member, join: MembershipSettings
    ) -> None:
        """Initialize; only this process is known before `start`."""
        self.table = membership.Table(own)
        self.revision = 0
        self.rounds = 0
        self.listeners: list[Listener] = []
        self._cfg = join
        self._random = random.Random(own.name)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to probe other members."""
        self._task = asyncio.create_task(
            background_tasks.run_repeatedly('membership', self._run)
        )

    async def stop(self) -> None:
        """Notify the next members on the ring that this process leaves."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        membership.leave(self.table)
        receivers = membership.others(self.table)[:JOIN_ROUNDS]
        await asyncio.gather(
            *(
                self._exchange(member.address, member.name)
                for member in receivers
            )
        )

    async def answer(
        self, heartbeat: member_data.Heartbeat
    ) -> member_data.Heartbeat:
        """Answer a peer's heartbeat."""
        self._merge(heartbeat)
        return self._heartbeat(heartbeat.sender.name, heartbeat.whole)

    async def probe_for_peer(
        self, ask: member_data.ProbeRequest
    ) -> member_data.ProbeReply:
        """Probe a member on behalf of a peer that could not reach it."""
        reply = await self._exchange(ask.address, '')
        return member_data.ProbeReply(reply is not None)

    async def _run(self) -> None:
        started = time.monotonic()
        if self.rounds % JOIN_ROUNDS == 0 or len(self.table.ring) < 2:
            await self._join()
        await self._probe(self.rounds % FULL_SYNC_ROUNDS == 0)
        membership.expire(self.table, self._cfg.heartbeat_s, time.monotonic())
        self.rounds += 1
        spent_s = time.monotonic() - started
        await asyncio.sleep(self._cfg.heartbeat_s - spent_s)

    async def _join(self) -> None:
        """Contact a seed or a dead member, which also heals a partition."""
        known = {member.address for member in membership.others(self.table)}
        known.add(self.table.own.address)
        dead = (
            member.address for member in membership.dead_members(self.table)
        )
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
        if reply is None and not await self._probe_indirectly(target):
            logging.warning('event=member_suspected member=%s', target.name)
            membership.suspect(self.table, target.name, time.monotonic())

    async def _probe_indirectly(self, target: member_data.Member) -> bool:
        """Probe a member through others, as only our link may be broken."""
        proxies = [
            member
            for member in membership.others(self.table)
            if member.name != target.name
        ]
        count = min(INDIRECT_PROBES, len(proxies))
        replies = await asyncio.gather(
            *(
                self._probe_through(proxy, target)
                for proxy in self._random.sample(proxies, count)
            )
        )
        return any(replies)

    async def _probe_through(
        self, proxy: member_data.Member, target: member_data.Member
    ) -> bool:
        ask = member_data.ProbeRequest(target.address)
        try:
            reply = await self._cfg.calls.call(
                proxy.address, methods.PROBE, ask, self._cfg.heartbeat_s
            )
        except rpc.RpcError:
            return False
        return reply.reached

    async def _exchange(
        self, address: str, name: str, *, whole: bool = False
    ) -> member_data.Heartbeat | None:
        heartbeat = self._heartbeat(name, whole)._replace(whole=whole)
        timeout_s = self._cfg.heartbeat_s * PROBE_TIMEOUT_SHARE
        try:
            reply = await self._cfg.calls.call(
                address, methods.HEARTBEAT, heartbeat, timeout_s
            )
        except rpc.RpcError:
            return None
        self._merge(reply)
        return reply

    def _heartbeat(self, receiver: str, whole: bool) -> member_data.Heartbeat:
        table = self.table
        if whole:
            news, notes = membership.full_state(table)
        else:
            news, notes = membership.pop_updates(table, receiver)
        return member_data.Heartbeat(
            sender=table.own,
            news=news,
            notes=notes,
            digest=membership.digest(table),
            revision=self.revision,
        )

    def _merge(self, heartbeat: member_data.Heartbeat) -> None:
        now = time.monotonic()
        received = (heartbeat.sender, *heartbeat.news)
        membership.merge_all(self.table, received, now)
        for note in heartbeat.notes:
            membership.merge_note(self.table, note)
        for listener in self.listeners:
            listener(heartbeat.sender, heartbeat.revision)
