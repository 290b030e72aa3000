"""Tests that holds are granted at most once in a platform outage.

Three control processes run; the tests cut the store of the platform, or the
access of single processes to it.
"""

import asyncio
import time
import unittest

from beryllug.control import lease_task, nodes_test, shards
from beryllug.core import journal_data, lease_data, outage, outage_data
from beryllug.drivers import methods

Kind = journal_data.GrantKind


class OutageCase(nodes_test.NodesCase):
    """Three nodes, of which the first owns the shard."""

    async def asyncSetUp(self) -> None:
        """Start the nodes and wait until the lease lists the candidates."""
        await super().asyncSetUp()
        self.owner = await self.start_owner('1')
        self.second = await self.start_node('2')
        self.third = await self.start_node('3')
        await nodes_test.wait_until(self.is_settled)

    async def outage(self) -> None:
        """Stop the store and wait until promises cover the owner."""
        self.store.down = True
        await nodes_test.wait_until(lambda: self.covered_s() > 0)

    def covered_s(self) -> float:
        """Return for how long promises cover the owner."""
        cover = self.owner.journal.dump()['0']['cover']
        covered: float = cover['covered_s']
        return covered

    def copies(self, node: nodes_test.Node) -> int:
        """Return the number of copies that a node keeps."""
        kept = node.journal.dump()['outage']['copies']
        return sum(kept.values())

    async def grant(self, name: str) -> journal_data.Row:
        """Begin an intent that the owner grants."""
        row = nodes_test.intent(name, name)
        grant = await self.second.begin(row)
        self.assertEqual(grant.kind, Kind.GRANTED)
        self.assertGreater(grant.valid_s, 0)
        return row

    async def ask(self, node: nodes_test.Node, name: str) -> Kind:
        """Resend a request through another entry."""
        row = nodes_test.intent(f'{name}-again', name)
        grant = await node.begin(row._replace(entry='entry-2/boot'))
        return grant.kind

    def is_settled(self) -> bool:
        """Tell whether the lease lists both others and no unflushed rows."""
        content = self.lease()
        return len(content.candidates) == 2 and not content.unflushed

    def lease(self) -> lease_data.Lease:
        """Return the lease that the platform stores."""
        stored = self.store.stored_objects[
            lease_task.PREFIX + shards.lease_name(0)
        ]
        return lease_task.decode(stored.value)


