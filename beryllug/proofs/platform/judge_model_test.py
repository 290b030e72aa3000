"""The judges of a roll-out under any series of freezes, kills and outages.

Four processes judge one roll-out. Each counts answers of its own, reports them
to the judges when it can, and may be killed, frozen or cut off from the store.
The store holds the outcome of the roll-out.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from hypothesis import given, settings, strategies

from beryllug.control import virtual_time_test
from beryllug.core.canary import canary_data
from beryllug.core.peering import peering_data
from beryllug.core.placement import servers_data
from beryllug.drivers import object_data
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import judge, pool, rollout_state, trials

NAMES = ('a', 'b', 'c', 'd')
ORDER = canary_data.Order('pool', 'v2', 12, 7)
BOUNDS = canary_data.Bounds(share=0.15, slack=30, session_s=5)
RETRY_BOUND: Any = None
INSTANCES = ('n1', 'n2')
DIGEST_INTERVAL_S = 0.4
STEP_S = 0.3
# Seconds until the end of a roll-out is stored once all faults are over: the
# wait of the second judge and of any other, and one check of each.
SETTLE_S = 6.0
Phase = canary_data.Phase


class _Store:
    """The status of the one order; only the first write succeeds."""

    def __init__(self) -> None:
        self.ends: list[str] = []
        self.is_down = False

    async def set_status(
        self, kind: str, name: str, revision: int | None, status: Any
    ) -> None:
        """Write the status, as the platform's store does."""
        await asyncio.sleep(STEP_S / 3)
        if self.is_down:
            raise object_data.UnavailableError('down')
        if self.ends:
            raise object_data.ConflictError(ORDER.revision + 1)
        self.ends.append(status['state'])


class _Process:
    """One process: its counts and its judge."""

    def __init__(self, name: str, world: '_World') -> None:
        self.name = name
        self.is_frozen = False
        lines = log_lines.LineWriter(1)
        listed: Any = None
        servers = pool.Pool(listed, 'zone', RETRY_BOUND)
        self.trials = trials.Trials(servers, BOUNDS, lines)
        self.trials.apply_order(ORDER, Phase.TRIAL, world.now())
        api: Any = world.store
        peers: Any = _Peers(name, world)
        self._judge = judge.Judge(self.trials, peers, peers, api, lines)

    @property
    def rollout(self) -> rollout_state.Rollout:
        """Return the one roll-out."""
        return next(iter(self.trials.rollouts()))

    async def start(self) -> None:
        """Start judging."""
        await self._judge.start()

    async def stop(self) -> None:
        """Stop the process."""
        await self._judge.stop(0)

    def digest(self, now: float) -> peering_data.Digest:
        """Return what it reports to a judge."""
        return peering_data.Digest(
            self.name,
            self.name,
            self.name,
            rollouts=rollout_state.phase_reports((self.rollout,), now),
            tallies=rollout_state.tally_reports((self.rollout,)),
        )


class _Peers:
    """The other processes as one sees them; it also sends them phases."""

    def __init__(self, name: str, world: '_World') -> None:
        self._name = name
        self._world = world

    def is_judge(self, service: str, rank: int) -> bool:
        """Return whether this process is the judge of a rank."""
        alive = sorted(self._world.processes)
        return rank < len(alive) and alive[rank] == self._name

    def broadcast_phase(
        self, rollout: rollout_state.Rollout, now: float
    ) -> None:
        """Send the phase to all processes that are not frozen."""
        news = rollout_state.phase_reports((rollout,), now)
        for other in self._world.processes.values():
            if not other.is_frozen:
                other.trials.apply_phases(news, self._name, now)


