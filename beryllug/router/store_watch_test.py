"""Tests of following the store, in virtual time."""

import asyncio
import itertools
import os
import time
from typing import Any, NoReturn
from unittest import main, mock

from beryllug.control import virtual_time_test
from beryllug.drivers import object_data, store_data
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


class _GrowingStore:
    """A store with one server in each list and one more in each watch."""

    def __init__(self) -> None:
        self.lists = 0
        self.watches = 0

    async def list_page(self, kind: str, after: str = '') -> store_data.Page:
        self.lists += 1
        listing = store_data.Listing((_stored(self.lists),), 1)
        return store_data.Page(listing, '')

    async def watch(self, kind: str, after: int, wait_s: float) -> Any:
        self.watches += 1
        await asyncio.sleep(1)
        change = store_data.Change(_stored(after + 1), is_deleted=False)
        return store_data.Changes((change,), after + 1)


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

    async def test_unexpected_error(self) -> None:
        """The servers are followed no more after an error nobody expected.

        One handler of a list and one of changes fail once; the kind is listed
        again, and changes are known as before.
        """
        for failing in ('listed', 'changed'):
            with self.subTest(failing):
                growing = _GrowingStore()
                handlers = {
                    'listed': mock.Mock(),
                    'changed': mock.Mock(),
                    'reached': mock.Mock(),
                }
                handlers[failing].side_effect = itertools.chain(
                    (OverflowError,), itertools.repeat(None)
                )
                with self.assertLogs(level='ERROR'):
                    await self._follow(growing, handlers)
                self.assertEqual(growing.lists, 2)
                self.assertGreaterEqual(handlers['changed'].call_count, 2)
                reached = [
                    each.args[0] for each in handlers['reached'].mock_calls
                ]
                self.assertEqual(reached.count(False), 1)

    async def _follow(
        self, growing: _GrowingStore, handlers: dict[str, mock.Mock]
    ) -> None:
        api: Any = growing
        watch = store_watch.StoreWatch(
            api, store.SERVERS, store_watch.Follower(**handlers), _lines()
        )
        watch.start()
        await asyncio.sleep(OBSERVED_S)
        self.assertTrue(watch.is_current)
        await watch.stop()

    async def _calls(self, retry_after_s: float) -> list[float]:
        rate_limiting = _RateLimitingStore(retry_after_s)
        api: Any = rate_limiting
        follower = store_watch.Follower(_ignore, _ignore, _ignore)
        watch = store_watch.StoreWatch(api, store.SERVERS, follower, _lines())
        watch.start()
        await asyncio.sleep(OBSERVED_S)
        await watch.stop()
        return rate_limiting.calls


def _lines() -> log_lines.LineWriter:
    return log_lines.LineWriter(os.open(os.devnull, os.O_WRONLY))


def _stored(revision: int) -> store_data.StoredObject:
    return store_data.StoredObject(
        f's{revision}', revision, {}, None, is_leaving=False
    )


def _ignore(*_: Any) -> None:
    """Ignore all callbacks."""


if __name__ == '__main__':
    main()
