"""Configuration services of several control processes in one process.

They use real sockets: HTTP to a stand-in of the object API, gRPC to one
another. The other services of a control process are left out.
"""

import asyncio
import contextlib
import itertools
import socket
import time
from typing import NamedTuple

from beryllug.control import config
from beryllug.core import config_data, settings_data
from beryllug.drivers import (
    rpc_peers,
    config_store,
    fleet_key,
    http_client,
    object_api,
    rpc,
)
from beryllug.standins import object_api as platform

HOST = '127.0.0.1'
KEYS = fleet_key.KeyRing(('fleet-key-of-the-benchmark',))
ZONE = 'zone-1'
PLATFORM_S = 2.0
POLL_S = 0.001
DEADLINE_S = 30.0
UNBOUNDED = platform.ObjectApiCfg(reads_per_s=0, writes_per_s=0)


class Members:
    """A fixed membership: every control process is live and in one zone."""

    def __init__(self, addresses: dict[str, str]) -> None:
        """Store the addresses by name."""
        self._addresses = addresses

    def live(self, now: float) -> tuple[str, ...]:
        """Return all names."""
        return tuple(self._addresses)

    def address_of(self, member: str) -> str | None:
        """Return the address of a member, or None."""
        return self._addresses.get(member)

    def zone_of(self, member: str) -> str | None:
        """Return the zone of a member."""
        return ZONE


class Node(NamedTuple):
    """The services of one control process."""

    view: config.Config
    api: object_api.HttpObjectApi
    client: http_client.HttpClient
    calls: rpc_peers.Peers
    server: rpc.RpcServer


class ConfigFleet:
    """Several control processes that share one platform.

    Attributes:
        platform: The stand-in of the object API.
        nodes: The processes by name.
        revision_regressions: How often a process went to a lower revision, or
            started below the revision in force on all processes.
    """

    def __init__(self, count: int, watchers: int, delay_s: float) -> None:
        """Make a fleet without starting it.

        Args:
            count: Number of processes.
            watchers: Number of processes that watch the platform; 0 means all.
            delay_s: Response time of the platform.
        """
        self.platform = platform.stand_in(UNBOUNDED)
        self.nodes: dict[str, Node] = {}
        self.revision_regressions = 0
        self._watchers = watchers
        self._delay_s = delay_s
        self._addresses = dict(
            zip(
                (f'control-{number}' for number in range(count)),
                _free_addresses(count),
                strict=True,
            )
        )
        self._members = Members(self._addresses)
        self._client = http_client.HttpClient()
        self._ids = itertools.count()
        self._revision = 0

    async def start(self) -> None:
        """Start the platform and all processes."""
        await self.platform.start()
        self.platform.put_faults(delay_s=self._delay_s)
        await asyncio.gather(*map(self.start_node, self._addresses))

    async def stop(self) -> None:
        """Stop all processes and the platform."""
        await asyncio.gather(*map(self.stop_node, list(self.nodes)))
        await self._client.close()
        await self.platform.stop()

    async def start_node(self, name: str) -> None:
        """Start one process; count a start below the revision in force."""
        node = self._make(name)
        self.nodes[name] = node
        self._count_regressions(node.view)
        await node.view.start()
        await node.server.start(self._addresses[name])
        self.revision_regressions += node.view.revision < self._revision

    async def stop_node(self, name: str) -> None:
        """Stop one process."""
        node = self.nodes.pop(name)
        await node.server.stop(0)
        await node.view.stop(0)
        await node.calls.stop(0)
        await node.client.close()

    async def apply(self, document: config_data.Document) -> float:
        """Apply a document and return its propagation time.

        The time runs from acceptance until the last process has the revision.
        """
        api = object_api.HttpObjectApi(
            self._client, self.platform.address, PLATFORM_S
        )
        apply_id = f'apply-{next(self._ids)}'
        req = config_store.ApplyRequest(
            document, self._revision, 'bench', apply_id
        )
        store = config_store.ConfigStore(api)
        outcome = await store.apply(req, time.time())
        revision = outcome.unwrap()
        accepted_at = time.perf_counter()
        await self._wait_for_revision(revision)
        self._revision = revision
        return time.perf_counter() - accepted_at

    def calls(self) -> int:
        """Return the number of platform calls of all running processes."""
        return sum(
            count.calls
            for node in self.nodes.values()
            for count in node.api.counts.values()
        )

    async def _wait_for_revision(self, revision: int) -> None:
        async with asyncio.timeout(DEADLINE_S):
            while any(
                node.view.revision < revision for node in self.nodes.values()
            ):
                await asyncio.sleep(POLL_S)

    def _make(self, name: str) -> Node:
        address = self._addresses[name]
        others = tuple(self._addresses.values())
        cfg = settings_data.Control(
            listen=address,
            peers=tuple(other for other in others if other != address),
            platform=self.platform.address,
            host_list='',
            watchers=self._watchers,
        )
        process = settings_data.Process(
            name, settings_data.Role.CONTROL, name, ZONE
        )
        client = http_client.HttpClient()
        api = object_api.HttpObjectApi(client, cfg.platform, PLATFORM_S)
        calls = rpc_peers.Peers(KEYS)
        view = config.Config(process, cfg, api, calls, self._members)
        server = rpc.RpcServer(KEYS)
        view.serve(server)
        return Node(view, api, client, calls, server)

    def _count_regressions(self, view: config.Config) -> None:
        """Count the changes of a process to a lower revision."""
        seen = [0]

        def compare_revision() -> None:  # noqa: WPS430 the state of one process
            self.revision_regressions += view.revision < seen[0]
            seen[0] = view.revision

        view.listen(compare_revision)


def _free_addresses(count: int) -> list[str]:
    """Find free ports, bound simultaneously so that they differ."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        return [_bind(free) for free in sockets]


def _bind(free: socket.socket) -> str:
    free.bind((HOST, 0))
    port: int = free.getsockname()[1]
    return f'{HOST}:{port}'
