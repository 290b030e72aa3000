"""Requests of the command-line tool to the operators' interface.

Several addresses may be given. The next one is tried only if the previous one
certainly did not receive the request, or if the request changes nothing. A
change whose response was lost is reported as uncertain instead of repeated.
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

EXIT_BY_STATUS: Mapping[int, cli_data.Exit] = MappingProxyType(
    {
        200: cli_data.Exit.DONE,
        400: cli_data.Exit.INVALID,
        409: cli_data.Exit.CONFLICT,
        422: cli_data.Exit.INVALID,
        503: cli_data.Exit.UNAVAILABLE,
        504: cli_data.Exit.UNCERTAIN,
    }
)


class OperatorRequest(NamedTuple):
    """One request to the operators' interface.

    Attributes:
        method: Method in upper case.
        path: Path, without the query.
        query: Query parameters.
        body: The body.
    """

    method: str
    path: str
    query: Mapping[str, str] = {}
    body: bytes = b''


class Reply(NamedTuple):
    """A response: the resulting exit code, and the body."""

    code: cli_data.Exit
    body: dict[str, Any]


async def call(target: cli_data.Target, request: OperatorRequest) -> Reply:
    """Send a request to the first reachable control process."""
    if not (target.addresses and target.key):
        return _failure_reply(
            cli_data.Exit.INVALID,
            'usage',
            'set BERYLLUG_OPERATORS (or --operators) to ip:port of a control '
            "process and BERYLLUG_KEY to an operators' key",
        )
    client = http_client.HttpClient()
    try:
        return await _call_first_reachable(client, target, request)
    finally:
        await client.close()


async def _call_first_reachable(
    client: http_client.HttpClient,
    target: cli_data.Target,
    request: OperatorRequest,
) -> Reply:
    reasons_tried = []
    for address in target.addresses:
        try:
            return await _send(client, address, target.key, request)
        except http_data.NotSentError as exc:
            reasons_tried.append(str(exc))
        except http_data.BrokenError as exc:
            if request.method != GET:
                return _uncertain_reply(request, exc)
            reasons_tried.append(str(exc))
    reasons = '; '.join(reasons_tried)
    return _failure_reply(
        cli_data.Exit.UNAVAILABLE,
        'unavailable',
        f'no control process answers, nothing changed: {reasons}',
    )


async def _send(
    client: http_client.HttpClient,
    address: str,
    key: str,
    request: OperatorRequest,
) -> Reply:
    query = urlencode(request.query)
    path = f'{request.path}?{query}' if query else request.path
    headers = {'authorization': f'Bearer {key}'}
    outgoing = http_data.Outgoing(request.method, path, headers, request.body)
    incoming, body = await client.call(address, outgoing, TIMEOUT_S)
    code = EXIT_BY_STATUS.get(incoming.status, cli_data.Exit.FAILED)
    try:
        return Reply(code, json.loads(body))
    except ValueError:
        text = f'{address} answered {incoming.status} without JSON'
        return _failure_reply(cli_data.Exit.FAILED, 'failed', text)


def _uncertain_reply(request: OperatorRequest, exc: Exception) -> Reply:
    """Return a reply for a change that may have taken effect."""
    apply_id = request.query.get('apply_id', '')
    failed = _failure_reply(
        cli_data.Exit.UNCERTAIN,
        'uncertain',
        f'the answer was lost ({exc}); repeat with --apply_id {apply_id}',
    )
    return Reply(failed.code, {**failed.body, 'apply_id': apply_id})


def _failure_reply(code: cli_data.Exit, error: str, message: str) -> Reply:
    return Reply(code, {'error': error, 'message': message})