class OwnerAliveTest(OutageCase):
    """The owner stays alive during the outage."""

    async def test_holds_continue(self) -> None:
        """Holds are granted while the platform is down.

        Each hold is granted once, and a resend gets the state of the first
        attempt. After the outage every row is written once and the copies
        are dropped.
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
        await self.finish_until_durable(self.second, nodes_test.outcome(row))
        await self.finish_until_durable(self.second, nodes_test.outcome(before))
        await nodes_test.wait_until(
            lambda: not self.copies(self.second) + self.copies(self.third)
        )
        await nodes_test.wait_until(self.is_settled)
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

    async def test_no_refusal_at_outage_start(self) -> None:
        """The first requests of an outage wait briefly and are not refused.

        They wait for promises. The same holds when writes hang instead of
        failing.
        """
        self.store.down = True
        await self.grant('one')
        self.store.down = False
        await nodes_test.wait_until(lambda: ('intent', 'one') in self.log())
        for node in self.nodes:
            node.client.delay_s = 30
        start = time.monotonic()
        await self.grant('two')
        self.assertLess(time.monotonic() - start, 2)

    async def test_candidate_reaches_platform(self) -> None:
        """Only the owner loses the platform, and another process takes over.

        A candidate that reaches the platform refuses to promise, so the owner
        must stop granting. Its requests are refused as "not run" until another
        process has acquired the lease.
        """
        self.owner.client.is_disconnected = True
        row = nodes_test.intent('one')
        await nodes_test.wait_until(lambda: not self.owner.holds())
        grant = await self.owner.begin(row)
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)
        await nodes_test.wait_until(
            lambda: self.second.owns() or self.third.owns()
        )
        grant = await self.second.begin(row)
        self.assertEqual(grant.kind, Kind.GRANTED)

    async def test_candidate_is_lost(self) -> None:
        """The owner stops when a candidate does not answer.

        That candidate may reach the platform and acquire the lease.
        """
        await self.outage()
        self.network.isolated.add('127.0.0.1:3')
        await nodes_test.wait_until(lambda: not self.covered_s())
        grant = await self.owner.begin(nodes_test.intent('one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)

    async def test_copy_takes_too_long(self) -> None:
        """The promises expire while the owner waits for a copy of an intent.

        Another process may have acquired the lease since, so the owner grants
        nothing.
        """
        await self.outage()
        self.network.held.update(('Copy', 'Promise'))
        asked = asyncio.create_task(self.owner.begin(nodes_test.intent('one')))
        await nodes_test.wait_until(lambda: not self.covered_s())
        self.network.held.remove('Copy')
        self.assertEqual((await asked).kind, Kind.UNAVAILABLE)

    async def test_no_room_for_copies(self) -> None:
        """Holds beyond the maximum of copies are refused as "not run"."""
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
    """The owner is killed during the outage."""

    async def test_owner_killed(self) -> None:
        """The owner is killed with rows that the platform does not have.

        After the outage another process acquires the lease, gathers the
        copies and knows the key. A resend gets the state unknown and never
        runs. The outcome that the entry then reports ends the key.
        """
        await self.outage()
        row = await self.grant('one')
        await self.owner.kill(self.network)
        self.store.down = False
        successor = await self._successor()
        self.assertEqual(await self.ask(successor, 'one'), Kind.UNKNOWN)
        await self.finish_until_durable(successor, nodes_test.outcome(row))
        self.assertEqual(await self.ask(successor, 'one'), Kind.FINISHED)
        self.assertEqual(self.log(), [('intent', 'one'), ('done', 'one')])
        await self.grant_by(successor, 'other')

    async def test_taken_over_by_later_joiner(self) -> None:
        """The owner is killed after the outage, before it has flushed.

        It has renewed its lease before. The process that acquires the lease
        joined after the outage and gave no promise, so only the lease itself
        shows that there are copies to gather.
        """
        await self.outage()
        await self.grant('one')
        self.owner.client.gate.clear()
        for node in (self.second, self.third):
            node.client.is_disconnected = True
        fourth = await self.start_node('4')
        self.members.names = ['4']
        self.store.down = False
        await nodes_test.wait_until(lambda: len(self.lease().candidates) == 3)
        await self.owner.kill(self.network)
        await nodes_test.wait_until(fourth.owns)
        self.assertEqual(await self.ask(fourth, 'one'), Kind.UNKNOWN)

    async def test_copy_lost_too(self) -> None:
        """The owner and the process with the copy are both killed.

        No process knows the key any more. The new owner can't distinguish a
        resend from a new request, so for some time it refuses every unknown
        key as "not run". It answers for known keys.
        """
        known = await self.grant('known')
        await self.outage()
        await self.grant('one')
        copy_holder, survivor = self.second, self.third
        if self.copies(self.third):
            copy_holder, survivor = self.third, self.second
        await self.owner.kill(self.network)
        await copy_holder.kill(self.network)
        self.store.down = False
        await nodes_test.wait_until(survivor.owns)
        self.assertEqual(await self.ask(survivor, 'one'), Kind.UNAVAILABLE)
        self.assertEqual(await self.ask(survivor, 'known'), Kind.UNKNOWN)
        await self.finish_until_durable(survivor, nodes_test.outcome(known))
        self.assertEqual(await self.ask(survivor, 'known'), Kind.FINISHED)

    async def test_copy_holder_lost_first(self) -> None:
        """The process with the copy is killed, and later the owner.

        The owner has copied the intent again in between, so the remaining
        process knows the key.
        """
        await self.outage()
        await self.grant('one')
        copy_holder, survivor = self.second, self.third
        if self.copies(self.third):
            copy_holder, survivor = self.third, self.second
        await copy_holder.kill(self.network)
        await nodes_test.wait_until(lambda: self.copies(survivor))
        await self.owner.kill(self.network)
        self.store.down = False
        await nodes_test.wait_until(survivor.owns)
        self.assertEqual(await self.ask(survivor, 'one'), Kind.UNKNOWN)

    async def test_ordinary_takeover_gathers_nothing(self) -> None:
        """Without an outage a new owner serves once it has the lease.

        It gave no promise to the previous owner, which therefore can't have
        granted anything that the platform does not have.
        """
        await self.grant('one')
        await self.owner.kill(self.network)
        self.network.calls.clear()
        successor = await self._successor()
        self.assertEqual(self.network.calls['Gather'], 0)
        self.assertEqual(await self.ask(successor, 'one'), Kind.UNKNOWN)
        await self.grant_by(successor, 'two')

    async def grant_by(self, node: nodes_test.Node, name: str) -> None:
        """Begin an intent that a node grants."""
        grant = await node.begin(nodes_test.intent(name, name))
        self.assertEqual(grant.kind, Kind.GRANTED)

    async def _successor(self) -> nodes_test.Node:
        both = (self.second, self.third)
        await nodes_test.wait_until(lambda: any(node.owns() for node in both))
        return self.second if self.second.owns() else self.third


class StaleOwnerTest(OutageCase):
    """An owner that does not know it lost the lease must not continue."""

    async def test_new_owner_lives(self) -> None:
        """The owner loses its lease while isolated, then the platform fails.

        The owner has not read that it lost the lease. The new owner does not
        give it a promise.
        """
        new_owner = await self._take_over_unseen()
        await asyncio.sleep(3 * self.sizes.lease_s)
        grant = await self.owner.begin(nodes_test.intent('two', 'one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)
        self.assertEqual(await self.ask(new_owner, 'one'), Kind.RUNNING)

    async def test_new_owner_restarted(self) -> None:
        """The process that acquired the lease is killed and restarted.

        It does not know that it acquired the lease, and gives a promise. The
        promise does not count, because the lease of the first owner lists the
        previous start of that process.
        """
        new_owner = await self._take_over_unseen()
        await new_owner.kill(self.network)
        await self.restart_node(new_owner.name)
        await asyncio.sleep(3 * self.sizes.lease_s)
        grant = await self.owner.begin(nodes_test.intent('two', 'one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)

    async def _take_over_unseen(self) -> nodes_test.Node:
        """Let another process take over and grant, then stop the store."""
        self.owner.client.is_disconnected = True
        self.third.client.is_disconnected = True
        await nodes_test.wait_until(self.second.owns)
        await self.second.begin(nodes_test.intent('one'))
        grant = await self.second.begin(nodes_test.intent('one', 'one'))
        self.assertEqual(grant.kind, Kind.GRANTED)
        self.store.down = True
        self.owner.client.is_disconnected = False
        self.third.client.is_disconnected = False
        return self.second


class DeniedCopyTest(OutageCase):
    """Copies of denied attempts that are gathered later."""

    async def test_key_has_ended(self) -> None:
        """The key of the copy was ended by another attempt before.

        If the copy counted as an open attempt, it would end as NOT_RUN and
        free the key, and a resend would run a second time.
        """
        row = await self.grant('one')
        await self.finish_until_durable(self.owner, nodes_test.outcome(row))
        successor = await self._gather_denied(row)
        self.assertEqual(await self.ask(successor, 'one'), Kind.FINISHED)

    async def test_key_is_open(self) -> None:
        """Another attempt of the key is open, and its entry is alive."""
        row = await self.grant('one')
        successor = await self._gather_denied(row)
        self.assertEqual(await self.ask(successor, 'one'), Kind.RUNNING)
        await self.finish_until_durable(successor, nodes_test.outcome(row))
        self.assertEqual(await self.ask(successor, 'one'), Kind.FINISHED)

    async def _gather_denied(self, row: journal_data.Row) -> nodes_test.Node:
        """Let a successor gather a denied attempt, then end the attempt."""
        denied = row._replace(request_id='denied')
        ask = outage_data.CopyRequest(0, 1, (denied,))
        for name in '23':
            await self.network.call(f'127.0.0.1:{name}', methods.COPY, ask, 1)
        await self.outage()
        await self.owner.kill(self.network)
        self.store.down = False
        both = (self.second, self.third)
        await nodes_test.wait_until(lambda: any(node.owns() for node in both))
        successor = self.second if self.second.owns() else self.third
        ended = nodes_test.outcome(denied, journal_data.OutcomeState.NOT_RUN)
        await self.finish_until_durable(successor, ended)
        return successor


class StopTest(OutageCase):
    """Planned stops while rows are only in memory."""

    async def test_owner_stops(self) -> None:
        """The owner is stopped and can't flush, and its copy is lost.

        Its successor gathers from it while it still waits for the platform.
        """
        await self.outage()
        await self.grant('one')
        copy_holder, survivor = self.second, self.third
        if self.copies(self.third):
            copy_holder, survivor = self.third, self.second
        await copy_holder.kill(self.network)
        self.owner.client.is_disconnected = True
        self.store.down = False
        stopping = asyncio.create_task(self.owner.stop())
        await nodes_test.wait_until(survivor.owns)
        self.assertEqual(await self.ask(survivor, 'one'), Kind.UNKNOWN)
        await stopping

    async def test_quarantined_owner_stops(self) -> None:
        """A process that refuses unknown keys is stopped and hands over.

        The next owner does not know the lost keys either, and refuses too.
        """
        await self.outage()
        await self.grant('one')
        copy_holder, survivor = self.second, self.third
        if self.copies(self.third):
            copy_holder, survivor = self.third, self.second
        await self.owner.kill(self.network)
        await copy_holder.kill(self.network)
        self.store.down = False
        await nodes_test.wait_until(survivor.owns)
        fresh = await self.restart_node(copy_holder.name)
        await survivor.stop()
        await nodes_test.wait_until(fresh.owns)
        self.assertEqual(await self.ask(fresh, 'one'), Kind.UNAVAILABLE)


if __name__ == '__main__':
    unittest.main()
