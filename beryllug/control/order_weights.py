"""Rate limit for all reads of the weight store that orders cause.

A load causes one read by this process, once for each version, and one by the
engine. The store refuses reads above its rate limit, and an engine whose read
is refused would start without its version, so loads are delayed here instead.
"""

import time
from typing import Any

from absl import logging

from beryllug.core import config_data, pace
from beryllug.drivers import weight_store

READS_PER_S = 2.0
BURST = 8
RETRY_S = 5.0


class LoadLimiter:
    """Admits load orders at a bounded rate."""

    def __init__(self, store: weight_store.WeightStore | None) -> None:
        """Initialize; without a store only the rate is limited."""
        self._store = store
        self._limiter = pace.Pace(1 / READS_PER_S, BURST)
        self._known: set[config_data.VersionRef] = set()
        self._missing: dict[config_data.VersionRef, float] = {}
        self._backoff_until = float('-inf')

    async def admit(self, ref: config_data.VersionRef) -> bool:
        """Tell whether a version may be loaded now, and count the load."""
        if ref not in self._known and not await self._check(ref):
            return False
        return self._acquire()

    def dump(self) -> dict[str, Any]:
        """Return which versions the store has or lacks, and the backoff."""
        now = time.monotonic()
        return {
            'known': sorted(self._known),
            'missing': sorted(self._missing),
            'closed_s': max(0.0, self._backoff_until - now),
        }

    async def _check(self, ref: config_data.VersionRef) -> bool:
        """Read whether the store has a version.

        An order to load a version that the store lacks would only fail.
        """
        if self._store is None:
            return True
        missing_recently = time.monotonic() < self._missing.get(ref, 0)
        if missing_recently or not self._acquire():
            return False
        try:
            found = await self._store.read(ref)
        except weight_store.RateLimitedError as exc:
            self._back_off(exc.retry_after_s)
        except weight_store.WeightStoreError as exc:
            logging.warning('event=weights_unread error=%s', exc)
            self._back_off(RETRY_S)
        else:
            self._record(ref, stored=found is not None)
        return ref in self._known

    def _record(self, ref: config_data.VersionRef, *, stored: bool) -> None:
        if stored:
            self._missing.pop(ref, None)
            self._known.add(ref)
            return
        logging.warning('event=weights_missing model=%s version=%s', *ref)
        self._missing[ref] = time.monotonic() + RETRY_S

    def _acquire(self) -> bool:
        now = time.monotonic()
        if now < self._backoff_until or pace.wait_s(self._limiter, now) > 0:
            return False
        pace.spend(self._limiter, now)
        return True

    def _back_off(self, wait_s: float) -> None:
        self._backoff_until = time.monotonic() + wait_s
