"""At-most-once and exactly-once billing under platform and owner faults.

The log is read from the store, not from the counters of the nodes.
"""

import asyncio
import unittest

from beryllug.control import fake_platform_test, nodes_test, shard_owner
from beryllug.core import journal_data, rpc_data

Fault = fake_platform_test.Fault
Kind = journal_data.GrantKind
State = journal_data.OutcomeState


class SingleGrantTest(nodes_test.NodesCase):
    """A key is granted to one attempt only."""

    async def test_same_key_at_two_hosts(self) -> None:
        """A double tap sends the same key to two entry hosts at once.

        One node owns the shard, the other forwards its intents to it. The
        owner serializes the decisions, so one intent is granted and the
        others learn that it is running.
        """
        first = await self.start_owner('1')
        second = await self.start_node('2')
        grants = await asyncio.gather(
            *(
                node.begin(nodes_test.intent(f'{node.name}-{number}'))
                for number in range(20)
                for node in (first, second)
            )
        )
        kinds = [grant.kind for grant in grants]
        self.assertEqual(kinds.count(Kind.GRANTED), 1)
        self.assertEqual(kinds.count(Kind.RUNNING), 39)
        self.assertEqual(len(self.log()), 1)

    async def test_owner_stops_slowly(self) -> None:
        """An intent arrives while the owner of its shard is stopping.

        The release of the lease takes 1.5 s at the platform. Another node
        forwards the intent to the old owner. If the intent waited there, the
        new owner would be asked too late and the intent refused.
        """
        first = await self.start_owner('1')
        second = await self.start_node('2')
        await second.begin(nodes_test.intent('zero', 'zero'))
        first.client.fault_prefix = 'beryllug/'
        first.client.gate.clear()
        stopping = asyncio.create_task(first.stop())
        await asyncio.sleep(nodes_test.POLL_S)
        begin_task = asyncio.create_task(second.begin(nodes_test.intent('one')))
        await asyncio.sleep(1.5)
        first.client.gate.set()
        await stopping
        self.assertEqual((await begin_task).kind, Kind.GRANTED)

    async def test_resends(self) -> None:
        """A resend gets the result of the first attempt, whatever it is."""
        owner = await self.start_owner('1')
        for state, expected in (
            (State.DONE, Kind.FINISHED),
            (State.FAILED, Kind.FINISHED),
            (State.CANCELLED, Kind.FINISHED),
            (State.UNKNOWN, Kind.UNKNOWN),
            (State.NOT_RUN, Kind.GRANTED),
        ):
            with self.subTest(state):
                row = nodes_test.intent(f'first-{state}', f'key-{state}')
                await owner.begin(row)
                await owner.finish(nodes_test.outcome(row, state))
                again = row._replace(request_id=f'again-{state}')
                grant = await owner.begin(again)
                self.assertEqual(grant.kind, expected)
                other = again._replace(request_id='other', body_hash='other')
                grant = await owner.begin(other)
                self.assertEqual(grant.kind, Kind.MISMATCH)

    async def test_grant_reply_lost(self) -> None:
        """The owner's reply is lost and the entry process asks again.

        As it has sent nothing to a backend server, it reuses its request id
        and is granted again. Another attempt with the key is not granted.
        """
        await self.start_owner('1')
        second = await self.start_node('2')
        row = nodes_test.intent('one')
        self.network.drops_replies.add('127.0.0.1:1')
        lost = await second.begin(row)
        self.assertEqual((lost.kind, lost.doubtful), (Kind.UNAVAILABLE, True))
        self.network.drops_replies.clear()
        self.network.isolated.add('127.0.0.1:1')
        refused = await second.begin(nodes_test.intent('three', 'three'))
        self.assertFalse(refused.doubtful)
        self.network.isolated.clear()
        self.assertEqual((await second.begin(row)).kind, Kind.GRANTED)
        resend = await second.begin(nodes_test.intent('two'))
        self.assertEqual(resend.kind, Kind.RUNNING)
        self.assertEqual(self.log(), [('intent', 'one')])

    async def test_outcome_overtakes_intent(self) -> None:
        """An intent is not granted after its entry process gave it up.

        The outcome NOT_RUN overtakes the intent. Nobody would use a grant,
        but it would block the key for the caller's resend.
        """
        owner = await self.start_owner('1')
        row = nodes_test.intent('one')
        self.assertTrue(
            await owner.finish(nodes_test.outcome(row, State.NOT_RUN))
        )
        self.assertEqual((await owner.begin(row)).kind, Kind.UNAVAILABLE)
        resend = await owner.begin(nodes_test.intent('two'))
        self.assertEqual(resend.kind, Kind.GRANTED)


