"""Stand-in of a model engine.

It batches, queues by priority, streams, keeps finished answers for a while
to be resumed, caches prefixes and takes orders. Its record tells every run,
which is what tests compare with what callers were told.
"""

from http import HTTPStatus
from typing import Any
from urllib import parse as url_parse

import msgspec

from beryllug.drivers import http_data
from beryllug.standins import (
    engine_answers,
    engine_cache,
    engine_models,
    engine_runs,
    engine_worker,
    faults,
    party,
)

EVENTS_TYPE = 'text/event-stream'
JSON_TYPE = 'application/json'
REQUESTS = '/v1/requests/'


class EngineParty:
    """A model engine's behaviour."""

    def __init__(
        self, cfg: engine_worker.EngineCfg, switches: faults.Switches
    ) -> None:
        """Make an idle engine."""
        self.worker = engine_worker.Worker(cfg, switches)
        self._cfg = cfg
        self._switches = switches

    async def handle(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        """Answer one request."""
        split = url_parse.urlsplit(req.target)
        query = dict(url_parse.parse_qsl(split.query))
        match req.method, split.path:
            case 'POST', '/v1/chat/completions':
                await self._chat(req, answer)
            case 'GET', '/v1/load':
                await self._report(answer)
            case 'GET', '/v1/cache-events':
                await self._show_events(int(query.get('after', '0')), answer)
            case 'POST', '/v1/orders':
                await self._order(req, answer)
            case 'POST', '/v1/kv/export':
                await self._export(req, answer)
            case 'POST', '/v1/kv/import':
                await self._import(req, answer)
            case method, path if path.startswith(REQUESTS):
                name = url_parse.unquote(path.removeprefix(REQUESTS))
                await self._request(method, name, query, answer)
            case _:
                await answer.refuse(HTTPStatus.NOT_FOUND, 'not_found')

    def record(self) -> Any:
        """Return every run and order as plain data."""
        models = self.worker.models
        return {
            'runs': [record._asdict() for record in self.worker.records],
            'orders': [order._asdict() for order in models.orders],
            **models.shown(),
        }

    def crash(self) -> None:
        """Lose all runs, kept answers, loaded versions and the cache."""
        self.worker.crash()

    async def _chat(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        try:
            ask = engine_answers.parse(req, self._cfg.tokens)
        except (ValueError, AttributeError):
            await answer.refuse(HTTPStatus.BAD_REQUEST, 'bad_request')
            return
        if not self.worker.models.has(ask.model, ask.version):
            await answer.refuse(HTTPStatus.NOT_FOUND, 'version_not_loaded')
            return
        if self.worker.is_full():
            await answer.refuse(
                HTTPStatus.SERVICE_UNAVAILABLE, 'full', {'retry-after': '1'}
            )
            return
        run = self.worker.begin(ask)
        await self._stream(run, 0, answer)

    async def _stream(
        self, run: engine_runs.Run, offset: int, answer: faults.Answer
    ) -> None:
        await run.wait_head()
        state = run.record.state
        if not run.size:
            await _answer_ended(run.record, answer)
            return
        kind = EVENTS_TYPE if run.ask.stream else JSON_TYPE
        headers = {'content-type': kind, 'x-request-state': state}
        await answer.start(HTTPStatus.OK, headers)
        async for piece in run.pieces(offset):
            await answer.send(piece)
        if run.record.state is engine_runs.RunState.FINISHED:
            await answer.finish()
        else:
            answer.cut()

    async def _request(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        answer: faults.Answer,
    ) -> None:
        resumes = name.endswith('/resume') and method == 'GET'
        run = self.worker.find(name.removesuffix('/resume'))
        if run is None:
            # Whether it ran is not known here, so this never says "not run".
            unknown = faults.error('unknown_request', name)
            await answer.respond_json(HTTPStatus.NOT_FOUND, unknown)
        elif resumes:
            run.note_resume()
            await self._stream(run, int(query.get('offset', '0')), answer)
        elif method == 'DELETE':
            await self._cancel(run, answer)
        else:
            await answer.refuse(HTTPStatus.METHOD_NOT_ALLOWED, 'bad_method')

    async def _cancel(
        self, run: engine_runs.Run, answer: faults.Answer
    ) -> None:
        finished = not run.is_open
        self.worker.cancel(run)
        started = run.record.started_at > 0
        document = {'started': started, 'finished': finished}
        await answer.respond_json(HTTPStatus.OK, document)

    async def _report(self, answer: faults.Answer) -> None:
        await answer.respond_json(HTTPStatus.OK, self.worker.load())

    async def _show_events(self, after: int, answer: faults.Answer) -> None:
        present = self._switches.present
        shown = self.worker.cache.events(after, present.lag_s, present.gap_rate)
        lines = [event._asdict() for event in shown.events]
        document = {'latest': shown.latest, 'events': lines}
        await answer.respond_json(HTTPStatus.OK, document)

    async def _order(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        try:
            order = msgspec.json.decode(
                req.body, type=engine_models.OrderDocument
            )
        except msgspec.DecodeError:
            await answer.refuse(HTTPStatus.BAD_REQUEST, 'bad_order')
            return
        ignores = self._switches.present.ignore_fencing
        checks = self._cfg.checks_fencing and not ignores
        if self.worker.models.obey(order, checks_fencing=checks):
            await answer.respond_json(HTTPStatus.OK, {'accepted': True})
            return
        old = faults.error('old_fencing', 'a newer holder exists', 'not_run')
        document = {**old, 'highest': self.worker.models.fencing}
        await answer.respond_json(HTTPStatus.CONFLICT, document)

    async def _export(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        try:
            ask = engine_answers.parse(req, self._cfg.tokens)
        except (ValueError, AttributeError):
            await answer.refuse(HTTPStatus.BAD_REQUEST, 'bad_request')
            return
        blocks = engine_answers.blocks(ask.model, ask.prompt)
        exported = engine_cache.export(self.worker.cache.cached(blocks))
        await answer.respond(HTTPStatus.OK, exported)

    async def _import(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        try:
            blocks = engine_cache.parse_export(req.body)
        except msgspec.DecodeError:
            await answer.refuse(HTTPStatus.BAD_REQUEST, 'bad_export')
            return
        self.worker.cache.use(blocks)
        await answer.respond_json(HTTPStatus.OK, {'blocks': len(blocks)})


def stand_in(cfg: engine_worker.EngineCfg | None = None) -> party.StandIn:
    """Make an engine stand-in; `start` opens its sockets."""
    switches = faults.Switches()
    behaviour = EngineParty(cfg or engine_worker.EngineCfg(), switches)
    made = party.StandIn(behaviour, switches)
    behaviour.worker.on_poison = made.crash
    return made


async def _answer_ended(
    record: engine_runs.RunRecord, answer: faults.Answer
) -> None:
    """Answer for a run that ended before its first byte."""
    if record.state is engine_runs.RunState.CRASHED:
        answer.cut()
    failed = faults.error(record.state, 'the run has ended', 'failed')
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    await answer.respond_json(status, failed)
