"""Decodes JSON of external services, also if part of it is invalid.

An entry of a list is decoded by itself, and if that fails, each field of it: a
field that can't be decoded gets its default. So an invalid value costs neither
the other entries nor the name that it is stored under.
"""

import itertools
import json
import re
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib import parse as url_parse

import msgspec

from beryllug.drivers import json_parts, object_data

# Bytes of an invalid entry that an error message shows.
MAX_SHOWN_BYTES = 80
# What decoders raise; `ValueError` includes errors of encodings and of numbers.
_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
_PATH_ERRORS = (*_ERRORS, KeyError)


class Entries(NamedTuple):
    """Decoded entries of a list.

    Attributes:
        found: Those that could be decoded, at least in part.
        errors: What could not be.
        lost: Number of entries of which nothing could be.
        last: The last entry as it was sent, empty if there is none.
    """

    found: tuple[Any, ...]
    errors: tuple[str, ...]
    lost: int
    last: bytes


def decode_list(
    body: bytes, expected_type: type[Any], name: str
) -> tuple[Any, tuple[bytes, ...]]:
    """Decode an object that contains a list, but not the entries of the list.

    Args:
        body: The object.
        expected_type: Its type, without the list.
        name: Name of the list.

    Returns:
        The object, and the entries.

    Raises:
        ObjectApiError: It can't be decoded.
    """
    try:
        members = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        raw = msgspec.json.decode(members[name], type=tuple[msgspec.Raw, ...])
    except _PATH_ERRORS:
        return _decode_damaged(body, expected_type, name)
    try:
        decoded = msgspec.json.decode(body, type=expected_type)
    except _ERRORS as exc:
        raise object_data.ObjectApiError(f'unreadable answer: {exc}') from exc
    return decoded, tuple(bytes(entry) for entry in raw)


def decode_entries(
    raw: Iterable[bytes], expected_type: type[msgspec.Struct]
) -> Entries:
    """Decode entries of a list."""
    found = []
    errors = []
    lost = 0
    entry = b''
    remaining = list(raw)
    beginning = json_parts.first_member(remaining[0]) if remaining else b''
    remaining.reverse()
    while remaining:
        entry = remaining.pop()
        try:
            found.append(msgspec.json.decode(entry, type=expected_type))
        except _ERRORS as exc:
            errors.append(f'{exc}: {entry[:MAX_SHOWN_BYTES]!r}')
        else:
            continue
        entry, *others = json_parts.split_at(entry, beginning)
        remaining.extend(reversed(others))
        try:
            found.append(_decode_fields(entry, expected_type))
        except _ERRORS:
            lost += 1
    return Entries(tuple(found), tuple(errors), lost, entry)


def text_at(raw: bytes, *path: str) -> str:
    """Return a text in an object that may be invalid, empty if there is none.

    What is no Unicode in it is represented by surrogates.
    """
    try:
        for name in path:
            raw = json_parts.members(raw).found[name]
        text = json.loads(raw.decode(errors='surrogateescape'), strict=False)
    except _PATH_ERRORS:
        return ''
    return text if isinstance(text, str) else ''


def quote(text: str) -> str:
    """Quote a text for a URL, also if it contains surrogates of `text_at`."""
    try:
        raw = text.encode(errors='surrogateescape')
    except UnicodeEncodeError:
        raw = text.encode(errors='surrogatepass')
    return url_parse.quote(raw, safe='')


def field_names(decoded: Any) -> frozenset[str]:
    """Return the field names of an object and of objects in its lists."""
    if not isinstance(decoded, dict):
        return frozenset()
    lists = (
        element for element in decoded.values() if isinstance(element, list)
    )
    elements = itertools.chain.from_iterable(lists)
    records = (element for element in elements if isinstance(element, dict))
    return frozenset(decoded).union(*records)


def _decode_damaged(
    body: bytes, expected_type: type[Any], name: str
) -> tuple[Any, tuple[bytes, ...]]:
    try:
        members = json_parts.members(body)
        entries = _split_list(body, members.found[name], members.is_whole)
    except _PATH_ERRORS as exc:
        raise object_data.ObjectApiError(f'unreadable answer: {exc}') from exc
    scalars = []
    for field in msgspec.structs.fields(expected_type):
        scalar = members.found.get(field.encode_name)
        scalar = scalar or _last_scalar(body, field.encode_name)
        if scalar:
            scalars.append(b'"%b":%b' % (field.encode_name.encode(), scalar))
    try:
        decoded = msgspec.json.decode(
            b'{%b}' % b','.join(scalars), type=expected_type
        )
    except _ERRORS as exc:
        raise object_data.ObjectApiError(f'unreadable answer: {exc}') from exc
    return decoded, entries


def _split_list(body: bytes, raw: bytes, is_whole: bool) -> tuple[bytes, ...]:
    """Split a list in a body.

    Raises:
        ValueError: It is no list.
    """
    entries, is_closed, rest = json_parts.split(raw)
    if not (is_whole and is_closed) or rest.strip():
        # Brackets of an entry have closed the list, or left it open.
        remaining = body[body.index(raw) + raw.index(b'[') + 1 :]
        beginning = json_parts.first_member(remaining)
        entries = tuple(json_parts.split_at(remaining, beginning))
    return entries


def _last_scalar(body: bytes, name: str) -> bytes:
    """Return the last number or truth value of a name, empty if none."""
    pattern = rb'"%b"\s*+:\s*+(\d++|true|false)' % re.escape(name.encode())
    scalars = re.findall(pattern, body)
    return scalars[-1] if scalars else b''


def _decode_fields(
    raw: bytes, expected_type: type[msgspec.Struct]
) -> msgspec.Struct:
    """Decode an object field by field.

    Raises:
        ValueError: It is no object, or a required field can't be decoded.
    """
    members = json_parts.members(raw)
    members.found.pop(members.doubtful, None)
    decoded = {}
    for field in msgspec.structs.fields(expected_type):
        if field.encode_name not in members.found:
            continue
        try:
            decoded[field.name] = _decode_field(
                members.found[field.encode_name], field.type
            )
        except _ERRORS:
            if field.required:
                raise
    try:
        return expected_type(**decoded)
    except TypeError as exc:
        raise ValueError(str(exc)) from exc


def _decode_field(raw: bytes, expected_type: Any) -> Any:
    try:
        return msgspec.json.decode(raw, type=expected_type)
    except _ERRORS:
        is_record = isinstance(expected_type, type) and issubclass(
            expected_type, msgspec.Struct
        )
        if not is_record:
            raise
    return _decode_fields(raw, expected_type)
