"""Contract tests of the object API, run against the stand-in."""

import asyncio
import unittest
from collections.abc import Awaitable
from typing import Any

from beryllug.drivers import http_client, object_api, object_data
from beryllug.standins import object_api as standin

TIMEOUT_S = 2.0


async def _failure(call: Awaitable[Any]) -> Any:
    try:
        return await call
    except object_data.ObjectApiError as exc:
        return exc


class ObjectApiContract:
    """Contract of any implementation, as a mixin for test cases."""

    api: object_api.ObjectApi

    async def test_versions(self: Any) -> None:
        """Versions increase across all keys and guard conditional writes."""
        first = await self.api.write('a/b c', b'1', 0)
        second = await self.api.write('a/d', b'2', None)
        third = await self.api.write('a/b c', b'3', first)
        self.assertLess(first, second)
        self.assertLess(second, third)
        found = await self.api.read('a/b c')
        self.assertEqual(found, object_data.Object('a/b c', third, b'3'))
        self.assertIsNone(await self.api.read('a'))

    async def test_conflicts(self: Any) -> None:
        """A version conflict has no effect and returns the current version."""
        version = await self.api.write('k', b'1', 0)
        cases = (
            ('exists', self.api.write('k', b'2', 0), version),
            ('old', self.api.write('k', b'2', version + 1), version),
            ('absent', self.api.write('other', b'2', 1), 0),
            ('delete old', self.api.delete('k', version + 1), version),
            ('delete absent', self.api.delete('other', None), 0),
        )
        for title, call, current in cases:
            with self.subTest(title):
                exc = await _failure(call)
                self.assertIsInstance(exc, object_data.ConflictError)
                self.assertEqual(exc.current_version, current)
        found = await self.api.read('k')
        self.assertEqual(found.value, b'1')

    async def test_too_large(self: Any) -> None:
        """A value of one megabyte is accepted and a larger one rejected."""
        size = object_data.MAX_VALUE
        await self.api.write('k', bytes(size), 0)
        with self.assertRaises(object_data.TooLargeError):
            await self.api.write('k', bytes(size + 1), None)

    async def test_list(self: Any) -> None:
        """A listing has the keys under the prefix and the revision."""
        await self.api.write('p/2', b'', 0)
        await self.api.write('p/1', b'', 0)
        await self.api.write('q', b'', 0)
        await self.api.delete('p/2', None)
        listing = await self.api.list_keys('p/')
        self.assertEqual([line.key for line in listing.entries], ['p/1'])
        batch = await self.api.watch('', listing.revision, 0)
        self.assertEqual(batch.changes, ())

    async def test_watch(self: Any) -> None:
        """A watch returns each change once, in order, without large values."""
        began = (await self.api.list_keys('')).revision
        await self.api.write('w/a', b'1', 0)
        await self.api.write('other', b'1', 0)
        await self.api.write('w/b', bytes(70000), 0)
        await self.api.delete('w/a', None)
        batch = await self.api.watch('w/', began, 0)
        seen = [(change.key, change.deleted) for change in batch.changes]
        expected = [('w/a', False), ('w/b', False), ('w/a', True)]
        self.assertEqual(seen, expected)
        self.assertEqual(batch.changes[0].value, b'1')
        self.assertIsNone(batch.changes[1].value)
        again = await self.api.watch('w/', batch.revision, 0)
        self.assertEqual(again.changes, ())

    async def test_waiting_watch(self: Any) -> None:
        """A waiting watch wakes on a change under its prefix only."""
        began = (await self.api.list_keys('')).revision
        waiting = asyncio.create_task(self.api.watch('w/', began, TIMEOUT_S))
        await self.api.write('other', b'', 0)
        self.assertFalse(waiting.done())
        version = await self.api.write('w/a', b'1', 0)
        batch = await waiting
        self.assertEqual(batch.changes[0].version, version)


class StandInTest(ObjectApiContract, unittest.IsolatedAsyncioTestCase):
    """The stand-in fulfils the contract and injects faults."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in."""
        self.standin = standin.stand_in()
        address = await self.standin.start()
        self.client = http_client.HttpClient()
        self.api = object_api.HttpObjectApi(self.client, address, TIMEOUT_S)

    async def asyncTearDown(self) -> None:
        """Stop the stand-in."""
        await self.client.close()
        await self.standin.stop()

    async def test_faults(self) -> None:
        """The error of a failed write shows whether it may have taken effect.

        The store or the connection fails at one step of a write. The caller
        gets UnavailableError only if nothing can have been written. If the
        response was lost after the effect, it gets UncertainError and finds
        the value by reading it back.
        """
        certain = object_data.UnavailableError
        unsure = object_data.UncertainError
        cases: tuple[tuple[dict[str, Any], type[Exception], bool], ...] = (
            ({'refuse': True}, certain, False),
            ({'unavailable': True}, certain, False),
            ({'reset_before_run': True}, unsure, False),
            ({'drop_answer': True}, unsure, True),
            ({'drop_answer': True, 'hard_reset': True}, unsure, True),
            ({'reset_at_byte': 3}, unsure, True),
            ({'answer_delay_s': 60.0}, unsure, True),
            ({'error_rate': 1.0}, unsure, False),
        )
        self.api = object_api.HttpObjectApi(
            self.client, self.standin.address, 0.2
        )
        for fault_settings, expected, wrote in cases:
            with self.subTest(str(fault_settings)):
                await self._put_faults(fault_settings)
                with self.assertRaises(expected):
                    await self.api.write(str(fault_settings), b'1', 0)
                await self._put_faults({})
                found = await self.api.read(str(fault_settings))
                self.assertEqual(found is not None, wrote)

    async def test_stale(self) -> None:
        """A stale replica returns old versions; writes use current ones."""
        version = await self.api.write('k', b'1', 0)
        self.standin.put_faults(stale=True)
        newer = await self.api.write('k', b'2', version)
        stale = await self.api.read('k')
        self.assertEqual(stale and stale.version, version)
        self.standin.put_faults()
        fresh = await self.api.read('k')
        self.assertEqual(fresh and fresh.version, newer)

    async def test_rate(self) -> None:
        """Calls over the rate limit are rejected and have no effect."""
        cfg = standin.ObjectApiCfg(writes_per_s=2)
        slow = standin.stand_in(cfg)
        address = await slow.start()
        self.addAsyncCleanup(slow.stop)
        api = object_api.HttpObjectApi(self.client, address, TIMEOUT_S)
        await api.write('1', b'', 0)
        await api.write('2', b'', 0)
        exc = await _failure(api.write('3', b'', 0))
        self.assertIsInstance(exc, object_data.RateLimitedError)
        self.assertGreater(exc.retry_after_s, 0)
        self.assertIsNone(await api.read('3'))
        self.assertEqual(api.counts['write'].calls, 3)
        self.assertEqual(api.counts['write'].failures, 1)

    async def test_only(self) -> None:
        """Faults can be restricted to the next call of one kind."""
        self.standin.put_faults(only='PUT ', times=1, unavailable=True)
        self.assertIsNone(await self.api.read('k'))
        with self.assertRaises(object_data.UnavailableError):
            await self.api.write('k', b'', 0)
        await self.api.write('k', b'', 0)

    async def _put_faults(self, fault_settings: dict[str, Any]) -> None:
        self.standin.put_faults(**fault_settings)
        await self.standin.settle()


if __name__ == '__main__':
    unittest.main()
