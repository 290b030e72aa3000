"""Garbage collection of parts that no revision in the history uses.

Two things must not happen: that a reader of an old root finds its parts
deleted, and that a concurrent apply activates a root whose parts were deleted.
Against the first, a part is deleted only after it was unused for a whole
window. An apply can be paused for longer than that between writing its parts
and writing its root. So the root is rewritten unchanged before any delete:
every apply that read it before then fails on its condition and writes its
parts again. These get new versions, and a delete is conditional on the
version that was listed.
"""

from typing import NamedTuple

from absl import logging

from beryllug.core import config_root, document_parts
from beryllug.drivers import config_store, object_api, object_data

WINDOW_S = 600.0


class _Unused(NamedTuple):
    """The version of an unused part, and since when it is unused."""

    version: int
    since: float


class PartCollector:
    """Tracks unused parts and deletes them after the window."""

    def __init__(
        self,
        store: config_store.ConfigStore,
        api: object_api.ObjectApi,
        window_s: float = WINDOW_S,
    ) -> None:
        """Create a collector that has not seen any unused part yet."""
        self._store = store
        self._api = api
        self._window_s = window_s
        self._unused: dict[str, _Unused] = {}

    async def collect(self, now: float) -> int:
        """Find unused parts and delete those unused for the window.

        Args:
            now: Seconds of the monotonic clock.

        Returns:
            The number of deleted parts.

        Raises:
            ObjectApiError: The platform is unavailable; no used part is lost.
        """
        current = await self._store.read_root()
        used = await self._used_keys(current.root)
        listing = await self._api.list_keys(document_parts.PREFIX)
        self._update_unused(listing.entries, used, now)
        due = {
            key: unused.version
            for key, unused in self._unused.items()
            if now - unused.since >= self._window_s
        }
        if not due:
            return 0
        raw = config_root.encode(current.root)
        written = await self._api.write(config_root.KEY, raw, current.version)
        self._store.record_version(written)
        return await self._delete(due)

    def _update_unused(
        self,
        entries: tuple[object_data.Listed, ...],
        used: set[str],
        now: float,
    ) -> None:
        """Record since when each part is unused at its current version."""
        unused: dict[str, _Unused] = {}
        for key, version in entries:
            if key not in used:
                earlier = self._unused.get(key)
                is_same_version = (
                    earlier is not None and earlier.version == version
                )
                newly_unused = _Unused(version, now)
                unused[key] = (
                    earlier
                    if earlier is not None and is_same_version
                    else newly_unused
                )
        self._unused = unused

    async def _used_keys(self, root: config_root.Root) -> set[str]:
        manifests = [past.manifest for past in root.history]
        used = {*root.parts, *manifests}
        for listed in await self._store.parts.get(manifests):
            used.update(document_parts.read_manifest(listed))
        self._store.parts.retain_only((*root.parts, *manifests))
        return {document_parts.key_of(digest) for digest in used}

    async def _delete(self, due: dict[str, int]) -> int:
        deleted = 0
        for key, version in due.items():
            try:
                await self._api.delete(key, version)
            except object_data.ConflictError:
                # It was written again since, so an apply uses it.
                continue
            finally:
                self._unused.pop(key, None)
            deleted += 1
        logging.info('event=parts_collected deleted=%d', deleted)
        return deleted
