"""Stand-in of a model engine.

It batches, queues by priority, streams, retains finished responses for a
while so that they can be resumed, caches prefixes and executes orders. Its
record lists every run; tests compare it with what callers received.
"""

from http import HTTPStatus
from typing import Any
from urllib import parse as url_parse

import msgspec

from beryllug.drivers import http_data
from beryllug.standins import (
    engine_responses,
    engine_cache,
    engine_models,
    engine_runs,
    engine_worker,
    faults,
    http_stand_in,
)

EVENTS_TYPE = 'text/event-stream'
JSON_TYPE = 'application/json'
REQUESTS = '/v1/requests/'


class EngineBehaviour:
    """Behaviour of a model engine."""

    def __init__(
        self, cfg: engine_worker.EngineCfg, injector: faults.FaultInjector
    ) -> None:
        """Create an idle engine."""
        self.worker = engine_worker.Worker(cfg, injector)
        self._cfg = cfg
        self._injector = injector

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        split = url_parse.urlsplit(req.target)
        query = dict(url_parse.parse_qsl(split.query))
        match req.method, split.path:
            case 'POST', '/v1/chat/completions':
                await self._chat(req, response)
            case 'GET', '/v1/load':
                await self._report(response)
            case 'GET', '/v1/cache-events':
                await self._show_events(int(query.get('after', '0')), response)
            case 'POST', '/v1/orders':
                await self._order(req, response)
            case 'POST', '/v1/kv/export':
                await self._export(req, response)
            case 'POST', '/v1/kv/import':
                await self._import(req, response)
            case method, path if path.startswith(REQUESTS):
                name = url_parse.unquote(path.removeprefix(REQUESTS))
                await self._request(method, name, query, response)
            case _:
                await response.refuse(HTTPStatus.NOT_FOUND, 'not_found')

    def record(self) -> Any:
        """Return all runs and orders as JSON-compatible data."""
        models = self.worker.models
        return {
            'runs': [record._asdict() for record in self.worker.records],
            'orders': [order._asdict() for order in models.orders],
            **models.snapshot(),
        }

    def crash(self) -> None:
        """Lose all runs, stored responses, loaded versions and the cache."""
        self.worker.crash()

    async def _chat(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        try:
            chat = engine_responses.parse(req, self._cfg.tokens)
        except (ValueError, AttributeError):
            await response.refuse(HTTPStatus.BAD_REQUEST, 'bad_request')
            return
        if not self.worker.models.has(chat.model, chat.version):
            await response.refuse(HTTPStatus.NOT_FOUND, 'version_not_loaded')
            return
        if self.worker.is_full():
            await response.refuse(
                HTTPStatus.SERVICE_UNAVAILABLE, 'full', {'retry-after': '1'}
            )
            return
        run = self.worker.begin(chat)
        await self._stream(run, 0, response)

    async def _stream(
        self, run: engine_runs.Run, offset: int, response: faults.Response
    ) -> None:
        await run.wait_first_byte()
        state = run.record.state
        if not run.size:
            await _respond_ended(run.record, response)
            return
        kind = EVENTS_TYPE if run.chat.stream else JSON_TYPE
        headers = {'content-type': kind, 'x-request-state': state}
        await response.start(HTTPStatus.OK, headers)
        async for chunk in run.chunks(offset):
            await response.send(chunk)
        if run.record.state is engine_runs.RunState.FINISHED:
            await response.finish()
        else:
            response.abort_connection()

    async def _request(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        response: faults.Response,
    ) -> None:
        resumes = name.endswith('/resume') and method == 'GET'
        run = self.worker.find(name.removesuffix('/resume'))
        if run is None:
            # It may have run, so the error must not state "not run".
            unknown = faults.error('unknown_request', name)
            await response.respond_json(HTTPStatus.NOT_FOUND, unknown)
        elif resumes:
            run.count_resume()
            await self._stream(run, int(query.get('offset', '0')), response)
        elif method == 'DELETE':
            await self._cancel(run, response)
        else:
            await response.refuse(HTTPStatus.METHOD_NOT_ALLOWED, 'bad_method')

    async def _cancel(
        self, run: engine_runs.Run, response: faults.Response
    ) -> None:
        finished = not run.is_open
        self.worker.cancel(run)
        started = run.record.started_at > 0
        document = {'started': started, 'finished': finished}
        await response.respond_json(HTTPStatus.OK, document)

    async def _report(self, response: faults.Response) -> None:
        await response.respond_json(HTTPStatus.OK, self.worker.load())

    async def _show_events(self, after: int, response: faults.Response) -> None:
        active = self._injector.active
        snapshot = self.worker.cache.events(
            after, active.lag_s, active.gap_rate
        )
        lines = [event._asdict() for event in snapshot.events]
        document = {'latest': snapshot.latest, 'events': lines}
        await response.respond_json(HTTPStatus.OK, document)

    async def _order(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        try:
            order = msgspec.json.decode(
                req.body, type=engine_models.OrderDocument
            )
        except msgspec.DecodeError:
            await response.refuse(HTTPStatus.BAD_REQUEST, 'bad_order')
            return
        ignores = self._injector.active.ignore_fencing
        checks = self._cfg.checks_fencing and not ignores
        if self.worker.models.apply_order(order, checks_fencing=checks):
            await response.respond_json(HTTPStatus.OK, {'accepted': True})
            return
        fencing_error = faults.error(
            'old_fencing', 'a newer holder exists', 'not_run'
        )
        document = {**fencing_error, 'highest': self.worker.models.fencing}
        await response.respond_json(HTTPStatus.CONFLICT, document)

    async def _export(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        try:
            chat = engine_responses.parse(req, self._cfg.tokens)
        except (ValueError, AttributeError):
            await response.refuse(HTTPStatus.BAD_REQUEST, 'bad_request')
            return
        blocks = engine_responses.blocks(chat.model, chat.prompt)
        exported = engine_cache.encode_blocks(
            self.worker.cache.cached_prefix(blocks)
        )
        await response.respond(HTTPStatus.OK, exported)

    async def _import(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        try:
            blocks = engine_cache.decode_blocks(req.body)
        except msgspec.DecodeError:
            await response.refuse(HTTPStatus.BAD_REQUEST, 'bad_export')
            return
        self.worker.cache.get_or_store(blocks)
        await response.respond_json(HTTPStatus.OK, {'blocks': len(blocks)})


def stand_in(
    cfg: engine_worker.EngineCfg | None = None,
) -> http_stand_in.StandIn:
    """Create a model engine stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    behaviour = EngineBehaviour(cfg or engine_worker.EngineCfg(), injector)
    server = http_stand_in.StandIn(behaviour, injector)
    behaviour.worker.on_poison = server.crash
    return server


async def _respond_ended(
    record: engine_runs.RunRecord, response: faults.Response
) -> None:
    """Respond for a run that ended before producing any output."""
    if record.state is engine_runs.RunState.CRASHED:
        response.abort_connection()
    failure = faults.error(record.state, 'the run has ended', 'failed')
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    await response.respond_json(status, failure)
