"""Tests of platform outages, of cut-off processes and of session keys."""

import asyncio
import time
from contextlib import aclosing
from unittest import main

from beryllug.control import config_nodes_test
from beryllug.core import rpc_data, token_keys


class OutageTest(config_nodes_test.NodesCase):
    """Start and operation without the platform."""

    async def test_start_from_peer(self) -> None:
        """A host is replaced during an outage and starts from its peers."""
        await self.start('c0', 'c1')
        await self.apply(1)
        await self.reach(1, *self.nodes.values())
        self.store.cut()
        late = self.make('c2', ('c0', 'c1'))
        await late.start()
        self.assertEqual(late.document, config_nodes_test.numbered_document(1))
        self.assertTrue(late.accepts())
        self.assertEqual(
            config_nodes_test.key_ids(late),
            config_nodes_test.key_ids(self.nodes['c0']),
        )

    async def test_cut_off(self) -> None:
        """Work is accepted in an outage, and refused without any contact.

        The platform is down for longer than the cut-off time while peers
        answer: nothing changes. Then one process loses its peers as well. It
        can't learn of a withdrawal any more, so it refuses new work after the
        cut-off time and accepts it again when a peer is back.
        """
        nodes = await self.start('c0', 'c1')
        await self.apply(1)
        await self.reach(1, *nodes)
        self.store.cut()
        until = time.monotonic() + 2 * config_nodes_test.CUT_OFF_S
        while time.monotonic() < until:
            self.assertTrue(all(node.accepts() for node in nodes))
            await asyncio.sleep(config_nodes_test.HEARTBEAT_S)
        self.network.unreachable.add('c1:1')
        await self.until(lambda: not nodes[1].accepts())
        ask = rpc_data.ViewRequest('e', 'z')
        async with aclosing(nodes[1].feed.stream(ask)) as updates:
            self.assertFalse((await anext(updates)).accept)
        self.network.unreachable.clear()
        await self.until(nodes[1].accepts)

    async def test_stale_platform(self) -> None:
        """The platform answers, but from a replica that lags behind.

        Such answers don't count as contact with the platform: a process
        without other contact refuses new work after the cut-off time.
        """
        node = await self.start_one()
        await self.apply(1)
        await self.reach(1, node)
        self.paths['c0'].replica = {}
        await self.until(lambda: not node.accepts())
        self.paths['c0'].replica = None
        await self.until(node.accepts)

    async def test_compacted(self) -> None:
        """The store has compacted the changes since the last watch."""
        node = await self.start_one()
        await self.apply(1)
        await self.reach(1, node)
        path = self.paths['c0']
        path.compacted = True
        path.calls.clear()
        await self.until(lambda: path.calls['watch'] > 0)
        await self.apply(2)
        await self.reach(2, node)

    async def test_never_configured(self) -> None:
        """Without platform and peers there is no configuration and no work."""
        self.store.cut()
        node = await self.start_one()
        self.assertEqual(node.revision, 0)
        self.assertFalse(node.accepts())


class KeysTest(config_nodes_test.NodesCase):
    """Keys that sign session tokens."""

    async def test_one_key(self) -> None:
        """Processes that start together agree on one key."""
        nodes = await self.start('c0', 'c1', 'c2', 'c3')
        await self.until(
            lambda: all(node.feed.parts.token_keys for node in nodes)
        )
        await self.until(
            lambda: len({node.feed.parts.token_keys for node in nodes}) == 1
        )
        self.assertEqual(len(nodes[0].feed.parts.token_keys), 1)

    async def test_rotation(self) -> None:
        """A due key is renewed once, and the previous one still verifies."""
        node = await self.start_one()
        await self.until(lambda: bool(node.feed.parts.token_keys))
        later = time.time() + token_keys.SIGNS_S
        await node.watch.refresh_keys(later)
        await node.watch.refresh_keys(later)
        self.assertEqual(len(set(config_nodes_test.key_ids(node))), 2)


if __name__ == '__main__':
    main()
