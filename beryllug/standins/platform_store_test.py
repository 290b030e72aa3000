"""Tests of the object store client, run against the stand-in."""

import asyncio
import unittest

from beryllug.core import stamps
from beryllug.drivers import http_client, http_data, object_data
from beryllug.platform import store
from beryllug.router import store_listing
from beryllug.standins import platform_store


LIMIT_BYTES = 3000


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Store calls and their failures."""

    async def asyncSetUp(self) -> None:
        self.stand_in = platform_store.stand_in(
            platform_store.PlatformStoreCfg(page=2)
        )
        party = self.stand_in.service_behaviour
        assert isinstance(party, platform_store.PlatformStore)
        self.party = party
        address = await self.stand_in.start()
        self.client = http_client.HttpClient()
        self.api = store.Store(self.client, address, 1)

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.stand_in.stop()

    async def test_pages(self) -> None:
        """A list is read page by page until there are no further names."""
        for name in ('a', 'b', 'c'):
            self.party.put('servers', name, {'x': name})
        first = await self.api.list_page('servers')
        last = await self.api.list_page('servers', first.after)
        names = [
            [each.name for each in page.listing.found] for page in (first, last)
        ]
        self.assertEqual(names, [['a', 'b'], ['c']])
        self.assertEqual((first.after, last.after), ('b', ''))
        self.assertEqual(last.listing.revision, self._stamp())

    async def test_watch(self) -> None:
        """A watch returns changes and removals in order, or none in time."""
        self.party.put('servers', 'a', {'x': 1})
        revision = self._stamp()
        self.party.put('servers', 'b', {'x': 2})
        self.party.remove('servers', 'a')
        changes = await self.api.watch('servers', revision, 1)
        seen = [(each.stored.name, each.is_deleted) for each in changes.changes]
        self.assertEqual(seen, [('b', False), ('a', True)])
        again = await self.api.watch('servers', changes.revision, 0.05)
        self.assertEqual(again.changes, ())

    async def test_status(self) -> None:
        """A status write fails if the object has changed since it was read."""
        self.party.put('rollouts', 'pool', {'target': 'v2'})
        revision = self._stamp()
        await self.api.set_status('rollouts', 'pool', revision, {'state': 'x'})
        self.assertEqual(self.party.status('rollouts', 'pool'), {'state': 'x'})
        with self.assertRaises(object_data.ConflictError):
            await self.api.set_status('rollouts', 'pool', revision, {})

    async def test_failures(self) -> None:
        """The error of a call shows whether it may have taken effect."""
        self.party.put('rollouts', 'pool', {'target': 'v2'})
        revision = self._stamp()
        table: tuple[tuple[dict[str, object], type[Exception]], ...] = (
            ({'refuse': True}, object_data.UnavailableError),
            ({'unavailable': True}, object_data.UnavailableError),
            ({'drop_answer': True}, object_data.UncertainError),
            ({'answer_delay_s': 3}, object_data.UncertainError),
        )
        for broken, expected in table:
            with self.subTest(broken):
                self.stand_in.put_faults(**broken)
                await self.stand_in.settle()
                with self.assertRaises(expected):
                    await self.api.set_status('rollouts', 'pool', revision, {})
                self.stand_in.put_faults()
                await self.stand_in.settle()

    async def test_large_changes(self) -> None:
        """A watch fails for good, as its changes exceed the answer's limit.

        Another writer stores a few entries of the largest size at once.
        """
        limits = http_data.AnswerLimits(LIMIT_BYTES, 2 * LIMIT_BYTES)
        client = http_client.HttpClient(limits=limits)
        self.addAsyncCleanup(client.close)
        api = store.Store(client, self.stand_in.address, 1)
        revision = (await api.list_page('servers')).listing.revision
        for name in ('a', 'b', 'c'):
            self.party.put('servers', name, 'x' * (LIMIT_BYTES // 3))
        with self.assertRaises(object_data.CompactedError):
            await api.watch('servers', revision, 0.1)
        found = await store_listing.list_all(api, 'servers')
        self.assertEqual(len(found.found), 3)

    async def test_compacted(self) -> None:
        """A watch from before the compacted history raises CompactedError."""
        self.party.put('servers', 'a', {})
        self.party.put('servers', 'b', {})
        self.party.compact()
        with self.assertRaises(object_data.CompactedError):
            await self.api.watch('servers', stamps.stamp(1, 1), 0.1)

    async def test_restored(self) -> None:
        """A revision reused after a restore is not taken for the old one."""
        copy = self.party.take_snapshot()
        self.party.put('rollouts', 'pool', {'target': 'v2'})
        before = self._stamp()
        await self.api.list_page('rollouts')
        self.party.restore(copy)
        self.party.put('rollouts', 'pool', {'target': 'v3'})
        self.assertEqual(self.party.revision, stamps.revision(before))
        with self.assertRaises(object_data.CompactedError):
            await self.api.watch('rollouts', before, 0.1)
        with self.assertRaises(object_data.ConflictError):
            await self.api.set_status(
                'rollouts', 'pool', before, {'state': 'x'}
            )
        self.assertIsNone(self.party.status('rollouts', 'pool'))
        page = await self.api.list_page('rollouts')
        self.assertGreater(page.listing.revision, before)

    async def test_write_during_restore(self) -> None:
        """A write during a restore has an uncertain outcome."""
        copy = self.party.take_snapshot()
        self.party.put('rollouts', 'pool', {'target': 'v2'})
        before = self._stamp()
        await self.api.list_page('rollouts')
        self.party.restore(copy)
        self.party.put('rollouts', 'pool', {'target': 'v2'})
        self.api.eras.era = 1
        with self.assertRaises(object_data.UncertainError):
            await self.api.set_status(
                'rollouts', 'pool', before, {'state': 'x'}
            )

    async def test_list_across_restore(self) -> None:
        """A list that spans a restore raises CompactedError."""
        for name in ('a', 'b', 'c'):
            self.party.put('servers', name, {})
        copy = self.party.take_snapshot()
        listing = asyncio.create_task(
            store_listing.list_all(self.api, 'servers', 0.2)
        )
        while not self.party.calls:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.party.restore(copy)
        with self.assertRaises(object_data.CompactedError):
            await listing

    async def test_era(self) -> None:
        """Errors carry the era as well; an unreadable era is counted."""
        table: tuple[tuple[str, bool, int, int], ...] = (
            ('1', False, 1, 0),
            ('', False, 1, 0),
            ('2', True, 2, 0),
            ('soon', False, 2, 1),
            ('-3', False, 2, 2),
            ('9' * 21, False, 2, 3),
        )
        unreadable: list[str] = []
        self.api.eras.on_invalid = unreadable.append
        for reported, is_refused, era, count in table:
            with self.subTest(reported):
                self.party.reported_era = reported
                try:
                    await self._call(is_refused=is_refused)
                except object_data.ConflictError:
                    self.assertTrue(is_refused)
                self.assertEqual(self.api.eras.era, era)
                self.assertEqual(len(unreadable), count)
        self.party.reported_era = '1'
        with self.assertRaises(object_data.UncertainError):
            await self._call(is_refused=False)

    async def _call(self, *, is_refused: bool) -> None:
        if is_refused:
            self.party.put('made', 'a', {})
            await self.api.create('made', 'a', {})
        else:
            await self.api.list_page('servers')

    def _stamp(self) -> int:
        return stamps.stamp(self.party.era, self.party.revision)


if __name__ == '__main__':
    unittest.main()
