"""Follows the configuration and the session keys in the platform.

It has one long poll open at a time. Its timeout is a fraction of the time
after which this process counts as cut off, so that an idle platform is told
from an unreachable one in time.
"""

import asyncio
import os
import time
from collections.abc import Callable

import msgspec
from absl import logging

from beryllug.control import config_holder
from beryllug.core import config_root, config_state, token_keys
from beryllug.drivers import config_store, object_api, object_data

MAX_WAIT_S = 25.0
WAITS_PER_CUT_OFF = 3
RETRY_S = 0.2
MAX_RETRY_S = 2.0
MAX_FAILURES = 8
STANDBY_POLL_S = 1.0
KEY_POLL_S = 60.0
SECRET_BYTES = 32

_encode_keys = msgspec.json.Encoder().encode


class ConfigWatch:
    """Updates the holder with revisions and keys from the platform."""

    def __init__(
        self,
        holder: config_holder.ConfigHolder,
        api: object_api.ObjectApi,
        watches: Callable[[], bool],
        cut_off_s: float,
    ) -> None:
        """Create a watch; `run` and `run_keys` are its tasks.

        Args:
            holder: The current configuration of this process.
            api: The platform's object API.
            watches: Tells whether this process is to watch now.
            cut_off_s: Seconds without contact to platform or peers after
                which a process counts as cut off.
        """
        self.store = config_store.ConfigStore(api)
        self._holder = holder
        self._api = api
        self._watches = watches
        self._wait_s = min(MAX_WAIT_S, cut_off_s / WAITS_PER_CUT_OFF)
        self._failures = 0
        self._after: int | None = None

    async def read(self) -> int:
        """Read the current configuration; return the root's version.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        found = await self.store.read_root()
        self._record_contact()
        if found.root.revision > self._holder.held.revision:
            await self._apply_root(found.root)
        return found.version

    async def run(self) -> None:
        """Follow the root without end."""
        while True:
            if not self._watches():
                await asyncio.sleep(STANDBY_POLL_S)
                continue
            try:
                await self._follow()
            except (object_data.ObjectApiError, ValueError) as exc:
                await self._back_off(exc)

    async def run_keys(self) -> None:
        """Read the session keys periodically and renew them when due."""
        while True:
            if self._watches():
                try:
                    await self.refresh_keys(time.time())
                except object_data.ObjectApiError as exc:
                    logging.warning('event=keys_unread error=%s', exc)
            has_keys = self._holder.keys.version > 0
            await asyncio.sleep(KEY_POLL_S if has_keys else STANDBY_POLL_S)

    async def refresh_keys(self, now: float) -> None:
        """Read the session keys; create a new one when it is due.

        If two processes find it due, both write on the condition of the same
        version, so one key is created and the other process reads it.

        Args:
            now: Seconds of the wall clock.

        Raises:
            ObjectApiError: The platform can't be used.
        """
        stored = await self._api.read(token_keys.KEY)
        self._record_contact()
        version = stored.version if stored else 0
        if stored is not None:
            self._holder.update_keys(version, stored.value)
        listed = self._holder.keys.listed
        stale = version < self._holder.keys.version
        if stale or not token_keys.is_due(listed, now):
            return
        secret = os.urandom(SECRET_BYTES).hex()
        raw = _encode_keys(token_keys.add_key(listed, secret, now))
        try:
            written = await self._api.write(token_keys.KEY, raw, version)
        except object_data.ConflictError:
            # Another process created one; the next poll reads it.
            return
        self._holder.update_keys(written, raw)

    async def _follow(self) -> None:
        if self._after is None:
            self._after = await self.read()
        while self._watches():
            try:
                self._after = await self._watch_once(self._after)
            except object_data.CompactedError:
                self._after = None
                raise
            self._failures = 0

    async def _watch_once(self, after: int) -> int:
        """Apply the latest change; return the revision to watch from."""
        batch = await self._api.watch(config_root.KEY, after, self._wait_s)
        if batch.revision < after:
            # A replica that is behind the last seen revision.
            raise object_data.UnavailableError('only stale answers')
        self._record_contact()
        for change in batch.changes[-1:]:
            await self._apply_change(change)
        return batch.revision

    async def _apply_change(self, change: object_data.Change) -> None:
        self.store.record_version(change.version)
        if change.value is None:
            await self.read()
            return
        root = config_root.decode(change.value)
        if root.revision > self._holder.held.revision:
            await self._apply_root(root)

    async def _apply_root(self, root: config_root.Root) -> None:
        """Read the missing parts of a root and apply it."""
        chunks = await self.store.parts.get(root.parts)
        self._record_contact()
        by_digest = dict(zip(root.parts, chunks))
        offered = config_state.build_config(
            root.revision, by_digest, self._holder.held
        )
        if self._holder.accept_if_newer(offered, 'platform'):
            self.store.parts.retain_only(root.parts)

    async def _back_off(self, exc: Exception) -> None:
        """Wait before the next try, longer each time."""
        if not self._failures:
            logging.warning('event=config_watch_broken error=%s', exc)
        pause_s = min(RETRY_S * (1 << self._failures), MAX_RETRY_S)
        self._failures = min(self._failures + 1, MAX_FAILURES)
        await asyncio.sleep(pause_s)

    def _record_contact(self) -> None:
        self._holder.record_platform_contact(time.monotonic())
