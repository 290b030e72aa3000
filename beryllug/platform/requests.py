"""Callers' requests and backend servers' answers, from and to headers."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

from beryllug.core.placement import servers_data, statements
from beryllug.drivers import http_data
from beryllug.platform import names

MS = 1000


class Asked(NamedTuple):
    """What a caller's headers say.

    Attributes:
        attempt_id: Id of this try of the caller; each try has its own.
        key: Bearer key, or empty.
        patience_s: Seconds that the caller will wait; None if not said.
        model: Model that it names, or empty.
        is_any_model: Whether the choice of the model is left to us.
        shared: Ids of the parts of the prompt that other requests share, in
            order, as one text.
        shared_tokens: Tokens in these.
        own_tokens: Tokens of the prompt that are the request's own.
        tokens_out: Tokens that the answer is expected to have, or 0 if not
            said: the caller's estimate, else the most that it allows.
        most_tokens_out: The most that it allows, or 0 if not said.
        session: Id of the session, or empty.
        last_event: Id of the last event that the caller has, or empty.
    """

    attempt_id: str
    key: str
    patience_s: float | None
    model: str
    is_any_model: bool
    shared: str
    shared_tokens: int
    own_tokens: int
    tokens_out: int
    session: str
    last_event: str
    most_tokens_out: int = 0


class Sending(NamedTuple):
    """What is set anew for each attempt at a backend server.

    Attributes:
        server: The server, which any other instance at its address refuses.
        left_s: Seconds that are left for the answer.
        account: Name of the client account, or empty.
        model: Model to run, or empty to leave what the caller named.
        urgency: Rank from 0, the first, to 9; None to leave it unsaid.
        last_event: Id of the event to go on from, or empty for the caller's.
    """

    server: servers_data.Server
    left_s: float
    account: str
    model: str = ''
    urgency: int | None = None
    last_event: str = ''


class Head(NamedTuple):
    """What the head of an answer says.

    Attributes:
        status: HTTP status.
        is_sealed: Whether it bears the server's digest of the whole answer.
        is_not_run: Whether the server promises that it did not run it.
        is_encoded: Whether the body is not the server's own.
        attempt_id: Id of the request that it answers, or empty.
        confidence: From 0 to 100, or None.
        stated: What it states of the server.
        unread: Names of headers that are not known here.
    """

    status: int
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    attempt_id: str
    confidence: int | None
    stated: statements.Texts = statements.Texts()
    unread: frozenset[str] = frozenset()


def read(req: http_data.Request) -> Asked:
    """Read a caller's headers; what can't be read counts as not said."""
    headers = req.headers
    model = headers.get(names.MODEL, '')
    parts = _prompt_parts(headers.get(names.PROMPT, ''))
    tokens_in, tokens_out = _token_counts(headers.get(names.TOKENS, ''))
    # The last part belongs to the request or to its session alone.
    shared_tokens = sum(tokens for _, tokens in parts[:-1])
    return Asked(
        attempt_id=headers.get(names.ATTEMPT, ''),
        key=_key(headers.get(names.AUTHORIZATION, '')),
        patience_s=_seconds(headers.get(names.DEADLINE, '')),
        model=model,
        is_any_model=model == names.ANY_MODEL,
        shared=','.join(part for part, _ in parts[:-1]),
        shared_tokens=shared_tokens,
        own_tokens=max(tokens_in - shared_tokens, 0),
        tokens_out=_whole(headers.get(names.LENGTH_HINT, '')) or tokens_out,
        session=headers.get(names.SESSION, ''),
        last_event=headers.get(names.LAST_EVENT, ''),
        most_tokens_out=tokens_out,
    )


def outgoing(
    req: http_data.Request, sending: Sending, *, fresh: bool
) -> http_data.Outgoing:
    """Return a caller's request as it goes to a backend server."""
    named = _listed(req.headers.get(names.CONNECTION, ''))
    headers = {
        name: text
        for name, text in req.headers.items()
        if name not in names.NOT_FORWARDED and name not in named
    }
    headers[names.DEADLINE] = str(max(int(sending.left_s * MS), 1))
    headers[names.EXPECT_INSTANCE] = sending.server.name
    if sending.account:
        headers[names.TENANT] = sending.account
    if sending.model:
        headers[names.MODEL] = sending.model
    if sending.urgency is not None:
        headers[names.URGENCY] = str(sending.urgency)
    if sending.last_event:
        headers[names.LAST_EVENT] = sending.last_event
    return http_data.Outgoing(req.method, req.target, headers, req.body, fresh)


def head_of(status: int, headers: Mapping[str, str]) -> Head:
    """Read the head of a backend server's answer."""
    # Another instance has the server's address now and runs nothing.
    misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    confidence = headers.get(names.CONFIDENCE, '')
    return Head(
        status=status,
        is_sealed=names.SEAL in headers,
        is_not_run=misdirected or names.NOT_RUN in headers,
        is_encoded=names.CONTENT_ENCODING in headers,
        attempt_id=headers.get(names.ATTEMPT, ''),
        confidence=int(confidence) if confidence.isdigit() else None,
        stated=statements.Texts(
            *(headers.get(name, '') for name in names.STATED)
        ),
        unread=frozenset(headers) - names.ANSWER_HEADERS,
    )


def returned(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an answer that go on to the caller."""
    named = _listed(headers.get(names.CONNECTION, ''))
    return {
        name: text
        for name, text in headers.items()
        if name not in names.NOT_RETURNED and name not in named
    }


def refusal_headers(
    attempt_id: str, retry_after_s: float | None
) -> dict[str, str]:
    """Return the headers of an answer of our own."""
    headers = {}
    if attempt_id:
        headers[names.ATTEMPT] = attempt_id
    if retry_after_s is not None:
        headers[names.RETRY_AFTER] = f'{retry_after_s:.3f}'
    return headers


def is_ready_path(target: str) -> bool:
    """Tell whether a request asks for this process's readiness."""
    return target.partition('?')[0] == names.READY_PATH


def _key(text: str) -> str:
    if text[: len(names.BEARER)].lower() != names.BEARER:
        return ''
    return text[len(names.BEARER) :].strip()


def _seconds(text: str) -> float | None:
    return int(text) / MS if text.isascii() and text.isdigit() else None


def _prompt_parts(text: str) -> list[tuple[str, int]]:
    """Return ids and token counts of ``ID:TOKENS,ID:TOKENS``."""
    parts = []
    for entry in text.split(','):
        part, _, tokens = entry.strip().partition(':')
        if part:
            parts.append((part, _whole(tokens)))
    return parts


def _token_counts(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt and the most tokens of the answer."""
    tokens_in, _, tokens_out = text.partition(',')
    return _whole(tokens_in), _whole(tokens_out)


def _whole(text: str) -> int:
    digits = text.strip()
    return int(digits) if digits.isascii() and digits.isdigit() else 0


def _listed(text: str) -> frozenset[str]:
    return frozenset(part.strip().lower() for part in text.split(','))