class UncertainWriteTest(nodes_test.NodesCase):
    """Log writes whose reply is lost."""

    async def test_write_result_unknown(self) -> None:
        """The result of a log write is unknown and gets resolved.

        The caller does not notice. The owner first reads the segment back,
        so that no row is written twice and a missing row is written.
        """
        owner = await self.start_owner('1')
        for number, faults in enumerate(
            (
                (Fault.LOST_ANSWER,),
                (Fault.LOST,),
                (Fault.REFUSED,),
                (Fault.LOST, Fault.LOST_ANSWER),
            )
        ):
            with self.subTest(faults):
                row = nodes_test.intent(f'r{number}', f'key-{number}')
                owner.client.faults.extend(faults)
                grant = await owner.begin(row)
                self.assertEqual(grant.kind, Kind.GRANTED)
                owner.client.faults.extend(faults)
                await self.finish_until_durable(owner, nodes_test.outcome(row))
        log = self.log()
        self.assertEqual(len(log), 8)
        self.assertEqual(len(set(log)), 8)

    async def test_late_write(self) -> None:
        """A write believed lost takes effect after the request was refused.

        The owner has refused the request and dropped its state when the
        intent appears in the log. The owner's next write conflicts; it finds
        the intent and ends it as NOT_RUN, as the caller was told, so that a
        resend runs.
        """
        owner = await self.start_owner('1')
        owner.client.faults.append(Fault.LATE)
        begin_task = asyncio.create_task(owner.begin(nodes_test.intent('one')))
        await nodes_test.wait_until(lambda: self.store.late)
        self.store.down = True
        grant = await begin_task
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)
        self.store.down = False
        self.assertEqual(self.store.apply_late_writes(), 1)
        await nodes_test.wait_until(lambda: ('not_run', 'one') in self.log())
        await nodes_test.wait_until(owner.holds)
        resend = await owner.begin(nodes_test.intent('two'))
        self.assertEqual(resend.kind, Kind.GRANTED)
        self.assertEqual(
            self.log(),
            [('intent', 'one'), ('not_run', 'one'), ('intent', 'two')],
        )


