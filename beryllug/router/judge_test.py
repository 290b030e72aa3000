"""Tests of who writes the result of a roll-out to the store."""

import asyncio
import time
import unittest
from typing import Any

from beryllug.control import virtual_time_test
from beryllug.core.canary import canary_data, plan, verdict_write
from beryllug.core.peering import peering_data
from beryllug.drivers import object_data
from beryllug.kernel import log_lines
from beryllug.router import judge, pool, rollout_state, trials

ORDER = canary_data.Order('pool', 'v2', 24, 7)
NEXT_ORDER = canary_data.Order('pool', 'v3', 24, 11)
GOOD = canary_data.Tally(
    requests=200,
    tried=20,
    by_route={
        'chat': canary_data.Evidence(
            answers={'n1': canary_data.Answers(20)},
            old=canary_data.Answers(180),
            new_times={'n1': {'next/0': {-8: 20}}},
            old_times={'next/0': {-8: 180}},
        )
    },
)
BOUNDS = canary_data.Bounds(share=0.15, slack=30, session_s=5)
MESSAGE_DELAY_S = 0.005
WRITE_S = 0.02
STALL_S = 0.6
# Seconds from a write until a process that watches the store tells of it.
NEWS_S = 0.1
# Seconds within which a verdict has to be stored if both judges are refused:
# a roll-out is complete that long before its time is over.
MAX_TAKEOVER_S = 1.2
FLEET_SIZE = 80
Phase = canary_data.Phase


class _Store:
    """The status of one order; accepts one write, and none of some ranks."""

    def __init__(self, refused: tuple[int, ...] = ()) -> None:
        self.refused = refused
        self.fleet: list[_Process] = []
        self.calls: list[tuple[float, int]] = []
        self.stored_at: float | None = None

    async def set_status(self, rank: int, revision: int) -> None:
        """Write the status as the process of a rank."""
        self.calls.append((time.monotonic(), revision))
        await asyncio.sleep(WRITE_S)
        if rank in self.refused:
            raise object_data.UnavailableError('refused')
        if self.stored_at is not None:
            raise object_data.ConflictError(revision + 1)
        self.stored_at = time.monotonic()
        asyncio.get_running_loop().call_later(NEWS_S, self._send_news)

    def _send_news(self) -> None:
        for process in self.fleet:
            process.order(ORDER._replace(revision=8), Phase.ROLLED_BACK)


class _Process:
    """A process: its judge, its access to the store and to the others."""

    def __init__(self, rank: int, store: _Store) -> None:
        self.rank = rank
        self._store = store
        no_servers: Any = None
        lines = log_lines.LineWriter(1)
        self.trials = trials.Trials(
            pool.Pool(no_servers, 'zone', no_servers), BOUNDS, lines
        )
        access: Any = self
        self.judge = judge.Judge(self.trials, access, access, access, lines)
        self.order(ORDER, Phase.TRIAL)

    def order(self, order: canary_data.Order, phase: Phase) -> None:
        """Tell the process an order with its status in the store."""
        self.trials.apply_order(order, phase, time.monotonic())

    def roll_back(self, order: canary_data.Order) -> None:
        """Tell the process that a version was found bad."""
        progress = peering_data.RolloutProgress(
            order.service, order.target, Phase.ROLLED_BACK, 1
        )
        self.trials.apply_phases((progress,), 'peer', time.monotonic())

    def is_judge(self, service: str, rank: int) -> bool:
        """Return whether the process has a rank."""
        return self.rank == rank

    async def set_status(
        self, kind: str, name: str, revision: int, status: Any
    ) -> None:
        """Write the status of an order."""
        await self._store.set_status(self.rank, revision)

    def broadcast_phase(
        self, rollout: rollout_state.Rollout, now: float
    ) -> None:
        """Send the phase of a roll-out to all others."""
        progress = rollout_state.phase_reports((rollout,), now)
        for other in self._store.fleet:
            if other is not self:
                asyncio.get_running_loop().call_later(
                    MESSAGE_DELAY_S,
                    other.trials.apply_phases,
                    progress,
                    f'process-{self.rank}',
                    now,
                )


def _rollout(process: _Process) -> rollout_state.Rollout:
    return next(iter(process.trials.rollouts()))


