"""Stand-in of the platform's object API.

It implements versions, conditional writes, watches, rate limits and the value
size limit. It counts each call; a waiting watch counts as one call.
"""

import asyncio
import base64
import time
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib import parse as url_parse

from beryllug.drivers import http_data, object_data
from beryllug.standins import (
    faults,
    object_store,
    http_stand_in,
    rate,
    notifier,
)

ROOT = '/v1/objects'
MAX_INLINE_BYTES = 65536
MAX_WAIT_S = 300.0


class ObjectApiCfg(NamedTuple):
    """Options; rates in calls per second, 0 for no limit."""

    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0


class ObjectApiBehaviour:
    """Behaviour of the object API."""

    def __init__(
        self, cfg: ObjectApiCfg, injector: faults.FaultInjector
    ) -> None:
        """Create an empty store."""
        now = time.monotonic()
        self.store = object_store.ObjectStore()
        self.calls: dict[str, int] = {}
        self._injector = injector
        self._replica = self.store
        self._reads = rate.Bucket(cfg.reads_per_s, now)
        self._writes = rate.Bucket(cfg.writes_per_s, now)
        self._changed = notifier.Notifier()
        injector.add_listener(self._apply_faults)

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        split = url_parse.urlsplit(req.target)
        query = dict(url_parse.parse_qsl(split.query))
        key = url_parse.unquote(split.path.removeprefix(f'{ROOT}/'))
        kind = _kind(req.method, split.path)
        if await self._is_rate_limited(kind, response):
            return
        match kind:
            case 'read':
                await self._read(key, response)
            case 'list':
                await self._list(query.get('prefix', ''), response)
            case 'write' | 'delete':
                await self._change(key, req, response)
            case 'watch':
                await self._watch(query, response)
            case _:
                refused = faults.error('not_found', req.target, 'not_run')
                await response.respond_json(HTTPStatus.NOT_FOUND, refused)

    def record(self) -> Any:
        """Return calls by kind, and all objects with version and size."""
        return {
            'revision': self.store.revision,
            'calls': self.calls,
            'conflicts': self.store.conflicts,
            'refused': self._reads.refused + self._writes.refused,
            'objects': {
                stored.key: {
                    'version': stored.version,
                    'size': len(stored.value),
                }
                for stored in self.store.stored()
            },
        }

    def crash(self) -> None:
        """Lose no state: the store is durable."""

    def _apply_faults(self) -> None:
        stale = self._injector.active.stale
        self._replica = self.store.copy() if stale else self.store
        self._changed.signal()

    async def _is_rate_limited(
        self, kind: str, response: faults.Response
    ) -> bool:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        writes = kind in {'write', 'delete'}
        bucket = self._writes if writes else self._reads
        wait_s = bucket.take(time.monotonic())
        if wait_s:
            await response.respond_json(
                HTTPStatus.TOO_MANY_REQUESTS,
                faults.error('rate_limited', 'too many calls', 'not_run'),
                {'retry-after': f'{wait_s:.3f}'},
            )
        return wait_s > 0

    async def _read(self, key: str, response: faults.Response) -> None:
        stored = self._replica.read(key)
        if stored is None:
            not_found = faults.error('not_found', key, 'not_run')
            await response.respond_json(HTTPStatus.NOT_FOUND, not_found)
            return
        headers = {'x-object-version': str(stored.version)}
        await response.respond(HTTPStatus.OK, stored.value, headers)

    async def _list(self, prefix: str, response: faults.Response) -> None:
        listing = self._replica.list_keys(prefix)
        lines = [line._asdict() for line in listing.entries]
        document = {'revision': listing.revision, 'entries': lines}
        await response.respond_json(HTTPStatus.OK, document)

    async def _change(
        self, key: str, req: http_data.Request, response: faults.Response
    ) -> None:
        try:
            version = self._apply(key, req)
        except object_data.ConflictError as exc:
            await _respond_conflict(exc.current_version, response)
        except object_data.TooLargeError:
            too_large = faults.error('too_large', key, 'not_run')
            await response.respond_json(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, too_large
            )
        except ValueError:
            invalid = faults.error('bad_condition', key, 'not_run')
            await response.respond_json(HTTPStatus.BAD_REQUEST, invalid)
        else:
            self._changed.signal()
            headers = {'x-object-version': str(version)}
            await response.respond_json(
                HTTPStatus.OK, {'version': version}, headers
            )

    def _apply(self, key: str, req: http_data.Request) -> int:
        condition = req.headers.get('if-match')
        expected = None if condition is None else int(condition)
        if req.method == 'DELETE':
            return self.store.delete(key, expected)
        return self.store.write(key, req.body, expected)

    async def _watch(
        self, query: dict[str, str], response: faults.Response
    ) -> None:
        try:
            after = int(query.get('after', '0'))
            wait_s = min(float(query.get('wait', '0')), MAX_WAIT_S)
        except ValueError:
            invalid = faults.error('bad_watch', str(query), 'not_run')
            await response.respond_json(HTTPStatus.BAD_REQUEST, invalid)
            return
        try:
            batch = await self._await_changes(
                query.get('prefix', ''), after, wait_s
            )
        except object_data.CompactedError as exc:
            compacted = faults.error('compacted', str(exc), 'not_run')
            await response.respond_json(HTTPStatus.GONE, compacted)
            return
        await response.respond_json(
            HTTPStatus.OK,
            {
                'revision': batch.revision,
                'changes': [_change_line(change) for change in batch.changes],
            },
        )

    async def _await_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = self._changed.next()
            batch = self._replica.changes(prefix, after)
            if batch.changes:
                return batch
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                return batch


def stand_in(cfg: ObjectApiCfg | None = None) -> http_stand_in.StandIn:
    """Create an object API stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    behaviour = ObjectApiBehaviour(cfg or ObjectApiCfg(), injector)
    return http_stand_in.StandIn(behaviour, injector)


def _kind(method: str, path: str) -> str:
    match method, path:
        case 'GET', '/v1/watch':
            return 'watch'
        case 'GET', '/v1/objects':
            return 'list'
    kinds = {'GET': 'read', 'PUT': 'write', 'DELETE': 'delete'}
    if path.startswith(f'{ROOT}/'):
        return kinds.get(method, '')
    return ''


def _change_line(change: object_data.Change) -> dict[str, Any]:
    body = change.value
    is_inlined = body is not None and len(body) < MAX_INLINE_BYTES
    encoded = base64.b64encode(body or b'').decode() if is_inlined else None
    return {**change._asdict(), 'value': encoded}


async def _respond_conflict(current: int, response: faults.Response) -> None:
    document = faults.error('conflict', 'another version', 'not_run')
    document['version'] = current
    headers = {'x-object-version': str(current)}
    await response.respond_json(
        HTTPStatus.PRECONDITION_FAILED, document, headers
    )
