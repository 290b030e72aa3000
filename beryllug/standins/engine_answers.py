"""Deterministic answers of the engine stand-in.

An answer carries the request's id, a hash of its prompt and, last, a hash of
all that came before. So a test sees from the text alone whether a caller
got its own whole answer, however it was cut, resumed or mixed up.
"""

import hashlib
import re
from typing import Any, NamedTuple

import msgspec

from beryllug.drivers import http_data

HASH_CHARS = 16
MAX_TOKENS = 32768
BLOCK_CHARS = 256
WORDS = ('oil', 'time', 'room', 'price', 'slot', 'spa', 'car', 'desk')
DIFFICULTY = re.compile(r'difficulty=(\d+(?:\.\d+)?)')
QUALITY = re.compile(r'quality=(\d+(?:\.\d+)?)')
DONE = b'data: [DONE]\n\n'
HUNDRED = 100


class Ask(NamedTuple):
    """A chat request as the engine understood it.

    Attributes:
        request_id: Its id.
        account_id: Client account, or empty.
        model: Model to run.
        version: Version to run.
        prompt: Text of all messages.
        tokens: Tokens to answer with.
        stream: Whether to answer as events.
        priority: Lower goes first.
    """

    request_id: str
    account_id: str
    model: str
    version: str
    prompt: str
    tokens: int
    stream: bool
    priority: int


def parse(req: http_data.Request, default_tokens: int) -> Ask:
    """Parse a chat request.

    Raises:
        ValueError: It is not one.
    """
    document = msgspec.json.decode(req.body)
    messages = document.get('messages') or []
    prompt = '\n'.join(_text(message) for message in messages)
    named = req.headers.get('x-model') or str(document.get('model', ''))
    asked = document.get('max_completion_tokens') or document.get('max_tokens')
    tokens = int(asked or default_tokens)
    if tokens > MAX_TOKENS:
        raise ValueError(f'more than {MAX_TOKENS} tokens')
    return Ask(
        request_id=req.headers.get('x-request-id', digest(prompt)),
        account_id=req.headers.get('x-account', ''),
        model=named,
        version=req.headers.get('x-model-version', ''),
        prompt=prompt,
        tokens=tokens,
        stream=bool(document.get('stream')),
        priority=int(req.headers.get('x-priority', '0')),
    )


def words(ask: Ask, quality: float) -> list[str]:
    """Return the tokens of an answer."""
    seed = hashlib.sha256(ask.prompt.encode()).digest()
    text = [
        f'[{ask.request_id}]',
        f'{ask.model}@{ask.version}',
        f'prompt={digest(ask.prompt)}',
        f'quality={quality:.3f}',
    ]
    for index in range(ask.tokens - len(text) - 1):
        text.append(WORDS[seed[index % len(seed)] % len(WORDS)])
    text.append(f'end={digest(" ".join(text))}')
    return text


def is_whole(text: str, request_id: str, prompt: str) -> bool:
    """Tell whether a text is the whole answer to this very request."""
    before, _, last = text.rpartition(' ')
    own = before.startswith(f'[{request_id}] ')
    asked = f'prompt={digest(prompt)}' in before
    return own and asked and last == f'end={digest(before)}'


def difficulty(prompt: str) -> float:
    """Return how hard a prompt is, 0 to 1: what it says, or its hash."""
    said = DIFFICULTY.search(prompt)
    if said:
        return min(float(said.group(1)), 1.0)
    prompt_digest = hashlib.sha256(prompt.encode()).digest()
    return int.from_bytes(prompt_digest[:2]) % HUNDRED / HUNDRED


def quality_in(text: str) -> float | None:
    """Return the quality that an answer's text carries."""
    found = QUALITY.search(text)
    return float(found.group(1)) if found else None


def blocks(model: str, prompt: str) -> list[str]:
    """Return the chained hashes of a prompt's whole blocks.

    Two prompts share as many first hashes as they share whole blocks.
    """
    chain = model
    found = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        part = prompt[start : start + BLOCK_CHARS]
        chain = digest(f'{chain}:{part}')
        found.append(chain)
    return found


def count_tokens(text: str) -> int:
    """Count the tokens of a text: its words."""
    return len(text.split())


def event(ask: Ask, content: str) -> bytes:
    """Return one event of a stream."""
    delta: dict[str, Any] = {'index': 0, 'delta': {'content': content}}
    delta['finish_reason'] = None
    return _event(ask, [delta], {})


def last_events(ask: Ask, tokens_out: int) -> bytes:
    """Return the events that end a stream, usage and all."""
    stop = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    usage = {'usage': _usage(ask, tokens_out)}
    return _event(ask, [stop], {}) + _event(ask, [], usage) + DONE


def whole(ask: Ask, content: str, tokens_out: int) -> bytes:
    """Return a whole answer."""
    message = {'role': 'assistant', 'content': content}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    document = _envelope(ask, 'chat.completion', [choice])
    return http_data.to_json({**document, 'usage': _usage(ask, tokens_out)})


def digest(text: str) -> str:
    """Return a short hash of a text."""
    return hashlib.sha256(text.encode()).hexdigest()[:HASH_CHARS]


def _text(message: Any) -> str:
    content = message.get('content') or ''
    if isinstance(content, str):
        return content
    return ' '.join(str(part.get('text', '')) for part in content)


def _event(ask: Ask, choices: list[Any], extra: dict[str, Any]) -> bytes:
    document = _envelope(ask, 'chat.completion.chunk', choices)
    return b'data: %b\n\n' % http_data.to_json({**document, **extra})


def _envelope(ask: Ask, kind: str, choices: list[Any]) -> dict[str, Any]:
    return {
        'id': ask.request_id,
        'object': kind,
        'created': 0,
        'model': ask.model,
        'choices': choices,
    }


def _usage(ask: Ask, tokens_out: int) -> dict[str, int]:
    tokens_in = count_tokens(ask.prompt)
    return {
        'prompt_tokens': tokens_in,
        'completion_tokens': tokens_out,
        'total_tokens': tokens_in + tokens_out,
    }
