"""Tests of usage totals, images and expiry of a shard.

Rows are large, so that a few of them fill a segment.
"""

import asyncio
import time
import unittest

from beryllug.control import (
    fake_platform_test,
    images,
    nodes_test,
    segments,
    shard_owner,
)
from beryllug.core import digest_index, journal_data, usage_data
from beryllug.drivers import object_data

Fault = fake_platform_test.Fault
LARGE = 'x' * 20000
COST = 7
PAST = 0.0
FUTURE = 1e12


def _billed(number: int) -> journal_data.Row:
    stage = journal_data.StageUse('model', 'v1', 'server', 10, 20, COST)
    row = nodes_test.intent(f'r{number}', f'k{number}')
    return nodes_test.outcome(row)._replace(stages=(stage,), note=LARGE)


def _owner(node: nodes_test.Node) -> shard_owner.ShardOwner:
    return node.journal.owners()[0]


class UpkeepCase(nodes_test.NodesCase):
    """Bills requests and checks the usage totals."""

    async def _bill(self, node: nodes_test.Node, start: int, end: int) -> None:
        for number in range(start, end):
            await self.finish_until_durable(node, _billed(number))

    async def _check(self, node: nodes_test.Node, requests: int) -> None:
        used = await node.journal.usage()
        billed = len({row.request_id for row in self._bills()})
        account = used.accounts[0]
        self.assertEqual(account.requests, requests)
        self.assertLessEqual(billed, requests)
        cost = sum(use.cost_micro for use in used.versions)
        self.assertEqual(account.cost_micro, cost)
        self.assertIsInstance(used, usage_data.Usage)

    def _bills(self) -> list[journal_data.Row]:
        kind = journal_data.RowKind.OUTCOME
        return [row for row in self.rows() if row.kind is kind]

    def _segments(self) -> list[str]:
        prefix = segments.prefix_of(0)
        return [
            key for key in self.store.stored_objects if key.startswith(prefix)
        ]


class UsageTest(UpkeepCase):
    """Each request is counted once despite takeovers and faults."""

    async def test_usage_counts_once(self) -> None:
        """Usage is correct before, between and after failed folds.

        A fold with a lost reply is repeated; an owner is killed between
        folds and its successor folds the same segments. The account's total
        counts each request once at any time and on any node.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        owner.client.fault_prefix = images.USAGE_PREFIX
        upkeep = _owner(owner).upkeep
        faults = (Fault.LOST_ANSWER, Fault.LOST, Fault.REFUSED)
        for number, fault in enumerate(faults):
            with self.subTest(fault):
                await self._bill(owner, number * 10, number * 10 + 5)
                owner.client.faults.append(fault)
                await self._check(owner, number * 10 + 5)
                with self.assertRaises(object_data.ObjectApiError):
                    await upkeep.run_round(PAST)
                await self._check(owner, number * 10 + 5)
                await self._bill(owner, number * 10 + 5, number * 10 + 10)
                await upkeep.run_round(PAST)
                await self._check(owner, number * 10 + 10)
        await self._bill(owner, 30, 40)
        await owner.kill(self.network)
        await nodes_test.wait_until(successor.owns)
        await self._check(successor, 40)
        await _owner(successor).upkeep.run_round(PAST)
        await self._bill(successor, 40, 45)
        await self._check(successor, 45)

    async def test_paused_fold(self) -> None:
        """An earlier owner is paused right before it writes a fold.

        Meanwhile the new owner folds more segments and deletes them. The
        late write must conflict; otherwise the usage of the deleted segments
        would be lost.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        await self._bill(owner, 0, 10)
        owner.client.fault_prefix = 'beryllug/'
        owner.client.gate.clear()
        fold_task = asyncio.create_task(_owner(owner).upkeep.run_round(PAST))
        await owner.client.write_blocked.wait()
        await nodes_test.wait_until(successor.owns)
        await _owner(successor).upkeep.run_round(FUTURE)
        owner.client.gate.set()
        with self.assertRaises(object_data.ConflictError):
            await fold_task
        await self._check(successor, 10)


