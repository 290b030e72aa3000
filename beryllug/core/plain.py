"""Records to plain dicts and lists, and back.

What is kept in the platform and shown to operators carries its field names,
so that a release reads what its neighbour wrote: a field it doesn't know is
passed over, a field that is missing takes its default.
"""

import enum
import functools
from collections.abc import Mapping
from typing import Any, TypeVar, cast, get_args, get_type_hints

Record = TypeVar('Record')


def to_plain(record: Any) -> Any:
    """Turn a record, with all it holds, into what JSON can say."""
    if isinstance(record, tuple):
        fields = getattr(record, '_fields', None)
        parts = [to_plain(part) for part in record]
        return parts if fields is None else dict(zip(fields, parts))
    return record.value if isinstance(record, enum.Enum) else record


def from_plain(kind: type[Record], plain: Any) -> Record:
    """Build a record of a type from what `to_plain` made.

    Raises:
        TypeError: A field without a default is missing, or the shape is
            another.
        ValueError: A word isn't one of an enumeration.
    """
    return cast('Record', _build(kind, plain))


def knows(known: Any, whole: Any) -> bool:
    """Tell whether plain data has no field that another one lacks.

    Args:
        known: What `to_plain` made of a record that was read.
        whole: What the record was read from.
    """
    if isinstance(whole, Mapping):
        return all(
            name in known and knows(known[name], part)
            for name, part in whole.items()
        )
    if isinstance(whole, list):
        return all(map(knows, known, whole))
    return True


def _build(kind: Any, plain: Any) -> Any:
    if hasattr(kind, '_fields'):
        return _build_record(kind, plain)
    arguments = get_args(kind)
    if arguments and Ellipsis in arguments:
        return tuple(_build(arguments[0], part) for part in plain)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind(plain)
    return plain


def _build_record(kind: Any, plain: Any) -> Any:
    if not isinstance(plain, Mapping):
        raise TypeError(f'{kind.__name__} needs an object')
    hints = _hints(kind)
    return kind(
        **{
            name: _build(hints[name], part)
            for name, part in plain.items()
            if name in hints
        }
    )


@functools.cache
def _hints(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind)
