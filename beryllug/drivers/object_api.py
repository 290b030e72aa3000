"""Adapter of the platform's object API.

Only this module knows its wire format. Its errors separate calls that
certainly had no effect from calls that may have had one: after
`UncertainError` a caller reads the object before it retries a write.
"""

import base64
from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import NamedTuple, Protocol, TypedDict, TypeVar
from urllib import parse as url_parse

import msgspec

from beryllug.drivers import http_client, http_data, object_data

VERSION = 'x-object-version'
IF_MATCH = 'if-match'
ROOT = '/v1/objects'
WATCH_SLACK_S = 5.0


_Wire = TypeVar('_Wire')


class ObjectApi(Protocol):
    """The interface to the platform's object API."""

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object; None if there is none."""

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List the keys under a prefix."""

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object and return its new version.

        Args:
            key: Its name.
            value: Its bytes.
            expected_version: Write only if the object has this version; 0
                if there must be no object, None unconditionally.

        Raises:
            ConflictError: The object has another version.
            UnavailableError: It certainly had no effect.
            UncertainError: It may have had an effect.
            TooLargeError: The value is too large.
        """

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object, return the store's revision; see `write`."""

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return the changes after a revision, waiting for the first.

        Raises:
            CompactedError: The store no longer has all these changes.
        """


class _Listed(TypedDict):
    key: str
    version: int


class _Listing(TypedDict):
    revision: int
    entries: list[_Listed]


class _Change(TypedDict):
    key: str
    version: int
    deleted: bool
    value: str | None


class _Changes(TypedDict):
    revision: int
    changes: list[_Change]


class _Version(TypedDict):
    version: int


_decode_listing = msgspec.json.Decoder(_Listing).decode
_decode_changes = msgspec.json.Decoder(_Changes).decode
_decode_version = msgspec.json.Decoder(_Version).decode


_FAILURES: Mapping[int, type[object_data.ObjectApiError]] = MappingProxyType(
    {
        HTTPStatus.GONE: object_data.CompactedError,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: object_data.TooLargeError,
        HTTPStatus.SERVICE_UNAVAILABLE: object_data.UnavailableError,
    }
)


class _Reply(NamedTuple):
    """A response that was read completely."""

    status: int
    headers: http_data.Headers
    body: bytes


class HttpObjectApi:
    """The object API over HTTP; counts its calls by kind."""

    def __init__(
        self,
        client: http_client.HttpClient,
        address: str,
        timeout_s: float,
    ) -> None:
        """Create an adapter of the store at an address.

        Args:
            client: The HTTP client.
            address: ``ip:port`` of the store.
            timeout_s: Timeout of each call; for a watch, in addition to its
                wait time.
        """
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._counts: dict[str, object_data.CallCount] = {}

    @property
    def counts(self) -> dict[str, object_data.CallCount]:
        """Calls so far by kind: read, list, write, delete, watch."""
        return dict(self._counts)

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object; None if there is none."""
        outgoing = http_data.Outgoing('GET', _path(key), {})
        reply = await self._call('read', outgoing, self._timeout_s)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        _raise_failure(reply)
        return object_data.Object(key, _version_of(reply), reply.body)

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List the keys under a prefix."""
        query = url_parse.urlencode({'prefix': prefix})
        outgoing = http_data.Outgoing('GET', f'{ROOT}?{query}', {})
        reply = await self._call('list', outgoing, self._timeout_s)
        _raise_failure(reply)
        listing = _decode(_decode_listing, reply.body)
        entries = (object_data.Listed(**line) for line in listing['entries'])
        return object_data.Listing(listing['revision'], tuple(entries))

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object and return its new version; see `ObjectApi`."""
        if len(value) > object_data.MAX_VALUE:
            raise object_data.TooLargeError(f'{key}: {len(value)} bytes')
        headers = _condition(expected_version)
        outgoing = http_data.Outgoing('PUT', _path(key), headers, value)
        reply = await self._call('write', outgoing, self._timeout_s)
        _raise_failure(reply)
        return _version_of(reply)

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object and return the store's revision."""
        headers = _condition(expected_version)
        outgoing = http_data.Outgoing('DELETE', _path(key), headers)
        reply = await self._call('delete', outgoing, self._timeout_s)
        _raise_failure(reply)
        return _version_of(reply)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return the changes after a revision, waiting for the first."""
        query_fields = {'prefix': prefix, 'after': after, 'wait': wait_s}
        query = url_parse.urlencode(query_fields)
        outgoing = http_data.Outgoing('GET', f'/v1/watch?{query}', {})
        timeout_s = wait_s + max(self._timeout_s, WATCH_SLACK_S)
        reply = await self._call('watch', outgoing, timeout_s)
        _raise_failure(reply)
        batch = _decode(_decode_changes, reply.body)
        changes = (_change(line) for line in batch['changes'])
        return object_data.WatchBatch(batch['revision'], tuple(changes))

    async def _call(
        self, kind: str, outgoing: http_data.Outgoing, timeout_s: float
    ) -> _Reply:
        try:
            incoming, body = await self._client.call(
                self._address, outgoing, timeout_s
            )
        except http_data.NotSentError as exc:
            self._count(kind, outgoing, None)
            raise object_data.UnavailableError(str(exc)) from exc
        except http_data.BrokenError as exc:
            self._count(kind, outgoing, None)
            raise object_data.UncertainError(str(exc)) from exc
        reply = _Reply(incoming.status, incoming.headers, body)
        self._count(kind, outgoing, reply)
        return reply

    def _count(
        self,
        kind: str,
        outgoing: http_data.Outgoing,
        reply: _Reply | None,
    ) -> None:
        previous = self._counts.get(kind, object_data.CallCount())
        received = 0 if reply is None else len(reply.body)
        self._counts[kind] = object_data.CallCount(
            previous.calls + 1,
            previous.failures
            + (reply is None or reply.status >= HTTPStatus.TOO_MANY_REQUESTS),
            previous.bytes_sent + len(outgoing.body),
            previous.bytes_received + received,
        )


def _path(key: str) -> str:
    quoted = url_parse.quote(key)
    return f'{ROOT}/{quoted}'


def _condition(expected_version: int | None) -> http_data.Headers:
    if expected_version is None:
        return {}
    return {IF_MATCH: str(expected_version)}


def _version_of(reply: _Reply) -> int:
    try:
        return int(reply.headers[VERSION])
    except (KeyError, ValueError) as exc:
        raise object_data.UncertainError('answer without a version') from exc


def _change(line: _Change) -> object_data.Change:
    encoded = line['value']
    body = None if encoded is None else base64.b64decode(encoded)
    return object_data.Change(
        line['key'], line['version'], line['deleted'], body
    )


def _raise_failure(reply: _Reply) -> None:
    if reply.status != HTTPStatus.OK:
        raise _error_of(reply)


def _error_of(reply: _Reply) -> object_data.ObjectApiError:
    """Return the error for a response other than success."""
    match reply.status:
        case HTTPStatus.PRECONDITION_FAILED:
            current = _decode(_decode_version, reply.body)['version']
            return object_data.ConflictError(current)
        case HTTPStatus.NOT_FOUND:
            return object_data.ConflictError(0)
        case HTTPStatus.TOO_MANY_REQUESTS:
            return object_data.RateLimitedError(
                http_data.retry_after(reply.headers)
            )
    kind = _FAILURES.get(reply.status, object_data.UncertainError)
    return kind(f'status {reply.status}')


def _decode(decode: Callable[[bytes], _Wire], body: bytes) -> _Wire:
    try:
        return decode(body)
    except msgspec.DecodeError as exc:
        raise object_data.UncertainError(f'answer unreadable: {exc}') from exc
