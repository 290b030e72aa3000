"""A draft: changes of single records over an accepted document.

The console keeps no state. Each of its pages carries the revision that the
operator started from and the records that were changed since, and this is
enough to make the whole next document.
"""

from typing import Any, NamedTuple

from beryllug.core import config_data, diff

Rendered = dict[str, Any]
SECTIONS = frozenset(config_data.Document._fields)


class Change(NamedTuple):
    """One changed record.

    Attributes:
        section: Its section, as ``accounts``.
        key: Name of the record as it was, empty for a new one.
        record: The record as it is to be; None removes it.
    """

    section: str
    key: str
    record: dict[str, Any] | None


def key_of(section: str, record: dict[str, Any]) -> str:
    """Return the name of a record."""
    return str(record.get(diff.KEY_FIELDS[section][0], ''))


def place_of(rendered: Rendered, section: str, key: str) -> int | None:
    """Return where a record stands in its section, or None."""
    for place, record in enumerate(rendered.get(section, ())):
        if key_of(section, record) == key:
            return place
    return None


def apply(rendered: Rendered, changes: tuple[Change, ...]) -> Rendered:
    """Return the document after the changes, in their order."""
    edited = {section: list(rendered[section]) for section in rendered}
    for change in changes:
        records = edited[change.section]
        place = place_of(edited, change.section, change.key)
        if change.record is None:
            if place is not None:
                records.pop(place)
        elif place is None or not change.key:
            records.append(change.record)
        else:
            records[place] = change.record
    return edited


def merge(changes: tuple[Change, ...], change: Change) -> tuple[Change, ...]:
    """Add a change; one of the same record before it is left out.

    A record that was renamed meanwhile goes by its new name, so the chain of
    its changes is kept in that case.
    """
    kept = []
    for earlier in changes:
        same = (earlier.section, earlier.key) == (change.section, change.key)
        if not (same and change.key):
            kept.append(earlier)
    return (*kept, change)


def clashes(
    old: Rendered, new: Rendered, changes: tuple[Change, ...]
) -> tuple[Change, ...]:
    """Return the changes of records that differ between two documents."""
    return tuple(
        change
        for change in changes
        if _record(old, change) != _record(new, change)
    )


def _record(rendered: Rendered, change: Change) -> Any:
    """Return the record that a change is about, or None."""
    name = change.key or key_of(change.section, change.record or {})
    place = place_of(rendered, change.section, name)
    return None if place is None else rendered[change.section][place]
