"""Calls of the platform's store of objects.

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
    object_data,
    store_data,
    store_era,
)
from beryllug.platform import documents, names

# Seconds over its wait after which a watch is taken for lost.
WATCH_SLACK_S = 1.5
# Seconds for one page of a list, which an idle store answers in 4 ms. A call
# that was lost is made again, soon after the store's return.
LIST_S = 0.5
MS = 1000
JSON = MappingProxyType({'content-type': 'application/json'})
TABLES = 'config'
TABLE = 'main'
SERVERS = 'servers'
ROLLOUTS = 'rollouts'
EVACUATIONS = 'evacuations'
DONE = (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT)


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
    # Read one by one: another writer may have put anything into one of them.
    items: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False
    at: int = 0


class _Event(msgspec.Struct):
    object: _Object
    tombstone: bool = False


class _Events(msgspec.Struct):
    at: int
    events: tuple[msgspec.Raw, ...] = ()


class Store:
    """The store at one address; counts its calls by what they do.

    Attributes:
        calls: Calls by what they do.
        eras: The era that its answers tell.
        on_unread: Told of names in its answers that are not known here.
    """

    def __init__(
        self, client: http_client.HttpClient, address: str, timeout_s: float
    ) -> None:
        """Bind to the store; each call is bounded by `timeout_s` seconds."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self.calls: dict[str, int] = {}
        self.eras = store_era.StoreEra()
        self.on_unread: Callable[[str, Iterable[str]], None] = _pass_over

    async def list_page(self, kind: str, after: str = '') -> store_data.Page:
        """List objects of a kind in the order of their names.

        Args:
            kind: The kind.
            after: Name behind which the list goes on, or empty to begin.

        Raises:
            ObjectApiError: The store did not answer.
        """
        path = _path(kind)
        if after:
            path = f'{path}?after={url_parse.quote(after, safe="")}'
        body = await self._call('list', 'GET', path, timeout_s=LIST_S)
        page = json_decode.decode(body, _Page)
        read, errors = json_decode.each(page.items, _Object)
        era = self.eras.era
        found = tuple(_stored(each, era) for each in read)
        self._note_unread(kind, found)
        is_last = not page.has_more or not found
        return store_data.Page(
            store_data.Listing(
                found, stamps.stamp(era, page.at), tuple(errors)
            ),
            '' if is_last else found[-1].name,
        )

    async def watch(
        self, kind: str, after: int, wait_s: float
    ) -> store_data.Changes:
        """Return the changes after a revision, waiting for the first.

        Raises:
            CompactedError: The store no longer has all of them.
            ObjectApiError: The store did not answer.
        """
        self._refuse_earlier(after)
        revision = stamps.revision(after)
        query = f'watch={revision}&wait_ms={int(wait_s * MS)}'
        body = await self._call(
            'watch',
            'GET',
            f'{_path(kind)}?{query}',
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        self._refuse_earlier(after)
        era = self.eras.era
        events = json_decode.decode(body, _Events)
        read, errors = json_decode.each(events.events, _Event)
        changes = tuple(
            store_data.Change(_stored(event.object, era), event.tombstone)
            for event in read
        )
        self._note_unread(kind, (change.stored for change in changes))
        revision = stamps.stamp(era, events.at)
        return store_data.Changes(changes, revision, tuple(errors))

    async def ping(self, within_s: float) -> None:
        """Ask for any answer, also of old data; raises as `list_page` does."""
        target = f'{_path(EVACUATIONS)}?allow_stale=1'
        await self._call('ping', 'GET', target, timeout_s=within_s)

    async def set_status(
        self, kind: str, name: str, revision: int, status: Any
    ) -> None:
        """Replace the status of an object that has not changed since.

        Raises:
            ConflictError: It has another revision, or the same one of another
                era, which means nothing.
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
            raise object_data.UncertainError('the store has returned')

    async def create(self, kind: str, name: str, spec: Any) -> None:
        """Create an object.

        Raises:
            ConflictError: There is one of that name.
            UncertainError: It may have taken effect, or may do so later.
            ObjectApiError: The store refused.
        """
        body = http_data.to_json({'metadata': {'name': name}, 'spec': spec})
        await self._call('create', 'POST', _path(kind), body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, if there is one.

        Raises:
            ObjectApiError: The store refused or did not answer.
        """
        await self._call('delete', 'DELETE', _path(kind, name))

    async def _call(
        self,
        what: str,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_s: float | None = None,
    ) -> bytes:
        self.calls[what] = self.calls.get(what, 0) + 1
        headers: Mapping[str, str] = JSON if body else {}
        outgoing = http_data.Outgoing(method, target, dict(headers), body)
        try:
            incoming, answer = await self._client.call(
                self._address, outgoing, timeout_s or self._timeout_s
            )
        except http_data.NotSentError as exc:
            raise object_data.UnavailableError(str(exc)) from exc
        except http_data.BrokenError as exc:
            # The other connections may be as silent as this one.
            self._client.forget(self._address)
            raise object_data.UncertainError(str(exc)) from exc
        self.eras.answered(incoming.headers.get(names.ERA, ''))
        self.on_unread('store', incoming.headers.keys() - names.ANSWER_HEADERS)
        if incoming.status not in DONE:
            raise _failure(incoming.status, incoming.headers)
        return answer

    def _note_unread(
        self, kind: str, found: Iterable[store_data.Stored]
    ) -> None:
        for stored in found:
            self.on_unread(kind, documents.unread(stored.spec))

    def _refuse_earlier(self, stamp: int) -> None:
        if stamps.era(stamp) < self.eras.era:
            raise object_data.CompactedError('history of an earlier era')


def _pass_over(source: str, unread: Iterable[str]) -> None:
    """Tell nobody of names that are not known."""


def _failure(
    status: int, headers: Mapping[str, str]
) -> object_data.ObjectApiError:
    match status:
        case HTTPStatus.CONFLICT:
            return object_data.ConflictError(0)
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


def _stored(found: _Object, era: int) -> store_data.Stored:
    metadata = found.metadata
    return store_data.Stored(
        metadata.name,
        stamps.stamp(era, metadata.revision),
        found.spec,
        found.status,
        metadata.deleting,
    )
