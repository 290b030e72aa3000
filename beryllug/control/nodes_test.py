"""Several control processes in one process, to test leases and journal.

Each node has its own platform client. Calls between nodes use a fake network
that can drop replies or isolate a node.
"""

import asyncio
import time
import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeVar

from beryllug.control import (
    fake_platform_test,
    journal,
    leases,
    segments,
    shards,
    virtual_time_test,
)
from beryllug.core import (
    journal_data,
    lease_data,
    member_data,
    rpc_data,
    settings_data,
    shard_state,
)
from beryllug.drivers import rpc

LEASE_S = 6.0
WAIT_S = 120.0
POLL_S = 0.02
ACCOUNT = 'kesarvan'


Result = TypeVar('Result')


class Network:
    """Calls between nodes by address.

    Attributes:
        handlers: Handlers by address and method name.
        isolated: Addresses whose calls fail in both directions.
        drops_replies: Addresses whose replies are dropped.
        held: Names of methods whose calls are blocked.
        calls: Numbers of calls by method name.
    """

    def __init__(self) -> None:
        """Initialize an empty network."""
        self.handlers: dict[tuple[str, str], rpc.Unary] = {}
        self.isolated: set[str] = set()
        self.drops_replies: set[str] = set()
        self.held: set[str] = set()
        self.calls: Counter[str] = Counter()

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Call a handler as a peer would."""
        await asyncio.sleep(0)
        self.calls[method.name] += 1
        while method.name in self.held:
            await asyncio.sleep(POLL_S)
        handler = self.handlers.get((address, method.name))
        if handler is None or address in self.isolated:
            raise rpc.RpcError('UNAVAILABLE', 'failed to connect')
        reply: rpc.Reply = await handler(ask)
        if address in self.drops_replies:
            raise rpc.RpcError('DEADLINE_EXCEEDED', address)
        return reply


class Link:
    """One node's access to the network; implements `rpc_peers.PeerCaller`."""

    def __init__(self, network: Network, address: str) -> None:
        """Use the address of the node as that of the caller."""
        self._network = network
        self._address = address

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Call another node, unless this node is isolated or stopped."""
        if self._address in self._network.isolated:
            raise rpc.RpcError('UNAVAILABLE', 'failed to connect')
        return await self._network.call(address, method, ask, timeout_s)


class Members:
    """A fake membership in which all started nodes are live."""

    def __init__(self) -> None:
        """Initialize an empty membership."""
        self.names: list[str] = []
        self.notes: dict[str, member_data.GossipNote] = {}
        self.starts: dict[str, int] = {}

    def live(self, now: float) -> tuple[str, ...]:
        """Return all names."""
        return tuple(self.names)

    def live_s(self, member: str, now: float) -> float:
        """Return a time long enough for any member to receive leases."""
        return WAIT_S

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        return f'127.0.0.1:{member}'

    def started(self, member: str) -> int:
        """Return the start number of a member."""
        return self.starts.get(member, 1)

    def publish(self, note: member_data.GossipNote) -> None:
        """Discard the note; the fake network does not spread notes."""

    def note(self, key: str) -> member_data.GossipNote | None:
        """Return a note set by the test."""
        return self.notes.get(key)


class ClusterSettings(NamedTuple):
    """Settings that all nodes of a test share."""

    shards: int = 1
    lease_s: float = LEASE_S


class Node:
    """One control process with its platform client, leases and journal."""

    def __init__(
        self,
        store: fake_platform_test.Store,
        network: Network,
        members: Members,
        name: str,
        sizes: 'ClusterSettings',
    ) -> None:
        """Initialize the node; `start` runs it."""
        address = f'127.0.0.1:{name}'
        boot = f'boot-{name}-{members.started(name)}'
        self.name = name
        self.client = fake_platform_test.Client(store)
        self.leases = leases.Leases(
            self.client,
            lease_data.Owner(name, boot, address),
            sizes.lease_s,
            members,
            Link(network, address),
        )
        cfg = settings_data.Control(
            address, (), '', '', shards=sizes.shards, commits_per_s=1000
        )
        parts = journal.JournalServices(
            self.client, self.leases, Link(network, address)
        )
        self.journal = journal.Journal(parts, cfg, boot)
        self._endpoint = network, address
        self.journal.serve(self)
        self.leases.serve(self)

    def unary(self, method: rpc.Method[Any, Any], handler: rpc.Unary) -> None:
        """Register a handler at the network, as `rpc.RpcServer` does."""
        network, address = self._endpoint
        network.handlers[address, method.name] = handler

    async def start(self) -> None:
        """Start leases and journal."""
        await self.journal.start()
        await self.leases.start()

    def pause(self, network: Network) -> None:
        """Block the writes of this node and isolate it from other nodes.

        Unlike in a frozen process its reads and timers go on. The tests
        check only what it does with a lease that has expired.
        """
        network.isolated.add(f'127.0.0.1:{self.name}')
        self.client.fault_prefix = 'beryllug/'
        self.client.gate.clear()

    def resume(self, network: Network) -> None:
        """Resume a paused node."""
        network.isolated.discard(f'127.0.0.1:{self.name}')
        self.client.gate.set()

    async def kill(self, network: Network) -> None:
        """Stop at once as by SIGKILL, without flushing or releasing."""
        network.isolated.add(f'127.0.0.1:{self.name}')
        self.client.is_disconnected = True
        await self.journal.stop(0)
        await self.leases.stop(0)

    async def stop(self) -> None:
        """Stop gracefully."""
        await self.journal.stop(WAIT_S)
        await self.leases.stop(WAIT_S)

    def owns(self) -> bool:
        """Tell whether this node serves its shard."""
        owners = self.journal.owners().values()
        return any(owner.serving for owner in owners)

    def holds(self) -> bool:
        """Tell whether this node holds the lease of its shard now."""
        now = time.monotonic()
        return self.leases.held(shards.lease_name(0), now) is not None

    async def begin(self, row: journal_data.Row) -> journal_data.Grant:
        """Request a grant from this node as an entry does."""
        batch = await self.journal.begin(rpc_data.IntentBatch((row,)))
        return batch.grants[0]

    async def finish(self, row: journal_data.Row) -> bool:
        """Send an outcome to this node as an entry does."""
        ack = await self.journal.finish(rpc_data.OutcomeBatch((row,)))
        return ack.durable[0]

    async def finish_all(
        self, rows: Sequence[journal_data.Row]
    ) -> tuple[bool, ...]:
        """Send several outcomes to this node in one batch."""
        ack = await self.journal.finish(rpc_data.OutcomeBatch(tuple(rows)))
        return ack.durable


class NodesCase(virtual_time_test.VirtualTimeCase):
    """Creates a store and a network, and stops all nodes after the test."""

    sizes = ClusterSettings()

    async def asyncSetUp(self) -> None:
        """Create the store and the network."""
        await super().asyncSetUp()
        self.store = fake_platform_test.Store()
        self.network = Network()
        self.members = Members()
        self.nodes: list[Node] = []

    async def asyncTearDown(self) -> None:
        """Kill all nodes."""
        for node in self.nodes:
            node.client.gate.set()
            await node.kill(self.network)

    async def start_node(self, name: str) -> Node:
        """Start a node."""
        self.members.names.append(name)
        node = Node(self.store, self.network, self.members, name, self.sizes)
        self.nodes.append(node)
        await node.start()
        return node

    async def start_owner(self, name: str) -> Node:
        """Start a node and wait until it serves the shard."""
        node = await self.start_node(name)
        await wait_until(node.owns)
        return node

    async def restart_node(self, name: str) -> Node:
        """Restart a killed node under the same name."""
        self.members.starts[name] = self.members.started(name) + 1
        self.network.isolated.discard(f'127.0.0.1:{name}')
        node = Node(self.store, self.network, self.members, name, self.sizes)
        self.nodes.append(node)
        await node.start()
        return node

    async def finish_until_durable(
        self, node: Node, row: journal_data.Row
    ) -> None:
        """Send an outcome until it is acknowledged, as an entry does."""
        async with asyncio.timeout(WAIT_S):
            while not await node.finish(row):
                await asyncio.sleep(POLL_S)

    def rows(self) -> list[journal_data.Row]:
        """Return all rows of the log that the platform stores."""
        found: list[journal_data.Row] = []
        for key, stored in sorted(self.store.stored_objects.items()):
            if key.startswith(f'{segments.PREFIX}/'):
                found.extend(segments.decode_segment(stored.value).rows)
        return found

    def log(self) -> list[tuple[str, str]]:
        """Return the state (else the kind) and request id of each log row."""
        return [(row.state or row.kind, row.request_id) for row in self.rows()]


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds; fail the test after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


def intent(
    request_id: str, key: str = 'key', body_hash: str = 'body'
) -> journal_data.Row:
    """Create an intent."""
    return journal_data.Row(
        journal_data.RowKind.INTENT,
        request_id,
        ACCOUNT,
        key,
        body_hash,
        at=0.0,
        entry='entry-1/boot',
    )


def outcome(
    row: journal_data.Row,
    state: journal_data.OutcomeState = journal_data.OutcomeState.DONE,
) -> journal_data.Row:
    """Create the outcome of an intent."""
    return row._replace(kind=journal_data.RowKind.OUTCOME, state=state)


class NodesTest(NodesCase):
    """Tests of the test nodes themselves."""

    async def test_second_node_waits(self) -> None:
        """Only one of two nodes serves the shard."""
        first = await self.start_owner('1')
        second = await self.start_node('2')
        grant = await second.begin(intent('one'))
        self.assertEqual(grant.kind, journal_data.GrantKind.GRANTED)
        self.assertEqual((first.owns(), second.owns()), (True, False))
        shard = shard_state.shard_of(ACCOUNT, 'key', 1)
        self.assertEqual(shard, 0)


if __name__ == '__main__':
    unittest.main()
