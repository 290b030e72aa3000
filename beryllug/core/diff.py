"""Differences between two configuration documents.

Records are matched by name and not by position, so a new account at the top of
the list is one change and not a change of every account.
"""

from collections.abc import Iterator
from enum import StrEnum
from types import MappingProxyType
from typing import Any, NamedTuple

from beryllug.core import config_data, document_plain

KEY_FIELDS = MappingProxyType(
    {
        'accounts': ('account_id',),
        'models': ('name',),
        'versions': ('version',),
        'cascades': ('name',),
        'rollouts': ('model',),
        'pools': ('name',),
        'services': ('name',),
        'operations': ('method', 'path'),
        'targets': ('request_class',),
    }
)


class Kind(StrEnum):
    """Kind of a difference."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'
    REORDERED = 'reordered'


class Difference(NamedTuple):
    """One difference.

    Attributes:
        kind: Kind of the difference.
        path: Where it is, such as ``accounts[kutch].weight``.
        old: The old value as plain data; None if it was added.
        new: The new value; None if it was removed.
    """

    kind: Kind
    path: str
    old: Any = None
    new: Any = None


def compare(
    old: config_data.Document, new: config_data.Document
) -> tuple[Difference, ...]:
    """Return the differences between an old and a new document."""
    if old == new:
        return ()
    before = document_plain.render(old)
    after = document_plain.render(new)
    return tuple(_compare_fields('', before, after))


def describe(difference: Difference) -> str:
    """Format a difference as one line."""
    path = difference.path
    match difference.kind:
        case Kind.ADDED:
            return f'+ {path} = {difference.new}'
        case Kind.REMOVED:
            return f'- {path} = {difference.old}'
        case Kind.REORDERED:
            return f'~ {path}: another order'
        case Kind.CHANGED:
            return f'~ {path}: {difference.old} -> {difference.new}'


def _compare_fields(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Difference]:
    for field, after in new.items():
        inner_path = f'{path}.{field}' if path else field
        before = old.get(field)
        if before != after and field in KEY_FIELDS:
            yield from _compare_records(inner_path, field, before or [], after)
        elif before != after:
            yield Difference(Kind.CHANGED, inner_path, before, after)


def _compare_records(
    path: str, field: str, old: list[Any], new: list[Any]
) -> Iterator[Difference]:
    before = {_record_key(field, record): record for record in old}
    after = {_record_key(field, record): record for record in new}
    for removed_key in sorted(before.keys() - after.keys()):
        yield Difference(
            Kind.REMOVED, f'{path}[{removed_key}]', old=before[removed_key]
        )
    for key, record in after.items():
        old_record = before.get(key)
        inner_path = f'{path}[{key}]'
        if old_record is None:
            yield Difference(Kind.ADDED, inner_path, new=record)
        else:
            yield from _compare_fields(inner_path, old_record, record)
    common = [name for name in before if name in after]
    if common != [name for name in after if name in before]:
        yield Difference(Kind.REORDERED, path)


def _record_key(field: str, record: dict[str, Any]) -> str:
    return ' '.join(str(record[name]) for name in KEY_FIELDS[field])