class _World:
    """The processes, the store, and a version that is good or bad."""

    def __init__(self, seed: int, is_bad: bool) -> None:
        self.store = _Store()
        self.processes: dict[str, _Process] = {}
        self.is_bad = is_bad
        self.rng = random.Random(seed)

    def now(self) -> float:
        """Return the current time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start all processes."""
        for name in NAMES:
            await self._start_process(name)

    async def restart(self) -> None:
        """Kill a process and restart it with no counts."""
        name = self._random_name()
        await self.processes.pop(name).stop()
        await self._start_process(name)

    async def freeze(self) -> None:
        """Freeze a process: it receives nothing until it is thawed."""
        self.processes[self._random_name()].is_frozen = True

    async def thaw(self) -> None:
        """Thaw all processes."""
        for process in self.processes.values():
            process.is_frozen = False

    async def down(self) -> None:
        """Make the store unavailable."""
        self.store.is_down = True

    async def up(self) -> None:
        """Make the store available."""
        self.store.is_down = False

    async def answer(self) -> None:
        """Count some answers of both versions at random processes."""
        for _ in range(4):
            self._count('old', 'v1', is_good=True)
            for instance in INSTANCES:
                self._count(instance, ORDER.target, is_good=not self.is_bad)

    def exchange_digests(self) -> None:
        """Exchange counts between processes and show them the store."""
        now = self.now()
        reachable = [
            each for each in self.processes.values() if not each.is_frozen
        ]
        for one in reachable:
            for other in reachable:
                if one is not other:
                    other.trials.apply_digest(one.digest(now), now)
            if self.store.ends and not self.store.is_down:
                self._show_status(one, now)

    async def stop(self) -> None:
        """Stop all processes."""
        for process in self.processes.values():
            await process.stop()

    def _show_status(self, process: _Process, now: float) -> None:
        stored = {'state': self.store.ends[0], 'target': ORDER.target}
        spec = {
            'service': ORDER.service,
            'target': ORDER.target,
            'duration_s': ORDER.duration_s,
        }
        order, phase = documents.order(
            ORDER.service, ORDER.revision + 1, spec, stored
        )
        process.trials.apply_order(order, phase, now)

    async def _start_process(self, name: str) -> None:
        self.processes[name] = _Process(name, self)
        await self.processes[name].start()

    def _random_name(self) -> str:
        return self.rng.choice(sorted(self.processes))

    def _count(self, instance: str, version: str, *, is_good: bool) -> None:
        process = self.processes[self._random_name()]
        if process.rollout.is_open:
            server = servers_data.Server(
                instance,
                ORDER.service,
                'address',
                'zone',
                version,
                1,
                servers_data.State.READY,
            )
            rollout_state.count(
                process.rollout, server, 'chat', is_good=is_good, took=()
            )


STEPS = ('answer', 'restart', 'freeze', 'thaw', 'down', 'up')


class JudgeModelTest(virtual_time_test.VirtualTimeCase):
    """One roll-out until it ends."""

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.lists(strategies.sampled_from(STEPS), max_size=20),
        strategies.integers(0, 1000),
        strategies.booleans(),
    )
    def test_series(
        self, steps: Sequence[str], seed: int, is_bad: bool
    ) -> None:
        """It ends once, the same for all, as the answers require."""
        asyncio.run(self._play(_World(seed, is_bad), steps))

    async def _play(self, world: _World, steps: Sequence[str]) -> None:
        await world.start()
        exchange = asyncio.create_task(_exchange_digests(world))
        for step in steps:
            await getattr(world, step)()
            await asyncio.sleep(STEP_S)
            self._check(world)
        await world.up()
        await world.thaw()
        for _ in range(4):
            await world.answer()
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(ORDER.duration_s + SETTLE_S)
        self._check(world)
        expected = Phase.ROLLED_BACK if world.is_bad else Phase.COMPLETE
        self.assertEqual(world.store.ends, [expected.value])
        phases = {each.rollout.phase for each in world.processes.values()}
        self.assertEqual(phases, {expected})
        exchange.cancel()
        await world.stop()

    def _check(self, world: _World) -> None:
        self.assertLessEqual(len(world.store.ends), 1)
        wrong = Phase.COMPLETE if world.is_bad else Phase.ROLLED_BACK
        self.assertNotIn(wrong.value, world.store.ends)


async def _exchange_digests(world: _World) -> None:
    while True:
        await asyncio.sleep(DIGEST_INTERVAL_S)
        world.exchange_digests()
