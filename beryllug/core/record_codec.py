"""Converts records to plain dicts and lists, and back.

Data that is stored in the platform or shown to operators contains field names,
so that adjacent releases can read each other's data: unknown fields are
ignored, missing fields get their defaults.
"""

import enum
import functools
from collections.abc import Mapping
from typing import Any, TypeVar, cast, get_args, get_type_hints

Record = TypeVar('Record')


def to_plain(record: Any) -> Any:
    """Convert a record, with all nested values, to JSON types."""
    if isinstance(record, tuple):
        fields = getattr(record, '_fields', None)
        parts = [to_plain(item) for item in record]
        return parts if fields is None else dict(zip(fields, parts))
    return record.value if isinstance(record, enum.Enum) else record


def from_plain(kind: type[Record], plain: Any) -> Record:
    """Build a record of a type from the result of `to_plain`.

    Raises:
        TypeError: A field without a default is missing, or the structure
            differs.
        ValueError: A value is not in its enumeration.
    """
    return cast('Record', _build(kind, plain))


def knows(known: Any, whole: Any) -> bool:
    """Return whether all fields of some plain data were read.

    Args:
        known: The result of `to_plain` for the record that was read.
        whole: The plain data from which the record was read.
    """
    if isinstance(whole, Mapping):
        return all(
            name in known and knows(known[name], item)
            for name, item in whole.items()
        )
    if isinstance(whole, list):
        return all(map(knows, known, whole))
    return True


def _build(kind: Any, plain: Any) -> Any:
    if hasattr(kind, '_fields'):
        return _build_record(kind, plain)
    arguments = get_args(kind)
    if arguments and Ellipsis in arguments:
        return tuple(_build(arguments[0], item) for item in plain)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind(plain)
    return plain


def _build_record(kind: Any, plain: Any) -> Any:
    if not isinstance(plain, Mapping):
        raise TypeError(f'{kind.__name__} needs an object')
    hints = _hints(kind)
    return kind(
        **{
            name: _build(hints[name], item)
            for name, item in plain.items()
            if name in hints
        }
    )


@functools.cache
def _hints(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind)
