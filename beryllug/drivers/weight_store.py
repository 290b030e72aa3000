"""Adapter of the weight store, which is rate-limited."""

from http import HTTPStatus
from typing import NamedTuple, Protocol, TypedDict
from urllib import parse as url_parse

import msgspec

from beryllug.core import config_data
from beryllug.drivers import http_client, http_data

ROOT = '/v1/weights'


class Weights(NamedTuple):
    """The store's metadata of a version's weights."""

    size_bytes: int
    digest: str


class WeightStoreError(Exception):
    """The store could not be read."""


class RateLimitedError(WeightStoreError):
    """Too many reads; retry later."""

    def __init__(self, retry_after_s: float) -> None:
        """Keep the seconds until a read can succeed again."""
        super().__init__(f'retry after {retry_after_s} s')
        self.retry_after_s = retry_after_s


class WeightStore(Protocol):
    """The interface to the weight store."""

    async def read(self, version: config_data.VersionRef) -> Weights | None:
        """Read the metadata of a version; None if it is not stored.

        Raises:
            RateLimitedError: Too many reads.
            WeightStoreError: It could not be read.
        """


class _Weights(TypedDict):
    size_bytes: int
    digest: str


class HttpWeightStore:
    """The weight store over HTTP."""

    def __init__(
        self,
        client: http_client.HttpClient,
        address: str,
        timeout_s: float,
    ) -> None:
        """Keep the store's address; the timeout applies to each call."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def read(self, version: config_data.VersionRef) -> Weights | None:
        """Read the metadata of a version; see `WeightStore`."""
        model = url_parse.quote(version.model, safe='')
        name = url_parse.quote(version.version, safe='')
        outgoing = http_data.Outgoing('GET', f'{ROOT}/{model}/{name}', {})
        try:
            incoming, body = await self._client.call(
                self._address, outgoing, self._timeout_s
            )
        except (http_data.NotSentError, http_data.BrokenError) as exc:
            raise WeightStoreError(str(exc)) from exc
        if incoming.status == HTTPStatus.NOT_FOUND:
            return None
        _raise_failure(incoming)
        try:
            return Weights(**msgspec.json.decode(body, type=_Weights))
        except msgspec.DecodeError as exc:
            raise WeightStoreError(f'answer unreadable: {exc}') from exc


def _raise_failure(incoming: http_client.IncomingResponse) -> None:
    if incoming.status == HTTPStatus.TOO_MANY_REQUESTS:
        raise RateLimitedError(http_data.retry_after(incoming.headers))
    if incoming.status != HTTPStatus.OK:
        raise WeightStoreError(f'status {incoming.status}')
