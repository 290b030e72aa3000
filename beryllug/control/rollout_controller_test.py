"""Tests of the decisions about a rollout, in virtual time."""

import asyncio
import unittest

import msgspec

from beryllug.control import (
    fake_platform_test,
    rollout_controller,
    virtual_time_test,
)
from beryllug.core import config_data, rollout_data, rpc_data, view_data

KEY = f'{rollout_controller.PREFIX}desk'
ENTRY = 'entry/1'
NEW = config_data.VersionRef('desk', 'v2')
OLD = config_data.VersionRef('desk', 'v1')
DECLARED = config_data.Rollout(
    'desk', 'v1', 'v2', (5, 100), 160, max_error_rate=0.05, min_rating=0
)
Fault = fake_platform_test.Fault


def _report(sequence: int, *, failed: bool) -> rpc_data.EvidenceReport:
    counts = (
        rpc_data.VersionEvidence(NEW, 'kutch', 8, 8 * failed, 0),
        rpc_data.VersionEvidence(OLD, 'kutch', 8, 0, 0),
    )
    return rpc_data.EvidenceReport(ENTRY, sequence, counts)


class ControlProcess:
    """A control process that may decide about the rollout."""

    def __init__(self, store: fake_platform_test.Store) -> None:
        """Create a process that holds the lease."""
        self.client = fake_platform_test.Client(store)
        self.client.fault_prefix = rollout_controller.PREFIX
        self.holds = True
        self.shown: list[rpc_data.RolloutState] = []
        self.controller = rollout_controller.RolloutController(
            'desk',
            self.client,
            lambda: DECLARED,
            lambda: self.holds,
            lambda ref: True,
            self.shown.append,
        )

    async def begin(self) -> None:
        """Start the decision loop and wait for the first state."""
        self.controller.start()
        async with asyncio.timeout(30):
            while not self.shown:
                await asyncio.sleep(0.1)

    async def report(self, sequence: int, *, failed: bool = False) -> bool:
        """Send a report once; tell whether it was acknowledged."""
        return await self.controller.add_report(
            _report(sequence, failed=failed)
        )

    async def report_until_taken(self, sequence: int) -> None:
        """Send a report until it is acknowledged, as an entry does."""
        async with asyncio.timeout(30):
            while not await self.report(sequence):
                await asyncio.sleep(0.1)


class RolloutControllerTest(virtual_time_test.VirtualTimeCase):
    """Evidence survives a crash of the lease holder and is counted once."""

    def setUp(self) -> None:
        """Create a platform and two control processes."""
        self.store = fake_platform_test.Store()
        self.first = ControlProcess(self.store)
        self.second = ControlProcess(self.store)

    async def asyncTearDown(self) -> None:
        """Stop both processes."""
        await self.first.controller.stop()
        await self.second.controller.stop()

    async def test_acknowledged_once_written(self) -> None:
        """A report arrives while an earlier record is being written.

        That write does not contain the report. If the write acknowledged it,
        the report would be lost if the holder crashes before its next write.
        """
        await self.first.begin()
        self.first.client.gate.clear()
        early = asyncio.create_task(self.first.report(1))
        await self.first.client.write_blocked.wait()
        late = asyncio.create_task(self.first.report(2))
        await asyncio.sleep(0.1)
        self.first.client.gate.set()
        self.assertTrue(await early)
        self.assertTrue(await late)
        self.assertEqual(self._share().sequence, 2)

    async def test_lost_answer(self) -> None:
        """The reply to the write of the record is lost.

        Whether the write took effect or not, the evidence is counted once.
        """
        for sequence, fault in enumerate((Fault.LOST_ANSWER, Fault.LOST), 1):
            with self.subTest(fault):
                if sequence == 1:
                    await self.first.begin()
                self.first.client.faults.append(fault)
                await self.first.report_until_taken(sequence)
                self.assertEqual(self._share().given, 8 * sequence)

    async def test_next_holder(self) -> None:
        """A holder crashes right after it acknowledged evidence.

        The next holder has the sums and the stage. A repeated report, whose
        acknowledgement was lost, changes nothing.
        """
        await self._reach_second_stage()
        await self.first.controller.stop()
        before = self._stored()
        await self.second.begin()
        self.assertTrue(await self.second.report(1, failed=True))
        after = self._stored()
        self.assertEqual((after.stage, after.percent), (1, 100))
        self.assertEqual(after.scopes, before.scopes)

    async def test_paused_holder(self) -> None:
        """A paused holder resumes after another process took over.

        Its next write conflicts with a newer version. It must neither
        overwrite the stop with its own older state nor continue from that
        state.
        """
        await self.first.begin()
        self.first.holds = False
        await self.second.begin()
        for sequence in range(1, 5):
            await self.second.report(sequence, failed=True)
        self.assertIs(self._stored().verdict, view_data.Verdict.STOPPED)
        self.first.holds = True
        await self.first.report(5)
        await asyncio.sleep(3)
        self.assertIs(self._stored().verdict, view_data.Verdict.STOPPED)
        last = self.first.shown[-1].status
        self.assertIs(last.verdict, view_data.Verdict.STOPPED)

    async def test_outage(self) -> None:
        """The platform is down when a candidate proves to be bad.

        The stop is published at once and written afterwards. Meanwhile no
        exposure is allocated: unrecorded shares would be allocated twice.
        """
        await self.first.begin()
        self.assertTrue(await self.first.report(1))
        dealt = self.first.shown[-1].budgets
        self.store.down = True
        self.assertFalse(await self.first.report(2))
        self.assertEqual(self.first.shown[-1].budgets, dealt)
        for sequence in range(3, 7):
            self.assertFalse(await self.first.report(sequence, failed=True))
        last = self.first.shown[-1].status
        self.assertIs(last.verdict, view_data.Verdict.STOPPED)
        self.store.down = False
        self.assertTrue(await self.first.report(7))
        self.assertIs(self._stored().verdict, view_data.Verdict.STOPPED)

    async def _reach_second_stage(self) -> None:
        await self.first.begin()
        for sequence in range(1, 12):
            await self.first.report(sequence)
        self.assertEqual(self._stored().stage, 1)

    def _share(self) -> rollout_data.EntryShare:
        return self._stored().exposure.shares[ENTRY]

    def _stored(self) -> rollout_data.Record:
        stored = self.store.stored_objects[KEY].value
        return msgspec.msgpack.decode(stored, type=rollout_data.Record)


if __name__ == '__main__':
    unittest.main()
