"""A draft: changes of single records of an accepted document.

The console is stateless. Each of its pages contains the revision from which
the operator started and the records changed since, which is enough to build
the complete next document.
"""

from typing import Any, NamedTuple

from beryllug.core import config_data, diff

Rendered = dict[str, Any]
SECTIONS = frozenset(config_data.Document._fields)


class Change(NamedTuple):
    """One changed record.

    Attributes:
        section: Its section, such as ``accounts``.
        key: Name of the record before the change; empty for a new one.
        record: The record after the change; None removes it.
    """

    section: str
    key: str
    record: dict[str, Any] | None


def key_of(section: str, record: dict[str, Any]) -> str:
    """Return the name of a record."""
    return str(record.get(diff.KEY_FIELDS[section][0], ''))


def place_of(rendered: Rendered, section: str, key: str) -> int | None:
    """Return the index of a record in its section, or None."""
    for index, record in enumerate(rendered.get(section, ())):
        if key_of(section, record) == key:
            return index
    return None


def apply(rendered: Rendered, changes: tuple[Change, ...]) -> Rendered:
    """Return the document with the changes applied in order."""
    edited = {section: list(rendered[section]) for section in rendered}
    for change in changes:
        records = edited[change.section]
        index = place_of(edited, change.section, change.key)
        if change.record is None:
            if index is not None:
                records.pop(index)
        elif index is None or not change.key:
            records.append(change.record)
        else:
            records[index] = change.record
    return edited


def merge(changes: tuple[Change, ...], change: Change) -> tuple[Change, ...]:
    """Add a change in place of an earlier change with the same key.

    After a rename a record has a new key, so its earlier changes are kept.
    """
    kept = []
    for earlier in changes:
        is_same_key = (earlier.section, earlier.key) == (
            change.section,
            change.key,
        )
        if not (is_same_key and change.key):
            kept.append(earlier)
    return (*kept, change)


def clashes(
    old: Rendered, new: Rendered, changes: tuple[Change, ...]
) -> tuple[Change, ...]:
    """Return the changes whose records differ between two documents."""
    return tuple(
        change
        for change in changes
        if _record(old, change) != _record(new, change)
    )


def _record(rendered: Rendered, change: Change) -> Any:
    """Return the record to which a change applies, or None."""
    name = change.key or key_of(change.section, change.record or {})
    index = place_of(rendered, change.section, name)
    return None if index is None else rendered[change.section][index]
