"""The platform is down and holds go on, at most once each.

Three control processes; the platform's store and each process's access to it
are cut as the cases need.
"""

import asyncio
import time
import unittest

from beryllug.control import lease_task, nodes_test, shards
from beryllug.core import journal_data, lease_data, outage, outage_data
from beryllug.drivers import methods

Kind = journal_data.GrantKind


class OutageCase(nodes_test.NodesCase):
    """Three nodes, the first of which owns the shard."""

    async def asyncSetUp(self) -> None:
        """Start the nodes and let the lease list its candidates."""
        await super().asyncSetUp()
        self.owner = await self.start_owner('1')
        self.second = await self.start_node('2')
        self.third = await self.start_node('3')
        await nodes_test.until(self.is_settled)

    async def outage(self) -> None:
        """Cut the platform off and wait until the owner is covered."""
        self.store.down = True
        await nodes_test.until(lambda: self.covered_s() > 0)

    def covered_s(self) -> float:
        """Return for how long the owner is covered by promises."""
        cover = self.owner.journal.dump()['0']['cover']
        covered: float = cover['covered_s']
        return covered

    def copies(self, node: nodes_test.Node) -> int:
        """Return how many copies a node keeps."""
        kept = node.journal.dump()['outage']['copies']
        return sum(kept.values())

    async def grant(self, name: str) -> journal_data.Row:
        """Have an intent granted by the owner."""
        row = nodes_test.intent(name, name)
        grant = await self.second.begin(row)
        self.assertEqual(grant.kind, Kind.GRANTED)
        self.assertGreater(grant.valid_s, 0)
        return row

    async def ask(self, node: nodes_test.Node, name: str) -> Kind:
        """Send a request again through another entry."""
        row = nodes_test.intent(f'{name}-again', name)
        grant = await node.begin(row._replace(entry='entry-2/boot'))
        return grant.kind

    def is_settled(self) -> bool:
        """Tell whether the lease lists both others and nothing unflushed."""
        content = self.lease()
        return len(content.candidates) == 2 and not content.unflushed

    def lease(self) -> lease_data.Lease:
        """Return the lease as the platform holds it."""
        stored = self.store.kept[lease_task.PREFIX + shards.lease_name(0)]
        return lease_task.decode(stored.value)


