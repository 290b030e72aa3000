"""Records and errors of the platform's object API."""

from typing import NamedTuple

MAX_VALUE = 1024 * 1024


class Object(NamedTuple):
    """One object.

    Attributes:
        key: Its name; may hold slashes.
        version: Revision of the store at its last write.
        value: Its bytes, at most `MAX_VALUE`.
    """

    key: str
    version: int
    value: bytes


class Listed(NamedTuple):
    """One line of a listing."""

    key: str
    version: int


class Listing(NamedTuple):
    """The keys under a prefix.

    Attributes:
        revision: Revision of the store when it was listed; a watch from
            there on misses nothing.
        entries: Keys with their versions, sorted by key.
    """

    revision: int
    entries: tuple[Listed, ...]


class Change(NamedTuple):
    """One change that a watch reports.

    Attributes:
        key: The object's name.
        version: Revision of the store at this change.
        deleted: Whether the object was deleted.
        value: The new bytes; None when deleted or too large to be carried,
            in which case the object must be read.
    """

    key: str
    version: int
    deleted: bool
    value: bytes | None = None


class WatchBatch(NamedTuple):
    """What a watch returned: changes in order, or none after its wait."""

    revision: int
    changes: tuple[Change, ...]


class CallCount(NamedTuple):
    """Calls of one kind that were made, and the bytes they carried."""

    calls: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class ObjectApiError(Exception):
    """A call of the object API failed."""


class ConflictError(ObjectApiError):
    """The object has another version than expected; nothing was written."""

    def __init__(self, current_version: int) -> None:
        """Keep the present version, 0 where there is no object."""
        super().__init__(f'present version is {current_version}')
        self.current_version = current_version


class UnavailableError(ObjectApiError):
    """The call surely had no effect; it may be made again."""


class RateLimitedError(UnavailableError):
    """Too many calls; this one had no effect."""

    def __init__(self, retry_after_s: float) -> None:
        """Keep when a call can succeed again."""
        super().__init__(f'rate limited, retry after {retry_after_s} s')
        self.retry_after_s = retry_after_s


class UncertainError(ObjectApiError):
    """The call may or may not have taken effect; read before repeating."""


class TooLargeError(ObjectApiError):
    """The value is over the store's bound; nothing was written."""


class CompactedError(ObjectApiError):
    """The store no longer has the changes since that revision.

    The watcher lists and reads anew, then watches from the listing on.
    """
