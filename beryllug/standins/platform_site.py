"""A small deployment on loopback: store, backend servers and routers.

Routers run inside the test process, built by the composition root of their
role, so that a test can inspect them. They can also run as separate processes.
"""

import asyncio
import contextlib
import itertools
import os
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from beryllug.core import settings_data
from beryllug.drivers import http_client, http_data
from beryllug.kernel import log_lines, registry
from beryllug.platform import names, store
from beryllug.router import server_paths
from beryllug.scripts import compose_router
from beryllug.standins import (
    faults,
    fleet_settings,
    http_stand_in,
    link_cut,
    platform_runner,
    platform_store,
    processes,
)

HOST = 'shop.example'
KEY = 'caller-key'
ACCOUNT = 'spa-chain'
POOL = 'pool'
DESK = 'desk'
ZONE = 'a'
FLEET_KEYS = ('fleet-key-of-a-test',)
OPERATOR_KEYS = ('operator-key-of-a-test',)
TIMEOUT_S = 10.0
POLL_S = 0.01
DEFAULT_STORE = platform_store.PlatformStoreCfg()


class Reply(NamedTuple):
    """The response that a caller received."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Router(NamedTuple):
    """A router; `services` is empty if it runs as a separate process."""

    name: str
    cfg: settings_data.Router
    services: registry.Registry

    def link_cut(self) -> link_cut.LinkCut:
        """Return what cuts the links of this router to backend servers."""
        paths = self.services.find('server_paths', server_paths.ServerPaths)
        cut = getattr(paths.dial, '__self__', None)
        if not isinstance(cut, link_cut.LinkCut):
            cut = link_cut.LinkCut()
            paths.dial = cut.dial
        return cut


def caller_headers(path: str, attempt_id: str) -> dict[str, str]:
    """Return the default headers of a request."""
    headers_sent = {
        'host': HOST,
        names.ATTEMPT: attempt_id,
        names.DEADLINE: '5000',
        names.AUTHORIZATION: f'Bearer {KEY}',
    }
    if path.startswith(('/draft', '/report')):
        headers_sent[names.MODEL] = '*' if path.startswith('/draft') else 'solo'
        headers_sent[names.TOKENS] = '400,100'
        headers_sent[names.PROMPT] = 'a1:300,b2:100'
    return headers_sent


def table(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a route table document with a route of each kind."""
    routes = [
        _route('/draft/', 'streaming', POOL)
        | {'sizes': ['small', 'large'], 'resumable': True},
        _route('/report/', 'streaming', POOL),
        _route('/hold/', 'non_idempotent', DESK) | {'max_attempts': 1},
        _route('/lookup/', 'safe', DESK),
    ]
    document = {
        'version': version,
        'routes': routes,
        'services': [{'name': POOL}, {'name': DESK}],
        'limits': {},
        'tenants': [{'name': ACCOUNT, 'api_keys': [KEY]}],
    }
    return document | changes


def server_entry(service: str, address: str) -> dict[str, Any]:
    """Return the entry of a backend server that no `Site` has started."""
    return {
        'service': service,
        'address': address,
        'zone': ZONE,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'born': 0,
        'cold_remaining_ms': 0,
    }


