"""Client of the platform's object store.

All revisions are stamps, see `core.stamps`.

The errors are those of our object API: after `UncertainError` a write may
have taken effect, or may do so seconds later.
"""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib import parse as url_parse

import msgspec

from beryllug.core import stamps
from beryllug.drivers import (
    http_client,
    http_data,
    json_decode,
    movable_server,
    object_data,
    store_data,
    store_era,
)
from beryllug.platform import documents, names

# Seconds beyond its wait after which a watch is considered lost.
WATCH_GRACE_S = 1.5
# Timeout for one page of a list, which an idle store answers in 4 ms. A call
# that was lost is retried, soon after the store is reachable again.
LIST_TIMEOUT_S = 0.5
MS = 1000
JSON = MappingProxyType({'content-type': 'application/json'})
TABLES = 'config'
TABLE = 'main'
SERVERS = 'servers'
ROLLOUTS = 'rollouts'
EVACUATIONS = 'evacuations'
SUCCESS = (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT)


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0
    finalizers: Any = ()
    deleting: bool = False


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None
    status: Any = None


class _Page(msgspec.Struct):
    at: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    tombstone: bool


class _Events(msgspec.Struct):
    at: int


class Store:
    """Client of the store at one address.

    Attributes:
        server: Calls the address.
        calls: Number of calls by operation.
        eras: The era stated by its answers.
        on_unread: Called with unknown names found in its answers.
    """

    def __init__(
        self, client: http_client.HttpClient, address: str, timeout_s: float
    ) -> None:
        """Create a client; each call times out after `timeout_s` seconds."""
        self.server = movable_server.MovableServer(client, address)
        self._timeout_s = timeout_s
        self.calls: dict[str, int] = {}
        self.eras = store_era.StoreEra()
        self.on_unread: Callable[[str, Iterable[str]], None] = _ignore_unread

    async def list_page(self, kind: str, after: str = '') -> store_data.Page:
        """List objects of a kind, ordered by name.

        Args:
            kind: The kind.
            after: Name after which the page starts; empty for the first.

        Raises:
            ObjectApiError: The store did not answer.
        """
        path = _path(kind)
        if after:
            path = f'{path}?after={json_decode.quote(after)}'
        body = await self._call('list', 'GET', path, timeout_s=LIST_TIMEOUT_S)
        page, entries = json_decode.decode_list(body, _Page, 'items')
        decoded = json_decode.decode_entries(entries, _Object)
        listed = tuple(self._to_stored(each, page.at) for each in decoded.found)
        self._report_unread(kind, listed)
        name, errors = '', decoded.errors
        if page.has_more:
            name = json_decode.text_at(decoded.last, 'metadata', 'name')
        if page.has_more and name in {'', after}:
            name, errors = '', (*errors, f'no page after {after!r}')
        revision = self.eras.stamp(page.at)
        return store_data.Page(
            store_data.Listing(listed, revision, errors), name
        )

    async def watch(
        self, kind: str, after: int, wait_s: float
    ) -> store_data.Changes:
        """Return the changes after a revision, waiting for the first one.

        Raises:
            CompactedError: The store no longer has all of them.
            ObjectApiError: The store did not answer.
        """
        self._require_current_era(after)
        revision = stamps.revision(after)
        target = f'{_path(kind)}?watch={revision}&wait_ms={int(wait_s * MS)}'
        timeout_s = wait_s + WATCH_GRACE_S
        body = await self._call('watch', 'GET', target, timeout_s=timeout_s)
        self._require_current_era(after)
        batch, entries = json_decode.decode_list(body, _Events, 'events')
        decoded = json_decode.decode_entries(entries, _Event)
        changes = tuple(
            store_data.Change(
                self._to_stored(event.object, batch.at), event.tombstone
            )
            for event in decoded.found
        )
        self._report_unread(kind, (change.stored for change in changes))
        return store_data.Changes(
            changes,
            self.eras.stamp(batch.at),
            decoded.errors,
            is_complete=not decoded.lost,
        )

    async def ping(self, within_s: float) -> None:
        """Request any answer, even stale data; raises as `list_page` does."""
        target = f'{_path(EVACUATIONS)}?allow_stale=1'
        await self._call('ping', 'GET', target, timeout_s=within_s)

    async def set_status(
        self, kind: str, name: str, revision: int, status: Any
    ) -> None:
        """Replace the status of an object unless it has changed since.

        Raises:
            ConflictError: It has another revision. A revision of another era
                never matches.
            UncertainError: It may have taken effect, or may do so later.
            ObjectApiError: The store refused.
        """
        if stamps.era(revision) < self.eras.era:
            raise object_data.ConflictError(0)
        metadata = {'name': name, 'revision': stamps.revision(revision)}
        body = http_data.to_json({'metadata': metadata, 'status': status})
        path = f'{_path(kind, name)}/status'
        await self._call('status', 'PUT', path, body)
        if stamps.era(revision) < self.eras.era:
            raise object_data.UncertainError('the store has been restored')

    async def create(self, kind: str, name: str, spec: Any) -> None:
        """Create an object.

        Raises:
            ConflictError: An object of that name exists.
            UncertainError: It may have taken effect, or may do so later.
            ObjectApiError: The store refused.
        """
        body = http_data.to_json({'metadata': {'name': name}, 'spec': spec})
        await self._call('create', 'POST', _path(kind), body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object.

        Raises:
            NotFoundError: There is none.
            ObjectApiError: The store refused or did not answer.
        """
        await self._call('delete', 'DELETE', _path(kind, name))

    async def _call(
        self,
        operation: str,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float | None = None,
    ) -> bytes:
        self.calls[operation] = self.calls.get(operation, 0) + 1
        headers: Mapping[str, str] = JSON if body else {}
        outgoing = http_data.Outgoing(method, target, dict(headers), body)
        try:
            incoming, content = await self.server.call(
                outgoing,
                timeout_s or self._timeout_s,
                is_waiting=operation == 'watch',
            )
        except http_data.NotSentError as exc:
            raise object_data.UnavailableError(str(exc)) from exc
        except http_data.BrokenError as exc:
            raise store_era.broken(exc, operation == 'watch') from exc
        self.eras.check_response(incoming.headers.get(names.ERA, ''))
        self.on_unread('store', incoming.headers.keys() - names.ANSWER_HEADERS)
        if incoming.status not in SUCCESS:
            raise _error_of(incoming.status, incoming.headers)
        return content

    def _report_unread(
        self, kind: str, found: Iterable[store_data.StoredObject]
    ) -> None:
        for stored in found:
            self.on_unread(kind, documents.unknown_fields(stored.spec))

    def _to_stored(
        self, found: _Object, newest: int
    ) -> store_data.StoredObject:
        name, revision, _, is_leaving = msgspec.structs.astuple(found.metadata)
        stamp = self.eras.stamp(min(max(revision, 0), newest))
        return store_data.StoredObject(
            name, stamp, found.spec, found.status, is_leaving
        )

    def _require_current_era(self, stamp: int) -> None:
        if stamps.era(stamp) < self.eras.era:
            raise object_data.CompactedError('history is of an earlier era')


def _ignore_unread(source: str, unread: Iterable[str]) -> None:
    """Ignore unknown names."""


def _error_of(
    status: int, headers: Mapping[str, str]
) -> object_data.ObjectApiError:
    match status:
        case HTTPStatus.CONFLICT:
            return object_data.ConflictError(0)
        case HTTPStatus.NOT_FOUND:
            return object_data.NotFoundError('no such object')
        case HTTPStatus.GONE:
            return object_data.CompactedError('history is gone')
        case HTTPStatus.SERVICE_UNAVAILABLE if names.RETRY_AFTER not in headers:
            return object_data.UnavailableError('the store is unavailable')
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            after_s = http_data.retry_after(dict(headers), absent_s=0)
            return object_data.RateLimitedError(after_s)
    return object_data.ObjectApiError(f'status {status}')


def _path(kind: str, name: str = '') -> str:
    path = f'{names.OBJECTS_PATH}/{kind}'
    return f'{path}/{url_parse.quote(name, safe="")}' if name else path
