"""Tests of who writes the result of a roll-out to the store."""

import asyncio
import time
import unittest
from typing import Any

from beryllug.control import virtual_time_test
from beryllug.core.canary import canary_data
from beryllug.core.peering import peering_data
from beryllug.kernel import log_lines
from beryllug.router import judge, peering, pool, rollout_state, trials

ORDER = canary_data.Order('pool', 'v2', 24, 7)
NEXT_ORDER = canary_data.Order('pool', 'v3', 24, 11)
BOUNDS = canary_data.Bounds(share=0.15, slack=30, session_s=5)
PEER = 'peer'
Phase = canary_data.Phase


class _Store:
    """Accepts each write, and records the revision it was written on."""

    def __init__(self) -> None:
        self.written: list[int] = []

    async def set_status(
        self, kind: str, name: str, revision: int, status: Any
    ) -> None:
        """Write the status."""
        self.written.append(revision)


class _Peers:
    """The other processes, which rank before this one or after it."""

    def __init__(self, rank: int) -> None:
        self.rank = rank

    def is_judge(self, service: str, rank: int) -> bool:
        """Return whether this process has a rank."""
        return self.rank == rank

    def broadcast_phase(
        self, rollout: rollout_state.Rollout, now: float
    ) -> None:
        """Send nothing."""


class JudgeTest(virtual_time_test.VirtualTimeCase):
    """One process; what the others do is called by the test."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = _Store()

    async def start(self, rank: int) -> None:
        """Start a process of a rank, which knows an order."""
        no_servers: Any = None
        self.trials = trials.Trials(
            pool.Pool(no_servers, 'zone', no_servers),
            BOUNDS,
            log_lines.LineWriter(1),
        )
        self.trials.apply_order(ORDER, Phase.TRIAL, time.monotonic())
        peers: Any = _Peers(rank)
        api: Any = self.store
        self.judge = judge.Judge(
            self.trials, peers, peers, api, log_lines.LineWriter(1)
        )
        await self.judge.start()
        self.addAsyncCleanup(self.judge.stop, 0)

    def roll_back(self, order: canary_data.Order) -> None:
        """Tell the process that a version was found bad."""
        progress = peering_data.RolloutProgress(
            order.service, order.target, Phase.ROLLED_BACK, 1
        )
        self.trials.apply_phases((progress,), PEER, time.monotonic())

    async def test_next_rollout(self) -> None:
        """A process waits for the judges in each roll-out of a service.

        Otherwise all processes write the second result at the same time.
        """
        await self.start(peering.JUDGES)
        self.roll_back(ORDER)
        await asyncio.sleep(judge.PERIOD_S * 1.5)
        stored = ORDER._replace(revision=8)
        self.trials.apply_order(stored, Phase.ROLLED_BACK, time.monotonic())
        await asyncio.sleep(BOUNDS.session_s)
        self.trials.apply_order(NEXT_ORDER, Phase.TRIAL, time.monotonic())
        self.roll_back(NEXT_ORDER)
        await asyncio.sleep(judge.TAKEOVER_DELAY_S + judge.PERIOD_S / 2)
        self.assertEqual(self.store.written, [])
        await asyncio.sleep(1)
        self.assertEqual(self.store.written, [NEXT_ORDER.revision])


if __name__ == '__main__':
    unittest.main()