class UpkeepTest(UpkeepCase):
    """Images, expiry, and attempts without an outcome."""

    async def test_takeover_reads_the_image(self) -> None:
        """A new owner knows old keys without reading old rows.

        Instead of forty segments it reads the image and the rows after it,
        and still knows the first key and an open attempt.
        """
        owner = await self.start_owner('1')
        open_intent = nodes_test.intent('open', 'open')
        await owner.begin(open_intent)
        first = nodes_test.intent('first', 'first')
        await owner.begin(first)
        await owner.finish(nodes_test.outcome(first))
        await self._bill(owner, 0, 120)
        await _owner(owner).upkeep.run_round(PAST)
        self.assertGreater(len(self._segments()), 35)
        second = await self.start_node('2')
        before = second.client.reads
        await owner.stop()
        await nodes_test.wait_until(second.owns)
        self.assertLess(second.client.reads - before, 20)
        self.assertIn('open', _owner(second).state.tries)
        for row, expected in (
            (first, journal_data.GrantKind.FINISHED),
            (open_intent, journal_data.GrantKind.UNKNOWN),
        ):
            with self.subTest(expected):
                again = row._replace(request_id='again', entry='e/2')
                grant = await second.begin(again)
                self.assertEqual(grant.kind, expected)
        self.assertTrue(await second.finish(_billed(5)))
        await self._check(second, 121)

    async def test_tables_are_saved(self) -> None:
        """An index of several tables is restored by a takeover."""
        self.addCleanup(
            setattr, digest_index, 'MAX_USED', digest_index.MAX_USED
        )
        digest_index.MAX_USED = 200
        owner = await self.start_owner('1')
        rows = [
            _billed(number)._replace(note='x' * 200) for number in range(450)
        ]
        for start in range(0, len(rows), 50):
            await owner.finish_all(rows[start : start + 50])
        await _owner(owner).upkeep.run_round(PAST)
        saved = [
            key for key in self.store.stored_objects if images.PREFIX in key
        ]
        self.assertEqual(len(saved), 3)
        second = await self.start_node('2')
        await owner.stop()
        await nodes_test.wait_until(second.owns)
        before = len(self.rows())
        for start in range(0, len(rows), 50):
            acks = await second.finish_all(rows[start : start + 50])
            self.assertTrue(all(acks))
        self.assertEqual(len(self.rows()), before)

    async def test_forgotten_outcomes(self) -> None:
        """Outcomes arrive after the index has forgotten rows of their time.

        Their entry process could not reach any control process for long. An
        outcome in the log is found and not written again; one that is not in
        the log is written.
        """
        for name, small in (('MAX_USED', 20), ('MAX_TABLES', 2)):
            self.addCleanup(
                setattr, digest_index, name, getattr(digest_index, name)
            )
            setattr(digest_index, name, small)
        owner = await self.start_owner('1')
        now = time.time()
        rows = [_billed(number)._replace(at=now) for number in range(200)]
        await self.finish_until_durable(owner, rows[0])
        for row in rows[2:]:
            await self.finish_until_durable(owner, row)
        for row in rows[:2]:
            await self.finish_until_durable(owner, row)
        written = [bill.request_id for bill in self.rows()]
        self.assertEqual(written.count('r0'), 1)
        self.assertEqual(written.count('r1'), 1)

    async def test_expiry(self) -> None:
        """Expired segments are deleted, and their usage stays counted."""
        owner = await self.start_owner('1')
        await self._bill(owner, 0, 30)
        await _owner(owner).upkeep.run_round(PAST)
        kept = len(self._segments())
        await _owner(owner).upkeep.run_round(FUTURE)
        self.assertGreater(kept, 9)
        self.assertEqual(len(self._segments()), 1)
        await self._check(owner, 30)
        await self._bill(owner, 30, 40)
        await self._check(owner, 40)

    async def test_attempts_end(self) -> None:
        """An attempt without an outcome ends and is billed as unknown.

        Its entry process and its owner were lost. A resend still learns that
        the outcome is unknown, and the attempt's memory is freed.
        """
        owner = await self.start_owner('1')
        await owner.begin(nodes_test.intent('one'))
        for attempt in _owner(owner).state.tries.values():
            attempt.since = float('-inf')
        await _owner(owner).upkeep.run_round(PAST)
        await owner.begin(nodes_test.intent('other', 'other'))
        self.assertIn(('unknown', 'one'), self.log())
        self.assertEqual(len(_owner(owner).state.tries), 1)
        grant = await owner.begin(nodes_test.intent('two'))
        self.assertEqual(grant.kind, journal_data.GrantKind.UNKNOWN)


if __name__ == '__main__':
    unittest.main()
