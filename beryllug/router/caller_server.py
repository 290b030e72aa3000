"""Service 'front': callers' requests, readiness and graceful shutdown.

On shutdown the readiness check fails first. Requests are still accepted until
the balancer has surely noticed, then refused as "not run", while those in
flight run to their end.
"""

import asyncio
import math
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from beryllug.core import rendezvous, settings_data
from beryllug.core.placement import retry_delay
from beryllug.core.routes import match, routes_data
from beryllug.drivers import http_data, http_server
from beryllug.platform import requests
from beryllug.router import (
    attempt_log,
    directory,
    plain_flow,
    stream_flow,
    suspect_trials,
)
from beryllug.router import call as call_data

OK = 200
# Seconds between two health checks of the balancer, which removes a process
# after two failures.
HEALTH_CHECK_INTERVAL_S = 1.0
# Seconds for which requests are still accepted after a stop was requested: two
# health checks, and one more for a connection that was made just before.
DRAIN_ACCEPT_S = 3 * HEALTH_CHECK_INTERVAL_S
# Seconds by which shutdown ends before the platform kills the process.
KILL_MARGIN_S = 0.5
# Assumed timeout of a caller that states none.
DEFAULT_CALLER_TIMEOUT_S = 60.0
DRAIN_POLL_S = 0.05
STOPPING = retry_delay.PlacementFailure(retry_delay.Cause.STOPPING)
NO_TABLE = retry_delay.PlacementFailure(retry_delay.Cause.NO_TABLE)
# Seconds for which a write to a caller may be blocked.
WRITE_TIMEOUT_S = 10.0


class Flows(NamedTuple):
    """The flows that serve requests, and the check before them."""

    plain: plain_flow.PlainFlow
    streams: stream_flow.StreamFlow
    suspects: suspect_trials.SuspectTrials


def _no_relayed() -> int:
    """Default of `relayed_in_flight`."""
    return 0


def _none_waiting(until: float) -> None:
    """Default of `drain_waiting`."""


def _ignore_call(call: call_data.Call) -> None:
    """Default of `on_call`."""