class JudgeTest(virtual_time_test.VirtualTimeCase):
    """Processes that find a version bad; all processes stall together."""

    async def start(
        self, store: _Store, *ranks: int, apart_s: float = 0
    ) -> list[_Process]:
        """Start processes, some time apart, that know a bad version."""
        self.store = store
        store.fleet.extend(_Process(rank, store) for rank in ranks)
        for number, process in enumerate(store.fleet):
            await asyncio.sleep(apart_s if number else 0)
            process.roll_back(ORDER)
            await process.judge.start()
            self.addAsyncCleanup(process.judge.stop, 0)
        return store.fleet

    async def test_next_rollout(self) -> None:
        """All processes wrote the result of a service's second roll-out."""
        process = (await self.start(_Store(), verdict_write.JUDGES))[0]
        await asyncio.sleep(judge.PERIOD_S * 1.5)
        process.order(ORDER._replace(revision=8), Phase.ROLLED_BACK)
        await asyncio.sleep(BOUNDS.session_s)
        process.order(NEXT_ORDER, Phase.TRIAL)
        process.roll_back(NEXT_ORDER)
        await asyncio.sleep(judge.PERIOD_S * 1.5)
        self.assertEqual(self.store.calls, [])
        await asyncio.sleep(MAX_TAKEOVER_S)
        self.assertEqual(self._revisions(), {NEXT_ORDER.revision})

    async def test_stall(self) -> None:
        """A stall used up the wait for the first judge, and two wrote."""
        for rank in range(1, verdict_write.RANKS):
            with self.subTest(rank=rank):
                process = (await self.start(_Store(), rank))[0]
                await asyncio.sleep(judge.PERIOD_S * 1.01)
                self.clock.now += STALL_S
                await asyncio.sleep(MESSAGE_DELAY_S)
                process.order(ORDER._replace(revision=8), Phase.ROLLED_BACK)
                await asyncio.sleep(MAX_TAKEOVER_S)
                self.assertEqual(self.store.calls, [])

    async def test_stalls(self) -> None:
        """Processes that all stalled wrote one result several times."""
        for step in range(100):
            with self.subTest(step=step):
                fleet = await self.start(_Store(), 2, 1, 0, apart_s=0.08)
                await asyncio.sleep(step * MESSAGE_DELAY_S)
                self.clock.now += STALL_S
                await asyncio.sleep(NEWS_S)
                self.clock.now += STALL_S
                await asyncio.sleep(MAX_TAKEOVER_S)
                self.assertEqual(len(self.store.calls), 1, self.store.calls)
                for process in fleet:
                    await process.judge.stop(0)

    async def test_same_turn(self) -> None:
        """A late first judge and its standby wrote in the same turn."""
        for step in range(100):
            with self.subTest(step=step):
                fleet = await self.start(_Store(), 1, 0, apart_s=0.25)
                await asyncio.sleep(step * MESSAGE_DELAY_S)
                self.clock.now += STALL_S
                await asyncio.sleep(MAX_TAKEOVER_S)
                self.assertEqual(len(self.store.calls), 1, self.store.calls)
                for process in fleet:
                    await process.judge.stop(0)

    async def test_large_fleet(self) -> None:
        """With both judges refused, all others of a fleet wrote at once."""
        apart_s = judge.PERIOD_S / FLEET_SIZE
        await self.start(_Store((0, 1)), *range(FLEET_SIZE), apart_s=apart_s)
        started_at = time.monotonic()
        await asyncio.sleep(MAX_TAKEOVER_S)
        assert self.store.stored_at is not None
        self.assertLess(self.store.stored_at - started_at, MAX_TAKEOVER_S)
        # The judges write again in each period.
        judge_calls = 2 * MAX_TAKEOVER_S / judge.PERIOD_S
        others = len(self.store.calls) - judge_calls
        self.assertLess(others, verdict_write.RANKS)

    async def test_refused_again(self) -> None:
        """A process wrote again and again on an order that had changed."""
        store = _Store()
        store.stored_at = time.monotonic()
        process = (await self.start(store, 0))[0]
        await asyncio.sleep(MAX_TAKEOVER_S)
        self.assertEqual(len(store.calls), 1)
        process.order(ORDER._replace(revision=9), Phase.TRIAL)
        await asyncio.sleep(judge.PERIOD_S * 1.5)
        self.assertEqual(self._revisions(), {ORDER.revision, 9})

    async def test_unavailable(self) -> None:
        """A judge writes until the store accepts it."""
        await self.start(_Store((0,)), 0)
        await asyncio.sleep(MAX_TAKEOVER_S)
        self.store.refused = ()
        await asyncio.sleep(judge.PERIOD_S * 1.5)
        self.assertIsNotNone(self.store.stored_at)

    async def test_unproven(self) -> None:
        """A process without evidence has a version rolled back everywhere.

        While the store is away, requests go on to a version that is not proven
        after the time of its order.
        """
        store = _Store((0, 1, 2))
        store.fleet.extend(_Process(rank, store) for rank in range(3))
        for process in store.fleet:
            await process.judge.start()
            self.addAsyncCleanup(process.judge.stop, 0)
        table = (
            (ORDER.duration_s - MAX_TAKEOVER_S / 2, 0, Phase.TRIAL),
            (MAX_TAKEOVER_S / 2 - judge.PERIOD_S, 1, Phase.TRIAL),
            (2 * judge.PERIOD_S, 3, Phase.ROLLED_BACK),
        )
        for wait_s, min_calls, phase in table:
            with self.subTest(wait_s):
                await asyncio.sleep(wait_s)
                self.assertGreaterEqual(len(store.calls), min_calls)
                phases = {
                    rollout.phase
                    for each in store.fleet
                    for rollout in each.trials.rollouts()
                }
                self.assertEqual(phases, {phase})

    async def test_full(self) -> None:
        """A process that knows few requests sends all to a version."""
        store = _Store()
        ranks = (0, 1, verdict_write.JUDGES)
        store.fleet.extend(_Process(rank, store) for rank in ranks)
        for process in store.fleet:
            await process.judge.start()
            self.addAsyncCleanup(process.judge.stop, 0)
        knows_first = store.fleet[-1]
        _rollout(knows_first).tally = GOOD
        await asyncio.sleep(ORDER.duration_s * (1 - plan.MIN_FULL_RATIO / 2))
        phases = {_rollout(each).phase for each in store.fleet}
        self.assertEqual(phases, {Phase.TRIAL})
        _rollout(store.fleet[0]).tally = GOOD
        await asyncio.sleep(judge.PERIOD_S + 2 * MESSAGE_DELAY_S)
        phases = {_rollout(each).phase for each in store.fleet}
        self.assertEqual(phases, {Phase.FULL})

    def _revisions(self) -> set[int]:
        return {revision for _, revision in self.store.calls}


if __name__ == '__main__':
    unittest.main()