class Site:
    """A deployment for one test.

    Attributes:
        router_by_attempt: Router name by attempt id.
    """

    def __init__(
        self,
        store_cfg: platform_store.PlatformStoreCfg = DEFAULT_STORE,
    ) -> None:
        """Create an empty deployment; `open` starts the store."""
        self.store_behaviour = platform_store.PlatformStore(store_cfg)
        self.runners: dict[str, platform_runner.PlatformRunner] = {}
        self.stand_ins: dict[str, http_stand_in.StandIn] = {}
        self.routers: list[Router] = []
        self.log_records: list[dict[str, Any]] = []
        self.listed_addresses: dict[str, str] = {}
        self.router_by_attempt: dict[str, str] = {}
        self._settings_texts: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._client = http_client.HttpClient()
        self._numbers = itertools.count(1)
        self._hosts = (
            fleet_settings.unique_loopback_host(),
            fleet_settings.unique_loopback_host(),
        )
        self._stack = contextlib.AsyncExitStack()
        self.store_stand_in = http_stand_in.StandIn(
            self.store_behaviour, faults.FaultInjector()
        )

    async def open(self) -> None:
        """Start the store and write a route table to it."""
        await self.store_stand_in.start(self._hosts[0])
        self.put_table(table())

    async def close(self) -> None:
        """Stop routers, stand-ins and connections."""
        for router in self.routers:
            await router.services.stop(0)
        for stand_in in (*self.stand_ins.values(), self.store_stand_in):
            await stand_in.stop()
        await self._client.close()

    def put_table(self, document: dict[str, Any]) -> None:
        """Write a route table as an operator does."""
        self.store_behaviour.put(store.TABLES, store.TABLE, document)

    async def add_runner(
        self,
        service: str,
        instance: str,
        zone: str = ZONE,
        *,
        is_listed: bool = True,
        port: int = 0,
        **options: Any,
    ) -> platform_runner.PlatformRunner:
        """Start a backend server and, by default, list it."""
        self._zones[instance] = zone
        cfg = platform_runner.PlatformRunnerCfg(instance, **options)
        stand_in = platform_runner.stand_in(cfg)
        await stand_in.start(self._hosts[0], port)
        self.stand_ins[instance] = stand_in
        runner = stand_in.service_behaviour
        assert isinstance(runner, platform_runner.PlatformRunner)
        self.runners[instance] = runner
        if is_listed:
            self.list_runner(service, instance)
        return runner

    async def restart_runner(
        self, service: str, instance: str, born: int
    ) -> platform_runner.PlatformRunner:
        """Crash a backend server and restart it under the same id."""
        await self.stand_ins[instance].stop()
        runner = await self.add_runner(service, instance)
        self.list_runner(service, instance, born=born)
        return runner

    def list_runner(
        self,
        service: str,
        instance: str,
        state: str = 'ready',
        born: int = 0,
        cold_ms: int = 0,
    ) -> None:
        """Write a backend server's entry, as the server does."""
        cfg = self.runners[instance].cfg
        address = self.stand_ins[instance].address
        spec = {
            'service': service,
            'address': self.listed_addresses.get(instance, address),
            'zone': self._zones[instance],
            'version': cfg.version,
            'slots': cfg.slots,
            'state': state,
            'born': born,
            'cold_remaining_ms': cold_ms,
        }
        self.store_behaviour.put(store.SERVERS, instance, spec)

    async def add_router(self, **settings: Any) -> Router:
        """Start a router and wait until it is ready.

        Args:
            settings: `zone`, or settings of the role in addition to the
                default ones.
        """
        process_settings = self._settings(**settings)
        cfg = process_settings.router
        assert cfg is not None
        services = compose_router.compose(
            process_settings,
            cfg,
            _LogRecorder(process_settings.process.name, self.log_records),
        )
        await services.start()
        router = Router(process_settings.process.name, cfg, services)
        self.routers.append(router)
        return router

    async def spawn_router(
        self, running: processes.Processes, **settings: Any
    ) -> Router:
        """Start a router as a process and wait until it is ready."""
        process_settings = self._settings(**settings)
        cfg = process_settings.router
        assert cfg is not None
        self._settings_texts[process_settings.process.name] = _render_settings(
            process_settings
        )
        await running.spawn(
            process_settings.process.name,
            self._settings_texts[process_settings.process.name],
        )
        router = Router(process_settings.process.name, cfg, registry.Registry())
        self.routers.append(router)
        await self.until_ready(router)
        return router

    async def restart_router(
        self, running: processes.Processes, router: Router
    ) -> None:
        """Restart a router process with its previous settings."""
        await running.spawn(router.name, self._settings_texts[router.name])

    async def until_ready(self, router: Router) -> None:
        """Wait until a router reports that it is ready."""
        async with asyncio.timeout(TIMEOUT_S):
            while not await self.is_ready(router):
                await asyncio.sleep(POLL_S)

    async def is_ready(self, router: Router) -> bool:
        """Check a router's readiness, as the load balancer does."""
        probe = http_data.Outgoing('GET', names.READY_PATH, {})
        try:
            incoming, _ = await self._client.call(router.cfg.ready, probe, 1)
        except (http_data.NotSentError, http_data.BrokenError):
            return False
        return incoming.status == HTTPStatus.OK

    async def ask(
        self,
        router: Router,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> Reply:
        """Send a request as a caller does, on a new connection.

        Args:
            router: Router to send to.
            path: Path, which determines the route.
            method: HTTP method.
            body: Request body.
            headers: Overrides of the default headers, with underscores.
        """
        attempt_id = f'try-{next(self._numbers):06}'
        self.router_by_attempt[attempt_id] = router.name
        headers_sent = caller_headers(path, attempt_id)
        changed = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        outgoing = http_data.Outgoing(
            method, path, headers_sent | changed, body, new_connection=True
        )
        incoming, content = await self._client.call(
            router.cfg.listen, outgoing, TIMEOUT_S
        )
        return Reply(incoming.status, incoming.headers, content)

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        return [line for line in self.log_records if line['event'] == event]

    def _settings(
        self, zone: str = '', **settings: Any
    ) -> settings_data.Settings:
        # Each deployment has its own addresses. With a shared address,
        # another test's connection or datagram took a port between the check
        # that it was free and its use.
        ports = itertools.chain(*map(fleet_settings.free_ports, self._hosts))
        given: dict[str, Any] = {
            'listen': next(ports),
            'ready': next(ports),
            'peer_listen': next(ports),
            'notes_listen': next(ports),
            'store': self.store_stand_in.address,
            'seeds': tuple(each.cfg.peer_listen for each in self.routers),
        }
        cfg = settings_data.Router(**(given | settings))
        name = f'router-{next(self._numbers)}'
        process = settings_data.Process(
            name, settings_data.Role.ROUTER, name, zone or ZONE
        )
        operators = settings_data.Operators(next(ports), OPERATOR_KEYS)
        fleet = settings_data.Fleet(FLEET_KEYS)
        return settings_data.Settings(process, operators, fleet, router=cfg)


class _LogRecorder(log_lines.LineWriter):
    """Records log lines of one process, with its name and the time."""

    def __init__(self, name: str, records: list[dict[str, Any]]) -> None:
        super().__init__(os.open(os.devnull, os.O_WRONLY))
        self._name = name
        self._records = records

    def write(self, event: str, **fields: Any) -> None:
        self._records.append(
            {
                'at': round(time.monotonic(), 3),
                'process': self._name,
                'event': event,
                **fields,
            }
        )


def _route(prefix: str, kind: str, service: str) -> dict[str, Any]:
    return {
        'name': f'route-{prefix.strip("/")}',
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 500,
        'target_gap_ms': 300,
        'service': service,
        'max_attempts': 3,
    }


def _render_settings(process_settings: settings_data.Settings) -> str:
    """Render settings as the text of a settings file."""
    lines = []
    for section, record in process_settings._asdict().items():
        if record is None:
            continue
        lines.append(f'[{section}]')
        for key, setting in record._asdict().items():
            shown = setting
            if isinstance(setting, tuple):
                shown = ','.join(setting)
            lines.append(f'{key} = {shown}')
    return '\n'.join(lines)
