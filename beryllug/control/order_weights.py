"""One budget for all reads of the weight store that orders cause.

A load costs a read of ours, once for each version, and one of the engine that
loads. The store refuses what is above its rate, and a refused engine would
come up without its version, so loads wait here instead.
"""

import time
from typing import Any

from absl import logging

from beryllug.core import config_data, pace
from beryllug.drivers import weight_store

READS_PER_S = 2.0
BURST = 8
RETRY_S = 5.0


class Weights:
    """Admits loads at the rate of the budget."""

    def __init__(self, store: weight_store.WeightStore | None) -> None:
        """Bind to the store; without one only the rate is kept."""
        self._store = store
        self._pace = pace.Pace(1 / READS_PER_S, BURST)
        self._known: set[config_data.VersionRef] = set()
        self._missing: dict[config_data.VersionRef, float] = {}
        self._closed_until = float('-inf')

    async def admit(self, ref: config_data.VersionRef) -> bool:
        """Tell whether a version may be loaded now; spends the budget."""
        if ref not in self._known and not await self._check(ref):
            return False
        return self._spend()

    def dump(self) -> dict[str, Any]:
        """Return what the store said of versions."""
        now = time.monotonic()
        return {
            'known': sorted(self._known),
            'missing': sorted(self._missing),
            'closed_s': max(0.0, self._closed_until - now),
        }

    async def _check(self, ref: config_data.VersionRef) -> bool:
        """Ask whether the store has a version.

        An order to load one that it has not could only fail.
        """
        if self._store is None:
            return True
        asked_lately = time.monotonic() < self._missing.get(ref, 0)
        if asked_lately or not self._spend():
            return False
        try:
            found = await self._store.read(ref)
        except weight_store.RateLimitedError as exc:
            self._close(exc.retry_after_s)
        except weight_store.WeightStoreError as exc:
            logging.warning('event=weights_unread error=%s', exc)
            self._close(RETRY_S)
        else:
            self._note(ref, stored=found is not None)
        return ref in self._known

    def _note(self, ref: config_data.VersionRef, *, stored: bool) -> None:
        if stored:
            self._missing.pop(ref, None)
            self._known.add(ref)
            return
        logging.warning('event=weights_missing model=%s version=%s', *ref)
        self._missing[ref] = time.monotonic() + RETRY_S

    def _spend(self) -> bool:
        now = time.monotonic()
        if now < self._closed_until or pace.wait_s(self._pace, now) > 0:
            return False
        pace.spend(self._pace, now)
        return True

    def _close(self, wait_s: float) -> None:
        self._closed_until = time.monotonic() + wait_s
