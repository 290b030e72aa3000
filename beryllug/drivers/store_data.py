"""Records of the objects of a store, and of their changes."""

from typing import Any, NamedTuple


class Stored(NamedTuple):
    """An object of the store.

    Attributes:
        name: Its name within its kind.
        revision: Revision of the store at its last change.
        spec: What it says.
        status: What was written about it since, or None.
        is_leaving: Whether it is being deleted.
    """

    name: str
    revision: int
    spec: Any
    status: Any
    is_leaving: bool


class Listing(NamedTuple):
    """All objects of a kind, and the revision to watch from.

    Attributes:
        found: The objects that can be read.
        revision: Revision of the store.
        errors: Why others can't be.
    """

    found: tuple[Stored, ...]
    revision: int
    errors: tuple[str, ...] = ()


class Page(NamedTuple):
    """Some of the objects of a kind; `after` goes on, empty at the end."""

    listing: Listing
    after: str


class Change(NamedTuple):
    """A change of one object; `is_gone` when it was deleted."""

    stored: Stored
    is_gone: bool


class Changes(NamedTuple):
    """Changes in order, perhaps none, and the revision to watch from.

    Attributes:
        changes: Changes of objects that can be read.
        revision: Revision of the store.
        errors: Why others can't be.
    """

    changes: tuple[Change, ...]
    revision: int
    errors: tuple[str, ...] = ()
