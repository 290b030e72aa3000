"""Requests and answers of the operators' address, as plain data.

Every answer is JSON. One that isn't 200 has ``error``, a word for programs,
and ``message``, which tells a person what to do next.
"""

import re
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import msgspec

from beryllug.control import config_desk
from beryllug.core import config_data, finding, plain
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
WORD = re.compile('[A-Za-z0-9][A-Za-z0-9._@-]{0,62}')


class Reply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: Any


class UsageError(Exception):
    """The request can't be understood; the text says what is missing."""


Query = dict[str, str]
Answer = Callable[[Query, bytes], Awaitable[Reply]]


async def serve(
    answer: Answer, req: http_data.Request, exchange: http_server.Exchange
) -> None:
    """Answer one request; a failure is an answer, too."""
    query = dict(parse_qsl(urlsplit(req.target).query))
    try:
        reply = await answer(query, req.body)
    except UsageError as exc:
        reply = failed(BAD_REQUEST, 'usage', str(exc))
    except object_data.ObjectApiError as exc:
        reply = failed(UNAVAILABLE, 'unavailable', f'platform: {exc}')
    await exchange.respond(
        reply.status,
        msgspec.json.encode(reply.body),
        {'content-type': http_server.JSON_TYPE},
    )


def applied(outcome: config_desk.Outcome, order: config_desk.Order) -> Reply:
    """Turn the outcome of an apply into an answer."""
    if outcome.is_ok():
        done = {'revision': outcome.unwrap(), 'apply_id': order.apply_id}
        return Reply(OK, done)
    match outcome.unwrap_err():
        case config_desk.Invalid(findings):
            return invalid(findings)
        case config_store.Conflict() as conflict:
            return _conflict(conflict)
        case config_store.Unavailable(reason):
            return failed(
                UNAVAILABLE, 'unavailable', f'nothing changed: {reason}'
            )
        case config_store.Uncertain(apply_id, reason):
            message = f'repeat it with the same apply id to learn: {reason}'
            refused = failed(UNCERTAIN, 'uncertain', message)
            return Reply(UNCERTAIN, {**refused.body, 'apply_id': apply_id})


def invalid(findings: Sequence[finding.Finding]) -> Reply:
    refused = failed(INVALID, 'invalid', 'refused whole; mend all findings')
    listed = plain.to_plain(tuple(findings))
    return Reply(INVALID, {**refused.body, 'findings': listed})


def _conflict(conflict: config_store.Conflict) -> Reply:
    message = (
        f'revision {conflict.revision} by {conflict.author or "nobody"} is in '
        'force; look at the differences and apply against it'
    )
    refused = failed(CONFLICT, 'conflict', message)
    return Reply(
        CONFLICT,
        {
            **refused.body,
            'revision': conflict.revision,
            'author': conflict.author,
            'differences': plain.to_plain(conflict.differences),
        },
    )


def failed(status: int, word: str, message: str) -> Reply:
    return Reply(status, {'error': word, 'message': message})


def order_of(query: Query, expect: int) -> config_desk.Order:
    author = word_of(query, 'author')
    apply_id = query.get('apply_id') or uuid.uuid4().hex
    if WORD.fullmatch(apply_id) is None:
        raise UsageError('apply_id must be a word')
    return config_desk.Order(expect, author, apply_id)


def ref_of(query: Query) -> config_data.VersionRef:
    return config_data.VersionRef(
        word_of(query, 'model'), word_of(query, 'version')
    )


def word_of(query: Query, name: str) -> str:
    found = query.get(name, '')
    if WORD.fullmatch(found) is None:
        raise UsageError(f'{name} must be given, as a word')
    return found


def number_of(query: Query, name: str) -> int:
    found = query.get(name, '')
    if not (found.isascii() and found.isdigit()):
        raise UsageError(f'{name} must be given, as a whole number')
    return int(found)
