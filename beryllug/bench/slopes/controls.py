"""Runs real control and entry processes against stand-ins, to measure them.

In contrast to the harness of `proofs`, the stand-ins run in separate
processes, the object API has no rate limit, and up to a hundred control
processes are started.
"""

import asyncio
import contextlib
import functools
import itertools
import json
import random
import re
import socket
import time
from collections.abc import AsyncIterator, Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

import msgspec

from beryllug.bench.slopes import parties, process_stats
from beryllug.core import config_data, view_data
from beryllug.drivers import (
    config_store,
    http_client,
    http_data,
    object_api,
)
from beryllug.standins import fleet_settings, processes

OK = 200
READY_TIMEOUT_S = 60.0
POLL_S = 0.3
PLATFORM_TIMEOUT_S = 5.0
FIRST_PORT = 12000
LAST_PORT = 32000
_CONFIG_TAKEN = re.compile(
    r'^I(\d{4} [\d:.]+) .*event=config_taken revision=(\d+) ', re.MULTILINE
)


class Plan(NamedTuple):
    """The fleet to start.

    Attributes:
        document: The configuration in force from the start.
        controls: Number of control processes.
        zones: Availability zones over which the hosts are spread.
        settings: Lines for the control section of their settings.
        entries: Number of entry processes, each on the host of a control
            process.
    """

    document: config_data.Document
    controls: int
    zones: tuple[str, ...] = ('zone-0',)
    settings: tuple[str, ...] = ()
    entries: int = 0


