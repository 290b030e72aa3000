"""Members that come, go, die, and lose each other.

The members run in one process over a fake network; rounds are short, and all
bounds are on rounds and messages.
"""

import asyncio
import itertools
import unittest
from collections import Counter
from collections.abc import Callable

from beryllug.control import membership, probing, virtual_time_test
from beryllug.core import member_data
from beryllug.drivers import rpc

ROUND_S = 1.0
WAIT_S = 400.0


class Network:
    """Calls between members; some can be cut.

    Attributes:
        members: Members by address.
        cut: Pairs of addresses, asker and asked, between which nothing goes.
        silent: Addresses that neither ask nor answer.
        calls: Calls by asker.
    """

    def __init__(self) -> None:
        """Make an empty network."""
        self.members: dict[str, membership.Membership] = {}
        self.handlers: dict[tuple[str, str], rpc.Unary] = {}
        self.cut: set[tuple[str, str]] = set()
        self.silent: set[str] = set()
        self.calls: Counter[str] = Counter()


class Link:
    """One member's access to the network; implements `peers.Caller`."""

    def __init__(self, network: Network, address: str) -> None:
        """Bind to the member's own address."""
        self._network = network
        self._address = address

    def unary(
        self, method: rpc.Method[rpc.Ask, rpc.Reply], handler: rpc.Unary
    ) -> None:
        """Serve a method, as `rpc.RpcServer` does."""
        self._network.handlers[self._address, method.name] = handler

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Call another member."""
        await asyncio.sleep(0)
        network = self._network
        network.calls[self._address] += 1
        handler = network.handlers.get((address, method.name))
        pair = {self._address, address}
        silent = pair & network.silent
        if handler is None or silent or (self._address, address) in network.cut:
            raise rpc.RpcError('UNAVAILABLE', address)
        reply: rpc.Reply = await handler(ask)
        return reply


class MembershipTest(virtual_time_test.VirtualTimeCase):
    """What members believe of one another."""

    async def asyncSetUp(self) -> None:
        """Make an empty network."""
        await super().asyncSetUp()
        self.network = Network()

    async def asyncTearDown(self) -> None:
        """Stop all members."""
        await asyncio.gather(
            *(member.stop(0) for member in self.network.members.values())
        )

    async def test_join_and_leave(self) -> None:
        """All know each other by one seed; one that leaves is gone soon."""
        names = await self._start(8)
        await self._until(lambda: self._all_see(names, names))
        await self.network.members['3'].stop(0)
        rest = [name for name in names if name != '3']
        await self._until(lambda: self._all_see(rest, rest))

    async def test_killed_and_restarted(self) -> None:
        """A killed member is found dead, a new start of it is live again."""
        names = await self._start(8)
        await self._until(lambda: self._all_see(names, names))
        self.network.silent.add('3')
        rest = [name for name in names if name != '3']
        await self._until(lambda: self._all_see(rest, rest))
        await self.network.members['3'].stop(0)
        self.network.silent.clear()
        await self._start_one('3')
        await self._until(lambda: self._all_see(names, names))

    async def test_frozen(self) -> None:
        """A member that was frozen long contradicts the report of its death.

        Others found it dead; it wakes, hears of that with the next heartbeat
        and raises its incarnation.
        """
        names = await self._start(5)
        await self._until(lambda: self._all_see(names, names))
        rest = names[1:]
        self.network.silent.add(names[0])
        await self._until(lambda: self._all_see(rest, rest))
        self.network.silent.clear()
        await self._until(lambda: self._all_see(names, names))

    async def test_broken_link(self) -> None:
        """One link is cut, both ends live: others reach both.

        Without asking others each end would believe the other dead, and
        leases would be moved from a healthy process.
        """
        names = await self._start(6)
        await self._until(lambda: self._all_see(names, names))
        # The next on the ring is among those that a member probes.
        first, second = self.network.members['0'].live(0)[:2]
        before = self._own(second).incarnation
        self.network.cut = {(first, second), (second, first)}
        for _ in range(40):
            await asyncio.sleep(ROUND_S)
            self.assertTrue(self._all_see(names, names))
        # It never had to contradict a suspicion.
        self.assertEqual(self._own(second).incarnation, before)

    async def test_partition_heals(self) -> None:
        """Two halves lose each other and meet again by themselves."""
        names = await self._start(6)
        await self._until(lambda: self._all_see(names, names))
        left, right = names[:3], names[3:]
        self.network.cut = {
            *itertools.product(left, right),
            *itertools.product(right, left),
        }
        await self._until(
            lambda: self._all_see(left, left) and self._all_see(right, right)
        )
        self.network.cut = set()
        await self._until(lambda: self._all_see(names, names))

    async def test_notes_and_revisions(self) -> None:
        """A fact and a revision reach all; of two facts the higher holds."""
        names = await self._start(8)
        await self._until(lambda: self._all_see(names, names))
        heard: dict[str, int] = {}
        members = self.network.members
        members['5'].listen(
            lambda member, revision: heard.update({member.name: revision})
        )
        for number, body in ((2, 'new'), (1, 'old')):
            members['1'].publish(member_data.Note('lease/x', number, body))
        for announcing in members.values():
            announcing.announce(7)
        await self._until(
            lambda: all(told.note('lease/x') for told in members.values())
        )
        note = members['6'].note('lease/x')
        self.assertEqual(note and note.body, 'new')
        await self._until(lambda: 7 in heard.values())

    async def test_cost_does_not_grow(self) -> None:
        """Calls of a member in a round are as many with 48 members as with 6.

        Counted are the calls of forty rounds after they know each other.
        """
        few = await self._calls_a_round(6)
        many = await self._calls_a_round(48)
        self.assertLess(many, 1.5 * few)

    async def _calls_a_round(self, count: int) -> float:
        self.network = Network()
        names = await self._start(count)
        await self._until(lambda: self._all_see(names, names))
        self.network.calls.clear()
        start = self._rounds()
        await self._until(lambda: self._rounds() >= start + 40 * count)
        calls = sum(self.network.calls.values())
        rounds = self._rounds() - start
        await self.asyncTearDown()
        return calls / rounds

    def _rounds(self) -> int:
        members = self.network.members.values()
        return sum(member.dump()['rounds'] for member in members)

    def _own(self, name: str) -> member_data.Member:
        own = self.network.members[name].dump()['own']
        assert isinstance(own, member_data.Member)
        return own

    async def _start(self, count: int) -> list[str]:
        names = [str(number) for number in range(count)]
        for name in names:
            await self._start_one(name)
        return names

    async def _start_one(self, name: str) -> None:
        link = Link(self.network, name)
        join = probing.Join('zone', ('0', '1'), ROUND_S, link)
        member = membership.Membership(name, name, join)
        member.serve(link)
        self.network.members[name] = member
        await member.start()

    def _all_see(self, seers: list[str], seen: list[str]) -> bool:
        expected = set(seen)
        return all(
            set(self.network.members[name].live(0)) == expected
            for name in seers
        )

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(ROUND_S)


if __name__ == '__main__':
    unittest.main()
