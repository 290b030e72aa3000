"""Records of a store's objects and of their changes."""

from typing import Any, NamedTuple


class StoredObject(NamedTuple):
    """An object of the store.

    Attributes:
        name: Its name, unique within its kind.
        revision: Revision of the store at its last change.
        spec: Its specification; None if it can't be decoded.
        status: Its reported status; None if there is none, or it can't be
            decoded.
        is_leaving: Whether its deletion has begun.
    """

    name: str
    revision: int
    spec: Any
    status: Any
    is_leaving: bool


class Listing(NamedTuple):
    """All objects of a kind, and the revision to watch from.

    Attributes:
        found: The objects that could be decoded.
        revision: Revision of the store.
        errors: Decoding errors of values, and of the other objects.
    """

    found: tuple[StoredObject, ...]
    revision: int
    errors: tuple[str, ...] = ()


class Page(NamedTuple):
    """A page of a listing; `after` continues it, empty on the last page."""

    listing: Listing
    after: str


class Change(NamedTuple):
    """A change of one object; `is_deleted` if it was deleted."""

    stored: StoredObject
    is_deleted: bool


class Changes(NamedTuple):
    """Changes in order, perhaps none, and the revision to watch from.

    Attributes:
        changes: Changes of objects that could be decoded.
        revision: Revision of the store.
        errors: Decoding errors of values, and of the other changes.
        is_complete: Whether there were no other changes.
    """

    changes: tuple[Change, ...]
    revision: int
    errors: tuple[str, ...] = ()
    is_complete: bool = True
