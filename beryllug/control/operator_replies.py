"""Requests and replies of the operators' address, as plain data.

Every reply is JSON. One whose status isn't 200 has ``error``, an error code
for programs, and ``message``, which tells the operator what to do next.
"""

import re
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import msgspec

from beryllug.control import config_admin
from beryllug.core import config_data, finding, record_codec
from beryllug.drivers import (
    config_store,
    http_data,
    http_server,
    object_data,
)

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
INVALID = 422
UNAVAILABLE = 503
UNCERTAIN = 504
IDENTIFIER = re.compile('[A-Za-z0-9][A-Za-z0-9._@-]{0,62}')


class Reply(NamedTuple):
    """Status and body of a reply."""

    status: int
    body: Any


class UsageError(Exception):
    """The request is invalid; the text says which parameter and why."""


Query = dict[str, str]
Handler = Callable[[Query, bytes], Awaitable[Reply]]


async def serve(
    handler: Handler, req: http_data.Request, exchange: http_server.Exchange
) -> None:
    """Handle one request; errors are turned into replies."""
    query = dict(parse_qsl(urlsplit(req.target).query))
    try:
        reply = await handler(query, req.body)
    except UsageError as exc:
        reply = error_reply(BAD_REQUEST, 'usage', str(exc))
    except object_data.ObjectApiError as exc:
        reply = error_reply(UNAVAILABLE, 'unavailable', f'platform: {exc}')
    await exchange.respond(
        reply.status,
        msgspec.json.encode(reply.body),
        {'content-type': http_server.JSON_TYPE},
    )


def apply_reply(
    outcome: config_admin.Outcome, params: config_admin.ApplyParams
) -> Reply:
    """Turn the outcome of an apply into a reply."""
    if outcome.is_ok():
        accepted = {'revision': outcome.unwrap(), 'apply_id': params.apply_id}
        return Reply(OK, accepted)
    match outcome.unwrap_err():
        case config_admin.Invalid(findings):
            return invalid_reply(findings)
        case config_store.Conflict() as conflict:
            return _conflict(conflict)
        case config_store.Unavailable(reason):
            return error_reply(
                UNAVAILABLE, 'unavailable', f'nothing changed: {reason}'
            )
        case config_store.Uncertain(apply_id, reason):
            message = f'repeat it with the same apply id to learn: {reason}'
            base_reply = error_reply(UNCERTAIN, 'uncertain', message)
            return Reply(UNCERTAIN, {**base_reply.body, 'apply_id': apply_id})


def invalid_reply(findings: Sequence[finding.Finding]) -> Reply:
    base_reply = error_reply(
        INVALID, 'invalid', 'refused whole; mend all findings'
    )
    listed = record_codec.to_plain(tuple(findings))
    return Reply(INVALID, {**base_reply.body, 'findings': listed})


def _conflict(conflict: config_store.Conflict) -> Reply:
    message = (
        f'revision {conflict.revision} by {conflict.author or "nobody"} is in '
        'force; look at the differences and apply against it'
    )
    base_reply = error_reply(CONFLICT, 'conflict', message)
    return Reply(
        CONFLICT,
        {
            **base_reply.body,
            'revision': conflict.revision,
            'author': conflict.author,
            'differences': record_codec.to_plain(conflict.differences),
        },
    )


def error_reply(status: int, error: str, message: str) -> Reply:
    return Reply(status, {'error': error, 'message': message})


def apply_params(query: Query, expect: int) -> config_admin.ApplyParams:
    author = identifier_param(query, 'author')
    apply_id = query.get('apply_id') or uuid.uuid4().hex
    if IDENTIFIER.fullmatch(apply_id) is None:
        raise UsageError('apply_id must be a word')
    return config_admin.ApplyParams(expect, author, apply_id)


def version_ref_param(query: Query) -> config_data.VersionRef:
    return config_data.VersionRef(
        identifier_param(query, 'model'), identifier_param(query, 'version')
    )


def identifier_param(query: Query, name: str) -> str:
    text = query.get(name, '')
    if IDENTIFIER.fullmatch(text) is None:
        raise UsageError(f'{name} must be given, as a word')
    return text


def integer_param(query: Query, name: str) -> int:
    text = query.get(name, '')
    if not (text.isascii() and text.isdigit()):
        raise UsageError(f'{name} must be given, as a whole number')
    return int(text)
