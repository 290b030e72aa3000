"""Records and errors of the platform's object API."""

from typing import NamedTuple

MAX_VALUE = 1024 * 1024


class Object(NamedTuple):
    """One object.

    Attributes:
        key: Its name; may contain slashes.
        version: Revision of the store at its last write.
        value: Its bytes, at most `MAX_VALUE`.
    """

    key: str
    version: int
    value: bytes


class Listed(NamedTuple):
    """A key of a listing and its version."""

    key: str
    version: int


class Listing(NamedTuple):
    """The keys under a prefix.

    Attributes:
        revision: Revision of the store when it was listed; a watch from
            there misses no change.
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
        value: The new bytes; None if deleted, or if they are too large for
            the watch, in which case the object must be read.
    """

    key: str
    version: int
    deleted: bool
    value: bytes | None = None


class WatchBatch(NamedTuple):
    """Changes of a watch in order; empty if its wait time ran out."""

    revision: int
    changes: tuple[Change, ...]


class CallCount(NamedTuple):
    """Calls of one kind so far, their failures and body bytes."""

    calls: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class ObjectApiError(Exception):
    """A call to the object API failed."""


class ConflictError(ObjectApiError):
    """The object has another version than expected; nothing was written."""

    def __init__(self, current_version: int) -> None:
        """Keep the current version, 0 if there is no object."""
        super().__init__(f'current version is {current_version}')
        self.current_version = current_version


class NotFoundError(ObjectApiError):
    """There is no such object."""


class UnavailableError(ObjectApiError):
    """The call certainly had no effect; it may be retried."""


class RateLimitedError(UnavailableError):
    """Too many calls; this one had no effect."""

    def __init__(self, retry_after_s: float) -> None:
        """Keep the seconds until a call can succeed again."""
        super().__init__(f'rate limited, retry after {retry_after_s} s')
        self.retry_after_s = retry_after_s


class UncertainError(ObjectApiError):
    """The call may have taken effect; read the object before a retry."""


class TooLargeError(ObjectApiError):
    """The value exceeds the store's limit; nothing was written."""


class CompactedError(ObjectApiError):
    """The store no longer has the changes since that revision.

    The watcher lists and reads again, then watches from that listing.
    """
