"""Stand-in of the platform's host list.

A test changes the hosts with ``PUT /v1/hosts`` or `HostListBehaviour.put`;
readers see the change after `lag_s`.
"""

import time
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec

from beryllug.core import view_data
from beryllug.drivers import host_list, http_data
from beryllug.standins import faults, delayed_value, http_stand_in

Hosts = tuple[view_data.BackendServer, ...]


class HostListCfg(NamedTuple):
    """Options; each host is ``server_id,address,zone,pool[,state]``."""

    hosts: tuple[str, ...] = ()


class HostListBehaviour:
    """Behaviour of the host list."""

    def __init__(
        self, cfg: HostListCfg, injector: faults.FaultInjector
    ) -> None:
        """Create a list with the configured hosts."""
        initial = tuple(_parse(line) for line in cfg.hosts)
        self.reads = 0
        self._hosts: delayed_value.DelayedValue[Hosts] = (
            delayed_value.DelayedValue(initial)
        )
        self._injector = injector

    def put(self, hosts: Hosts) -> None:
        """Replace all hosts."""
        self._hosts.put(time.monotonic(), hosts)

    def set_state(self, server_id: str, state: view_data.ServerState) -> None:
        """Change the state of one host."""
        self.put(
            tuple(
                host._replace(state=state)
                if host.server_id == server_id
                else host
                for host in self._hosts.latest
            )
        )

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        match req.method, req.target:
            case 'GET', '/v1/hosts':
                self.reads += 1
                lag_s = self._injector.active.lag_s
                shown = self._hosts.at(time.monotonic(), lag_s)
                await response.respond_json(HTTPStatus.OK, _lines(shown))
            case 'PUT', '/v1/hosts':
                await self._replace_hosts(req.body, response)
            case _:
                not_found = faults.error('not_found', req.target, 'not_run')
                await response.respond_json(HTTPStatus.NOT_FOUND, not_found)

    def record(self) -> Any:
        """Return the number of reads and the current hosts, without lag."""
        return {'reads': self.reads, 'hosts': _lines(self._hosts.latest)}

    def crash(self) -> None:
        """Lose no state in a crash."""

    async def _replace_hosts(
        self, body: bytes, response: faults.Response
    ) -> None:
        try:
            hosts = host_list.decode(body)
        except msgspec.DecodeError as exc:
            invalid = faults.error('bad_hosts', str(exc), 'not_run')
            await response.respond_json(HTTPStatus.BAD_REQUEST, invalid)
            return
        self.put(hosts)
        await response.respond_json(HTTPStatus.OK, _lines(hosts))


def stand_in(cfg: HostListCfg | None = None) -> http_stand_in.StandIn:
    """Create a host list stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    behaviour = HostListBehaviour(cfg or HostListCfg(), injector)
    return http_stand_in.StandIn(behaviour, injector)


def _lines(hosts: Hosts) -> list[dict[str, str]]:
    return [host._asdict() for host in hosts]


def _parse(line: str) -> view_data.BackendServer:
    """Parse ``server_id,address,zone,pool[,state]``."""
    fields = line.split(',')
    state = view_data.ServerState(fields[4] if len(fields) > 4 else 'live')
    return view_data.BackendServer(
        fields[0], fields[1], fields[2], fields[3], state
    )
