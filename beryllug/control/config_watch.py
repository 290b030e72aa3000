"""Follows the configuration and the session keys in the platform.

One waiting watch at a time. Its wait is a part of the time after which this
process would count as cut off, so that a silent platform and a lost one are
told apart soon enough.
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
WAITS_A_CUT_OFF = 3
RETRY_S = 0.2
MAX_RETRY_S = 2.0
MAX_FAILURES = 8
STANDBY_S = 1.0
KEYS_S = 60.0
SECRET_BYTES = 32

_encode_keys = msgspec.json.Encoder().encode


class ConfigWatch:
    """Brings revisions and keys from the platform to the holder."""

    def __init__(
        self,
        holder: config_holder.ConfigHolder,
        api: object_api.ObjectApi,
        watches: Callable[[], bool],
        cut_off_s: float,
    ) -> None:
        """Make a watch; `run` and `run_keys` are its tasks.

        Args:
            holder: What this process holds.
            api: The platform's object API.
            watches: Tells whether this process is to watch now.
            cut_off_s: When a process that hears of nobody counts as cut off.
        """
        self.store = config_store.ConfigStore(api)
        self._holder = holder
        self._api = api
        self._watches = watches
        self._wait_s = min(MAX_WAIT_S, cut_off_s / WAITS_A_CUT_OFF)
        self._failures = 0
        self._after: int | None = None

    async def read(self) -> int:
        """Read and take what is in force; return the root's version.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        found = await self.store.read_root()
        self._heard()
        if found.root.revision > self._holder.held.revision:
            await self._take(found.root)
        return found.version

    async def run(self) -> None:
        """Follow the root without end."""
        while True:
            if not self._watches():
                await asyncio.sleep(STANDBY_S)
                continue
            try:
                await self._follow()
            except (object_data.ObjectApiError, ValueError) as exc:
                await self._back_off(exc)

    async def run_keys(self) -> None:
        """Read the session keys now and then, and renew them when due."""
        while True:
            if self._watches():
                try:
                    await self.tend_keys(time.time())
                except object_data.ObjectApiError as exc:
                    logging.warning('event=keys_unread error=%s', exc)
            fresh = self._holder.keys.version > 0
            await asyncio.sleep(KEYS_S if fresh else STANDBY_S)

    async def tend_keys(self, now: float) -> None:
        """Read the session keys; make a new one when it is due.

        Two processes that both find it due write on the same condition, so
        one key is made and the other process reads it.

        Args:
            now: Seconds of the wall clock.

        Raises:
            ObjectApiError: The platform can't be used.
        """
        stored = await self._api.read(token_keys.KEY)
        self._heard()
        version = stored.version if stored else 0
        if stored is not None:
            self._holder.take_keys(version, stored.value)
        listed = self._holder.keys.listed
        stale = version < self._holder.keys.version
        if stale or not token_keys.is_due(listed, now):
            return
        secret = os.urandom(SECRET_BYTES).hex()
        raw = _encode_keys(token_keys.renewed(listed, secret, now))
        try:
            written = await self._api.write(token_keys.KEY, raw, version)
        except object_data.ConflictError:
            # Another process made one; the next round reads it.
            return
        self._holder.take_keys(written, raw)

    async def _follow(self) -> None:
        if self._after is None:
            self._after = await self.read()
        while self._watches():
            try:
                self._after = await self._next(self._after)
            except object_data.CompactedError:
                self._after = None
                raise
            self._failures = 0

    async def _next(self, after: int) -> int:
        """Take the next change; return from where on to watch."""
        batch = await self._api.watch(config_root.KEY, after, self._wait_s)
        if batch.revision < after:
            # A replica that lags behind what was seen: no news comes here.
            raise object_data.UnavailableError('only stale answers')
        self._heard()
        for change in batch.changes[-1:]:
            await self._take_change(change)
        return batch.revision

    async def _take_change(self, change: object_data.Change) -> None:
        self.store.overtaken(change.version)
        if change.value is None:
            await self.read()
            return
        root = config_root.decode(change.value)
        if root.revision > self._holder.held.revision:
            await self._take(root)

    async def _take(self, root: config_root.Root) -> None:
        """Read the parts of a root that aren't held, and take it."""
        chunks = await self.store.parts.get(root.parts)
        self._heard()
        by_digest = dict(zip(root.parts, chunks))
        offered = config_state.hold(root.revision, by_digest, self._holder.held)
        if self._holder.take(offered, 'platform'):
            self.store.parts.keep_only(root.parts)

    async def _back_off(self, exc: Exception) -> None:
        """Wait before the next try, longer each time."""
        if not self._failures:
            logging.warning('event=config_watch_broken error=%s', exc)
        pause_s = min(RETRY_S * (1 << self._failures), MAX_RETRY_S)
        self._failures = min(self._failures + 1, MAX_FAILURES)
        await asyncio.sleep(pause_s)

    def _heard(self) -> None:
        self._holder.heard_platform(time.monotonic())
