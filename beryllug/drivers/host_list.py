"""Adapter of the platform's host list.

It shows live and leaving hosts with a lag and may be unavailable; the reader
then keeps the last list.
"""

from http import HTTPStatus
from typing import Protocol, TypedDict

import msgspec

from beryllug.core import view_data
from beryllug.drivers import http_client, http_data

PATH = '/v1/hosts'

Hosts = tuple[view_data.BackendServer, ...]


class HostListError(Exception):
    """The host list could not be read."""


class HostList(Protocol):
    """The interface to the host list."""

    async def read(self) -> Hosts:
        """Read all hosts.

        Raises:
            HostListError: It could not be read.
        """


class _Host(TypedDict):
    server_id: str
    address: str
    zone: str
    pool: str
    state: view_data.ServerState


_decode_hosts = msgspec.json.Decoder(list[_Host]).decode


def decode(body: bytes) -> Hosts:
    """Decode a host list.

    Raises:
        DecodeError: The body is not a valid host list.
    """
    hosts = _decode_hosts(body)
    return tuple(view_data.BackendServer(**host) for host in hosts)


class HttpHostList:
    """The host list over HTTP."""

    def __init__(
        self,
        client: http_client.HttpClient,
        address: str,
        timeout_s: float,
    ) -> None:
        """Keep the list's address; the timeout applies to each call."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def read(self) -> Hosts:
        """Read all hosts; see `HostList`."""
        outgoing = http_data.Outgoing('GET', PATH, {})
        try:
            incoming, body = await self._client.call(
                self._address, outgoing, self._timeout_s
            )
        except (http_data.NotSentError, http_data.BrokenError) as exc:
            raise HostListError(str(exc)) from exc
        if incoming.status != HTTPStatus.OK:
            raise HostListError(f'status {incoming.status}')
        try:
            return decode(body)
        except msgspec.DecodeError as exc:
            raise HostListError(f'answer unreadable: {exc}') from exc
