"""Parses a client's HTTP request into a `Call`.

Requests are validated here, before anything is counted, journaled or sent, so
each of these refusals is "not run" by construction.
"""

import hashlib
import os
from typing import NamedTuple

from beryllug.core import (
    config_data,
    finding,
    refusal,
    request_data,
    request_id,
    view_index,
)
from beryllug.drivers import http_data
from beryllug.entry import call_data, headers
from beryllug.parsing import chat

CHAT_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/v1/services/'
BEARER = 'bearer '
REPORT = 'report'
DRAFT = 'draft'
LOOKUP = 'lookup'
HOLD = 'hold'
DEFAULT_FIRST_TOKEN_MS = 2000
DEFAULT_TOTAL_MS = 60000
DEFAULT_TARGETS = config_data.Targets(
    DRAFT, DEFAULT_FIRST_TOKEN_MS, DEFAULT_TOTAL_MS
)
RANDOM_BYTES = 24
CHARS_PER_TOKEN = 4
DEFAULT_TOKENS_OUT = 512
MAX_HEADER_TEXT = 256
MS = 1000
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


class Clock(NamedTuple):
    """Current time of both clocks, in seconds."""

    monotonic: float
    wall: float


class _CommonFields(NamedTuple):
    """Values from the headers that all kinds of requests share."""

    account: config_data.Account
    key: str
    request_id: str
    targets: config_data.Targets
    deadline: float


def authenticate(
    req: http_data.Request, index: view_index.ViewIndex
) -> config_data.Account:
    """Return the client account of a request's bearer key.

    Raises:
        RefusedError: The key is missing or not valid.
    """
    credentials = req.headers.get(headers.AUTHORIZATION, '')
    if credentials[: len(BEARER)].lower() == BEARER:
        account = view_index.account_of(
            index, credentials[len(BEARER) :].strip()
        )
        if account is not None:
            return account
    raise refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.UNAUTHENTICATED,
            'send a valid key of your account as a bearer token',
        )
    )


def read_chat(
    req: http_data.Request, index: view_index.ViewIndex, clock: Clock
) -> call_data.Call:
    """Parse a chat completions request.

    Raises:
        RefusedError: It is not authenticated or not well-formed.
    """
    account = authenticate(req, index)
    body, findings = chat.parse(req.body)
    if body is None:
        raise _malformed(findings)
    has_key = bool(req.headers.get(headers.IDEMPOTENCY_KEY))
    default_class = REPORT if has_key else DRAFT
    request_class = req.headers.get(headers.REQUEST_CLASS, default_class)
    common = _common_fields(req, index, account, request_class, clock)
    facts = request_data.Facts(
        request_id=common.request_id,
        account_id=account.account_id,
        request_class=request_class,
        asked=body.model,
        session_key=_session_id(req) or common.request_id,
        prefix_key=body.prefix_key,
        tokens_in=body.prompt_chars // CHARS_PER_TOKEN + 1,
        tokens_out=body.max_tokens or DEFAULT_TOKENS_OUT,
        repeatable=not has_key and request_class != REPORT,
        arrived_at=clock.monotonic,
        targets=common.targets,
    )
    return _make_call(req, common, facts, body.stream, clock)


def read_plain(
    req: http_data.Request, index: view_index.ViewIndex, clock: Clock
) -> call_data.Call:
    """Parse a call of a plain service under ``/v1/services/NAME/``.

    Raises:
        RefusedError: It is not authenticated, not allowed or not declared.
    """
    account = authenticate(req, index)
    name, _, rest = req.target[len(SERVICES_PREFIX) :].partition('/')
    service = index.services.get(name)
    if service is None or name not in account.services:
        raise _not_allowed(f"service {name!r} is not among the account's")
    target = f'/{rest}'
    repeatable = _is_repeatable(service, req.method, target)
    request_class = LOOKUP if repeatable else HOLD
    request_class = req.headers.get(headers.REQUEST_CLASS, request_class)
    common = _common_fields(req, index, account, request_class, clock)
    facts = request_data.Facts(
        request_id=common.request_id,
        account_id=account.account_id,
        request_class=request_class,
        asked=name,
        session_key=common.request_id,
        prefix_key='',
        tokens_in=0,
        tokens_out=0,
        repeatable=repeatable,
        arrived_at=clock.monotonic,
        targets=common.targets,
    )
    call = _make_call(req, common, facts, stream=False, clock=clock)
    return call._replace(target=target)


def _common_fields(
    req: http_data.Request,
    index: view_index.ViewIndex,
    account: config_data.Account,
    request_class: str,
    clock: Clock,
) -> _CommonFields:
    key = _bounded_header(req, headers.IDEMPOTENCY_KEY)
    targets = index.targets.get(request_class)
    if targets is None:
        targets = DEFAULT_TARGETS._replace(request_class=request_class)
    total_ms = min(targets.total_ms, _deadline_ms(req, targets.total_ms))
    random_hex = os.urandom(RANDOM_BYTES).hex()
    return _CommonFields(
        account=account,
        key=key,
        request_id=request_id.make(account.account_id, key, random_hex),
        targets=targets._replace(total_ms=total_ms),
        deadline=clock.monotonic + total_ms / MS,
    )


def _make_call(
    req: http_data.Request,
    common: _CommonFields,
    facts: request_data.Facts,
    stream: bool,
    clock: Clock,
) -> call_data.Call:
    return call_data.Call(
        facts=facts,
        account=common.account,
        method=req.method,
        target=req.target,
        body=req.body,
        content_type=req.headers.get(headers.CONTENT_TYPE, headers.JSON_TYPE),
        body_hash=_body_hash(req),
        idempotency_key=common.key,
        session_id=_session_id(req),
        session_token=req.headers.get(headers.SESSION_TOKEN, ''),
        stream=stream,
        deadline=common.deadline,
        wall=clock.wall,
    )


def _is_repeatable(
    service: config_data.Service, method: str, target: str
) -> bool:
    """Return whether a call may run twice, by the longest declared path.

    A call that matches no declared operation counts as idempotent only if its
    method is safe: the opposite error would hold a slot twice.
    """
    matching = [
        operation
        for operation in service.operations
        if operation.method == method and target.startswith(operation.path)
    ]
    if not matching:
        return method in SAFE_METHODS
    return max(matching, key=lambda found: len(found.path)).repeatable


def _deadline_ms(req: http_data.Request, max_ms: int) -> int:
    text = req.headers.get(headers.DEADLINE_MS)
    if text is None:
        return max_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise _bad_header(headers.DEADLINE_MS, 'needs whole milliseconds')
    return int(text)


def _session_id(req: http_data.Request) -> str:
    return _bounded_header(req, headers.SESSION)


def _bounded_header(req: http_data.Request, name: str) -> str:
    text = req.headers.get(name, '')
    if len(text) > MAX_HEADER_TEXT:
        raise _bad_header(name, f'takes at most {MAX_HEADER_TEXT} characters')
    return text


def _body_hash(req: http_data.Request) -> str:
    digest = hashlib.sha256(f'{req.method} {req.target}\n'.encode())
    digest.update(req.body)
    return digest.hexdigest()


def _bad_header(name: str, reason: str) -> refusal.RefusedError:
    return _malformed([finding.Finding('header', name, reason)])


def _malformed(findings: list[finding.Finding]) -> refusal.RefusedError:
    message = '; '.join(finding.describe(item) for item in findings)
    return refusal.RefusedError(
        refusal.Refusal(refusal.Code.BAD_REQUEST, message)
    )


def _not_allowed(message: str) -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(refusal.Code.NOT_ALLOWED, message)
    )
