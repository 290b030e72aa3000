"""Read the text out of a chat answer, to have it rated.

Only answers that are rated are parsed; all others pass through as bytes.
"""

from typing import TypedDict

import msgspec

EVENT = b'data: '
DONE = b'[DONE]'


class _Text(TypedDict, total=False):
    content: str | None


class _Choice(TypedDict, total=False):
    delta: _Text
    message: _Text


class _Answer(TypedDict, total=False):
    choices: list[_Choice]


_decode = msgspec.json.Decoder(_Answer).decode


def text_of(body: bytes) -> str:
    """Return the text of a whole answer, streamed or not.

    Events that can't be read count as empty: a rating of what is left says
    more than none.
    """
    if not body.startswith(EVENT):
        return _part(body)
    lines = body.splitlines()
    events = (line[len(EVENT) :] for line in lines if line.startswith(EVENT))
    return ''.join(_part(event) for event in events if event != DONE)


def _part(document: bytes) -> str:
    try:
        answer = _decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ''
    parts = []
    for choice in answer.get('choices', []):
        text = choice.get('delta') or choice.get('message') or {}
        parts.append(text.get('content') or '')
    return ''.join(parts)
