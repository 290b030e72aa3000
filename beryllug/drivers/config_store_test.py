"""Tests of the configuration in the platform."""

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


class _Case(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.api = object_fake_test.FakeObjects()
        self.store = config_store.ConfigStore(self.api)
        no_pause = mock.patch.object(config_store, 'PAUSE_S', 0)
        no_pause.start()
        self.addCleanup(no_pause.stop)

    async def apply(
        self,
        document: config_data.Document,
        expect: int,
        apply_id: str = '',
        author: str = 'ann',
    ) -> config_store.Outcome:
        """Apply through a store of its own, as another process would."""
        store = config_store.ConfigStore(self.api)
        name = apply_id or f'{author}-{expect}'
        req = config_store.Apply(document, expect, author, name)
        return await store.apply(req, 1)

    async def document(self) -> config_data.Document:
        """Read the configuration in force."""
        found = await config_store.ConfigStore(self.api).read()
        assert found is not None
        return found.document

    def revisions(self) -> list[int]:
        """Return the revisions that are remembered, latest first."""
        stored = self.api.stored[config_root.KEY]
        root = config_root.decode(stored.value)
        return [past.revision for past in root.history]


class ApplyTest(_Case):
    """What an apply does, and what it says when it can't."""

    async def test_accepted(self) -> None:
        """A document is read back whole; a second one replaces it."""
        self.assertIsNone(await self.store.read())
        self.assertEqual(await self.apply(FIRST, 0), result.Ok(1))
        self.assertEqual(await self.document(), FIRST)
        self.assertEqual(await self.apply(_weighted(2), 1), result.Ok(2))
        self.assertEqual(await self.document(), _weighted(2))
        self.assertEqual(
            await self.store.past(1), FIRST, 'the history keeps it'
        )

    async def test_race(self) -> None:
        """Two operators change the same revision at once.

        Both wrote their document against revision 1, and the second root
        write reaches the store after the first. Merged silently, the second
        would undo the first without either knowing. The second operator is
        told the revision, its author and what it changed.
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
        """Of many applies against one revision exactly one wins."""
        await self.apply(FIRST, 0)
        outcomes = await asyncio.gather(
            *(
                self.apply(_weighted(weight), 1, author=f'op{weight}')
                for weight in range(2, 10)
            )
        )
        won = [outcome for outcome in outcomes if outcome.is_ok()]
        self.assertEqual(won, [result.Ok(2)])
        self.assertEqual(self.revisions(), [2, 1])

    async def test_lost_answers(self) -> None:
        """The store's answer to a write is lost, after its effect or before.

        The operator must not see a conflict with himself, and the document
        must not be applied twice. The root is read again: the apply's id in
        it says that it took effect; without it the same conditional write
        is made again, which fails if the first one lands late.
        """
        await self.apply(FIRST, 0)
        revision = 1
        for title, lose, drop in (
            ('effect', [WRITE_ROOT], []),
            ('no effect', [], [WRITE_ROOT]),
            ('effect twice', [WRITE_ROOT, WRITE_ROOT], []),
            ('both', [WRITE_ROOT], [WRITE_ROOT]),
            ('and the look after it', [WRITE_ROOT, READ_ROOT], [READ_ROOT]),
        ):
            with self.subTest(title):
                self.api.lose = list(lose)
                self.api.drop = list(drop)
                outcome = await self.apply(_weighted(revision + 1), revision)
                revision += 1
                self.assertEqual(outcome, result.Ok(revision))
                self.assertEqual(self.revisions()[0], revision)

    async def test_lost_and_overtaken(self) -> None:
        """The answer is lost, and another operator applies before we look.

        Ours took effect as revision 2 and is no longer the present one. A
        look at the present revision alone would call that a conflict.
        """
        await self.apply(FIRST, 0)
        store = config_store.ConfigStore(self.api)
        self.api.lose = [WRITE_ROOT]
        req = config_store.Apply(_weighted(2), 1, 'ann', 'ann-1')
        applying = asyncio.create_task(store.apply(req, 1))
        while self.revisions()[0] < 2:
            await asyncio.sleep(0)
        self.assertEqual(await self.apply(_weighted(3), 2), result.Ok(3))
        self.assertEqual(await applying, result.Ok(2))

    async def test_repeat(self) -> None:
        """The same apply id again is the same apply."""
        await self.apply(FIRST, 0, apply_id='one')
        outcome = await self.apply(FIRST, 0, apply_id='one')
        self.assertEqual(outcome, result.Ok(1))
        self.assertEqual(self.revisions(), [1])

    async def test_forgotten(self) -> None:
        """A repeat that the history no longer covers is called uncertain."""
        for revision in range(config_root.HISTORY + 2):
            await self.apply(_weighted(revision + 1), revision)
        outcome = await self.apply(_weighted(1), 0, apply_id='old')
        self.assertIsInstance(outcome.unwrap_err(), config_store.Uncertain)

    async def test_down(self) -> None:
        """Without the platform nothing is in force, and that is said."""
        self.api.down = True
        outcome = await self.apply(FIRST, 0)
        self.assertIsInstance(outcome.unwrap_err(), config_store.Unavailable)

    async def test_lost_then_down(self) -> None:
        """An answer is lost and the store stays away: it can't be known."""
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


class StaleTest(_Case):
    """A replica of the store that lags behind."""

    async def test_never_older(self) -> None:
        """A read is served by a replica that has not seen the last write.

        Taking it would put the revision before in force again, with the
        version that was withdrawn since. A store that has seen a newer
        version of the root refuses the older answer.
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

        It must wait for the replica to catch up and not claim a conflict
        with a revision that the operator has seen overtaken.
        """
        await self.apply(FIRST, 0)
        self.api.replica = dict(self.api.stored)
        await self.apply(_weighted(2), 1, apply_id='two')
        applying = asyncio.create_task(self.apply(_weighted(3), 2))
        while self.api.calls['read'] < 4:
            await asyncio.sleep(0)
        self.api.replica = None
        self.assertEqual(await applying, result.Ok(3))


class PartsTest(_Case):
    """Parts: what is written, read and collected."""

    async def test_only_changes(self) -> None:
        """One changed account of many writes and reads one part more."""
        accounts = tuple(
            config_data.Account(f'account-{number}', (f'{number:064}',), ())
            for number in range(5000)
        )
        large = FIRST._replace(accounts=accounts)
        await self.apply(large, 0)
        await self.store.read()
        self.assertGreater(len(self.store.parts.kept), 10)
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
        """A part whose bytes changed is never taken for a configuration."""
        await self.apply(FIRST, 0)
        for key, stored in list(self.api.stored.items()):
            if key.startswith(document_parts.PREFIX):
                spoilt = stored.value.replace(b'0', b'1')
                self.api.stored[key] = stored._replace(value=spoilt)
        with self.assertRaises(object_data.ObjectApiError):
            await self.store.read()

    async def test_collect(self) -> None:
        """Parts that no remembered revision uses go, after the window."""
        collector = part_collector.PartCollector(self.store, self.api, 60)
        last = config_root.HISTORY + 4
        for revision in range(last):
            await self.apply(_weighted(revision + 1), revision)
        before = len(self.api.stored)
        self.assertEqual(await collector.collect(0), 0)
        self.assertEqual(await collector.collect(59), 0)
        # Four revisions left the history, each with a part and a manifest.
        self.assertEqual(await collector.collect(60), 8)
        self.assertEqual(len(self.api.stored), before - 8)
        self.assertEqual(await self.document(), _weighted(last))
        oldest = last + 1 - config_root.HISTORY
        self.assertEqual(await self.store.past(oldest), _weighted(oldest))

    async def test_collect_during_apply(self) -> None:
        """A collector deletes the parts of an apply that was paused.

        The apply has written its parts and stands still for longer than the
        window, right before it writes the root. No root uses the parts, so
        they are deleted. Were the root then put in force, no reader could
        build that configuration. The collector moves the root first, so the
        apply fails on its condition and writes the parts again.
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
