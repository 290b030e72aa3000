"""Reads JSON of others into records, also where a part of it can't be read."""

import itertools
from collections.abc import Iterable
from typing import Any

import msgspec

from beryllug.drivers import json_repair, object_data

# Bytes of an entry that can't be read that a log line shows.
SHOWN_BYTES = 80


def decode(body: bytes, shape: type[Any]) -> Any:
    """Return a document of a shape.

    Raises:
        ObjectApiError: It can't be read as one.
    """
    try:
        return msgspec.json.decode(body, type=shape)
    except (msgspec.MsgspecError, RecursionError, UnicodeError):
        sound = json_repair.repair(body)
    try:
        return msgspec.json.decode(sound, type=shape)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as exc:
        raise object_data.ObjectApiError(f'unreadable answer: {exc}') from exc


def each(
    raw: Iterable[msgspec.Raw], shape: type[Any]
) -> tuple[list[Any], list[str]]:
    """Return the entries that can be read, and why the others can't."""
    found = []
    errors = []
    for entry in raw:
        try:
            found.append(msgspec.json.decode(entry, type=shape))
        except (msgspec.MsgspecError, RecursionError, UnicodeError) as exc:
            errors.append(f'{exc}: {bytes(entry[:SHOWN_BYTES])!r}')
    return found, errors


def field_names(decoded: Any) -> frozenset[str]:
    """Return the names of an object's fields, and of objects in its lists."""
    if not isinstance(decoded, dict):
        return frozenset()
    listed = (each for each in decoded.values() if isinstance(each, list))
    inner = itertools.chain.from_iterable(listed)
    records = (each for each in inner if isinstance(each, dict))
    return frozenset(decoded).union(*records)
