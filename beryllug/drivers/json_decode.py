"""Decodes JSON of external services, also if part of it is invalid."""

import itertools
from collections.abc import Iterable
from typing import Any

import msgspec

from beryllug.drivers import json_repair, object_data

# Bytes of an invalid entry that an error message shows.
MAX_SHOWN_BYTES = 80


def decode(body: bytes, expected_type: type[Any]) -> Any:
    """Decode a document of a type, after repair if it is invalid.

    Raises:
        ObjectApiError: It can't be decoded even when repaired.
    """
    try:
        return msgspec.json.decode(body, type=expected_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeError):
        repaired = json_repair.repair(body)
    try:
        return msgspec.json.decode(repaired, type=expected_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as exc:
        raise object_data.ObjectApiError(f'unreadable answer: {exc}') from exc


def decode_entries(
    raw: Iterable[msgspec.Raw], expected_type: type[Any]
) -> tuple[list[Any], list[str]]:
    """Decode entries; returns them and the errors of the invalid ones."""
    entries = []
    errors = []
    for entry in raw:
        try:
            entries.append(msgspec.json.decode(entry, type=expected_type))
        except (msgspec.MsgspecError, RecursionError, UnicodeError) as exc:
            errors.append(f'{exc}: {bytes(entry[:MAX_SHOWN_BYTES])!r}')
    return entries, errors


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
