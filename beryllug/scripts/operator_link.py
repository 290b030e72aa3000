"""Requests of the command-line tool to the operators' interface.

Several addresses may be given. The next one is tried where the one before
surely did not get the request; a change whose answer was lost is not repeated
but reported as uncertain.
"""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib.parse import urlencode

from beryllug.drivers import http_client, http_data
from beryllug.scripts import cli_data

TIMEOUT_S = 60.0
OK = 200
GET = 'GET'

EXITS: Mapping[int, cli_data.Exit] = MappingProxyType(
    {
        200: cli_data.Exit.DONE,
        400: cli_data.Exit.INVALID,
        409: cli_data.Exit.CONFLICT,
        422: cli_data.Exit.INVALID,
        503: cli_data.Exit.UNAVAILABLE,
        504: cli_data.Exit.UNCERTAIN,
    }
)


class Ask(NamedTuple):
    """One request.

    Attributes:
        method: Method in upper case.
        path: Path, without the query.
        query: Fields of the query.
        body: The body.
    """

    method: str
    path: str
    query: Mapping[str, str] = {}
    body: bytes = b''


class Reply(NamedTuple):
    """An answer: the exit code that it calls for, and its body."""

    code: cli_data.Exit
    body: dict[str, Any]


async def call(target: cli_data.Target, ask: Ask) -> Reply:
    """Make a request to the first control process that can be reached."""
    if not (target.addresses and target.key):
        return _failed(
            cli_data.Exit.INVALID,
            'usage',
            'set BERYLLUG_OPERATORS (or --operators) to ip:port of a control '
            "process and BERYLLUG_KEY to an operators' key",
        )
    client = http_client.HttpClient()
    try:
        return await _first(client, target, ask)
    finally:
        await client.close()


async def _first(
    client: http_client.HttpClient, target: cli_data.Target, ask: Ask
) -> Reply:
    tried = []
    for address in target.addresses:
        try:
            return await _send(client, address, target.key, ask)
        except http_data.NotSentError as exc:
            tried.append(str(exc))
        except http_data.BrokenError as exc:
            if ask.method != GET:
                return _lost(ask, exc)
            tried.append(str(exc))
    reasons = '; '.join(tried)
    return _failed(
        cli_data.Exit.UNAVAILABLE,
        'unavailable',
        f'no control process answers, nothing changed: {reasons}',
    )


async def _send(
    client: http_client.HttpClient, address: str, key: str, ask: Ask
) -> Reply:
    query = urlencode(ask.query)
    path = f'{ask.path}?{query}' if query else ask.path
    headers = {'authorization': f'Bearer {key}'}
    outgoing = http_data.Outgoing(ask.method, path, headers, ask.body)
    incoming, body = await client.call(address, outgoing, TIMEOUT_S)
    code = EXITS.get(incoming.status, cli_data.Exit.FAILED)
    try:
        return Reply(code, json.loads(body))
    except ValueError:
        text = f'{address} answered {incoming.status} without JSON'
        return _failed(cli_data.Exit.FAILED, 'failed', text)


def _lost(ask: Ask, exc: Exception) -> Reply:
    """Report that a change may or may not have taken effect."""
    apply_id = ask.query.get('apply_id', '')
    failed = _failed(
        cli_data.Exit.UNCERTAIN,
        'uncertain',
        f'the answer was lost ({exc}); repeat with --apply_id {apply_id}',
    )
    return Reply(failed.code, {**failed.body, 'apply_id': apply_id})


def _failed(code: cli_data.Exit, word: str, message: str) -> Reply:
    return Reply(code, {'error': word, 'message': message})
