"""Parsing and building the headers of requests and answers."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

from beryllug.core.placement import servers_data, server_headers
from beryllug.drivers import http_data
from beryllug.parsing import counts
from beryllug.platform import names

MS = 1000


class RequestHeaders(NamedTuple):
    """A caller's request headers, parsed.

    Attributes:
        attempt_id: Id of this attempt of the caller; unique per attempt.
        key: Bearer key, or empty.
        caller_wait_s: Seconds that the caller will wait; None if not stated.
        model: Model that it names, or empty.
        is_any_model: Whether the router chooses the model.
        shared: Comma-separated ids of the prompt segments that other requests
            share, in order.
        shared_tokens: Number of tokens in these.
        own_tokens: Prompt tokens that belong to this request only.
        tokens_out: Expected tokens of the answer, or 0 if not stated: the
            caller's estimate, else its maximum.
        most_tokens_out: Maximum tokens of the answer, or 0 if not stated.
        session: Id of the session, or empty.
        last_event: Id of the last event received by the caller, or empty.
    """

    attempt_id: str
    key: str
    caller_wait_s: float | None
    model: str
    is_any_model: bool
    shared: str
    shared_tokens: int
    own_tokens: int
    tokens_out: int
    session: str
    last_event: str
    most_tokens_out: int = 0


class AttemptHeaders(NamedTuple):
    """Headers that are set anew for each attempt at a backend server.

    Attributes:
        server: The server; another instance at its address refuses the request.
        left_s: Seconds left until the deadline.
        account: Name of the client account, or empty.
        model: Model to run, or empty to keep the one named by the caller.
        urgency: Priority from 0, the most urgent, to 9; None to omit it.
        last_event: Id of the event to resume from, or empty for the caller's.
        kv_source: Address to copy the cached prefix from, or empty.
    """

    server: servers_data.Server
    left_s: float
    account: str
    model: str = ''
    urgency: int | None = None
    last_event: str = ''
    kv_source: str = ''


class Head(NamedTuple):
    """The head of an answer, parsed.

    Attributes:
        status: HTTP status.
        is_sealed: Whether it carries the server's digest of the whole answer.
        is_not_run: Whether the server guarantees that it did not run it.
        is_encoded: Whether a content encoding hides the server's own body.
        attempt_id: Id of the request that it answers, or empty.
        confidence: From 0 to 100, or None.
        stated: What the server states about itself.
        unread: Names of unknown headers.
    """

    status: int
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    attempt_id: str
    confidence: int | None
    stated: server_headers.HeaderValues = server_headers.HeaderValues()
    unread: frozenset[str] = frozenset()


def read(req: http_data.Request) -> RequestHeaders:
    """Parse a caller's headers; malformed values count as absent."""
    headers = req.headers
    model = headers.get(names.MODEL, '')
    parts = _prompt_parts(headers.get(names.PROMPT, ''))
    tokens_in, tokens_out = _token_counts(headers.get(names.TOKENS, ''))
    # The last segment belongs to this request or its session only.
    shared_tokens = sum(tokens for _, tokens in parts[:-1])
    return RequestHeaders(
        attempt_id=headers.get(names.ATTEMPT, ''),
        key=_bearer_key(headers.get(names.AUTHORIZATION, '')),
        caller_wait_s=_to_seconds(headers.get(names.DEADLINE, '')),
        model=model,
        is_any_model=model == names.ANY_MODEL,
        shared=','.join(part for part, _ in parts[:-1]),
        shared_tokens=shared_tokens,
        own_tokens=max(tokens_in - shared_tokens, 0),
        tokens_out=counts.parse(headers.get(names.LENGTH_HINT, ''))
        or tokens_out,
        session=headers.get(names.SESSION, ''),
        last_event=headers.get(names.LAST_EVENT, ''),
        most_tokens_out=tokens_out,
    )


def outgoing(
    req: http_data.Request, sending: AttemptHeaders, *, fresh: bool
) -> http_data.Outgoing:
    """Return a caller's request in the form sent to a backend server."""
    connection_headers = _split_list(req.headers.get(names.CONNECTION, ''))
    headers = {
        name: text
        for name, text in req.headers.items()
        if name not in names.NOT_FORWARDED and name not in connection_headers
    }
    headers[names.DEADLINE] = str(max(int(sending.left_s * MS), 1))
    headers[names.EXPECT_INSTANCE] = sending.server.name
    optional = (
        (names.TENANT, sending.account),
        (names.MODEL, sending.model),
        (names.LAST_EVENT, sending.last_event),
        (names.KV_FETCH, sending.kv_source),
    )
    headers.update((name, text) for name, text in optional if text)
    if sending.urgency is not None:
        headers[names.URGENCY] = str(sending.urgency)
    return http_data.Outgoing(req.method, req.target, headers, req.body, fresh)


def head_of(status: int, headers: Mapping[str, str]) -> Head:
    """Parse the head of a backend server's answer."""
    # Another instance took over the server's address; it ran nothing.
    misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    confidence = headers.get(names.CONFIDENCE, '')
    return Head(
        status=status,
        is_sealed=names.SEAL in headers,
        is_not_run=misdirected or names.NOT_RUN in headers,
        is_encoded=names.CONTENT_ENCODING in headers,
        attempt_id=headers.get(names.ATTEMPT, ''),
        confidence=int(confidence) if confidence.isdigit() else None,
        stated=server_headers.HeaderValues(
            *(headers.get(name, '') for name in names.STATED)
        ),
        unread=frozenset(headers) - names.ANSWER_HEADERS,
    )


def returned(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an answer that are forwarded to the caller."""
    connection_headers = _split_list(headers.get(names.CONNECTION, ''))
    return {
        name: text
        for name, text in headers.items()
        if name not in names.NOT_RETURNED and name not in connection_headers
    }


def refusal_headers(
    attempt_id: str, retry_after_s: float | None
) -> dict[str, str]:
    """Return the headers of an answer generated by this process."""
    headers = {}
    if attempt_id:
        headers[names.ATTEMPT] = attempt_id
    if retry_after_s is not None:
        headers[names.RETRY_AFTER] = f'{retry_after_s:.3f}'
    return headers


def is_ready_path(target: str) -> bool:
    """Return whether a request is for this process's readiness."""
    return target.partition('?')[0] == names.READY_PATH


def _bearer_key(text: str) -> str:
    if text[: len(names.BEARER)].lower() != names.BEARER:
        return ''
    return text[len(names.BEARER) :].strip()


def _to_seconds(text: str) -> float | None:
    is_number = text.isascii() and text.isdigit()
    return counts.parse(text) / MS if is_number else None


def _prompt_parts(text: str) -> list[tuple[str, int]]:
    """Return segment ids and token counts of ``ID:TOKENS,ID:TOKENS``."""
    parts = []
    for item in text.split(','):
        part, _, tokens = item.strip().partition(':')
        if part:
            parts.append((part, counts.parse(tokens)))
    return parts


def _token_counts(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum of the answer."""
    tokens_in, _, tokens_out = text.partition(',')
    return counts.parse(tokens_in), counts.parse(tokens_out)


def _split_list(text: str) -> frozenset[str]:
    return frozenset(part.strip().lower() for part in text.split(','))
