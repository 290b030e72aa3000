"""Tests of the propagation of configurations between processes."""

import asyncio
from contextlib import aclosing
from unittest import main, mock

from beryllug.control import config, config_nodes_test
from beryllug.core import config_data, rpc_data

NEVER_HEARTBEATS = 1000000


class FollowTest(config_nodes_test.NodesCase):
    """An applied configuration reaches every process."""

    async def test_all_watch(self) -> None:
        """Each process that watches gets each revision."""
        nodes = await self.start('c0', 'c1', 'c2')
        for number in range(1, 6):
            revision = await self.apply(number)
            await self.reach(revision, *nodes)
            for node in nodes:
                self.assertEqual(
                    node.document, config_nodes_test.numbered_document(number)
                )

    async def test_few_watch(self) -> None:
        """Two of twelve watch; the others get the changes from them.

        Two push to three each, and these forward the pushes.
        """
        pushes_only = mock.patch.object(
            config, 'COMPARE_HEARTBEATS', NEVER_HEARTBEATS
        )
        pushes_only.start()
        self.addCleanup(pushes_only.stop)
        names = [f'c{number}' for number in range(12)]
        nodes = await self.start(*names, watchers=2)
        watching = [
            name for name in names if self.nodes[name].dump()['watches']
        ]
        self.assertEqual(len(watching), 2)
        for path in self.paths.values():
            path.calls.clear()
        for number in range(1, 11):
            revision = await self.apply(number)
            await self.reach(revision, *nodes)
        for follower in set(names) - set(watching):
            self.assertEqual(self.paths[follower].calls.total(), 0)

    async def test_missed_push(self) -> None:
        """A push is a delta to a revision that the follower never got.

        A push contains how the list of parts differs from the previous
        revision. Applied to an older list it would mix two documents; the
        digest of the whole list detects this.
        """
        with mock.patch.object(config, 'COMPARE_HEARTBEATS', NEVER_HEARTBEATS):
            nodes = await self.start('c0', 'c1', watchers=1)
            await self.apply(1)
            await self.reach(1, *nodes)
            follower = min(nodes, key=config_nodes_test.watches)
            address = f'{follower.process.name}:1'
            self.network.unreachable.add(address)
            await self.apply(2, weight=2)
            await self.reach(2, max(nodes, key=config_nodes_test.watches))
            self.network.unreachable.clear()
            await self.apply(3, weight=2)
            await self.reach(3, follower)
            self.assertEqual(
                follower.document,
                config_nodes_test.numbered_document(3, weight=2),
            )

    async def test_path_cut(self) -> None:
        """One process loses its connection to the platform, others don't.

        With its old revision it would send new work to a withdrawn version.
        It gets the new revision from peers, by its periodic comparisons.
        """
        nodes = await self.start('c0', 'c1', 'c2')
        await self.apply(1)
        await self.reach(1, *nodes)
        self.paths['c0'].cut()
        await self.apply(2)
        await self.reach(2, nodes[0])
        self.assertTrue(nodes[0].accepts())


class NeverRevertTest(config_nodes_test.NodesCase):
    """A process never reverts to an older revision."""

    async def test_stale_replica(self) -> None:
        """A process restarts and reads an old revision from the platform.

        The replica that it reads lacks the last revision, which withdrew a
        version; a peer has it. The feed must not send the old document first:
        an entry would send new work to the withdrawn version.
        """
        first = await self.start_one()
        await self.apply(1)
        old = dict(self.store.stored)
        await self.apply(2)
        await self.reach(2, first)
        late = self.make('c1', ('c0',))
        self.paths['c1'].replica = old
        self.network.delay_s = config_nodes_test.HEARTBEAT_S
        starting = asyncio.create_task(late.start())
        await self.reach(1, late)
        ask = rpc_data.ViewRequest('e', 'z')
        async with aclosing(late.feed.stream(ask)) as updates:
            update = await anext(updates)
        await starting
        self.assertEqual((update.revision, late.revision), (2, 2))
        self.assertEqual(
            update.document, config_nodes_test.numbered_document(2)
        )

    async def test_replica_turns_stale(self) -> None:
        """A running process reconnects to a replica that lags behind.

        After its connection broke, the new watch returns an older revision
        than the process has. It keeps its revision, and continues when the
        replica has caught up.
        """
        node = await self.start_one()
        await self.apply(1)
        old = dict(self.store.stored)
        await self.apply(2)
        await self.reach(2, node)
        self.paths['c0'].replica = old
        seen = self.watch_revisions(node)
        self.store.cut()
        await asyncio.sleep(config_nodes_test.HEARTBEAT_S)
        self.store.down = False
        self.paths['c0'].calls.clear()
        await self.apply(3)
        await self.until(lambda: self.paths['c0'].calls['watch'] > 2)
        self.assertEqual(node.revision, 2)
        self.paths['c0'].replica = None
        await self.reach(3, node)
        self.assertEqual(set(seen), {3})

    async def test_old_peer(self) -> None:
        """A peer that was cut off reconnects with an old revision.

        It offers the old revision. Processes with a newer one must not accept
        it, and the peer must accept theirs.
        """
        nodes = await self.start('c0', 'c1')
        await self.apply(1)
        await self.reach(1, *nodes)
        self.paths['c1'].cut()
        self.network.unreachable.add('c1:1')
        await self.apply(2)
        await self.reach(2, nodes[0])
        seen = self.watch_revisions(nodes[0])
        self.network.unreachable.clear()
        await self.reach(2, nodes[1])
        self.assertEqual(set(seen), set())

    async def test_old_offer(self) -> None:
        """An offer that was delayed arrives after a newer one."""
        node = await self.start_one()
        await self.apply(1)
        await self.reach(1, node)
        offer = node.push.offer()
        await self.apply(2)
        await self.reach(2, node)
        reply = await node.push.on_offer(offer)
        self.assertEqual((reply.revision, node.revision), (2, 2))

    def watch_revisions(self, node: config.Config) -> list[int]:
        """Record the revisions that a process accepts from now on."""
        seen: list[int] = []
        node.listen(lambda: seen.append(node.revision))
        return seen


class FeedTest(config_nodes_test.NodesCase):
    """The view stream to an entry."""

    async def test_only_changes(self) -> None:
        """Only changed parts are sent; without a change, a heartbeat is."""
        node = await self.start_one()
        await self.apply(1)
        await self.reach(1, node)
        server_loads = ()
        share = rpc_data.ExposureShare(config_data.VersionRef('m', 'v'), 3)
        ask = rpc_data.ViewRequest('e1', 'z')
        async with aclosing(node.feed.stream(ask)) as updates:
            first = await anext(updates)
            self.assertEqual(
                first.document, config_nodes_test.numbered_document(1)
            )
            beat = await anext(updates)
            self.assertIsNone(beat.document)
            node.publish(budgets={'e1': (share,), 'e2': ()})
            node.publish(loads=server_loads)
            update = await anext(updates)
            self.assertEqual(update.budgets, (share,))
            self.assertIsNone(update.document)
            self.assertIsNone(update.loads)

    async def test_slow_receiver(self) -> None:
        """A receiver that reads late gets only the latest state.

        With a queue it would process outdated states, and use a version that
        a later message withdraws.
        """
        node = await self.start_one()
        ask = rpc_data.ViewRequest('e1', 'z')
        async with aclosing(node.feed.stream(ask)) as updates:
            await anext(updates)
            for number in range(1, 20):
                await self.apply(number)
            await self.reach(19, node)
            update = await anext(updates)
            self.assertEqual(
                update.document, config_nodes_test.numbered_document(19)
            )


if __name__ == '__main__':
    main()
