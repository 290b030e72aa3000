"""Tests of reading and applying configurations in the object API."""

import asyncio
from unittest import IsolatedAsyncioTestCase, main, mock

import result

from beryllug.core import config_data, config_root, document_parts
from beryllug.drivers import config_store, object_data, object_fake_test
from beryllug.drivers import part_collector

FIRST = config_data.Document(
    accounts=(
        config_data.Account('a', ('0' * 64,), ()),
        config_data.Account('b', ('1' * 64,), ()),
    ),
    pools=(config_data.Pool('p', config_data.PoolKind.ENGINE, 4),),
)

WRITE_ROOT = f'write {config_root.KEY}'
READ_ROOT = f'read {config_root.KEY}'


def _weighted(weight: int) -> config_data.Document:
    account = FIRST.accounts[0]._replace(weight=weight)
    return FIRST._replace(accounts=(account, FIRST.accounts[1]))


class _StoreCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.api = object_fake_test.FakeObjects()
        self.store = config_store.ConfigStore(self.api)
        no_delay = mock.patch.object(config_store, 'RETRY_DELAY_S', 0)
        no_delay.start()
        self.addCleanup(no_delay.stop)

    async def apply(
        self,
        document: config_data.Document,
        expect: int,
        apply_id: str = '',
        author: str = 'ann',
    ) -> config_store.Outcome:
        """Apply with a new `ConfigStore`, as another process would."""
        store = config_store.ConfigStore(self.api)
        name = apply_id or f'{author}-{expect}'
        req = config_store.ApplyRequest(document, expect, author, name)
        return await store.apply(req, 1)

    async def document(self) -> config_data.Document:
        """Read the current configuration."""
        found = await config_store.ConfigStore(self.api).read()
        assert found is not None
        return found.document

    def revisions(self) -> list[int]:
        """Return the revisions in the history, latest first."""
        stored = self.api.stored[config_root.KEY]
        root = config_root.decode(stored.value)
        return [past.revision for past in root.history]


