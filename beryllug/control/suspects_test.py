"""Tests of the exchange of suspicions between control processes."""

import asyncio
import unittest
from typing import Any, NamedTuple

from beryllug.control import (
    fake_platform_test,
    nodes_test,
    suspects,
    suspects_broadcast,
    suspects_store,
)
from beryllug.core import rpc_data, suspects_data
from beryllug.drivers import rpc


Verdict = suspects_data.Verdict
NAMES = ('1', '2', '3')
REQUEST = 'kutch:body'
REPORT = rpc_data.CrashReport('entry', 's1', None, (REQUEST,), 0)


class _View:
    """Records the published suspects."""

    def __init__(self) -> None:
        self.suspects: tuple[rpc_data.Suspect, ...] = ()

    def publish(
        self, *, suspects: tuple[rpc_data.Suspect, ...] | None = None
    ) -> None:
        self.suspects = suspects or ()

    async def wait_for_confirmation(self, within_s: float) -> None:
        await asyncio.sleep(0)


class _Others(NamedTuple):
    """Neighbours of a node: all other nodes."""

    addresses: tuple[str, ...]

    def all_addresses(self) -> tuple[str, ...]:
        return self.addresses

    def gossip_addresses(self) -> tuple[str, ...]:
        return self.addresses


class _Server:
    """Registers the handlers of a node at the fake network."""

    def __init__(self, network: nodes_test.Network, address: str) -> None:
        self._network = network
        self._address = address

    def unary(self, method: Any, handler: Any) -> None:
        self._network.handlers[self._address, method.name] = handler


class _Network(nodes_test.Network):
    """Existing connections fail for a while after a peer has started.

    Attributes:
        stale: Addresses whose existing connection does not reconnect yet.
        dropped: Number of closed connections.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stale: set[str] = set()
        self.dropped = 0

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        if address in self.stale:
            raise rpc.RpcError('UNAVAILABLE', 'failed to connect')
        return await super().call(address, method, ask, timeout_s)

    async def disconnect(self, address: str) -> None:
        self.stale.discard(address)
        self.dropped += 1


class SuspectsTest(unittest.IsolatedAsyncioTestCase):
    """Three processes on a fake network with a fake platform."""

    async def asyncSetUp(self) -> None:
        """Start the processes, with a report that never expires."""
        self.report = REPORT._replace(at=2e9)
        self.network = _Network()
        self.members = nodes_test.Members()
        self.store = fake_platform_test.Store()
        self.views: dict[str, _View] = {}
        self.nodes: dict[str, suspects.Suspects] = {}
        for name in NAMES:
            await self.start(name)

    async def asyncTearDown(self) -> None:
        """Stop the processes."""
        for node in self.nodes.values():
            await node.stop(0)

    async def start(self, name: str) -> suspects.Suspects:
        """Start a node, or restart it with an empty table."""
        before = self.nodes.get(name)
        if before is None:
            self.members.names.append(name)
        else:
            await before.stop(0)
        others = tuple(_address(other) for other in NAMES if other != name)
        self.views[name] = _View()
        node = suspects.Suspects(
            name,
            self.views[name],
            suspects_broadcast.SuspectsBroadcaster(
                name, _Others(others), self.members, self.network
            ),
            suspects_store.SuspectsStore(fake_platform_test.Client(self.store)),
        )
        node.serve(_Server(self.network, _address(name)))
        self.network.isolated.discard(_address(name))
        self.nodes[name] = node
        await node.start()
        return node

    def informed(self) -> list[str]:
        """Return the nodes that publish the request to their entries."""
        return [name for name, view in self.views.items() if view.suspects]

    async def test_told_before_reply(self) -> None:
        """Guards against a reply to a report before all entries know it."""
        await self.nodes['1'].report(self.report)
        self.assertEqual(self.informed(), list(NAMES))

    async def test_stale_connections(self) -> None:
        """Guards against skipping a peer that has just started."""
        self.network.stale = {_address('2'), _address('3')}
        await self.nodes['1'].report(self.report)
        self.assertEqual(self.informed(), list(NAMES))
        self.network.isolated.add(_address('3'))
        self.network.dropped = 0
        await self.nodes['1'].report(self.report)
        self.assertEqual(self.network.dropped, suspects_broadcast.MAX_ATTEMPTS)

    async def test_unreachable_process_catches_up(self) -> None:
        """An unreachable process gets the notes in the next rounds."""
        self.network.isolated.add(_address('3'))
        await self.nodes['1'].report(self.report)
        self.assertEqual(self.informed(), ['1', '2'])
        self.network.isolated.clear()
        for _ in NAMES:
            await self.nodes['1'].round()
        self.assertEqual(self.informed(), list(NAMES))

    async def test_new_process(self) -> None:
        """Guards against an empty table after a start.

        The process starts while the platform is down, or without peers.
        """
        await self.nodes['1'].report(self.report)
        self.store.down = True
        await self.start('2')
        self.assertEqual(self.informed(), list(NAMES))
        self.store.down = False
        for node in self.nodes.values():
            await node.round()
        self.network.handlers.clear()
        await self.start('3')
        self.assertEqual(self.informed(), list(NAMES))

    async def test_one_trial(self) -> None:
        """Guards against a second trial granted by the next decider."""
        await self.nodes['1'].report(self.report)
        granted = await self.ask('1', 't1')
        decider = self.decider()
        self.network.isolated.add(_address(decider))
        survivors = [name for name in NAMES if name != decider]
        for name in survivors:
            found = await self.ask(name, f'again-{name}')
            self.assertEqual((granted, found), (Verdict.TRY, Verdict.WAIT))
        lost = self.report._replace(
            server_id='s2', tried=REQUEST, trial_id='t1'
        )
        await self.nodes[survivors[0]].report(lost)
        for name in survivors:
            self.assertEqual(await self.ask(name, name), Verdict.REFUSE)
            shown = self.views[name].suspects
            self.assertTrue(shown[0].refused)

    async def test_race(self) -> None:
        """Only one of several concurrent trial requests is granted."""
        await self.nodes['1'].report(self.report)
        found = await asyncio.gather(*(self.ask(name, name) for name in NAMES))
        self.assertEqual(
            sorted(found), [Verdict.TRY, Verdict.WAIT, Verdict.WAIT]
        )

    async def test_cleared(self) -> None:
        """A request that is answered in its trial is cleared everywhere."""
        await self.nodes['1'].report(self.report)
        await self.ask('1', 't1')
        end = suspects_data.TrialEnd(REQUEST, 't1', answered=True)
        await self.nodes['2'].end(end)
        self.assertEqual(self.informed(), [])
        for name in NAMES:
            self.assertEqual(await self.ask(name, name), Verdict.RUN)

    async def ask(self, name: str, trial_id: str) -> Verdict:
        """Ask a node for a trial."""
        ask = suspects_data.TrialRequest(REQUEST, 's2', trial_id, 20)
        reply = await self.nodes[name].ask_trial(ask)
        return reply.verdict

    def decider(self) -> str:
        """Return the node that granted the trial."""
        trials = {
            name: node.dump()['trials'] for name, node in self.nodes.items()
        }
        return max(trials, key=lambda name: trials[name])


def _address(name: str) -> str:
    return f'127.0.0.1:{name}'


if __name__ == '__main__':
    unittest.main()
