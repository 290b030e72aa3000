"""Stand-in for the platform's object store.

It stores objects by kind and name under one revision counter, with conditional
writes, paged lists and long-polling watches. Like the platform, it can compact
its history and rejects calls over the rate limits.
"""

import asyncio
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib import parse as url_parse

import msgspec

from beryllug.drivers import http_data
from beryllug.platform import names
from beryllug.standins import faults, http_stand_in, rate

MS = 1000


class PlatformStoreCfg(NamedTuple):
    """Options of the store.

    Attributes:
        writes_per_s: Write calls per second; more are rejected.
        reads_per_s: Read calls per second; more are rejected.
        page: Maximum number of objects in one page of a list.
        first_revision: Revision of the empty store.
        first_era: Era that it starts with.
    """

    writes_per_s: float = 400
    reads_per_s: float = 2000
    page: int = 50
    first_revision: int = 1
    first_era: int = 1


class _Event(NamedTuple):
    kind: str
    name: str
    revision: int
    shown: dict[str, Any]
    is_gone: bool


class Snapshot(NamedTuple):
    """A snapshot of the store."""

    revision: int
    oldest: int
    stored: dict[tuple[str, str], dict[str, Any]]
    history: list[_Event]


class PlatformStore:
    """Behaviour of the object store, independent of sockets.

    Attributes:
        revision: Revision of the last change.
        era: Increases by 1 with every restore.
        reported_era: Era in the response headers; empty to omit it.
        calls: Number of calls by operation.
        history: Changes that watches report.
    """

    def __init__(self, cfg: PlatformStoreCfg) -> None:
        """Create an empty store."""
        self.revision = cfg.first_revision
        self.era = cfg.first_era
        self.reported_era = str(self.era)
        self.calls: dict[str, int] = {}
        self._cfg = cfg
        self._stored: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[_Event] = []
        self._oldest = cfg.first_revision
        self._changed = asyncio.Event()
        self._reads = rate.Bucket(cfg.reads_per_s, 0)
        self._writes = rate.Bucket(cfg.writes_per_s, 0)

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Write an object as its owner does and return its revision."""
        existing = self._stored.get((kind, name), {})
        self.revision += 1
        shown = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': existing.get('created', self.revision),
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self._stored[(kind, name)] = shown
        self._append_event(
            _Event(kind, name, self.revision, shown, is_gone=False)
        )
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        shown = self._stored.pop((kind, name))
        self.revision += 1
        self._append_event(
            _Event(kind, name, self.revision, shown, is_gone=True)
        )

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object; None if there is none."""
        return self._stored.get((kind, name), {}).get('status')

    def take_snapshot(self) -> Snapshot:
        """Take a snapshot for `restore`."""
        return Snapshot(
            self.revision,
            self._oldest,
            dict(self._stored),
            list(self.history),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Restore a snapshot and start a new era; later writes are lost."""
        self.era += 1
        self.reported_era = str(self.era)
        self.revision = snapshot.revision
        self._stored = dict(snapshot.stored)
        self.history = list(snapshot.history)
        self._oldest = snapshot.oldest
        self._notify_watchers()

    def compact(self) -> None:
        """Discard the history; watches from an older revision get 410."""
        self.history.clear()
        self._oldest = self.revision
        self._notify_watchers()

    def record(self) -> Any:
        """Return the number of calls by operation, and the revision."""
        return {'calls': dict(self.calls), 'revision': self.revision}

    def crash(self) -> None:
        """Lose no state: acknowledged writes are durable."""

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one call."""
        path, _, query = req.target.partition('?')
        parts = path.removeprefix(f'{names.OBJECTS_PATH}/').split('/')
        params = dict(url_parse.parse_qsl(query))
        operation = _operation(req.method, parts, params)
        self.calls[operation] = self.calls.get(operation, 0) + 1
        calls = self._reads if req.method == 'GET' else self._writes
        is_counted = operation != 'stale'
        if is_counted and calls.take(asyncio.get_running_loop().time()):
            await response.respond(
                HTTPStatus.TOO_MANY_REQUESTS,
                headers=_headers(self.reported_era),
            )
            return
        found: Any = {}
        status: int = HTTPStatus.OK
        match operation:
            case 'list' | 'stale':
                status, found = self._list(parts[0], params)
            case 'watch':
                status, found = await self._watch(parts[0], params)
            case 'get':
                status, found = self._get(parts)
            case 'delete':
                self.remove(parts[0], url_parse.unquote(parts[1]))
            case _:
                body = msgspec.json.decode(req.body)
                status, found = self._write(operation, parts, body)
        await response.respond_json(status, found, _headers(self.reported_era))

    def _list(
        self, kind: str, params: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = params.get('after', '')
        found = sorted(
            name
            for stored_kind, name in self._stored
            if stored_kind == kind and name > after
        )
        page = found[: self._cfg.page]
        return HTTPStatus.OK, {
            'items': [self._stored[(kind, name)] for name in page],
            'has_more': len(found) > len(page),
            'at': self.revision,
        }

    async def _watch(
        self, kind: str, params: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        since = int(params['watch'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(params.get('wait_ms', '0')) / MS
        while True:
            if not self._oldest <= since <= self.revision:
                return HTTPStatus.GONE, {}
            events = [
                {'object': event.shown, 'tombstone': event.is_gone}
                for event in self.history
                if event.kind == kind and event.revision > since
            ]
            if events or loop.time() >= deadline:
                return HTTPStatus.OK, {'events': events, 'at': self.revision}
            await _wait(self._changed, deadline - loop.time())

    def _get(self, parts: list[str]) -> tuple[int, dict[str, Any]]:
        shown = self._stored.get((parts[0], url_parse.unquote(parts[1])))
        if shown is None:
            return HTTPStatus.NOT_FOUND, {}
        return HTTPStatus.OK, shown

    def _write(
        self, operation: str, parts: list[str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        metadata = body['metadata']
        name = metadata['name']
        existing = self._stored.get((parts[0], name))
        if operation == 'create' and existing is not None:
            return HTTPStatus.CONFLICT, existing
        if operation != 'create' and existing is None:
            return HTTPStatus.NOT_FOUND, {}
        expected = metadata.get('revision')
        if existing and expected not in {
            None,
            existing['metadata']['revision'],
        }:
            return HTTPStatus.CONFLICT, existing
        spec = body.get('spec')
        status = existing['status'] if existing else None
        if operation == 'status' and existing is not None:
            spec = existing['spec']
            status = body.get('status')
        self.put(parts[0], name, spec, status)
        return HTTPStatus.OK, self._stored[(parts[0], name)]

    def _append_event(self, event: _Event) -> None:
        self.history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _wait(changed: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(changed.wait(), seconds)
    except TimeoutError:
        return


def _headers(reported_era: str) -> dict[str, str]:
    return {names.ERA: reported_era} if reported_era else {}


def stand_in(cfg: PlatformStoreCfg) -> http_stand_in.StandIn:
    """Create an object store stand-in; `start` opens its sockets."""
    return http_stand_in.StandIn(PlatformStore(cfg), faults.FaultInjector())


def _operation(method: str, parts: list[str], params: dict[str, str]) -> str:
    if method == 'GET':
        if 'watch' in params:
            return 'watch'
        if 'allow_stale' in params:
            return 'stale'
        return 'get' if len(parts) > 1 else 'list'
    if method == 'PUT' and parts[-1] == 'status':
        return 'status'
    return {'POST': 'create', 'PUT': 'replace', 'DELETE': 'delete'}[method]