class ApplyTest(_StoreCase):
    """Outcomes of an apply, with faults of the store."""

    async def test_accepted(self) -> None:
        """A document is read back complete; a second one replaces it."""
        self.assertIsNone(await self.store.read())
        self.assertEqual(await self.apply(FIRST, 0), result.Ok(1))
        self.assertEqual(await self.document(), FIRST)
        self.assertEqual(await self.apply(_weighted(2), 1), result.Ok(2))
        self.assertEqual(await self.document(), _weighted(2))
        self.assertEqual(
            await self.store.document_of_revision(1),
            FIRST,
            'the history keeps it',
        )

    async def test_race(self) -> None:
        """Two operators apply against the same revision at once.

        Both documents are based on revision 1, and the second root write
        reaches the store after the first. If it succeeded, it would silently
        undo the first. It must return a conflict with the current revision,
        its author and its changes.
        """
        await self.apply(FIRST, 0)

        self.api.before_write = self._overtake
        outcome = await self.apply(_weighted(2), 1, author='ann')
        refusal = outcome.unwrap_err()
        assert isinstance(refusal, config_store.Conflict)
        self.assertEqual((refusal.revision, refusal.author), (2, 'bob'))
        paths = [found.path for found in refusal.differences]
        self.assertEqual(paths, ['accounts[a].weight'])
        self.assertEqual(await self.document(), _weighted(7))

    async def test_many_race(self) -> None:
        """Of many applies against one revision exactly one succeeds."""
        await self.apply(FIRST, 0)
        outcomes = await asyncio.gather(
            *(
                self.apply(_weighted(weight), 1, author=f'op{weight}')
                for weight in range(2, 10)
            )
        )
        succeeded = [outcome for outcome in outcomes if outcome.is_ok()]
        self.assertEqual(succeeded, [result.Ok(2)])
        self.assertEqual(self.revisions(), [2, 1])

    async def test_lost_answers(self) -> None:
        """The response to a write is lost, after or before its effect.

        The operator must not get a conflict with their own apply, and the
        document must not be applied twice. The root is read again: if it has
        the apply's id, the write took effect; otherwise the conditional write
        is repeated, and fails if the first one arrives late.
        """
        await self.apply(FIRST, 0)
        revision = 1
        for title, lose, drop in (
            ('effect', [WRITE_ROOT], []),
            ('no effect', [], [WRITE_ROOT]),
            ('effect twice', [WRITE_ROOT, WRITE_ROOT], []),
            ('both', [WRITE_ROOT], [WRITE_ROOT]),
            ('and the re-read after it', [WRITE_ROOT, READ_ROOT], [READ_ROOT]),
        ):
            with self.subTest(title):
                self.api.lost_responses = list(lose)
                self.api.lost_requests = list(drop)
                outcome = await self.apply(_weighted(revision + 1), revision)
                revision += 1
                self.assertEqual(outcome, result.Ok(revision))
                self.assertEqual(self.revisions()[0], revision)

    async def test_lost_and_overtaken(self) -> None:
        """The response is lost, and another apply follows before the read.

        The first apply took effect as revision 2, which is no longer the
        current one. A check of the current revision alone would report a
        conflict.
        """
        await self.apply(FIRST, 0)
        store = config_store.ConfigStore(self.api)
        self.api.lost_responses = [WRITE_ROOT]
        req = config_store.ApplyRequest(_weighted(2), 1, 'ann', 'ann-1')
        applying = asyncio.create_task(store.apply(req, 1))
        while self.revisions()[0] < 2:
            await asyncio.sleep(0)
        self.assertEqual(await self.apply(_weighted(3), 2), result.Ok(3))
        self.assertEqual(await applying, result.Ok(2))

    async def test_repeat(self) -> None:
        """A second apply with the same apply id has no further effect."""
        await self.apply(FIRST, 0, apply_id='one')
        outcome = await self.apply(FIRST, 0, apply_id='one')
        self.assertEqual(outcome, result.Ok(1))
        self.assertEqual(self.revisions(), [1])

    async def test_forgotten(self) -> None:
        """A retry that the history no longer covers is uncertain."""
        for revision in range(config_root.HISTORY + 2):
            await self.apply(_weighted(revision + 1), revision)
        outcome = await self.apply(_weighted(1), 0, apply_id='old')
        self.assertIsInstance(outcome.unwrap_err(), config_store.Uncertain)

    async def test_down(self) -> None:
        """Without the platform nothing is applied, which is reported."""
        self.api.down = True
        outcome = await self.apply(FIRST, 0)
        self.assertIsInstance(outcome.unwrap_err(), config_store.Unavailable)

    async def test_lost_then_down(self) -> None:
        """A response is lost and the store stays down: uncertain."""
        await self.apply(FIRST, 0)

        self.api.before_write = self._lose_root
        outcome = await self.apply(_weighted(2), 1, apply_id='x')
        refusal = outcome.unwrap_err()
        assert isinstance(refusal, config_store.Uncertain)
        self.assertEqual(refusal.apply_id, 'x')

    async def _overtake(self, key: str) -> None:
        await self.apply(_weighted(7), 1, author='bob')

    async def _lose_root(self, key: str) -> None:
        if key == config_root.KEY:
            self.api.down = True
            raise object_data.UncertainError('lost')
        self.api.before_write = self._lose_root


