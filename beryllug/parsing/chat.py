"""Parse the body of a chat-completions request.

Only the fields needed for routing are decoded; the body is forwarded to the
engine byte for byte, so unknown fields keep working.
"""

import hashlib
from typing import Any, NamedTuple, TypedDict

import msgspec

from beryllug.core import finding

SOURCE = 'body'
PREFIX_BYTES = 512


class _Message(TypedDict, total=False):
    role: str
    content: Any


class _Body(TypedDict, total=False):
    model: str
    stream: bool
    messages: list[_Message]
    max_tokens: int


class ChatBody(NamedTuple):
    """The decoded fields of a chat request.

    Attributes:
        model: The requested model or cascade.
        stream: Whether the response is streamed as server-sent events.
        max_tokens: Limit on the response, 0 if the caller set none.
        prompt_chars: Length of the prompt, to estimate its cost.
        prefix_key: Hash of the prompt prefix, for prefix caches.
    """

    model: str
    stream: bool
    max_tokens: int
    prompt_chars: int
    prefix_key: str


_decoder = msgspec.json.Decoder(_Body)


def parse(raw: bytes) -> tuple[ChatBody | None, list[finding.Finding]]:
    """Parse a chat body.

    Args:
        raw: The body as received.

    Returns:
        The body and no findings, or None and all findings.
    """
    try:
        body = _decoder.decode(raw)
    except msgspec.ValidationError as exc:
        return None, [_from_validation_error(str(exc))]
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return None, [finding.Finding(SOURCE, '$', f'not valid JSON: {exc}')]
    findings = _validate_body(body)
    if findings:
        return None, findings
    texts = [
        _message_text(message.get('content')) for message in body['messages']
    ]
    parsed = ChatBody(
        model=body['model'],
        stream=body.get('stream', False),
        max_tokens=body.get('max_tokens', 0),
        prompt_chars=sum(len(text) for text in texts),
        prefix_key=_prefix_key(texts),
    )
    return parsed, []


def _validate_body(body: _Body) -> list[finding.Finding]:
    findings = []
    if not body.get('model'):
        reason = 'name a model or a cascade'
        findings.append(finding.Finding(SOURCE, '$.model', reason))
    if not body.get('messages'):
        reason = 'needs at least one message'
        findings.append(finding.Finding(SOURCE, '$.messages', reason))
    if body.get('max_tokens', 0) < 0:
        reason = 'must not be negative'
        findings.append(finding.Finding(SOURCE, '$.max_tokens', reason))
    return findings


def _from_validation_error(message: str) -> finding.Finding:
    reason, _, path = message.partition(' - at ')
    return finding.Finding(SOURCE, path.strip('`') or '$', reason)


def _message_text(content: Any) -> str:
    """Return the text of a message: a string or a list of typed parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ''
    parts = [part.get('text') for part in content if isinstance(part, dict)]
    return ''.join(part for part in parts if isinstance(part, str))


def _prefix_key(texts: list[str]) -> str:
    start = '\n'.join(texts)[:PREFIX_BYTES]
    digest = hashlib.blake2b(start.encode(errors='replace'), digest_size=8)
    return digest.hexdigest()