class TakeoverTest(nodes_test.NodesCase):
    """Takeover after the old owner was killed or paused."""

    async def test_killed_after_commit(self) -> None:
        """The owner is killed after the commit and before its reply.

        The entry process sends the unacknowledged outcome to the new owner,
        which has read the row from the log and acknowledges it without
        writing it again: the request is billed once.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        row = nodes_test.intent('one')
        await owner.begin(row)
        await owner.finish(nodes_test.outcome(row))
        await owner.kill(self.network)
        await nodes_test.wait_until(successor.owns)
        self.assertTrue(await successor.finish(nodes_test.outcome(row)))
        self.assertEqual(self.log(), [('intent', 'one'), ('done', 'one')])
        resend = await successor.begin(nodes_test.intent('two'))
        self.assertEqual(resend.kind, Kind.FINISHED)
        self.assertEqual(resend.first, nodes_test.outcome(row))

    async def test_killed_before_commit(self) -> None:
        """The owner is killed before it commits an outcome.

        The outcome was only in its memory. The entry process resends it
        until it is acknowledged, and the log holds it once.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        row = nodes_test.intent('one')
        await owner.begin(row)
        owner.client.gate.clear()
        finish_task = asyncio.create_task(owner.finish(nodes_test.outcome(row)))
        await owner.client.write_blocked.wait()
        await owner.kill(self.network)
        self.assertFalse(await finish_task)
        await nodes_test.wait_until(successor.owns)
        resend = nodes_test.intent('two')._replace(entry='entry-2/boot')
        grant = await successor.begin(resend)
        self.assertEqual(grant.kind, Kind.UNKNOWN)
        self.assertTrue(await successor.finish(nodes_test.outcome(row)))
        grant = await successor.begin(resend)
        self.assertEqual(grant.kind, Kind.FINISHED)
        self.assertEqual(self.log(), [('intent', 'one'), ('done', 'one')])

    async def test_entry_outlives_owner(self) -> None:
        """The owner is lost while the request's entry process runs on.

        The new owner replies RUNNING once it has had a request from that
        entry process, and UNKNOWN if the entry process has been restarted.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        await owner.begin(nodes_test.intent('one'))
        await owner.kill(self.network)
        await nodes_test.wait_until(successor.owns)
        for entry, expected in (
            ('entry-2/boot', Kind.UNKNOWN),
            ('entry-1/boot', Kind.RUNNING),
            ('entry-1/other', Kind.UNKNOWN),
        ):
            with self.subTest(entry):
                other = nodes_test.intent(f'other-{entry}', f'key-{entry}')
                await successor.begin(other._replace(entry=entry))
                again = nodes_test.intent('two')._replace(entry='entry-3/boot')
                grant = await successor.begin(again)
                self.assertEqual(grant.kind, expected)

    async def test_paused_before_write(self) -> None:
        """The owner is paused past its lease, right before a log write.

        Meanwhile another owner takes over and grants the same key. The
        resumed owner's write conflicts: it grants nothing, and its row is
        not in the log.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        owner.pause(self.network)
        begin_task = asyncio.create_task(owner.begin(nodes_test.intent('one')))
        await owner.client.write_blocked.wait()
        await nodes_test.wait_until(successor.owns)
        grant = await successor.begin(nodes_test.intent('two'))
        self.assertEqual(grant.kind, Kind.GRANTED)
        owner.resume(self.network)
        self.assertEqual((await begin_task).kind, Kind.UNAVAILABLE)
        await nodes_test.wait_until(lambda: not owner.owns())
        self.assertEqual(self.log(), [('intent', 'two')])

    async def test_paused_before_segment_creation(self) -> None:
        """The owner is paused right before it creates the next segment.

        The new owner creates that segment before it serves, so the creation
        conflicts just as a rewrite does.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        await self._fill_segment(owner)
        owner.pause(self.network)
        begin_task = asyncio.create_task(owner.begin(nodes_test.intent('one')))
        await owner.client.write_blocked.wait()
        await nodes_test.wait_until(successor.owns)
        owner.resume(self.network)
        self.assertEqual((await begin_task).kind, Kind.UNAVAILABLE)
        await nodes_test.wait_until(lambda: not owner.owns())
        self.assertNotIn(('intent', 'one'), self.log())

    async def test_paused_after_write(self) -> None:
        """The owner is paused between its log write and the grant.

        The intent is durable, but the lease has expired on resumption. It
        must not grant: a new owner may have replied UNKNOWN to a resend and
        billed the request as such.
        """
        owner = await self.start_owner('1')
        owner.client.after_write = self._expire_lease
        grant = await owner.begin(nodes_test.intent('one'))
        self.assertEqual(grant.kind, Kind.UNAVAILABLE)

    def _expire_lease(self) -> None:
        self.clock.now += nodes_test.LEASE_S

    async def _fill_segment(self, owner: nodes_test.Node) -> None:
        row = nodes_test.outcome(nodes_test.intent('big', 'big'))
        large = row._replace(note='x' * 60000)
        self.assertTrue(await owner.finish(large))


class OutageTest(nodes_test.NodesCase):
    """The platform is temporarily down."""

    async def test_outage(self) -> None:
        """No intent is granted; outcomes are committed once afterwards.

        The entry process resends each outcome until it is acknowledged. The
        owner keeps one copy and writes it when the platform is back.
        """
        owner = await self.start_owner('1')
        row = nodes_test.intent('one')
        await owner.begin(row)
        self.store.down = True
        for number in range(5):
            self.assertFalse(await owner.finish(nodes_test.outcome(row)))
            grant = await owner.begin(nodes_test.intent('two', f'k{number}'))
            self.assertEqual(grant.kind, Kind.UNAVAILABLE)
            self.assertGreater(grant.retry_after_s, 0)
        self.store.down = False
        await nodes_test.wait_until(lambda: ('done', 'one') in self.log())
        await self.finish_until_durable(owner, nodes_test.outcome(row))
        self.assertEqual(self.log(), [('intent', 'one'), ('done', 'one')])
        grant = await owner.begin(nodes_test.intent('two', 'k1'))
        self.assertEqual(grant.kind, Kind.GRANTED)

    async def test_bounded_memory(self) -> None:
        """An owner keeps at most `MAX_PENDING` rows in an outage."""
        owner = await self.start_owner('1')
        self.store.down = True
        limit = shard_owner.MAX_PENDING
        shard_owner.MAX_PENDING = 10
        try:
            for number in range(20):
                row = nodes_test.intent(f'r{number}', f'k{number}')
                await owner.finish(nodes_test.outcome(row))
        finally:
            shard_owner.MAX_PENDING = limit
        pending = owner.journal.dump()['0']['pending']
        self.assertEqual(pending, 10)


class LookupTest(nodes_test.NodesCase):
    """Lookups by key."""

    async def test_pin_during_pin_write(self) -> None:
        """A session is pinned again while its first pin is being written."""
        owner = await self.start_owner('1')
        pin = nodes_test.intent('s1', 'session')._replace(
            kind=journal_data.RowKind.SESSION
        )
        owner.client.gate.clear()
        first = asyncio.create_task(owner.finish(pin))
        await owner.client.write_blocked.wait()
        second = asyncio.create_task(
            owner.finish(pin._replace(note='second', at=1))
        )
        await asyncio.sleep(nodes_test.POLL_S)
        owner.client.gate.set()
        self.assertEqual(await asyncio.gather(first, second), [True, True])
        self.assertEqual([row.note for row in self.rows()], ['', 'second'])

    async def test_lookup(self) -> None:
        """Any node finds the latest row of a kind, also after a kill.

        An older pin of a session that is resent late does not replace it.
        """
        owner = await self.start_owner('1')
        successor = await self.start_node('2')
        pin = nodes_test.intent('s1', 'session')._replace(
            kind=journal_data.RowKind.SESSION
        )
        for at, note in enumerate(('first', 'second')):
            await successor.finish(pin._replace(note=note, at=at))
        ask = rpc_data.LookupRequest(
            nodes_test.ACCOUNT, 'session', journal_data.RowKind.SESSION
        )
        reply = await successor.journal.lookup(ask)
        self.assertEqual(reply.row and reply.row.note, 'second')
        await owner.kill(self.network)
        await nodes_test.wait_until(successor.owns)
        reply = await successor.journal.lookup(ask)
        self.assertEqual(reply.row and reply.row.note, 'second')
        stale = pin._replace(note='first', at=0)
        self.assertTrue(await successor.finish(stale))
        reply = await successor.journal.lookup(ask)
        self.assertEqual(reply.row and reply.row.note, 'second')
        reply = await successor.journal.lookup(ask._replace(shard_key='none'))
        self.assertEqual(reply, rpc_data.LookupReply(None))


if __name__ == '__main__':
    unittest.main()
