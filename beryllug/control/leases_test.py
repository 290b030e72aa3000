"""Tests of leases between control processes: races, hand-over, balance."""

import asyncio
import time
import unittest

from beryllug.control import nodes_test, shards
from beryllug.core import journal_data

Kind = journal_data.GrantKind
MAX_HAND_OVER_S = 0.1


class HandOverTest(nodes_test.NodesCase):
    """Planned changes of the holder."""

    async def asyncSetUp(self) -> None:
        """Create the event that ends the requests of `_ask_all`."""
        await super().asyncSetUp()
        self.balanced = asyncio.Event()

    async def test_race(self) -> None:
        """Four processes start at once and want the same lease.

        Only one conditional creation succeeds. That process holds the lease,
        and the others look it up as the holder.
        """
        nodes = await asyncio.gather(
            *(self.start_node(name) for name in '1234')
        )
        await nodes_test.wait_until(lambda: any(node.owns() for node in nodes))
        holders = [node for node in nodes if node.holds()]
        self.assertEqual(len(holders), 1)
        for node in nodes:
            grant = await node.begin(nodes_test.intent(node.name, node.name))
            self.assertEqual(grant.kind, Kind.GRANTED)
            owner = await node.leases.owner_of(shards.lease_name(0))
            self.assertEqual(owner and owner.holder, holders[0].name)

    async def test_planned_stop(self) -> None:
        """A control process is stopped under load, as in a rolling update.

        It flushes its rows and releases its lease; the next process is
        notified and acquires it at once. No request is refused, and each row
        is in the log exactly once.
        """
        first = await self.start_owner('1')
        second = await self.start_node('2')
        asking = asyncio.create_task(self._ask(second, 40))
        await asyncio.sleep(0.05)
        await first.stop()
        stopped_at = time.monotonic()
        await nodes_test.wait_until(second.owns)
        self.assertLess(time.monotonic() - stopped_at, MAX_HAND_OVER_S)
        self.network.isolated.add('127.0.0.1:1')
        kinds = await asking
        self.assertEqual(set(kinds), {Kind.GRANTED})
        log = self.log()
        self.assertEqual(len(set(log)), len(log))
        self.assertTrue(second.owns())

    async def test_balance(self) -> None:
        """A process that joins gets exactly its share of the shards.

        The old holder hands over one shard at a time, after flushing it, so
        no request that arrives meanwhile is refused.
        """
        self.sizes = nodes_test.ClusterSettings(shards=4)
        first = await self.start_owner('1')
        await nodes_test.wait_until(lambda: len(self._served(first)) == 4)
        first.client.delay_s = nodes_test.POLL_S
        asking = asyncio.create_task(self._ask_all(first))
        second = await self.start_node('2')
        await nodes_test.wait_until(lambda: len(self._served(second)) == 2)
        self.balanced.set()
        self.assertEqual(set(await asking), {Kind.GRANTED})
        await asyncio.sleep(1.5 * self.sizes.lease_s)
        self.assertEqual(len(self._served(first)), 2)
        self.assertEqual(len(self._served(second)), 2)

    async def test_release(self) -> None:
        """A lease that is no longer wanted is released at once."""
        first = await self.start_node('1')
        first.leases.keep_acquiring('suspects')
        await nodes_test.wait_until(
            lambda: first.leases.held('suspects', time.monotonic())
        )
        await first.leases.release('suspects')
        self.assertIsNone(first.leases.held('suspects', time.monotonic()))
        owner = await first.leases.owner_of('suspects', fresh=True)
        self.assertEqual(owner and owner.holder, '')

    async def _ask(
        self, node: nodes_test.Node, count: int
    ) -> list[journal_data.GrantKind]:
        kinds = []
        for number in range(count):
            row = nodes_test.intent(f'r{number}', f'k{number}')
            grant = await node.begin(row)
            kinds.append(grant.kind)
            await self.finish_until_durable(node, nodes_test.outcome(row))
        return kinds

    async def _ask_all(
        self, node: nodes_test.Node
    ) -> list[journal_data.GrantKind]:
        asked: list[asyncio.Task[journal_data.Grant]] = []
        while not self.balanced.is_set():
            name = str(len(asked))
            row = nodes_test.intent(name, name)
            asked.append(asyncio.create_task(node.begin(row)))
            await asyncio.sleep(nodes_test.POLL_S / 2)
        return [grant.kind for grant in await asyncio.gather(*asked)]

    def _served(self, node: nodes_test.Node) -> list[str]:
        owners = node.journal.owners().items()
        return [str(shard) for shard, owner in owners if owner.serving]


if __name__ == '__main__':
    unittest.main()
