"""Tests of a configuration that comes into force, and stays."""

import asyncio
from contextlib import aclosing
from unittest import main, mock

from beryllug.control import config, config_nodes_test
from beryllug.core import config_data, rpc_data

NEVER_BEATS = 1000000


class FollowTest(config_nodes_test.NodesCase):
    """An accepted configuration comes into force everywhere."""

    async def test_all_watch(self) -> None:
        """Each process that watches takes each revision."""
        nodes = await self.start('c0', 'c1', 'c2')
        for number in range(1, 6):
            revision = await self.apply(number)
            await self.reach(revision, *nodes)
            for node in nodes:
                self.assertEqual(
                    node.document, config_nodes_test.numbered(number)
                )

    async def test_few_watch(self) -> None:
        """Two of twelve watch; the others take the changes from them.

        Two push to three each, and these push on.
        """
        pushes_only = mock.patch.object(config, 'COMPARE_BEATS', NEVER_BEATS)
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
        """A push builds on a revision that the follower never got.

        The push says how the list of parts differs from the revision before.
        Applied to an older list it would make a mixture of two documents,
        which the digest of the whole list shows.
        """
        with mock.patch.object(config, 'COMPARE_BEATS', NEVER_BEATS):
            nodes = await self.start('c0', 'c1', watchers=1)
            await self.apply(1)
            await self.reach(1, *nodes)
            follower = min(nodes, key=config_nodes_test.watches)
            address = f'{follower.process.name}:1'
            self.network.silent.add(address)
            await self.apply(2, weight=2)
            await self.reach(2, max(nodes, key=config_nodes_test.watches))
            self.network.silent.clear()
            await self.apply(3, weight=2)
            await self.reach(3, follower)
            self.assertEqual(
                follower.document, config_nodes_test.numbered(3, weight=2)
            )

    async def test_path_cut(self) -> None:
        """One process loses its path to the platform, the others don't.

        It would go on with the revision it has and send a withdrawn version
        new work. It compares with peers all the time, so it learns from them.
        """
        nodes = await self.start('c0', 'c1', 'c2')
        await self.apply(1)
        await self.reach(1, *nodes)
        self.paths['c0'].cut()
        await self.apply(2)
        await self.reach(2, nodes[0])
        self.assertTrue(nodes[0].accepts())


class NeverRevertTest(config_nodes_test.NodesCase):
    """Nothing sets a process back to an older revision."""

    async def test_stale_replica(self) -> None:
        """A process restarts and its platform path shows an old revision.

        The replica it reads has not seen the last revision, in which a
        version was withdrawn; a peer has it. The feed must not show the old
        document first: an entry would give the withdrawn version new work.
        """
        first = await self.start_one()
        await self.apply(1)
        old = dict(self.store.stored)
        await self.apply(2)
        await self.reach(2, first)
        late = self.make('c1', ('c0',))
        self.paths['c1'].replica = old
        self.network.delay_s = config_nodes_test.BEAT_S
        starting = asyncio.create_task(late.start())
        await self.reach(1, late)
        ask = rpc_data.ViewAsk('e', 'z')
        async with aclosing(late.feed.stream(ask)) as updates:
            update = await anext(updates)
        await starting
        self.assertEqual((update.revision, late.revision), (2, 2))
        self.assertEqual(update.document, config_nodes_test.numbered(2))

    async def test_replica_turns_stale(self) -> None:
        """Reads turn to a replica that lags while the process runs.

        Its connection breaks, so it watches anew and is shown less than it
        has seen. It keeps what it has, and goes on when the replica has
        caught up.
        """
        node = await self.start_one()
        await self.apply(1)
        old = dict(self.store.stored)
        await self.apply(2)
        await self.reach(2, node)
        self.paths['c0'].replica = old
        seen = self.watch_revisions(node)
        self.store.cut()
        await asyncio.sleep(config_nodes_test.BEAT_S)
        self.store.down = False
        self.paths['c0'].calls.clear()
        await self.apply(3)
        await self.until(lambda: self.paths['c0'].calls['watch'] > 2)
        self.assertEqual(node.revision, 2)
        self.paths['c0'].replica = None
        await self.reach(3, node)
        self.assertEqual(set(seen), {3})

    async def test_old_peer(self) -> None:
        """A peer that was cut off comes back with an old revision.

        It offers what it has. Those who are ahead must not take it, and it
        must take theirs.
        """
        nodes = await self.start('c0', 'c1')
        await self.apply(1)
        await self.reach(1, *nodes)
        self.paths['c1'].cut()
        self.network.silent.add('c1:1')
        await self.apply(2)
        await self.reach(2, nodes[0])
        seen = self.watch_revisions(nodes[0])
        self.network.silent.clear()
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
        """Record the revisions that a process takes from now on."""
        seen: list[int] = []
        node.listen(lambda: seen.append(node.revision))
        return seen


class FeedTest(config_nodes_test.NodesCase):
    """The stream to an entry."""

    async def test_only_changes(self) -> None:
        """A part is sent when it changed, else a heartbeat goes out."""
        node = await self.start_one()
        await self.apply(1)
        await self.reach(1, node)
        server_loads = ()
        share = rpc_data.ExposureShare(config_data.VersionRef('m', 'v'), 3)
        ask = rpc_data.ViewAsk('e1', 'z')
        async with aclosing(node.feed.stream(ask)) as updates:
            first = await anext(updates)
            self.assertEqual(first.document, config_nodes_test.numbered(1))
            beat = await anext(updates)
            self.assertIsNone(beat.document)
            node.publish(budgets={'e1': (share,), 'e2': ()})
            node.publish(loads=server_loads)
            update = await anext(updates)
            self.assertEqual(update.budgets, (share,))
            self.assertIsNone(update.document)
            self.assertIsNone(update.loads)

    async def test_slow_receiver(self) -> None:
        """A receiver that reads late gets the latest state once.

        With a queue it would work through what was overtaken, and act on a
        version that a later message withdraws.
        """
        node = await self.start_one()
        ask = rpc_data.ViewAsk('e1', 'z')
        async with aclosing(node.feed.stream(ask)) as updates:
            await anext(updates)
            for number in range(1, 20):
                await self.apply(number)
            await self.reach(19, node)
            update = await anext(updates)
            self.assertEqual(update.document, config_nodes_test.numbered(19))


if __name__ == '__main__':
    main()
