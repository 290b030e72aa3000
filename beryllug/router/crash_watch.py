"""Service 'crash_watch': refuses requests that crash their servers."""

import asyncio
import hashlib
import time
from collections.abc import Callable, Iterable
from typing import Any

from beryllug.core.placement import poison_requests, servers_data
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import call as call_data
from beryllug.router import dispatch, leaving_servers, server_checks

DIGEST_BYTES = 8
LOST = 'backend servers were lost while this request ran'
# Decimal places of seconds in log lines.
SECONDS_PLACES = 3


class CrashWatch:
    """Attributes lost servers to the requests that ran on them.

    Attributes:
        state: Losses that this process and its peers have seen.
        on_lost: Called when there is a loss to report to peers.
    """

    def __init__(
        self,
        sender: dispatch.Dispatcher,
        leaving: leaving_servers.LeavingServers,
        lines: log_lines.LineWriter,
    ) -> None:
        """Start without known losses.

        Args:
            sender: Tells whether a server can be reached.
            leaving: Tells which servers stop as planned.
            lines: Writes log lines.
        """
        self.state = poison_requests.Crashers()
        self.on_lost: Callable[[], None] = _ignore
        self._sender = sender
        self._leaving = leaving
        self._lines = lines
        self._checks = server_checks.ServerChecks(sender)
        self._counts = {'lost': 0, 'refused': 0, 'cleared': 0}

    async def start(self) -> None:
        """Do nothing: the service is driven by requests and lost servers."""

    async def stop(self, grace_s: float) -> None:
        """Cancel the checks of servers."""
        self._checks.stop()

    def dump(self) -> dict[str, Any]:
        """Return the lost servers by request fingerprint."""
        return {
            fingerprint: sorted(known)
            for fingerprint, known in self.state.losses.items()
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return counts of losses, of refusals and of losses forgotten."""
        for what, count in self._counts.items():
            yield metrics_data.Sample(
                'server_crash_suspicions',
                count,
                'Servers lost under a request, requests refused for that, '
                'requests cleared by an answer.',
                metrics_data.Kind.COUNTER,
                {'what': what},
            )

    def check(self, call: call_data.Call) -> None:
        """Check that a request is not one under which servers were lost.

        Raises:
            RefusedError: It is refused for now; it has not run.
        """
        left_s = self.refused_s(call)
        if left_s:
            raise call_data.RefusedError(call_data.UNAVAILABLE, LOST, left_s)

    def refused_s(self, call: call_data.Call) -> float:
        """Return the seconds for which a request is refused; 0 if it is not."""
        if not self.state.losses:
            return 0
        now = time.monotonic()
        fingerprint = _fingerprint(call)
        left_s = poison_requests.refused_s(self.state, fingerprint, now)
        if left_s:
            self._counts['refused'] += 1
            self._lines.write(
                'suspect_refused',
                id=call.asked.attempt_id,
                fingerprint=fingerprint,
                servers=sorted(self.state.losses[fingerprint]),
            )
        return left_s

    async def connection_broke(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        earlier: Iterable[servers_data.Server] = (),
    ) -> bool:
        """Record that a request's connection to a server broke.

        The server is asked for another connection before the request is sent
        to the next one. If it is gone, so may be those whose answers to the
        request were discarded.

        Args:
            call: The request.
            server: The server.
            earlier: Servers whose answers were discarded.

        Returns:
            Whether the server is gone.
        """
        fingerprint = self._run_ended(call, server)
        self._lines.write(
            'connection_broke_under',
            id=call.asked.attempt_id,
            instance=server.instance,
            fingerprint=fingerprint,
        )
        is_gone = await self._is_gone(server)
        if is_gone:
            await asyncio.gather(*map(self._is_gone, earlier))
        return is_gone

    def answer_discarded(
        self, call: call_data.Call, server: servers_data.Server
    ) -> None:
        """Record that a server's answer was not used.

        The server may still crash under the request, so this is no answer that
        clears it.
        """
        self._run_ended(call, server)
        if poison_requests.is_lost(self.state, server.instance):
            self.record_lost_server(server.instance, time.monotonic())

    def answered(self, call: call_data.Call) -> None:
        """Record a successful answer to a request."""
        if not self.state.losses and not self.state.ended:
            return
        fingerprint = _fingerprint(call)
        known = self.state.losses.get(fingerprint)
        if known:
            self._counts['cleared'] += 1
            self._lines.write(
                'suspect_cleared',
                id=call.asked.attempt_id,
                fingerprint=fingerprint,
                servers=sorted(known),
            )
        poison_requests.answered(self.state, fingerprint)

    def record_lost_server(self, instance: str, now: float) -> None:
        """Record that a server is gone without having announced it."""
        ended = self.state.ended.get(instance, {})
        for loss in poison_requests.record_server_lost(
            self.state, instance, now
        ):
            known = self.state.losses[loss.fingerprint]
            ended_ago_s = now - ended[loss.fingerprint]
            self._counts['lost'] += 1
            self._lines.write(
                'server_lost_under',
                instance=instance,
                fingerprint=loss.fingerprint,
                servers=len(known),
                ended_ago_s=round(ended_ago_s, SECONDS_PLACES),
            )
        if self.state.untold:
            self.on_lost()

    def merge_losses(
        self, told: Iterable[poison_requests.Loss], now: float
    ) -> None:
        """Merge losses that a peer has seen.

        What this process ran on those servers may have crashed them as well.
        """
        told = tuple(told)
        poison_requests.take(self.state, told, now)
        for loss in told:
            if loss.instance in self.state.ended:
                self.record_lost_server(loss.instance, now)

    def unreached(self, server: servers_data.Server) -> None:
        """Record that no connection to a server could be made."""
        if server.instance in self.state.ended:
            self._record_gone(server)

    def _run_ended(
        self, call: call_data.Call, server: servers_data.Server
    ) -> str:
        fingerprint = _fingerprint(call)
        loss = poison_requests.Loss(fingerprint, server.instance)
        poison_requests.run_ended(self.state, loss, time.monotonic())
        return fingerprint

    async def _is_gone(self, server: servers_data.Server) -> bool:
        if poison_requests.is_lost(self.state, server.instance):
            self.record_lost_server(server.instance, time.monotonic())
            return True
        is_gone = await self._checks.is_gone(server)
        if is_gone:
            self._record_gone(server)
        return is_gone

    def _record_gone(self, server: servers_data.Server) -> None:
        if not self._leaving.is_departing(server.instance):
            self.record_lost_server(server.instance, time.monotonic())


def _ignore() -> None:
    """Default of `on_lost`."""


def _fingerprint(call: call_data.Call) -> str:
    """Return a digest that is the same when a request is sent again."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.req.method, call.req.target, call.account_name):
        digest.update(part.encode())
        digest.update(b'\n')
    digest.update(call.req.body)
    return digest.hexdigest()