class CallerServer:
    """Accepts callers' requests and passes them to the matching flow.

    Attributes:
        relayed_in_flight: Returns how many requests are forwarded for peers.
        drain_waiting: Called on shutdown with the second until which requests
            may wait for room at a server.
        on_call: Called once with each request that has a route.
    """

    def __init__(
        self,
        cfg: settings_data.Router,
        known: directory.Directory,
        flows: Flows,
        request_log: attempt_log.AttemptLog,
        listener: socket.socket | None = None,
    ) -> None:
        """Create the service; `start` opens its sockets.

        Args:
            cfg: Settings of the role.
            known: The knowledge from the store.
            flows: What serves a request.
            request_log: Writes the log lines of requests.
            listener: A socket that already listens for callers, or None.
        """
        self.relayed_in_flight: Callable[[], int] = _no_relayed
        self.drain_waiting: Callable[[float], None] = _none_waiting
        self.on_call: Callable[[call_data.Call], None] = _ignore_call
        self._listener = listener
        self._cfg = cfg
        self._known = known
        self._flows = flows
        self._log = request_log
        self._server = http_server.HttpServer(
            self._serve, _limits(None), cancel_on_disconnect=True
        )
        self._readiness = http_server.HttpServer(self._answer_readiness)
        self._stopping_at: float | None = None
        self._refuses_from = math.inf
        known.on_table(self._take_table)

    async def start(self) -> None:
        """Listen for callers and for the balancer's health checks."""
        await self._readiness.start(*_parse_address(self._cfg.ready))
        callers = _parse_address(self._cfg.listen)
        await self._server.start(*callers, self._listener)

    async def stop(self, grace_s: float) -> None:
        """Stop without cutting off a request."""
        stop_started = time.monotonic()
        self._stopping_at = stop_started
        self._server.drain()
        stop_deadline = stop_started + max(grace_s - KILL_MARGIN_S, 0)
        # What is sent at the last moment needs time for its answer.
        self.drain_waiting((stop_started + stop_deadline) / 2)
        accept_s = min(DRAIN_ACCEPT_S, grace_s / 2)
        self._refuses_from = stop_started + accept_s
        await asyncio.sleep(accept_s)
        while self._is_busy() and time.monotonic() < stop_deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._server.stop(max(stop_deadline - time.monotonic(), 0))
        await self._readiness.stop()

    def dump(self) -> dict[str, Any]:
        """Return the number of requests in flight and the stopping flag."""
        return {
            'in_flight': self._server.in_flight,
            'stopping': self._stopping_at is not None,
        }

    def is_ready(self) -> bool:
        """Return whether the balancer should send requests here."""
        return self._stopping_at is None and self._known.is_ready()

    def _is_busy(self) -> bool:
        return bool(self._server.in_flight or self.relayed_in_flight())

    def _take_table(self, table: routes_data.RouteTable) -> None:
        self._server.shared_state.limits = _limits(table)

    async def _answer_readiness(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        if not requests.is_ready_path(req.target):
            await exchange.respond(call_data.NOT_FOUND)
            return
        ready = self.is_ready()
        await exchange.respond(OK if ready else call_data.UNAVAILABLE)

    async def _serve(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        now = time.monotonic()
        asked = requests.read(req)
        caller_timeout_s = asked.caller_wait_s
        if caller_timeout_s is None:
            caller_timeout_s = DEFAULT_CALLER_TIMEOUT_S
        await self._known.wait_ready(retry_delay.table_wait_s(caller_timeout_s))
        try:
            call = self._route(req, asked, caller_timeout_s, now)
        except call_data.RefusedError as exc:
            self._log.refused_without_route(
                asked.attempt_id, exc.status, exc.reason
            )
            await _refuse(asked.attempt_id, exc, exchange)
            return
        self.on_call(call)
        try:
            self._flows.suspects.check(call)
            await self._flow(call).serve(call, exchange)
        except call_data.RefusedError as exc:
            self._log.refused(call, exc.status, exc.reason)
            await _refuse(asked.attempt_id, exc, exchange)
        except asyncio.CancelledError:
            self._log.caller_left(call)
            raise

    def _flow(
        self, call: call_data.Call
    ) -> plain_flow.PlainFlow | stream_flow.StreamFlow:
        if call.route.kind is routes_data.RequestKind.STREAMING:
            return self._flows.streams
        return self._flows.plain

    def _route(
        self,
        req: http_data.Request,
        asked: requests.RequestHeaders,
        caller_timeout_s: float,
        now: float,
    ) -> call_data.Call:
        table = self._current_table(now, caller_timeout_s)
        route = match.find_route(table, req.headers.get('host', ''), req.target)
        if route is None:
            raise call_data.RefusedError(call_data.NOT_FOUND, 'no such route')
        account = None
        if table.needs_keys:
            account = table.accounts.get(asked.key)
        if account is None and table.needs_keys and not route.is_anonymous:
            raise call_data.RefusedError(
                call_data.UNAUTHORIZED, 'the key is not valid'
            )
        return call_data.Call(
            req=req,
            asked=asked,
            route=route,
            account=account,
            service=match.choose_service(
                route, rendezvous.unit_hash(asked.attempt_id)
            ),
            arrived_at=now,
            deadline=now + min(caller_timeout_s, route.timeout_s),
        )

    def _current_table(
        self, now: float, caller_timeout_s: float
    ) -> routes_data.RouteTable:
        """Return the table in force, or refuse if no new work is accepted."""
        if self._is_refusing_new(now):
            raise call_data.RefusedError(
                call_data.UNAVAILABLE,
                'this process is stopping',
                retry_delay.retry_in_s(STOPPING, caller_timeout_s),
            )
        table = self._known.table
        if table is None or not self._known.servers.is_known:
            raise call_data.RefusedError(
                call_data.UNAVAILABLE,
                'no route table is known yet',
                retry_delay.retry_in_s(
                    NO_TABLE,
                    caller_timeout_s
                    - retry_delay.table_wait_s(caller_timeout_s),
                ),
            )
        return table

    def _is_refusing_new(self, now: float) -> bool:
        return now > self._refuses_from


async def _refuse(
    attempt_id: str,
    refused: call_data.RefusedError,
    exchange: http_server.Exchange,
) -> None:
    if exchange.started:
        exchange.abort()
        return
    await exchange.respond_json(
        refused.status,
        {'error': refused.reason},
        requests.refusal_headers(attempt_id, refused.retry_after_s),
    )


def _limits(table: routes_data.RouteTable | None) -> http_data.Limits:
    if table is None:
        return http_data.Limits(write_s=WRITE_TIMEOUT_S)
    return http_data.Limits(
        header_bytes=table.limits.header_bytes,
        body_bytes=table.limits.body_bytes,
        read_s=table.limits.read_s,
        idle_s=table.limits.idle_s,
        write_s=WRITE_TIMEOUT_S,
    )


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
