"""A small deployment on loopback for the proofs and the demo.

The external services are stand-ins inside the calling process, so that a test
can read their records and inject faults directly. Entry and control run as
separate processes, which a test can kill, pause and stop.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from beryllug.core import config_data, view_data
from beryllug.drivers import (
    config_store,
    http_client,
    http_data,
    object_api,
)
from beryllug.standins import (
    engine,
    engine_worker,
    fleet_settings,
    host_list,
    object_api as platform,
    http_stand_in,
    plain_service,
    processes,
    rating,
    weight_store,
)

READY_S = 60.0
POLL_S = 0.02
PLATFORM_S = 2.0
OK = 200


class ServerPlan(NamedTuple):
    """Plan of one backend server.

    Attributes:
        server_id: Server id.
        pool: Pool of the server.
        zone: Availability zone.
        engine: Options of a model engine, None for a plain service.
    """

    server_id: str
    pool: str
    zone: str
    engine: engine_worker.EngineCfg | None = None


class Plan(NamedTuple):
    """Plan of a deployment.

    Attributes:
        document: Configuration document.
        servers: Backend servers.
        hosts: Number of entry hosts, one entry and one control process each.
        zones: Availability zones, assigned to the hosts in turn.
        entry_settings: Additional lines of the entry section.
        control_settings: Additional lines of the control section.
        platform_cfg: Options of the object API.
    """

    document: config_data.Document
    servers: tuple[ServerPlan, ...]
    hosts: int = 2
    zones: tuple[str, ...] = ('zone-1',)
    entry_settings: tuple[str, ...] = ()
    control_settings: tuple[str, ...] = ()
    platform_cfg: platform.ObjectApiCfg = platform.ObjectApiCfg()


class Fleet:
    """A running deployment.

    Attributes:
        plan: Plan of the deployment.
        platform: Object API stand-in.
        host_list: Host list stand-in.
        rating: Rating service stand-in.
        weights: Weight store stand-in.
        servers: Backend server stand-ins by server id.
        hosts: Addresses of the processes of each entry host.
        client: HTTP client for external services and operator addresses.
        processes: Entry and control processes.
        revision: Revision of the last applied document.
    """

    def __init__(self, plan: Plan) -> None:
        """Prepare a deployment; `start` starts it."""
        self.plan = plan
        self._host = fleet_settings.unique_loopback_host()
        self.platform = platform.stand_in(plan.platform_cfg)
        self.host_list = host_list.stand_in()
        self.rating = rating.stand_in()
        self.weights = weight_store.stand_in()
        self.servers: dict[str, http_stand_in.StandIn] = {}
        self.hosts: list[fleet_settings.HostPorts] = []
        self.client = http_client.HttpClient()
        self.revision = 0
        self.processes = processes.Processes()

    async def start(self) -> None:
        """Start all services and processes and wait until they are ready."""
        await self.start_parties()
        await self.apply(self.plan.document)
        self.hosts = [
            fleet_settings.free_ports(self._host)
            for _ in range(self.plan.hosts)
        ]
        names = [
            name
            for index in range(self.plan.hosts)
            for name in (
                fleet_settings.control_name(index),
                fleet_settings.entry_name(index),
            )
        ]
        await asyncio.gather(*map(self.spawn, names))
        await asyncio.gather(*map(self.wait_ready, names))

    async def start_parties(self) -> None:
        """Start the external services and list the backend servers."""
        for service in (
            self.platform,
            self.host_list,
            self.rating,
            self.weights,
        ):
            await service.start(self._host)
        for server in self.plan.servers:
            stand_in_server = _stand_in(server)
            await stand_in_server.start(self._host)
            self.servers[server.server_id] = stand_in_server
        self.list_hosts()

    async def stop(self) -> None:
        """Stop all; processes that do not exit in time are killed."""
        await self.processes.stop()
        await self.client.close()
        for stand_in_server in (
            *self.servers.values(),
            self.rating,
            self.weights,
        ):
            await stand_in_server.stop()
        await self.host_list.stop()
        await self.platform.stop()

    def list_hosts(self, leaving: tuple[str, ...] = ()) -> None:
        """Publish the backend servers in the host list."""
        behaviour = self.host_list.service_behaviour
        assert isinstance(behaviour, host_list.HostListBehaviour)
        behaviour.put(
            tuple(
                view_data.BackendServer(
                    server.server_id,
                    self.servers[server.server_id].address,
                    server.zone,
                    server.pool,
                    view_data.ServerState.LEAVING
                    if server.server_id in leaving
                    else view_data.ServerState.LIVE,
                )
                for server in self.plan.servers
            )
        )

    async def apply(self, document: config_data.Document) -> int:
        """Apply a document on the platform and return its revision."""
        api = object_api.HttpObjectApi(
            self.client, self.platform.address, PLATFORM_S
        )
        store = config_store.ConfigStore(api)
        req = config_store.ApplyRequest(
            document, self.revision, 'harness', f'apply-{self.revision}'
        )
        outcome = await store.apply(req, time.time())
        self.revision = outcome.unwrap()
        return self.revision

    async def wait_for_revision(self, name: str) -> None:
        """Wait until an entry process has the last applied revision."""

        async def is_current() -> bool:  # noqa: WPS430
            state = await self.dump(name)
            revision: int = state['control_link']['revision']
            return revision >= self.revision

        await wait_for(is_current, READY_S)

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of a process.

        Raises:
            TimeoutError: The process returned no dump.
        """
        status, body = await self.get(self.operator_address(name), '/dump')
        if status != OK:
            raise TimeoutError(f'{name} returned no dump: HTTP status {status}')
        state: dict[str, Any] = json.loads(body)
        return state

    async def spawn(self, name: str) -> None:
        """Start an entry or control process with rendered settings."""
        text = fleet_settings.render(name, self._addresses())
        await self.processes.spawn(name, text)

    async def wait_ready(self, name: str) -> None:
        """Wait until a process passes its readiness check.

        Raises:
            TimeoutError: It did not in time; the message contains its log.
        """
        try:
            await wait_for(lambda: self.is_ready(name), READY_S)
        except TimeoutError:
            log = self.processes.log(name)
            raise TimeoutError(f'{name} is not ready: {log}')

    async def is_ready(self, name: str) -> bool:
        """Return whether a process passes its readiness check."""
        status, _ = await self.get(self.operator_address(name), '/readyz')
        return status == OK

    def operator_address(self, name: str) -> str:
        """Return the operator address of a process."""
        return fleet_settings.operator_address(name, self.hosts)

    async def restart(self, name: str) -> None:
        """Start a process again and wait until it is ready."""
        await self.spawn(name)
        await self.wait_ready(name)

    async def get(
        self,
        address: str,
        target: str,
        key: str = fleet_settings.OPERATOR_KEY,
    ) -> tuple[int, bytes]:
        """Send a GET to an operator address; status 0 means no response."""
        outgoing = http_data.Outgoing(
            'GET',
            target,
            {'authorization': f'Bearer {key}'},
        )
        try:
            incoming, body = await self.client.call(address, outgoing)
        except (http_data.NotSentError, http_data.BrokenError):
            return 0, b''
        return incoming.status, body

    def _addresses(self) -> fleet_settings.DeploymentAddresses:
        return fleet_settings.DeploymentAddresses(
            hosts=tuple(self.hosts),
            zones=self.plan.zones,
            platform=self.platform.address,
            host_list=self.host_list.address,
            rating=self.rating.address,
            weight_store=self.weights.address,
            entry=self.plan.entry_settings,
            control=self.plan.control_settings,
        )


async def wait_for(
    is_true: Callable[[], Awaitable[bool]], within_s: float
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It did not hold within `within_s`.
    """
    async with asyncio.timeout(within_s):
        while not await is_true():
            await asyncio.sleep(POLL_S)


def _stand_in(server: ServerPlan) -> http_stand_in.StandIn:
    if server.engine is None:
        return plain_service.stand_in()
    return engine.stand_in(server.engine)
