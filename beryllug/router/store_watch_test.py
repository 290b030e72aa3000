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

LOOKED_S = 20.0


class _Refusing:
    """A store that refuses all calls and may ask to wait."""

    def __init__(self, retry_after_s: float) -> None:
        self.calls: list[float] = []
        self._retry_after_s = retry_after_s

    async def list_page(self, kind: str, after: str = '') -> NoReturn:
        self.calls.append(time.monotonic())
        raise object_data.RateLimitedError(self._retry_after_s)


class StoreWatchTest(virtual_time_test.VirtualTimeCase):
    """A store that answers, but refuses."""

    async def test_waits(self) -> None:
        """A store that asks to be left alone for a time is called on."""
        # Jitter and growth of the usual pauses give some dozen calls.
        table: tuple[tuple[float, int, int], ...] = (
            (0, 10, 200),
            (5, 2, 5),
            (1e300, 2, 3),
        )
        for retry_after_s, least, most in table:
            with self.subTest(retry_after_s):
                calls = await self._calls(retry_after_s)
                self.assertGreaterEqual(len(calls), least)
                self.assertLessEqual(len(calls), most)

    async def _calls(self, retry_after_s: float) -> list[float]:
        refusing = _Refusing(retry_after_s)
        api: Any = refusing
        lines = log_lines.LineWriter(os.open(os.devnull, os.O_WRONLY))
        follower = store_watch.Follower(_pass_over, _pass_over, _pass_over)
        watch = store_watch.StoreWatch(api, store.SERVERS, follower, lines)
        watch.start()
        await asyncio.sleep(LOOKED_S)
        await watch.stop()
        return refusing.calls


def _pass_over(*_: Any) -> None:
    """Take nothing."""


if __name__ == '__main__':
    unittest.main()
