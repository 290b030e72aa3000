"""Differences between two configuration documents.

Declared things are matched by their names and not by their places, so a new
account at the top of the list is one change and not a change of every one.
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
    """What happened to a path."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'
    REORDERED = 'reordered'


class Difference(NamedTuple):
    """One difference.

    Attributes:
        kind: What happened.
        path: Where, as ``accounts[kutch].weight``.
        old: What stood there, as plain data; None when added.
        new: What stands there now; None when removed.
    """

    kind: Kind
    path: str
    old: Any = None
    new: Any = None


def compare(
    old: config_data.Document, new: config_data.Document
) -> tuple[Difference, ...]:
    """Return the differences that lead from one document to another."""
    if old == new:
        return ()
    before = document_plain.render(old)
    after = document_plain.render(new)
    return tuple(_fields('', before, after))


def describe(difference: Difference) -> str:
    """Render a difference as one line for a person."""
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


def _fields(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Difference]:
    for field, after in new.items():
        inner = f'{path}.{field}' if path else field
        before = old.get(field)
        if before != after and field in KEY_FIELDS:
            yield from _keyed(inner, field, before or [], after)
        elif before != after:
            yield Difference(Kind.CHANGED, inner, before, after)


def _keyed(
    path: str, field: str, old: list[Any], new: list[Any]
) -> Iterator[Difference]:
    before = {_key(field, part): part for part in old}
    after = {_key(field, part): part for part in new}
    for gone in sorted(before.keys() - after.keys()):
        yield Difference(Kind.REMOVED, f'{path}[{gone}]', old=before[gone])
    for key, part in after.items():
        earlier = before.get(key)
        inner = f'{path}[{key}]'
        if earlier is None:
            yield Difference(Kind.ADDED, inner, new=part)
        else:
            yield from _fields(inner, earlier, part)
    kept = [name for name in before if name in after]
    if kept != [name for name in after if name in before]:
        yield Difference(Kind.REORDERED, path)


def _key(field: str, part: dict[str, Any]) -> str:
    return ' '.join(str(part[name]) for name in KEY_FIELDS[field])
