"""Sends one request to an entry and gives out the answer as it comes."""

import json
from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple

from beryllug.drivers import http_client, http_data
from beryllug.scripts import cli_data

CHAT = '/v1/chat/completions'
OK = 200
EVENT = 'data: '
END = '[DONE]'
HEAD_S = 120.0


class Question(NamedTuple):
    """What is asked of which entry.

    Attributes:
        address: ``ip:port`` of an entry process.
        key: Bearer key of a client account.
        model: Model or cascade.
        text: The user's message.
        headers: Further headers.
    """

    address: str
    key: str
    model: str
    text: str
    headers: http_data.Headers = {}


class AskError(Exception):
    """The question was refused or its answer broke; has the outcome."""

    def __init__(self, outcome: cli_data.Outcome) -> None:
        """Keep the outcome."""
        super().__init__(outcome.lines[0])
        self.outcome = outcome


async def stream(question: Question) -> AsyncIterator[str]:
    """Yield the text of the answer as it arrives.

    Raises:
        AskError: It was refused, or broke before its end.
    """
    client = http_client.HttpClient()
    try:
        incoming = await client.request(
            question.address, _outgoing(question), HEAD_S
        )
        if incoming.status != OK:
            raise AskError(_refused(incoming.status, await incoming.read()))
        async for text in _texts(incoming):
            yield text
    except http_data.NotSentError as exc:
        raise AskError(_failed(cli_data.Exit.UNAVAILABLE, f'not run: {exc}'))
    except http_data.BrokenError as exc:
        reason = f'the answer broke; it may have run: {exc}'
        raise AskError(_failed(cli_data.Exit.UNCERTAIN, reason))
    finally:
        await client.close()


async def _texts(incoming: http_client.Incoming) -> AsyncIterator[str]:
    rest = ''
    try:
        async for chunk in incoming.chunks():
            *lines, rest = (rest + chunk.decode(errors='replace')).split('\n')
            for text in _spoken(lines):
                yield text
    finally:
        incoming.close()


def _spoken(lines: list[str]) -> Iterator[str]:
    """Yield the text of each event; what has no text is passed over."""
    for line in lines:
        event = line.strip().removeprefix(EVENT)
        if line.startswith(EVENT) and event != END:
            for choice in json.loads(event).get('choices', ()):
                yield choice.get('delta', {}).get('content') or ''


def _outgoing(question: Question) -> http_data.Outgoing:
    body = {
        'model': question.model,
        'stream': True,
        'messages': [{'role': 'user', 'content': question.text}],
    }
    headers = {
        'authorization': f'Bearer {question.key}',
        'content-type': 'application/json',
        **question.headers,
    }
    raw = json.dumps(body).encode()
    return http_data.Outgoing('POST', CHAT, headers, raw)


def _refused(status: int, body: bytes) -> cli_data.Outcome:
    try:
        error = json.loads(body)['error']
        reason = f'{error["message"]} ({error["run"]})'
    except (ValueError, LookupError, TypeError):
        reason = f'status {status}'
    return _failed(cli_data.Exit.FAILED, reason)


def _failed(code: cli_data.Exit, reason: str) -> cli_data.Outcome:
    return cli_data.failure(code, 'refused', reason)