class StaleTest(_StoreCase):
    """Reads from a lagging replica of the store."""

    async def test_never_older(self) -> None:
        """A read is served by a replica that has not seen the last write.

        Accepting it would activate the previous revision again, including
        model versions withdrawn since. A `ConfigStore` that has seen a newer
        version of the root rejects the older one.
        """
        await self.apply(FIRST, 0)
        old = dict(self.api.stored)
        await self.apply(_weighted(2), 1)
        await self.store.read()
        self.api.replica = old
        with self.assertRaises(object_data.UnavailableError):
            await self.store.read()
        self.api.replica = None
        self.assertEqual(await self.document(), _weighted(2))

    async def test_apply(self) -> None:
        """An apply against a revision that the replica hasn't seen yet.

        It must wait for the replica to catch up instead of reporting a
        conflict with a revision that the operator has seen replaced.
        """
        await self.apply(FIRST, 0)
        self.api.replica = dict(self.api.stored)
        await self.apply(_weighted(2), 1, apply_id='two')
        applying = asyncio.create_task(self.apply(_weighted(3), 2))
        while self.api.calls['read'] < 4:
            await asyncio.sleep(0)
        self.api.replica = None
        self.assertEqual(await applying, result.Ok(3))


class PartsTest(_StoreCase):
    """Writing, reading and garbage collection of parts."""

    async def test_only_changes(self) -> None:
        """A change of one account of many writes and reads one part."""
        accounts = tuple(
            config_data.Account(f'account-{number}', (f'{number:064}',), ())
            for number in range(5000)
        )
        large = FIRST._replace(accounts=accounts)
        await self.apply(large, 0)
        await self.store.read()
        self.assertGreater(len(self.store.parts.cached), 10)
        self.api.calls.clear()
        changed = (*accounts[:-1], accounts[-1]._replace(weight=3))
        await self.apply(large._replace(accounts=changed), 1)
        self.assertEqual(self.api.calls['write'], 3, 'part, manifest, root')
        self.api.calls.clear()
        found = await self.store.read()
        assert found is not None
        self.assertEqual(found.document.accounts, changed)
        self.assertEqual(self.api.calls['read'], 2, 'root and part')

    async def test_damaged(self) -> None:
        """A part with corrupted bytes is rejected."""
        await self.apply(FIRST, 0)
        for key, stored in list(self.api.stored.items()):
            if key.startswith(document_parts.PREFIX):
                corrupted = stored.value.replace(b'0', b'1')
                self.api.stored[key] = stored._replace(value=corrupted)
        with self.assertRaises(object_data.ObjectApiError):
            await self.store.read()

    async def test_collect(self) -> None:
        """Parts that no revision in the history uses are deleted."""
        collector = part_collector.PartCollector(self.store, self.api, 60)
        last = config_root.HISTORY + 4
        for revision in range(last):
            await self.apply(_weighted(revision + 1), revision)
        before = len(self.api.stored)
        self.assertEqual(await collector.collect(0), 0)
        self.assertEqual(await collector.collect(59), 0)
        # Four revisions dropped out of the history, each with a part and a
        # manifest.
        self.assertEqual(await collector.collect(60), 8)
        self.assertEqual(len(self.api.stored), before - 8)
        self.assertEqual(await self.document(), _weighted(last))
        oldest = last + 1 - config_root.HISTORY
        self.assertEqual(
            await self.store.document_of_revision(oldest), _weighted(oldest)
        )

    async def test_collect_during_apply(self) -> None:
        """A collector deletes the parts of an apply that is paused.

        The apply has written its parts and pauses for longer than the window
        right before it writes the root. No root uses the parts, so they are
        deleted. If the root were then written, no reader could build that
        configuration. The collector rewrites the root first, so the apply
        fails on its condition and writes the parts again.
        """
        await self.apply(FIRST, 0)
        self.collector = part_collector.PartCollector(self.store, self.api, 60)
        self.api.before_write = self._collect
        self.assertEqual(await self.apply(_weighted(2), 1), result.Ok(2))
        self.assertEqual(await self.document(), _weighted(2))

    async def _collect(self, key: str) -> None:
        if key == config_root.KEY:
            await self.collector.collect(0)
            self.assertEqual(await self.collector.collect(60), 2)
        else:
            self.api.before_write = self._collect


if __name__ == '__main__':
    main()
