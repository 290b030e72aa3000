"""Service 'peering': exchanges store data and news with peers.

A process that the store refuses, or that starts while the store is down, gets
the route table and the backend servers from its peers.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from beryllug.core import settings_data
from beryllug.core.canary import verdict_write
from beryllug.core.peering import members, peering_data, stamp_fields
from beryllug.drivers import (
    answer_timeouts,
    router_methods,
    rpc,
    rpc_peers,
)
from beryllug.kernel import background_tasks, log_lines
from beryllug.router import store_exchange, rollout_state, roster, trials

# Seconds between two rounds of calls, and peers that are called per round. Two
# calls per second of about 500 bytes spread news through a fleet of 900 in
# about ten rounds, at 2 KB/s per process.
PERIOD_S = 1.0
FAN_OUT = 2
# Seconds between two rounds while no other process is known. When all start
# together, the seeds may begin to listen a third of a second after this
# process, and one that knows no seed by then reads the store itself.
ALONE_PERIOD_S = 0.15
# Seconds between two checks whether the judges of a roll-out lack evidence:
# they must learn of a bad version within a second.
EVIDENCE_CHECK_S = 0.4
# Seconds after which the judges also get the results of the other versions.
# Those are nearly all results, so each check would otherwise mean a call to
# each judge.
EVIDENCE_REFRESH_S = 2.0
CALL_TIMEOUT_S = 0.8
# Range of the jitter factor of each round, so that processes that started
# together do not call together.
JITTER = (0.8, 1.2)
# Seconds between two calls to a lost process or a seed.
RECONNECT_PERIOD_S = 5.0
# Failed calls after which a process counts as gone.
MAX_CALL_ATTEMPTS = 2
# Maximum number of failed calls that do not count, since this process stalled.
MAX_STALLED_CALLS = 2
Suspects = tuple[peering_data.SuspectReport, ...]


class Peering:
    """Exchanges digests with a few peers at a time.

    Attributes:
        roster: The known processes.
        members: The same, for the functions that decide by them.
        contact: Contacts a known process: by a call, or by a probe once the
            service 'sharing' has set it.
        store_exchange: The store data of this process.
        timeouts: Creates timeouts by the stalls of this process.
        suspects: Returns what is known of requests that crash servers.
        on_suspects: Called with what a peer knows of them.
        has_accusations: Returns whether this process knows what the store has
            of them.
        on_accusations: Called once a peer that does has told of them.
    """

    def __init__(
        self,
        process: settings_data.Process,
        cfg: settings_data.Router,
        calls: rpc_peers.Peers,
        known: store_exchange.StoreExchange,
        canaries: trials.Trials,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the data that is exchanged."""
        self.timeouts = answer_timeouts.AnswerTimeouts()
        self.roster = roster.Roster(process.name, lines)
        self.members = self.roster.members
        self.contact: Callable[[str], None] = self._call_peer
        self.suspects: Callable[[float], Suspects] = _no_suspects
        self.on_suspects: Callable[[Suspects, float], None] = _ignore_suspects
        self.has_accusations: Callable[[], bool] = _never
        self.on_accusations: Callable[[], None] = _ignore_accusations
        self._cfg = cfg
        self._calls = calls
        self.store_exchange = known
        self._trials = canaries
        self._rng = random.Random(process.name)
        self._zone = process.zone
        self._reconnect_at = 0.0
        self._leaving = False
        self._task: asyncio.Task[None] | None = None
        self._calls_in_flight: set[asyncio.Task[None]] = set()

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the handler for calls of peers."""
        server.unary(router_methods.COMPARE, self._answer)

    async def start(self) -> None:
        """Start calling peers, the seeds first."""
        self._task = background_tasks.start('peering', self._run)

    async def stop(self, grace_s: float) -> None:
        """Tell some peers that this process is stopping."""
        if self._task is not None:
            self._task.cancel()
        self._leaving = True
        for name in members.choose_gossip_peers(
            self.members, self._zone, FAN_OUT, self._rng
        ):
            self._call_peer(name)
        if self._calls_in_flight:
            await asyncio.wait(self._calls_in_flight, timeout=CALL_TIMEOUT_S)

    def dump(self) -> dict[str, Any]:
        """Return the known processes and their time since a sign of life."""
        now = time.monotonic()
        return {
            name: {'address': each.address, 'ago_s': now - each.heard_at}
            for name, each in self.members.known.items()
        }

    def is_judge(self, service: str, rank: int) -> bool:
        """Tell whether this process is the judge of the given rank."""
        order = members.ranked(self.members, service)
        return order.index(self.members.name) == rank

    async def compare(self, address: str, max_delay_s: float = 0.0) -> None:
        """Exchange digests with a peer, after a bounded random delay."""
        if max_delay_s:
            await asyncio.sleep(max_delay_s * self._rng.random())
        failures = 0
        for _ in range(MAX_CALL_ATTEMPTS + MAX_STALLED_CALLS):
            called_at = time.monotonic()
            reply = await self._try_compare(address)
            if reply is not None:
                self.roster.reached()
                self._apply_digest(reply)
                if reply.has_accusations:
                    self.on_accusations()
                return
            # A peer is not at fault if this process was late to its answer.
            now = time.monotonic()
            failures += not self.timeouts.stalled_s(called_at, now)
            if failures == MAX_CALL_ATTEMPTS:
                self.roster.drop_unreachable(address)
                return

    def call_later(self, address: str) -> None:
        """Exchange digests with a process in a background task."""
        task = background_tasks.run_once('compare', self.compare(address))
        self._calls_in_flight.add(task)
        task.add_done_callback(self._calls_in_flight.discard)

    async def _try_compare(self, address: str) -> peering_data.Digest | None:
        packed = stamp_fields.pack_digest(self._digest())
        try:
            reply: peering_data.Digest = await self._calls.call(
                address, router_methods.COMPARE, packed, CALL_TIMEOUT_S
            )
        except rpc.RpcError:
            # The connection may be dead, so it is not reused.
            await self._calls.disconnect(address)
            return None
        return _unpack(reply, self.store_exchange)

    async def _run(self) -> None:
        due_at = 0.0
        while True:
            now = time.monotonic()
            self.roster.forget(now)
            called = set(self._judges(now))
            if now >= due_at:
                due_at = now + PERIOD_S * self._rng.uniform(*JITTER)
                chosen = members.choose_gossip_peers(
                    self.members, self._zone, FAN_OUT, self._rng
                )
                called |= self._reconnect_targets(len(chosen), now)
                for name in chosen:
                    self.contact(name)
            if not self.members.known:
                due_at = now
            for address in called:
                self.call_later(address)
            pause_s = EVIDENCE_CHECK_S if self.members.known else ALONE_PERIOD_S
            if (
                self.members.known
                and not self._trials.has_open_rollout.is_set()
            ):
                pause_s = max(due_at - now, EVIDENCE_CHECK_S)
            await asyncio.sleep(pause_s * self._rng.uniform(*JITTER))

    def _judges(self, now: float) -> list[str]:
        """Return the addresses of judges that lack evidence of this process."""
        chosen = []
        for rollout in self._trials.rollouts():
            is_due = now - rollout.reported_at > EVIDENCE_REFRESH_S
            if rollout.is_open and (rollout.has_unreported_answers or is_due):
                rollout.has_unreported_answers = False
                rollout.reported_at = now
                order = members.ranked(self.members, rollout.order.service)
                chosen.extend(order[: verdict_write.JUDGES])
        return members.addresses(self.members, chosen)

    def _reconnect_targets(self, chosen: int, now: float) -> set[str]:
        """Return addresses to call that are not those of known processes.

        Args:
            chosen: Count of known processes that are called in this round.
            now: Current time in seconds.
        """
        called = set(self._cfg.seeds) if chosen < FAN_OUT else set()
        gone = [each.address for each in self.members.gone.values()]
        unreached = [*self._cfg.seeds, *gone]
        if unreached and now >= self._reconnect_at:
            self._reconnect_at = now + RECONNECT_PERIOD_S
            called.add(self._rng.choice(unreached))
        called.discard(self._cfg.peer_listen)
        return called

    def _call_peer(self, name: str) -> None:
        for address in members.addresses(self.members, (name,)):
            self.call_later(address)

    async def _answer(self, asked: peering_data.Digest) -> peering_data.Digest:
        digest = _unpack(asked, self.store_exchange)
        self._apply_digest(digest)
        now = time.monotonic()
        reply = self.store_exchange.add_missing(
            self._digest()._replace(suspects=self.suspects(now)),
            digest.versions,
            now,
        )
        return stamp_fields.pack_digest(reply)

    def _digest(self) -> peering_data.Digest:
        now = time.monotonic()
        rollouts = self._trials.rollouts()
        return peering_data.Digest(
            name=self.members.name,
            address=self._cfg.peer_listen,
            notes=self._cfg.notes_listen,
            is_leaving=self._leaving,
            versions=self.store_exchange.versions(),
            evacuated=self.store_exchange.evacuated(),
            peers=members.sample_peers(self.members, now, self._rng),
            rollouts=rollout_state.phase_reports(rollouts, now),
            tallies=rollout_state.tally_reports(rollouts),
            zone=self._zone,
            has_accusations=self.has_accusations(),
        )

    def _apply_digest(self, digest: peering_data.Digest) -> None:
        now = time.monotonic()
        if digest.is_leaving:
            self.roster.record_gone(digest.name, now)
        else:
            seen = members.KnownPeer(
                digest.address, digest.notes, now, digest.zone
            )
            self.roster.record_alive(digest.name, seen)
        self.roster.merge_peers(digest.peers, now)
        self._trials.apply_digest(digest, now)
        self.on_suspects(digest.suspects, now)
        self.store_exchange.apply(digest, now)


def _unpack(
    digest: peering_data.Digest, known: store_exchange.StoreExchange
) -> peering_data.Digest:
    return stamp_fields.unpack_digest(digest, known.newest_stamp())


def _no_suspects(now: float) -> Suspects:
    """Default of `suspects`."""
    return ()


def _never() -> bool:
    """Default of `has_accusations`."""
    return False


def _ignore_accusations() -> None:
    """Default of `on_accusations`."""


def _ignore_suspects(found: Suspects, now: float) -> None:
    """Default of `on_suspects`."""
