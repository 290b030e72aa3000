"""Splits JSON into the parts of a list or an object, without reading them.

Other writers may store what is no JSON, and a decoder rejects a whole response
because of one part of it. Here only quotes, brackets and commas are looked at,
so each part can be decoded by itself.
"""

import itertools
import re
from typing import NamedTuple

_OPENING = b'[{'
_TO_CLOSING = bytes.maketrans(_OPENING, b']}')
# The quantifiers are possessive, so the memory for a match does not grow with
# the length of a text.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_BRACKETS = rb'[\[{]++|[\]}]++'
# A quote by itself begins a text that does not end.
_NESTED_TOKENS = re.compile(b'%b|%b|"' % (_STRING, _BRACKETS), re.DOTALL)
_TOKENS = re.compile(b'%b|%b|"|,' % (_STRING, _BRACKETS), re.DOTALL)
_MEMBER = re.compile(rb'\s*+"([^"\\]*+(?:\\.[^"\\]*+)*+)"\s*+:(.*)', re.DOTALL)
_FIRST_MEMBER = re.compile(rb'\s*+(\{\s*+"[^"\\]*+"\s*+:)')


class Parts(NamedTuple):
    """The parts of a list or an object.

    Attributes:
        parts: Their bytes.
        is_closed: Whether all brackets and quotes match; otherwise the last
            part may contain what follows the list or object.
        rest: What follows the last bracket.
    """

    parts: tuple[bytes, ...]
    is_closed: bool
    rest: bytes = b''


class Members(NamedTuple):
    """The members of an object.

    Attributes:
        found: Their bytes by name.
        is_whole: Whether all brackets match, and nothing follows the last one.
        doubtful: Name of the member that may contain what follows the object,
            empty if there is none.
    """

    found: dict[str, bytes]
    is_whole: bool
    doubtful: str


def split(raw: bytes) -> Parts:
    """Split a list or an object at its commas.

    Raises:
        ValueError: It is neither.
    """
    raw = raw.strip()
    if not raw or raw[0] not in _OPENING:
        raise ValueError('neither a list nor an object')
    closing = bytearray(raw[:1].translate(_TO_CLOSING))
    commas = [0]
    end = 1
    while closing:
        tokens = _TOKENS if len(closing) == 1 else _NESTED_TOKENS
        token_match = tokens.search(raw, end)
        if token_match is None or not _nest(closing, token_match[0]):
            return Parts(_between(raw, commas, len(raw)), is_closed=False)
        end = token_match.end()
        if token_match[0] == b',':
            commas.append(end - 1)
    parts = _between(raw, commas, end - 1)
    return Parts(parts, is_closed=True, rest=raw[end:])


def members(raw: bytes) -> Members:
    """Split an object into its members; the last of equal names counts.

    Raises:
        ValueError: It is no object.
    """
    if not raw.lstrip().startswith(b'{'):
        raise ValueError('not an object')
    parts = split(raw)
    matches = (_MEMBER.match(part) for part in parts.parts)
    found = {
        each[1].decode(errors='replace'): each[2] for each in matches if each
    }
    return Members(
        found,
        is_whole=parts.is_closed and not parts.rest,
        doubtful='' if parts.is_closed or not found else list(found)[-1],
    )


def first_member(raw: bytes) -> bytes:
    """Return the beginning of a record up to the name of its first member."""
    found = _FIRST_MEMBER.match(raw)
    return found[1] if found else b''


def split_at(raw: bytes, beginning: bytes) -> list[bytes]:
    """Split at each comma that is followed by the beginning of a record.

    If the brackets or quotes in a record don't match, it takes those behind it
    with it. A store writes all records of a list alike.
    """
    if not beginning:
        return [raw]
    return re.split(rb',\s*+(?=%b)' % re.escape(beginning), raw)


def _nest(closing: bytearray, token: bytes) -> bool:
    """Apply a token to the brackets that are still to be closed.

    Returns:
        Whether it is a text that ends, or its brackets match.
    """
    if token == b'"':
        return False
    if token[0] in _OPENING:
        closing.extend(token.translate(_TO_CLOSING))
    elif token[0] in b']}':
        expected = closing[-len(token) :]
        expected.reverse()
        if token != expected:
            return False
        del closing[-len(token) :]  # noqa: WPS420
    return True


def _between(raw: bytes, commas: list[int], end: int) -> tuple[bytes, ...]:
    """Return what is between the commas, without what is blank."""
    ends = itertools.chain(commas[1:], (end,))
    parts = (raw[start + 1 : stop] for start, stop in zip(commas, ends))
    return tuple(part for part in parts if part.strip())
