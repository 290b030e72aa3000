"""Settings files and addresses for a deployment on loopback."""

import contextlib
import itertools
import os
import socket
from collections.abc import Iterator, Sequence
from typing import NamedTuple

HOST = '127.0.0.1'
OPERATOR_KEY = 'operator-key-of-the-harness'
FLEET_KEY = 'fleet-key-of-the-harness'
CONTROL = 'control'
PORTS_BEGIN = 10000
PORTS_END = 32000
PORT_STRIDE = 211
OCTET_RANGE = 250


class HostPorts(NamedTuple):
    """Addresses of the processes of one entry host."""

    callers: str
    entry_operators: str
    control: str
    control_operators: str


class DeploymentAddresses(NamedTuple):
    """Values in the settings files of a deployment."""

    hosts: tuple[HostPorts, ...]
    zones: tuple[str, ...]
    platform: str
    host_list: str
    rating: str
    weight_store: str
    entry: tuple[str, ...]
    control: tuple[str, ...]


def entry_name(index: int) -> str:
    """Return the name of a host's entry process."""
    return f'entry-{index}'


def control_name(index: int) -> str:
    """Return the name of a host's control process."""
    return f'control-{index}'


def operator_address(name: str, hosts: Sequence[HostPorts]) -> str:
    """Return the operator address of a process."""
    role, index = _parse(name)
    ports = hosts[index]
    is_control = role == CONTROL
    return ports.control_operators if is_control else ports.entry_operators


def render(name: str, sites: DeploymentAddresses) -> str:
    """Render the settings file of a process."""
    role, index = _parse(name)
    section = _entry(index, sites)
    if role == CONTROL:
        section = _control(index, sites)
    lines = (
        '[process]',
        f'name = {name}',
        f'role = {role}',
        f'host = host-{index}',
        f'zone = {sites.zones[index % len(sites.zones)]}',
        '[operators]',
        f'listen = {operator_address(name, sites.hosts)}',
        f'keys = {OPERATOR_KEY}',
        '[fleet]',
        f'keys = {FLEET_KEY}',
        f'[{role}]',
        *section,
    )
    return '\n'.join(lines)


def free_ports(host: str = HOST) -> HostPorts:
    """Find free ports outside the ephemeral port range.

    An ephemeral port could be taken by an outgoing connection between this
    check and the start of the process that is to listen on it.
    """
    ports = [next(_free_port_numbers) for _ in range(PORTS_PER_HOST)]
    return HostPorts(*(f'{host}:{port}' for port in ports))


def unique_loopback_host() -> str:
    """Return a loopback address that no other deployment uses.

    With a shared address, a deployment took over the port of another
    deployment's process that had just been killed, and served its callers.
    """
    low = os.getpid() % OCTET_RANGE
    high = os.getpid() // OCTET_RANGE % OCTET_RANGE
    return f'127.{high + 1}.{low}.{next(_host_numbers) % OCTET_RANGE + 1}'


def _iter_free_ports() -> Iterator[int]:
    """Yield free ports, starting at an offset derived from the process id."""
    span = PORTS_END - PORTS_BEGIN
    start = os.getpid() * PORT_STRIDE
    for step in itertools.count():
        port = PORTS_BEGIN + (start + step) % span
        if _is_free(port):
            yield port


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def _parse(name: str) -> tuple[str, int]:
    role, _, index = name.partition('-')
    return role, int(index)


def _entry(index: int, sites: DeploymentAddresses) -> list[str]:
    ordered = sites.hosts[index:] + sites.hosts[:index]
    controls = ', '.join(ports.control for ports in ordered)
    return [
        f'listen = {sites.hosts[index].callers}',
        f'controls = {controls}',
        f'rating = {sites.rating}',
        *sites.entry,
    ]


def _control(index: int, sites: DeploymentAddresses) -> list[str]:
    others = sites.hosts[index + 1 :] + sites.hosts[:index]
    peers = ', '.join(ports.control for ports in others)
    return [
        f'listen = {sites.hosts[index].control}',
        f'peers = {peers}',
        f'platform = {sites.platform}',
        f'host_list = {sites.host_list}',
        f'weight_store = {sites.weight_store}',
        *sites.control,
    ]


PORTS_PER_HOST = len(HostPorts._fields)
_free_port_numbers = _iter_free_ports()
_host_numbers = itertools.count()
