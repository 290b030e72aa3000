"""In-memory object store of the object API stand-in."""

import collections
from collections.abc import Iterator

from beryllug.drivers import object_data

HISTORY = 20000


class ObjectStore:
    """Objects by key, with one revision counter and a change history."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 0
        self.conflicts = 0
        self._by_key: dict[str, object_data.Object] = {}
        self._history: collections.deque[object_data.Change] = (
            collections.deque(maxlen=HISTORY)
        )

    def copy(self) -> 'ObjectStore':
        """Return a copy of the current state, to serve as a stale replica."""
        replica = ObjectStore()
        replica.revision = self.revision
        replica._by_key = dict(self._by_key)
        replica._history = self._history.copy()
        return replica

    def read(self, key: str) -> object_data.Object | None:
        """Return an object, or None if it does not exist."""
        return self._by_key.get(key)

    def list_keys(self, prefix: str) -> object_data.Listing:
        """List the keys under a prefix."""
        entries = [
            object_data.Listed(key, stored.version)
            for key, stored in sorted(self._by_key.items())
            if key.startswith(prefix)
        ]
        return object_data.Listing(self.revision, tuple(entries))

    def write(self, key: str, value: bytes, expected: int | None) -> int:
        """Write an object if its version matches; None skips the check.

        Raises:
            ConflictError: The object has another version.
            TooLargeError: The value exceeds the size limit.
        """
        if len(value) > object_data.MAX_VALUE:
            raise object_data.TooLargeError(key)
        self._check_version(key, expected)
        self.revision += 1
        stored = object_data.Object(key, self.revision, value)
        self._by_key[key] = stored
        self._history.append(
            object_data.Change(key, self.revision, deleted=False, value=value)
        )
        return self.revision

    def delete(self, key: str, expected: int | None) -> int:
        """Delete an object if its version matches; None skips the check.

        Raises:
            ConflictError: The object has another version or is missing.
        """
        self._check_version(key, expected)
        if key not in self._by_key:
            raise object_data.ConflictError(0)
        self.revision += 1
        self._by_key.pop(key)
        self._history.append(
            object_data.Change(key, self.revision, deleted=True)
        )
        return self.revision

    def changes(self, prefix: str, after: int) -> object_data.WatchBatch:
        """Return the changes under a prefix after a revision.

        Raises:
            CompactedError: The history does not go back far enough.
        """
        oldest = self._history[0].version if self._history else 1
        if after + 1 < oldest:
            raise object_data.CompactedError(str(oldest))
        found = [
            change
            for change in self._changes_since(after)
            if change.key.startswith(prefix)
        ]
        found.reverse()
        return object_data.WatchBatch(self.revision, tuple(found))

    def stored(self) -> Iterator[object_data.Object]:
        """Yield every object."""
        return iter(self._by_key.values())

    def _changes_since(self, after: int) -> Iterator[object_data.Change]:
        for change in reversed(self._history):
            if change.version <= after:
                return
            yield change

    def _check_version(self, key: str, expected: int | None) -> None:
        stored = self._by_key.get(key)
        current = stored.version if stored else 0
        if expected is not None and expected != current:
            self.conflicts += 1
            raise object_data.ConflictError(current)
