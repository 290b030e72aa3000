"""Deterministic responses of the model engine stand-in.

A response contains the request id, a hash of the prompt and finally a hash of
all preceding text. A test can therefore check from the text alone that a
caller got its own complete response, even after interruptions and resumption.
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


class ChatRequest(NamedTuple):
    """A parsed chat request.

    Attributes:
        request_id: Id of the request.
        account_id: Client account, or empty.
        model: Model to run.
        version: Version to run.
        prompt: Text of all messages.
        tokens: Number of tokens to generate.
        stream: Whether to respond with a stream of events.
        priority: Lower values run first.
    """

    request_id: str
    account_id: str
    model: str
    version: str
    prompt: str
    tokens: int
    stream: bool
    priority: int


def parse(req: http_data.Request, default_tokens: int) -> ChatRequest:
    """Parse a chat request.

    Raises:
        ValueError: The request is malformed or asks for too many tokens.
    """
    document = msgspec.json.decode(req.body)
    messages = document.get('messages') or []
    prompt = '\n'.join(_text(message) for message in messages)
    model_name = req.headers.get('x-model') or str(document.get('model', ''))
    asked = document.get('max_completion_tokens') or document.get('max_tokens')
    tokens = int(asked or default_tokens)
    if tokens > MAX_TOKENS:
        raise ValueError(f'more than {MAX_TOKENS} tokens requested')
    return ChatRequest(
        request_id=req.headers.get('x-request-id', digest(prompt)),
        account_id=req.headers.get('x-account', ''),
        model=model_name,
        version=req.headers.get('x-model-version', ''),
        prompt=prompt,
        tokens=tokens,
        stream=bool(document.get('stream')),
        priority=int(req.headers.get('x-priority', '0')),
    )


def response_tokens(chat: ChatRequest, quality: float) -> list[str]:
    """Return the tokens of a response."""
    seed = hashlib.sha256(chat.prompt.encode()).digest()
    text = [
        f'[{chat.request_id}]',
        f'{chat.model}@{chat.version}',
        f'prompt={digest(chat.prompt)}',
        f'quality={quality:.3f}',
    ]
    for index in range(chat.tokens - len(text) - 1):
        text.append(WORDS[seed[index % len(seed)] % len(WORDS)])
    text.append(f'end={digest(" ".join(text))}')
    return text


def is_complete(text: str, request_id: str, prompt: str) -> bool:
    """Return whether a text is the complete response to this request."""
    preceding, _, end_tag = text.rpartition(' ')
    has_id = preceding.startswith(f'[{request_id}] ')
    has_prompt = f'prompt={digest(prompt)}' in preceding
    return has_id and has_prompt and end_tag == f'end={digest(preceding)}'


def difficulty(prompt: str) -> float:
    """Return a prompt's difficulty, 0 to 1, as stated or from its hash."""
    stated = DIFFICULTY.search(prompt)
    if stated:
        return min(float(stated.group(1)), 1.0)
    prompt_digest = hashlib.sha256(prompt.encode()).digest()
    return int.from_bytes(prompt_digest[:2]) % HUNDRED / HUNDRED


def quality_in(text: str) -> float | None:
    """Return the quality stated in a response, or None."""
    found = QUALITY.search(text)
    return float(found.group(1)) if found else None


def blocks(model: str, prompt: str) -> list[str]:
    """Return the chained hashes of a prompt's complete blocks.

    Prompts with a common prefix of n blocks share their first n hashes.
    """
    chained = model
    found = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        part = prompt[start : start + BLOCK_CHARS]
        chained = digest(f'{chained}:{part}')
        found.append(chained)
    return found


def count_tokens(text: str) -> int:
    """Count the tokens of a text; each word is one token."""
    return len(text.split())


def event(chat: ChatRequest, content: str) -> bytes:
    """Encode one event of a stream."""
    delta: dict[str, Any] = {'index': 0, 'delta': {'content': content}}
    delta['finish_reason'] = None
    return _event(chat, [delta], {})


def final_events(chat: ChatRequest, tokens_out: int) -> bytes:
    """Encode the final events of a stream, including usage."""
    stop = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    usage = {'usage': _usage(chat, tokens_out)}
    return _event(chat, [stop], {}) + _event(chat, [], usage) + DONE


def completion(chat: ChatRequest, content: str, tokens_out: int) -> bytes:
    """Encode a complete response."""
    message = {'role': 'assistant', 'content': content}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    document = _envelope(chat, 'chat.completion', [choice])
    return http_data.to_json({**document, 'usage': _usage(chat, tokens_out)})


def digest(text: str) -> str:
    """Return a short hash of a text."""
    return hashlib.sha256(text.encode()).hexdigest()[:HASH_CHARS]


def _text(message: Any) -> str:
    content = message.get('content') or ''
    if isinstance(content, str):
        return content
    return ' '.join(str(part.get('text', '')) for part in content)


def _event(
    chat: ChatRequest, choices: list[Any], extra: dict[str, Any]
) -> bytes:
    document = _envelope(chat, 'chat.completion.chunk', choices)
    return b'data: %b\n\n' % http_data.to_json({**document, **extra})


def _envelope(
    chat: ChatRequest, kind: str, choices: list[Any]
) -> dict[str, Any]:
    return {
        'id': chat.request_id,
        'object': kind,
        'created': 0,
        'model': chat.model,
        'choices': choices,
    }


def _usage(chat: ChatRequest, tokens_out: int) -> dict[str, int]:
    tokens_in = count_tokens(chat.prompt)
    return {
        'prompt_tokens': tokens_in,
        'completion_tokens': tokens_out,
        'total_tokens': tokens_in + tokens_out,
    }
