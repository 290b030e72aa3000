"""The client API: routes, error responses and graceful shutdown.

On shutdown the health check fails first, requests are still accepted until
the load balancer has noticed, and requests in flight end before the sockets
are closed.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.core import refusal, settings_data, view_index
from beryllug.drivers import http_data, http_server
from beryllug.entry import (
    call_data,
    chat,
    control_link,
    fetches,
    headers,
    intake,
    plain,
)

MODELS_PATH = '/v1/models'
OK = 200
GET = 'GET'
POST = 'POST'
CUT_OFF_RETRY_S = 2.0
STOPPING_RETRY_S = 1.0


class Flow(Protocol):
    """Serves calls of one kind."""

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve a call to its end, or raise `RefusedError`."""


class Flows:
    """The flows that serve each kind of request."""

    def __init__(
        self,
        chat_flow: chat.ChatFlow,
        plain_flow: plain.PlainFlow,
        fetch_flow: fetches.FetchFlow,
    ) -> None:
        """Initialize with one flow per kind."""
        self.chat = chat_flow
        self.plain = plain_flow
        self.fetch = fetch_flow


class Callers:
    """Service 'callers' of an entry process."""

    def __init__(
        self,
        cfg: settings_data.Entry,
        link: control_link.ControlLink,
        flows: Flows,
    ) -> None:
        """Initialize; `start` opens the socket."""
        limits = http_data.Limits(
            header_bytes=cfg.header_bytes,
            body_bytes=cfg.body_bytes,
            read_s=cfg.read_s,
            idle_s=cfg.idle_s,
        )
        self._cfg = cfg
        self._link = link
        self._flows = flows
        self._server = http_server.HttpServer(self._serve, limits)
        self._stopping = False
        self._counts: dict[str, int] = {}
        self._in_flight = 0
        self.port = 0

    async def start(self) -> None:
        """Listen for client connections."""
        host, _, port = self._cfg.listen.rpartition(':')
        self.port = await self._server.start(host, int(port))

    async def stop(self, grace_s: float) -> None:
        """Stop without interrupting a request.

        The load balancer sends requests until it has seen the health check
        fail; refusing them meanwhile would expose the stop to clients.
        """
        self._stopping = True
        self._server.drain()
        await asyncio.sleep(self._cfg.balancer_lag_s)
        await self._server.stop(grace_s)

    def dump(self) -> dict[str, Any]:
        """Return the requests in flight and counts by result."""
        return {
            'in_flight': self._in_flight,
            'stopping': self._stopping,
            'answers': dict(self._counts),
        }

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self._stopping and self._link.may_accept(now)

    async def _serve(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        self._in_flight += 1
        try:
            await self._route(req, exchange)
        except refusal.RefusedError as exc:
            await self._refuse(exc.refusal, exchange, '')
        finally:
            self._in_flight -= 1

    async def _route(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        index = self._link.index
        path = req.target.partition('?')[0]
        if path == MODELS_PATH and req.method == GET:
            account = intake.authenticate(req, index)
            await exchange.respond_json(OK, _models(index, account))
        elif path.startswith(fetches.PREFIX) and req.method == GET:
            await self._flows.fetch.serve(req, index, exchange)
        else:
            await self._dispatch(path, req, exchange)

    async def _dispatch(
        self,
        path: str,
        req: http_data.Request,
        exchange: http_server.Exchange,
    ) -> None:
        clock = intake.Clock(time.monotonic(), time.time())
        self._check_accepting(clock.monotonic)
        index = self._link.index
        if path == intake.CHAT_PATH and req.method == POST:
            call = intake.read_chat(req, index, clock)
            await self._run(call, self._flows.chat, exchange)
        elif path.startswith(intake.SERVICES_PREFIX):
            call = intake.read_plain(req, index, clock)
            await self._run(call, self._flows.plain, exchange)
        else:
            raise refusal.RefusedError(
                refusal.Refusal(refusal.Code.NOT_FOUND, 'no such path')
            )

    async def _run(
        self,
        call: call_data.Call,
        flow: Flow,
        exchange: http_server.Exchange,
    ) -> None:
        """Run a call; log a refusal and return it with the request id."""
        try:
            await flow.serve(call, exchange)
        except refusal.RefusedError as exc:
            logging.info(
                'event=refused request_id=%s account=%s code=%s run=%s',
                call.request_id,
                call.account.account_id,
                exc.refusal.code.value,
                exc.refusal.run.value,
            )
            await self._refuse(exc.refusal, exchange, call.request_id)
        else:
            self._count('answered')

    def _check_accepting(self, now: float) -> None:
        if not self._link.may_accept(now):
            raise refusal.RefusedError(
                refusal.Refusal(
                    refusal.Code.CUT_OFF,
                    'this host has lost its control processes',
                    retry_after_s=CUT_OFF_RETRY_S,
                )
            )
        if self._in_flight > self._cfg.max_in_flight:
            raise refusal.RefusedError(
                refusal.Refusal(
                    refusal.Code.OVER_LIMIT,
                    'this host serves as many requests as it may',
                    retry_after_s=STOPPING_RETRY_S,
                )
            )

    async def _refuse(
        self,
        refused: refusal.Refusal,
        exchange: http_server.Exchange,
        request_id: str,
    ) -> None:
        self._count(refused.code.value)
        if exchange.started:
            exchange.abort()
            return
        fields = refusal.headers_of(refused)
        fields[headers.RUN] = refused.run.value
        if request_id:
            fields[headers.REQUEST_ID] = request_id
        await exchange.respond_json(
            refusal.status_of(refused),
            refusal.body_of(refused, request_id),
            fields,
        )

    def _count(self, name: str) -> None:
        self._counts[name] = self._counts.get(name, 0) + 1


def _models(index: view_index.ViewIndex, account: Any) -> dict[str, Any]:
    """Return the models of an account in the OpenAI list format."""
    allowed = {ref.model for ref in account.allowed}
    names = [name for name in index.models if name in allowed]
    names.extend(name for name in account.cascades if name in index.cascades)
    return {
        'object': 'list',
        'data': [
            {'id': name, 'object': 'model', 'owned_by': 'beryllug'}
            for name in names
        ],
    }
