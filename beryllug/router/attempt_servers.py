"""The server of each attempt of a request, and what its end tells of it."""

import asyncio
import time

from beryllug.core.placement import backlog, servers_data
from beryllug.platform import requests
from beryllug.router import (
    attempts,
    dispatch,
    flow_parts,
    pool,
    suspect_trials,
    waiting_requests,
)
from beryllug.router import call as call_data

# Fraction of the time left, and upper bound in seconds, for which a suspect
# waits for a server on which no other suspect is tried.
MAX_WAIT_FRACTION = 0.3
MAX_WAIT_S = 2.0
POLL_S = 0.02


class AttemptServers:
    """Chooses the servers to which a request is sent in turn."""

    def __init__(self, parts: flow_parts.FlowParts) -> None:
        """Bind to the services of the flow."""
        self._pool = parts.pool
        self._sender = parts.sender
        self._crashes = parts.crashes
        self._suspects = parts.crashes.suspects
        self._log = parts.log
        self._waiting = parts.waiting

    async def choose(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        prompt: backlog.Prompt | None = None,
    ) -> pool.Choice | None:
        """Return the server of the next attempt; None if there is none.

        Servers may have been lost under the request since it was accepted, by
        its own attempts or by those of another process.
        """
        progress.trial_id = ''
        progress.tried = ()
        progress.is_server_gone = False
        if self._waiting is not None:
            refusal = await self._waiting.turn(call, _stage(progress))
            if refusal is not None:
                _refuse(progress, refusal)
                return None
        found = self._suspects.suspicion(call)
        if found.refusal is not None:
            _refuse(progress, found.refusal)
            return None
        if found.is_suspect:
            return await self._choose_for_trial(call, progress, prompt)
        choice = await self._pool.choose(
            attempts.criteria(call, progress, prompt)
        )
        if choice is None:
            attempts.record_no_server(call, progress, self._pool, self._log)
        return choice

    async def send(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        sending: requests.AttemptHeaders,
        wait_s: float,
    ) -> dispatch.Outcome:
        """Send a request and wait for the head of its answer.

        Args:
            call: The request.
            progress: Its progress.
            sending: The destination and the headers that the router sets.
            wait_s: Timeout in seconds for the head of the answer.
        """
        if self._waiting is None:
            return await self._send(call, progress, sending, wait_s)
        sent_at = self._waiting.sent(call)
        outcome = await self._send(call, progress, sending, wait_s)
        self._waiting.ended(call, outcome, sent_at)
        return outcome

    def answered(
        self, call: call_data.Call, progress: attempts.Progress
    ) -> None:
        """Record that an attempt was answered to its end."""
        self._suspects.answered(call, progress)

    def unused(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        progress: attempts.Progress,
    ) -> None:
        """Record that the answer of an attempt is not used or waited for."""
        self._crashes.run_ended(call, server, progress)
        self._suspects.end(call, progress)

    async def failed(
        self,
        call: call_data.Call,
        server: servers_data.Server,
        progress: attempts.Progress,
        outcome: dispatch.Outcome,
    ) -> None:
        """Record that an attempt failed."""
        match outcome:
            case (
                dispatch.NotRun(is_gone=True)
                | dispatch.NotRun(is_misdirected=True)
            ):
                self._crashes.unreached(server)
            case dispatch.TimedOut() | dispatch.Withdrawn():
                self._crashes.run_ended(call, server, progress)
            case dispatch.Unknown():
                await self._crashes.attempt_broke(call, server, progress)
        self._suspects.end(call, progress)

    async def _send(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        sending: requests.AttemptHeaders,
        wait_s: float,
    ) -> dispatch.Outcome:
        try:
            async with self._suspects.waiting.wait(call, progress):
                return await self._sender.send(
                    call, sending, wait_s, is_retry=_is_retry(progress)
                )
        except TimeoutError:
            return dispatch.Withdrawn(suspect_trials.LOST)

    async def _choose_for_trial(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        prompt: backlog.Prompt | None,
    ) -> pool.Choice | None:
        """Return a server without another trial, waiting for one if needed.

        What another request's trial may clear is waited for as well.
        """
        wait_s = min(attempts.left_s(call) * MAX_WAIT_FRACTION, MAX_WAIT_S)
        wait_until = time.monotonic() + wait_s
        while True:
            found = self._suspects.suspicion(call)
            if found.refusal is not None:
                _refuse(progress, found.refusal)
                return None
            choice = None
            if not found.is_waiting:
                choice = await self._try(call, progress, prompt, found)
            if choice is not None:
                return choice
            if time.monotonic() > wait_until:
                _refuse(progress, self._suspects.refuse_trial(call))
                return None
            await asyncio.sleep(POLL_S)

    async def _try(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        prompt: backlog.Prompt | None,
        found: suspect_trials.Suspicion,
    ) -> pool.Choice | None:
        choice = await self._pool.choose(
            attempts.criteria(call, progress, prompt, found.avoided)
        )
        if choice is None or self._suspects.begin(
            call, choice.server, progress
        ):
            return choice
        self._pool.request_ended(choice)
        return None


def _is_retry(progress: attempts.Progress) -> bool:
    """Return whether an attempt has failed before."""
    return progress.may_have_run or bool(progress.excluded)


def _stage(progress: attempts.Progress) -> waiting_requests.Stage:
    """Return how far a request has come."""
    if progress.may_have_run or progress.discarded_at:
        return waiting_requests.Stage.STARTED
    if progress.excluded:
        return waiting_requests.Stage.REPEATED
    return waiting_requests.Stage.NEW


def _refuse(
    progress: attempts.Progress, refusal: call_data.RefusedError
) -> None:
    """Record why a request is sent to no server."""
    progress.refusal = refusal
    progress.reason = refusal.reason