class GoOnTest(OutageCase):
    """The owner lives through the outage."""

    async def test_holds_go_on(self) -> None:
        """Guests hold slots while the platform is down.

        Each hold is granted once, a resend learns of the first try and of
        its answer, and when the platform is back every row is written once
        and the copies are dropped.
        """
        before = await self.grant('before')
        await self.outage()
        row = await self.grant('one')
        self.assertEqual(await self.ask(self.third, 'one'), Kind.RUNNING)
        self.assertFalse(await self.second.finish(nodes_test.outcome(row)))
        self.assertEqual(await self.ask(self.third, 'one'), Kind.FINISHED)
        self.assertEqual(await self.ask(self.third, 'before'), Kind.RUNNING)
        self.assertEqual(self.copies(self.second) + self.copies(self.third), 1)
        await asyncio.sleep(3 * self.sizes.lease_s)
        await self.grant('two')
        self.store.down = False
        await self.finish_at_last(self.second, nodes_test.outcome(row))
        await self.finish_at_last(self.second, nodes_test.outcome(before))
        await nodes_test.until(
            lambda: not self.copies(self.second) + self.copies(self.third)
        )
        await nodes_test.until(self.is_settled)
        self.assertTrue(self.owner.owns())
        self.assertEqual(
            sorted(self.log()),
            [
                ('done', 'before'),
                ('done', 'one'),
                ('intent', 'before'),
                ('intent', 'one'),
                ('intent', 'two'),
            ],
        )

    async def test_nobody_is_refused_at_the_start(self) -> None:
        """The first guests of an outage wait for promises, not long.

        Then a write hangs instead of failing: they are not refused either.
        """
        self.store.down = True
        await self.grant('one')
        self.store.down = False
        await nodes_test.until(lambda: ('intent', 'one') in self.log())
        for node in self.nodes:
            node.client.delay_s = 30
        start = time.monotonic()
        await self.grant('two')
        self.assertLess(time.monotonic() - start, 2)

    async def test_somebody_reaches_the_platform(self) -> None:
        """Only the owner is cut off: it must not go on, another takes over.

        A candidate that reaches the platform refuses to promise. The owner's
        guests are refused with "not run" until the lease has moved.
        """
        self.owner.client.cut = True
        row = nodes_test.intent('one')
        await nodes_test.until(lambda: not self.owner.holds())
        grant = await self.owner.begin(row)
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)
        await nodes_test.until(lambda: self.second.owns() or self.third.owns())
        grant = await self.second.begin(row)
        self.assertEqual(grant.kind, Kind.GRANTED)

    async def test_candidate_is_lost(self) -> None:
        """A candidate does not answer: it may reach the platform."""
        await self.outage()
        self.network.silent.add('127.0.0.1:3')
        await nodes_test.until(lambda: not self.covered_s())
        grant = await self.owner.begin(nodes_test.intent('one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)

    async def test_copy_takes_too_long(self) -> None:
        """The owner is paused while its intent is copied.

        It wakes when its cover has ended. Others may have taken the lease
        meanwhile, so it grants nothing.
        """
        await self.outage()
        self.network.held.update(('Copy', 'Promise'))
        asked = asyncio.create_task(self.owner.begin(nodes_test.intent('one')))
        await nodes_test.until(lambda: not self.covered_s())
        self.network.held.remove('Copy')
        self.assertEqual((await asked).kind, Kind.UNAVAILABLE)

    async def test_no_room_for_copies(self) -> None:
        """Copies are bounded; beyond, holds are refused as "not run"."""
        await self.outage()
        self.addCleanup(setattr, outage, 'MAX_COPIES', outage.MAX_COPIES)
        outage.MAX_COPIES = 2
        kinds = [
            (await self.owner.begin(nodes_test.intent(name, name))).kind
            for name in 'abcdef'
        ]
        self.assertEqual(kinds.count(Kind.GRANTED), 4)
        self.assertEqual(kinds.count(Kind.UNAVAILABLE), 2)


class OwnerLostTest(OutageCase):
    """The owner is killed in the outage."""

    async def test_owner_killed(self) -> None:
        """The owner dies with rows that the platform never got.

        When the platform is back another process takes the lease, gathers
        the copies and knows the key: its resend is told that the outcome is
        unknown, and never runs. The entry's outcome then ends it.
        """
        await self.outage()
        row = await self.grant('one')
        await self.owner.kill(self.network)
        self.store.down = False
        successor = await self._successor()
        self.assertEqual(await self.ask(successor, 'one'), Kind.UNKNOWN)
        await self.finish_at_last(successor, nodes_test.outcome(row))
        self.assertEqual(await self.ask(successor, 'one'), Kind.FINISHED)
        self.assertEqual(self.log(), [('intent', 'one'), ('done', 'one')])
        await self.grant_by(successor, 'other')

    async def test_taken_by_a_process_that_joined_later(self) -> None:
        """The platform is back and the owner dies before it has flushed.

        It renewed its lease first. The process that takes it joined after
        the outage and promised nothing, so only the lease itself tells it
        that there are copies to gather.
        """
        await self.outage()
        await self.grant('one')
        self.owner.client.gate.clear()
        for node in (self.second, self.third):
            node.client.cut = True
        fourth = await self.start_node('4')
        self.members.names = ['4']
        self.store.down = False
        await nodes_test.until(lambda: len(self.lease().candidates) == 3)
        await self.owner.kill(self.network)
        await nodes_test.until(fourth.owns)
        self.assertEqual(await self.ask(fourth, 'one'), Kind.UNKNOWN)

    async def test_copy_lost_too(self) -> None:
        """The owner and the process with the copy are both lost.

        Nobody knows the key any more. The new owner can't tell its resend
        from a new request, so for a time it refuses every key that it does
        not know, with "not run"; keys that it knows it answers.
        """
        known = await self.grant('known')
        await self.outage()
        await self.grant('one')
        keeper, last = self.second, self.third
        if self.copies(self.third):
            keeper, last = self.third, self.second
        await self.owner.kill(self.network)
        await keeper.kill(self.network)
        self.store.down = False
        await nodes_test.until(last.owns)
        self.assertEqual(await self.ask(last, 'one'), Kind.UNAVAILABLE)
        self.assertEqual(await self.ask(last, 'known'), Kind.UNKNOWN)
        await self.finish_at_last(last, nodes_test.outcome(known))
        self.assertEqual(await self.ask(last, 'known'), Kind.FINISHED)

    async def test_keeper_lost_first(self) -> None:
        """The process with the copy is lost, a while later the owner.

        The owner has had the intent copied anew meanwhile, so the last
        process knows the key.
        """
        await self.outage()
        await self.grant('one')
        keeper, last = self.second, self.third
        if self.copies(self.third):
            keeper, last = self.third, self.second
        await keeper.kill(self.network)
        await nodes_test.until(lambda: self.copies(last))
        await self.owner.kill(self.network)
        self.store.down = False
        await nodes_test.until(last.owns)
        self.assertEqual(await self.ask(last, 'one'), Kind.UNKNOWN)

    async def test_ordinary_takeover_asks_nobody(self) -> None:
        """Without an outage a new owner serves as soon as it has the lease.

        It promised nothing to the earlier owner, which therefore can't have
        granted anything from memory.
        """
        await self.grant('one')
        await self.owner.kill(self.network)
        self.network.calls.clear()
        successor = await self._successor()
        self.assertEqual(self.network.calls['Gather'], 0)
        self.assertEqual(await self.ask(successor, 'one'), Kind.UNKNOWN)
        await self.grant_by(successor, 'two')

    async def grant_by(self, node: nodes_test.Node, name: str) -> None:
        """Have an intent granted by a node."""
        grant = await node.begin(nodes_test.intent(name, name))
        self.assertEqual(grant.kind, Kind.GRANTED)

    async def _successor(self) -> nodes_test.Node:
        both = (self.second, self.third)
        await nodes_test.until(lambda: any(node.owns() for node in both))
        return self.second if self.second.owns() else self.third


class OldAuthorityTest(OutageCase):
    """A process that lost its lease unseen must not go on in an outage."""

    async def test_taker_lives(self) -> None:
        """The owner was cut off, its lease was taken, then all are cut off.

        The owner has not seen that it lost the lease. The process that took
        it does not promise to leave it alone.
        """
        taker = await self._take_over_unseen()
        await asyncio.sleep(3 * self.sizes.lease_s)
        grant = await self.owner.begin(nodes_test.intent('two', 'one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)
        self.assertEqual(await self.ask(taker, 'one'), Kind.RUNNING)

    async def test_taker_started_anew(self) -> None:
        """The process that took the lease is killed and started anew.

        It does not know that it took the lease, and promises in good faith.
        The owner's lease lists its earlier start, so it does not count.
        """
        taker = await self._take_over_unseen()
        await taker.kill(self.network)
        await self.restart_node(taker.name)
        await asyncio.sleep(3 * self.sizes.lease_s)
        grant = await self.owner.begin(nodes_test.intent('two', 'one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)

    async def _take_over_unseen(self) -> nodes_test.Node:
        """Let another take the lease and grant a key, then cut all off."""
        self.owner.client.cut = True
        self.third.client.cut = True
        await nodes_test.until(self.second.owns)
        await self.second.begin(nodes_test.intent('one'))
        grant = await self.second.begin(nodes_test.intent('one', 'one'))
        self.assertEqual(grant.kind, Kind.GRANTED)
        self.store.down = True
        self.owner.client.cut = False
        self.third.client.cut = False
        return self.second


class StrayCopyTest(OutageCase):
    """Copies of tries that were denied, and turn up late."""

    async def test_key_has_ended(self) -> None:
        """The copy's key was ended by another try long ago.

        Taken in as an open try it would end as NOT_RUN and free the key; a
        resend would run a second time.
        """
        row = await self.grant('one')
        await self.finish_at_last(self.owner, nodes_test.outcome(row))
        successor = await self._gather_stray(row)
        self.assertEqual(await self.ask(successor, 'one'), Kind.FINISHED)

    async def test_key_is_open(self) -> None:
        """Another try of the copy's key is open, and its entry lives."""
        row = await self.grant('one')
        successor = await self._gather_stray(row)
        self.assertEqual(await self.ask(successor, 'one'), Kind.RUNNING)
        await self.finish_at_last(successor, nodes_test.outcome(row))
        self.assertEqual(await self.ask(successor, 'one'), Kind.FINISHED)

    async def _gather_stray(self, row: journal_data.Row) -> nodes_test.Node:
        """Let a successor gather a stray copy, whose entry then ends it."""
        stray = row._replace(request_id='stray')
        ask = outage_data.CopyAsk(0, 1, (stray,))
        for name in '23':
            await self.network.call(f'127.0.0.1:{name}', methods.COPY, ask, 1)
        await self.outage()
        await self.owner.kill(self.network)
        self.store.down = False
        both = (self.second, self.third)
        await nodes_test.until(lambda: any(node.owns() for node in both))
        successor = self.second if self.second.owns() else self.third
        ended = nodes_test.outcome(stray, journal_data.OutcomeState.NOT_RUN)
        await self.finish_at_last(successor, ended)
        return successor


class StopTest(OutageCase):
    """Planned stops while something stands in memory only."""

    async def test_owner_stops(self) -> None:
        """The owner is stopped, can't flush, and its copy's keeper is lost.

        Its successor asks it while it still waits for the platform.
        """
        await self.outage()
        await self.grant('one')
        keeper, last = self.second, self.third
        if self.copies(self.third):
            keeper, last = self.third, self.second
        await keeper.kill(self.network)
        self.owner.client.cut = True
        self.store.down = False
        stopping = asyncio.create_task(self.owner.stop())
        await nodes_test.until(last.owns)
        self.assertEqual(await self.ask(last, 'one'), Kind.UNKNOWN)
        await stopping

    async def test_quarantined_owner_stops(self) -> None:
        """A process that refuses unknown keys is stopped, and hands over.

        The next one does not know the lost keys either and refuses too.
        """
        await self.outage()
        await self.grant('one')
        keeper, last = self.second, self.third
        if self.copies(self.third):
            keeper, last = self.third, self.second
        await self.owner.kill(self.network)
        await keeper.kill(self.network)
        self.store.down = False
        await nodes_test.until(last.owns)
        fresh = await self.restart_node(keeper.name)
        await last.stop()
        await nodes_test.until(fresh.owns)
        self.assertEqual(await self.ask(fresh, 'one'), Kind.UNAVAILABLE)


if __name__ == '__main__':
    unittest.main()
