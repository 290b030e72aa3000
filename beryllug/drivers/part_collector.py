"""Deletes parts that no remembered revision uses.

Two things must not happen: a reader that still reads an old root finds its
parts gone, and an apply that is under way puts a root in force whose parts
were deleted. Against the first, a part must have been unused for a whole
window. An apply can stand still for longer than that, between its parts and
its root; so the root is written over with itself before anything is deleted,
which makes every apply that read it before start anew and write its parts
again. What those write has a new version, and a delete is conditional on the
version that was listed.
"""

from typing import NamedTuple

from absl import logging

from beryllug.core import config_root, document_parts
from beryllug.drivers import config_store, object_api, object_data

WINDOW_S = 600.0


class _Unused(NamedTuple):
    """A part that no remembered revision uses."""

    version: int
    since: float


class PartCollector:
    """Remembers unused parts and deletes them after the window."""

    def __init__(
        self,
        store: config_store.ConfigStore,
        api: object_api.ObjectApi,
        window_s: float = WINDOW_S,
    ) -> None:
        """Make a collector that knows of no unused part yet."""
        self._store = store
        self._api = api
        self._window_s = window_s
        self._unused: dict[str, _Unused] = {}

    async def collect(self, now: float) -> int:
        """Look for unused parts and delete those that are due.

        Args:
            now: Seconds of the monotonic clock.

        Returns:
            How many parts were deleted.

        Raises:
            ObjectApiError: The platform can't be used; nothing is lost.
        """
        found = await self._store.read_root()
        used = await self._used(found.root)
        listing = await self._api.list_keys(document_parts.PREFIX)
        self._note(listing.entries, used, now)
        due = {
            key: unused.version
            for key, unused in self._unused.items()
            if now - unused.since >= self._window_s
        }
        if not due:
            return 0
        raw = config_root.encode(found.root)
        written = await self._api.write(config_root.KEY, raw, found.version)
        self._store.overtaken(written)
        return await self._delete(due)

    def _note(
        self,
        entries: tuple[object_data.Listed, ...],
        used: set[str],
        now: float,
    ) -> None:
        """Keep since when each part has been unused at its version."""
        unused: dict[str, _Unused] = {}
        for key, version in entries:
            if key not in used:
                seen = self._unused.get(key)
                same = seen is not None and seen.version == version
                fresh = _Unused(version, now)
                unused[key] = seen if seen is not None and same else fresh
        self._unused = unused

    async def _used(self, root: config_root.Root) -> set[str]:
        manifests = [past.manifest for past in root.history]
        used = {*root.parts, *manifests}
        for listed in await self._store.parts.get(manifests):
            used.update(document_parts.read_manifest(listed))
        self._store.parts.keep_only((*root.parts, *manifests))
        return {document_parts.key_of(digest) for digest in used}

    async def _delete(self, due: dict[str, int]) -> int:
        deleted = 0
        for key, version in due.items():
            try:
                await self._api.delete(key, version)
            except object_data.ConflictError:
                # Written again meanwhile, so an apply uses it now.
                continue
            finally:
                self._unused.pop(key, None)
            deleted += 1
        logging.info('event=parts_collected deleted=%d', deleted)
        return deleted
