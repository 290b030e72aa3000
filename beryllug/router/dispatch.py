"""One attempt of a request at one backend server.

The outcome is a value on which the flows match. Whether the request can have
run follows from how far its bytes were sent and from what the server states; no
other code may report "not run".
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

from beryllug.core.placement import servers_data
from beryllug.drivers import answer_timeouts, http_client, http_data
from beryllug.platform import requests
from beryllug.router import call as call_data

# Timeout for the short body of a refusal.
DISCARD_TIMEOUT_S = 1.0
CLIENT_ERROR = 400
SERVER_ERROR = 500
OK = 200
REDIRECT = 300
# Statuses that tell a caller that its request has not run.
NOT_EXECUTED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of an answer was received; its body is not read yet."""

    incoming: http_client.IncomingResponse
    head: requests.Head


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request is known not to have run on the server.

    Attributes:
        reason: The reason.
        is_gone: Whether the server could not be reached.
        is_misdirected: Whether it answered that the request is not for it, as
            another server does that has its address.
    """

    reason: str
    is_gone: bool
    is_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """It may have run: the connection broke or the answer is invalid.

    Attributes:
        reason: The reason.
        is_excess: Whether the server sent more than a limit allows.
        is_relay_lost: Whether the process that forwarded it was lost, which
            is not the server's fault.
    """

    reason: str
    is_excess: bool = False
    is_relay_lost: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer came in time; the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """This process stopped waiting for an answer; the request may have run."""

    reason: str


Outcome = Answered | NotRun | Unknown | TimedOut | Withdrawn


class AnswerHead(NamedTuple):
    """The head of an answer, for listeners that track its server.

    Attributes:
        server: The server.
        head: The head.
        sent_at: Monotonic second at which the request was sent.
        heard_at: Monotonic second at which the head was received.
    """

    server: servers_data.Server
    head: requests.Head
    sent_at: float
    heard_at: float


class Dispatcher:
    """Sends requests to backend servers.

    Attributes:
        listeners: Called with the head of each answer.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        timeouts: answer_timeouts.AnswerTimeouts,
    ) -> None:
        """Bind to the client that owns the connections."""
        self._client = client
        self._timeouts = timeouts
        self.listeners: tuple[Callable[[AnswerHead], None], ...] = ()

    async def send(
        self,
        call: call_data.Call,
        sending: requests.AttemptHeaders,
        wait_s: float,
        *,
        is_retry: bool,
    ) -> Outcome:
        """Send a request and wait for the head of its answer.

        A retry uses a new connection: where a link is cut, all that were open
        before hang alike.

        Args:
            call: The request.
            sending: The destination and the headers that the router sets.
            wait_s: Timeout in seconds for the head of the answer.
            is_retry: Whether an attempt of the request has failed before.

        Returns:
            The outcome. The incoming answer of `Answered` must be closed.
        """
        fresh = is_retry or not call.route.is_repeatable
        outgoing = requests.outgoing(call.req, sending, fresh=fresh)
        sent_at = time.monotonic()
        try:
            async with self._timeouts.within(wait_s, call.deadline):
                incoming = await self._client.request(
                    sending.server.address, outgoing
                )
        except TimeoutError:
            return TimedOut('no answer in time')
        except http_data.NotSentError as exc:
            return NotRun(str(exc), is_gone=True)
        except http_data.BrokenError as exc:
            return broken(str(exc), exc)
        head = requests.head_of(incoming.status, incoming.headers)
        if _is_from_server(call, head):
            answer_head = AnswerHead(
                sending.server, head, sent_at, time.monotonic()
            )
            for listener in self.listeners:
                listener(answer_head)
        outcome = _check_head(call, head)
        if outcome is None:
            return Answered(incoming, head)
        await _discard(incoming, outcome)
        return outcome

    async def is_unreachable(self, server: servers_data.Server) -> bool:
        """Return whether no connection to a server can be made any more."""
        return not await self._client.is_reachable(server.address)


def broken(reason: str, exc: http_data.BrokenError) -> Unknown:
    """Return the outcome of an answer that broke off."""
    return Unknown(
        reason,
        is_excess=isinstance(exc, http_data.ExcessError),
        is_relay_lost=isinstance(exc, http_data.RelayLostError),
    )


async def _discard(
    incoming: http_client.IncomingResponse, outcome: Outcome
) -> None:
    """Read the short body of a refusal, to keep the connection usable."""
    try:
        if isinstance(outcome, NotRun):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await incoming.read()
    except (TimeoutError, http_data.BrokenError):
        return
    finally:
        incoming.close()


def _is_from_server(call: call_data.Call, head: requests.Head) -> bool:
    """Return whether an answer is the server's own, to this request."""
    is_other = head.status == HTTPStatus.MISDIRECTED_REQUEST
    return not is_other and head.attempt_id in {'', call.asked.attempt_id}


def _check_head(call: call_data.Call, head: requests.Head) -> Outcome | None:
    """Return the failure that an answer means, or None for a valid answer."""
    if head.attempt_id and head.attempt_id != call.asked.attempt_id:
        # A late duplicate answer to an earlier request on this connection.
        return Unknown('the answer is to another request')
    if head.is_not_run:
        return NotRun(
            f'the server refused with {head.status}',
            is_gone=False,
            is_misdirected=head.status == HTTPStatus.MISDIRECTED_REQUEST,
        )
    if head.status in NOT_EXECUTED_STATUSES:
        # The caller would take this status to mean that the request has not
        # run, which the server does not state: a hold that is sent again would
        # take a second slot.
        return Unknown(f'the server answered {head.status}')
    is_success = OK <= head.status < REDIRECT
    if is_success and (not head.is_sealed or head.is_encoded):
        return Unknown("the answer is not the server's own")
    return None
