"""Tests of following the store, in virtual time."""

import asyncio
import os
import time
import unittest
from typing import Any, NoReturn

from beryllug.control import virtual_time_test
from beryllug.drivers import object_data
from beryllug.kernel import log_lines
from beryllug.platform import store
from beryllug.router import store_watch

OBSERVED_S = 20.0


class _RateLimitingStore:
    """A store that refuses all calls and may ask for a pause."""

    def __init__(self, retry_after_s: float) -> None:
        self.calls: list[float] = []
        self._retry_after_s = retry_after_s

    async def list_page(self, kind: str, after: str = '') -> NoReturn:
        self.calls.append(time.monotonic())
        raise object_data.RateLimitedError(self._retry_after_s)


class StoreWatchTest(virtual_time_test.VirtualTimeCase):
    """A store that answers, but refuses."""

    async def test_waits(self) -> None:
        """Retries wait as long as the store asks, up to a maximum."""
        # Without a requested pause, jitter and growth give a few dozen calls.
        table: tuple[tuple[float, int, int], ...] = (
            (0, 10, 200),
            (5, 2, 5),
            (1e300, 2, 3),
        )
        for retry_after_s, min_calls, max_calls in table:
            with self.subTest(retry_after_s):
                calls = await self._calls(retry_after_s)
                self.assertGreaterEqual(len(calls), min_calls)
                self.assertLessEqual(len(calls), max_calls)

    async def _calls(self, retry_after_s: float) -> list[float]:
        rate_limiting = _RateLimitingStore(retry_after_s)
        api: Any = rate_limiting
        lines = log_lines.LineWriter(os.open(os.devnull, os.O_WRONLY))
        follower = store_watch.Follower(_ignore, _ignore, _ignore)
        watch = store_watch.StoreWatch(api, store.SERVERS, follower, lines)
        watch.start()
        await asyncio.sleep(OBSERVED_S)
        await watch.stop()
        return rate_limiting.calls


def _ignore(*_: Any) -> None:
    """Ignore all callbacks."""


if __name__ == '__main__':
    unittest.main()