class Controls:
    """A running fleet.

    Attributes:
        plan: The plan it was created from.
        client: HTTP client for stand-ins and the operators' endpoints.
        hosts: Addresses of the processes, by host.
        names: Names of the control processes.
        processes: The control and entry processes.
        revision: Revision of the last applied document.
    """

    def __init__(self, plan: Plan) -> None:
        """Choose ports and names; `start` starts the processes."""
        self.plan = plan
        self.client = http_client.HttpClient()
        self.hosts = free_hosts(plan.controls)
        self.names = [
            fleet_settings.control_name(index) for index in range(plan.controls)
        ]
        self.processes = processes.Processes()
        self.revision = 0
        self._parties: dict[str, parties.StandInProcess] = {}

    async def start(self) -> None:
        """Start all processes and wait until every one is ready."""
        self._parties['platform'] = await parties.start(
            'object-api', reads_per_s=0, writes_per_s=0
        )
        self._parties['host_list'] = await parties.start('host-list')
        await self.apply(self.plan.document)
        names = [*self.names, *self.entry_names()]
        await asyncio.gather(*map(self._spawn, names))
        await asyncio.gather(*map(self._wait_ready, names))

    async def stop(self) -> None:
        """Stop all processes."""
        await self.processes.stop()
        await self.client.close()
        await asyncio.gather(*map(parties.stop, self._parties.values()))

    def entry_names(self) -> list[str]:
        """Return the names of the entry processes."""
        return [
            fleet_settings.entry_name(index)
            for index in range(self.plan.entries)
        ]

    def platform(self) -> parties.StandInProcess:
        """Return the stand-in for the object API."""
        return self._parties['platform']

    def pids(self) -> list[int]:
        """Return the process ids of the control processes."""
        return [self.processes.pid(name) for name in self.names]

    def cpu_s(self) -> list[float]:
        """Return the processor time of each control process, in seconds.

        Raises:
            RuntimeError: A process has exited; the message has its log.
        """
        return [self._cpu_s(name) for name in self.names]

    async def apply(self, document: config_data.Document) -> float:
        """Apply a document; return the wall-clock time of its acceptance."""
        api = object_api.HttpObjectApi(
            self.client, self.platform().address, PLATFORM_TIMEOUT_S
        )
        req = config_store.ApplyRequest(
            document, self.revision, 'slopes', f'apply-{self.revision}'
        )
        outcome = await config_store.ConfigStore(api).apply(req, time.time())
        self.revision = outcome.unwrap()
        return time.time()

    def applied_at(self, name: str) -> dict[int, float]:
        """Return when a control process applied each revision, from its log."""
        year = datetime.now().year
        return {
            int(revision): datetime.strptime(
                f'{year}{stamp}', '%Y%m%d %H:%M:%S.%f'
            ).timestamp()
            for stamp, revision in _CONFIG_TAKEN.findall(
                self.processes.log(name)
            )
        }

    async def calls(self) -> dict[str, int]:
        """Return the number of object API calls so far, by kind."""
        recorded = await parties.record(self.client, self.platform())
        counted: dict[str, int] = recorded['calls']
        return counted

    async def list_hosts(
        self, servers: Iterable[view_data.BackendServer]
    ) -> None:
        """Set the backend servers in the host list."""
        body = msgspec.json.encode([server._asdict() for server in servers])
        outgoing = http_data.Outgoing('PUT', '/v1/hosts', {}, body)
        await self.client.call(self._parties['host_list'].address, outgoing)

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of a process."""
        _, body = await self._get(name, '/dump')
        state: dict[str, Any] = json.loads(body)
        return state

    def _cpu_s(self, name: str) -> float:
        try:
            return process_stats.cpu_s(self.processes.pid(name))
        except OSError as exc:
            log = self.processes.log(name)
            raise RuntimeError(f'{name} has exited: {log}') from exc

    async def _spawn(self, name: str) -> None:
        sites = fleet_settings.DeploymentAddresses(
            hosts=tuple(self.hosts),
            zones=self.plan.zones,
            platform=self.platform().address,
            host_list=self._parties['host_list'].address,
            rating='',
            weight_store='',
            entry=(),
            control=self.plan.settings,
        )
        await self.processes.spawn(name, fleet_settings.render(name, sites))

    async def _wait_ready(self, name: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        status = 0
        while status != OK:
            await asyncio.sleep(POLL_S)
            status, _ = await self._get(name, '/readyz')
            if status != OK and time.monotonic() > deadline:
                log = self.processes.log(name)
                raise TimeoutError(f'{name} is not ready: {log}')

    async def _get(self, name: str, target: str) -> tuple[int, bytes]:
        address = fleet_settings.operator_address(name, self.hosts)
        outgoing = http_data.Outgoing(
            'GET',
            target,
            {'authorization': f'Bearer {fleet_settings.OPERATOR_KEY}'},
        )
        try:
            incoming, body = await self.client.call(address, outgoing)
        except (http_data.NotSentError, http_data.BrokenError):
            return 0, b''
        return incoming.status, body


@contextlib.asynccontextmanager
async def running(plan: Plan) -> AsyncIterator[Controls]:
    """Start a fleet and stop it on exit, also after an error."""
    fleet = Controls(plan)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


def free_hosts(count: int) -> list[fleet_settings.HostPorts]:
    """Return free ports for a number of hosts; no port is returned twice.

    The ports are below the kernel's ephemeral port range. A hundred processes
    connect to one another while they start, and an outgoing connection could
    otherwise occupy a port on which another process is about to listen.
    """
    fields = len(fleet_settings.HostPorts._fields)
    return [
        fleet_settings.HostPorts(
            *(
                f'{fleet_settings.HOST}:{port}'
                for port in itertools.islice(_free_ports(), fields)
            )
        )
        for _ in range(count)
    ]


def port_of(address: str) -> int:
    """Return the port of ``ip:port``."""
    return int(address.rpartition(':')[2])


@functools.cache
def _free_ports() -> Iterator[int]:
    """Return the iterator of free ports, shared by all fleets."""
    offset = random.SystemRandom().randrange(LAST_PORT - FIRST_PORT)
    first = FIRST_PORT + offset
    ports = itertools.chain(range(first, LAST_PORT), range(FIRST_PORT, first))
    return filter(_is_free, ports)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((fleet_settings.HOST, port))
        except OSError:
            return False
    return True
