"""Extract the text of a chat response for rating.

Only responses that are rated are parsed; all others pass through as bytes.
"""

from typing import TypedDict

import msgspec

EVENT_PREFIX = b'data: '
DONE = b'[DONE]'


class _MessageContent(TypedDict, total=False):
    content: str | None


class _Choice(TypedDict, total=False):
    delta: _MessageContent
    message: _MessageContent


class _ChatResponse(TypedDict, total=False):
    choices: list[_Choice]


_decode = msgspec.json.Decoder(_ChatResponse).decode


def extract_text(body: bytes) -> str:
    """Return the text of a complete response, streamed or not.

    Events that can't be decoded count as empty: rating the remaining text is
    more useful than no rating.
    """
    if not body.startswith(EVENT_PREFIX):
        return _decode_text(body)
    lines = body.splitlines()
    events = (
        line[len(EVENT_PREFIX) :]
        for line in lines
        if line.startswith(EVENT_PREFIX)
    )
    return ''.join(_decode_text(event) for event in events if event != DONE)


def _decode_text(document: bytes) -> str:
    try:
        response = _decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ''
    parts = []
    for choice in response.get('choices', []):
        text = choice.get('delta') or choice.get('message') or {}
        parts.append(text.get('content') or '')
    return ''.join(parts)
