"""Configuration services of several processes in one event loop, for tests.

Each has its own connections to the platform and to its peers, so either can be
cut.
"""

import asyncio
from collections.abc import Callable
from unittest import IsolatedAsyncioTestCase, mock

from beryllug.control import config, config_watch
from beryllug.core import config_data, settings_data
from beryllug.drivers import config_store, methods, object_fake_test, rpc

POOL = config_data.Pool('p', config_data.PoolKind.ENGINE, 1)
ACCOUNT = config_data.Account('a', ('0' * 64,), ())
HEARTBEAT_S = 0.02
CUT_OFF_S = 0.3
DEADLINE_S = 5.0


def numbered_document(number: int, weight: int = 1) -> config_data.Document:
    """Return a document that is distinguished by its numbers."""
    return config_data.Document(
        accounts=(ACCOUNT._replace(weight=weight),),
        pools=(POOL._replace(concurrency=number),),
    )


def watches(node: config.Config) -> bool:
    """Tell whether a process watches the platform."""
    found: bool = node.dump()['watches']
    return found


def key_ids(node: config.Config) -> list[str]:
    """Return the ids of a process's session keys."""
    return [key.key_id for key in node.feed.parts.token_keys]


class _Network:
    """Calls between processes by address; some are unreachable."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], rpc.Unary] = {}
        self.unreachable: set[str] = set()
        self.delay_s: float = 0

    def serve(self, address: str, node: config.Config) -> None:
        """Register the handlers of a process at an address."""
        self.handlers[(address, methods.OFFER_CONFIG.name)] = node.push.on_offer
        self.handlers[(address, methods.FETCH_PARTS.name)] = node.push.on_fetch

    def calls_from(self, address: str) -> '_Calls':
        """Return the RPC client of the process at an address."""
        return _Calls(self, address)


class _Calls:
    def __init__(self, network: _Network, own: str) -> None:
        self._network = network
        self._own = own

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Call the handler registered at an address."""
        await asyncio.sleep(self._network.delay_s)
        handler = self._network.handlers.get((address, method.name))
        cut = {address, self._own} & self._network.unreachable
        if handler is None or cut:
            raise rpc.RpcError('UNAVAILABLE', address)
        reply: rpc.Reply = await handler(ask)
        return reply


class _Members:
    """Live members, all in one zone."""

    def __init__(self, count: int) -> None:
        self._names = tuple(f'c{number}' for number in range(count))

    def live(self, now: float) -> tuple[str, ...]:
        """Return all names."""
        return self._names

    def address_of(self, member: str) -> str:
        """Return a member's address."""
        return f'{member}:1'

    def zone_of(self, member: str) -> str:
        """Return the zone."""
        return 'z'


class NodesCase(IsolatedAsyncioTestCase):
    """Processes by name, their platform and their network."""

    async def asyncSetUp(self) -> None:
        self.network = _Network()
        self.store = object_fake_test.FakeObjects()
        self.paths: dict[str, object_fake_test.FakeConnection] = {}
        self.nodes: dict[str, config.Config] = {}
        for module, name in (
            (config_store, 'RETRY_DELAY_S'),
            (config_watch, 'STANDBY_POLL_S'),
            (config_watch, 'RETRY_S'),
            (config_watch, 'MAX_RETRY_S'),
        ):
            patched = mock.patch.object(module, name, HEARTBEAT_S)
            patched.start()
            self.addCleanup(patched.stop)

    async def asyncTearDown(self) -> None:
        for node in self.nodes.values():
            await node.stop(0)

    def make(
        self, name: str, peers: tuple[str, ...] = (), watchers: int = 0
    ) -> config.Config:
        """Create the service of one process."""
        address = f'{name}:1'
        cfg = settings_data.Control(
            listen=address,
            peers=tuple(f'{peer}:1' for peer in peers),
            platform='',
            host_list='',
            watchers=watchers,
            heartbeat_s=HEARTBEAT_S,
            cut_off_s=CUT_OFF_S,
        )
        process = settings_data.Process(
            name, settings_data.Role.CONTROL, 'h', 'z'
        )
        path = object_fake_test.FakeConnection(self.store)
        members = _Members(len(peers)) if watchers else None
        calls = self.network.calls_from(address)
        node = config.Config(process, cfg, path, calls, members)
        self.network.serve(address, node)
        self.paths[name] = path
        self.nodes[name] = node
        return node

    async def start(
        self, *names: str, watchers: int = 0
    ) -> list[config.Config]:
        """Create and start processes that are one another's peers."""
        nodes = [self.make(name, names, watchers) for name in names]
        await asyncio.gather(*(node.start() for node in nodes))
        return nodes

    async def start_one(self) -> config.Config:
        """Create and start a process without peers."""
        return (await self.start('c0'))[0]

    async def reach(self, revision: int, *nodes: config.Config) -> None:
        """Wait until some processes have a revision."""
        await self.until(
            lambda: all(node.revision == revision for node in nodes)
        )

    async def apply(self, number: int, weight: int = 1) -> int:
        """Apply the numbered document on top of the current revision."""
        store = config_store.ConfigStore(self.store)
        found = await store.read_root()
        req = config_store.ApplyRequest(
            numbered_document(number, weight),
            found.root.revision,
            'ann',
            f'id-{number}',
        )
        return (await store.apply(req, 1)).unwrap()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(DEADLINE_S):
            while not holds():
                await asyncio.sleep(HEARTBEAT_S / 4)
