"""Sends one chat request to an entry and streams the response."""

import json
from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple

from beryllug.drivers import http_client, http_data
from beryllug.scripts import cli_data

CHAT = '/v1/chat/completions'
OK = 200
EVENT_PREFIX = 'data: '
STREAM_END = '[DONE]'
HEADER_TIMEOUT_S = 120.0


class ChatRequest(NamedTuple):
    """A chat request and the entry that it is sent to.

    Attributes:
        address: ``ip:port`` of an entry process.
        key: Bearer key of a client account.
        model: Model or cascade.
        text: The user's message.
        headers: Additional headers.
    """

    address: str
    key: str
    model: str
    text: str
    headers: http_data.Headers = {}


class AskError(Exception):
    """The request was refused or its response was incomplete."""

    def __init__(self, outcome: cli_data.Outcome) -> None:
        """Store the outcome for the command line."""
        super().__init__(outcome.lines[0])
        self.outcome = outcome


async def stream(question: ChatRequest) -> AsyncIterator[str]:
    """Yield the text of the response as it arrives.

    Raises:
        AskError: The request was refused, or the response ended early.
    """
    client = http_client.HttpClient()
    try:
        incoming = await client.request(
            question.address, _outgoing(question), HEADER_TIMEOUT_S
        )
        if incoming.status != OK:
            raise AskError(_refusal(incoming.status, await incoming.read()))
        async for text in _texts(incoming):
            yield text
    except http_data.NotSentError as exc:
        raise AskError(_failure(cli_data.Exit.UNAVAILABLE, f'not run: {exc}'))
    except http_data.BrokenError as exc:
        reason = f'the answer ended early; it may have run: {exc}'
        raise AskError(_failure(cli_data.Exit.UNCERTAIN, reason))
    finally:
        await client.close()


async def _texts(incoming: http_client.IncomingResponse) -> AsyncIterator[str]:
    incomplete_line = ''
    try:
        async for chunk in incoming.chunks():
            *lines, incomplete_line = (
                incomplete_line + chunk.decode(errors='replace')
            ).split('\n')
            for text in _event_texts(lines):
                yield text
    finally:
        incoming.close()


def _event_texts(lines: list[str]) -> Iterator[str]:
    """Yield the text of each event; events without text are skipped."""
    for line in lines:
        event = line.strip().removeprefix(EVENT_PREFIX)
        if line.startswith(EVENT_PREFIX) and event != STREAM_END:
            for choice in json.loads(event).get('choices', ()):
                yield choice.get('delta', {}).get('content') or ''


def _outgoing(question: ChatRequest) -> http_data.Outgoing:
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


def _refusal(status: int, body: bytes) -> cli_data.Outcome:
    try:
        error = json.loads(body)['error']
        reason = f'{error["message"]} ({error["run"]})'
    except (ValueError, LookupError, TypeError):
        reason = f'status {status}'
    return _failure(cli_data.Exit.FAILED, reason)


def _failure(code: cli_data.Exit, reason: str) -> cli_data.Outcome:
    return cli_data.failure(code, 'refused', reason)
