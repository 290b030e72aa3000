"""Tests of members that join, leave, fail, and are partitioned.

The members run in one process over a fake network. Rounds are short, and all
bounds are on numbers of rounds and messages.
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
    """Calls between members; links can be cut.

    Attributes:
        members: Members by address.
        cut: Pairs of addresses, caller and callee, whose calls fail.
        silent: Addresses whose calls fail in both directions.
        calls: Numbers of calls by caller.
    """

    def __init__(self) -> None:
        """Initialize an empty network."""
        self.members: dict[str, membership.Membership] = {}
        self.handlers: dict[tuple[str, str], rpc.Unary] = {}
        self.cut: set[tuple[str, str]] = set()
        self.silent: set[str] = set()
        self.calls: Counter[str] = Counter()


class Link:
    """One member's access to the network; implements `rpc_peers.PeerCaller`."""

    def __init__(self, network: Network, address: str) -> None:
        """Use the address of the member as that of the caller."""
        self._network = network
        self._address = address

    def unary(
        self, method: rpc.Method[rpc.Ask, rpc.Reply], handler: rpc.Unary
    ) -> None:
        """Register a handler, as `rpc.RpcServer` does."""
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
    """What members know of each other."""

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
        """Members discover each other by a seed; one that leaves is removed."""
        names = await self._start(8)
        await self._until(lambda: self._all_know(names, names))
        await self.network.members['3'].stop(0)
        rest = [name for name in names if name != '3']
        await self._until(lambda: self._all_know(rest, rest))

    async def test_killed_and_restarted(self) -> None:
        """A killed member is detected as dead, and is live after a restart."""
        names = await self._start(8)
        await self._until(lambda: self._all_know(names, names))
        self.network.silent.add('3')
        rest = [name for name in names if name != '3']
        await self._until(lambda: self._all_know(rest, rest))
        await self.network.members['3'].stop(0)
        self.network.silent.clear()
        await self._start_one('3')
        await self._until(lambda: self._all_know(names, names))

    async def test_frozen_member_refutes_death(self) -> None:
        """A member that was frozen refutes the report that it is dead.

        Others marked it dead while it was frozen. When it runs again it
        learns of this with the next heartbeat and raises its incarnation.
        """
        names = await self._start(5)
        await self._until(lambda: self._all_know(names, names))
        rest = names[1:]
        self.network.silent.add(names[0])
        await self._until(lambda: self._all_know(rest, rest))
        self.network.silent.clear()
        await self._until(lambda: self._all_know(names, names))

    async def test_cut_link_is_probed_indirectly(self) -> None:
        """One link is cut while both ends are live and reachable by others.

        Without indirect probes each end would mark the other dead, and
        leases would be moved away from a healthy process.
        """
        names = await self._start(6)
        await self._until(lambda: self._all_know(names, names))
        # A member probes the next member on the ring, among others.
        first, second = self.network.members['0'].live(0)[:2]
        before = self._own(second).incarnation
        self.network.cut = {(first, second), (second, first)}
        for _ in range(40):
            await asyncio.sleep(ROUND_S)
            self.assertTrue(self._all_know(names, names))
        # An unchanged incarnation means that it was never suspected.
        self.assertEqual(self._own(second).incarnation, before)

    async def test_partition_heals(self) -> None:
        """Both sides of a partition join again without intervention."""
        names = await self._start(6)
        await self._until(lambda: self._all_know(names, names))
        left, right = names[:3], names[3:]
        self.network.cut = {
            *itertools.product(left, right),
            *itertools.product(right, left),
        }
        await self._until(
            lambda: self._all_know(left, left) and self._all_know(right, right)
        )
        self.network.cut = set()
        await self._until(lambda: self._all_know(names, names))

    async def test_notes_and_revisions(self) -> None:
        """Notes and revisions reach all; the higher number of a note wins."""
        names = await self._start(8)
        await self._until(lambda: self._all_know(names, names))
        heard: dict[str, int] = {}
        members = self.network.members
        members['5'].add_listener(
            lambda member, revision: heard.update({member.name: revision})
        )
        for number, body in ((2, 'new'), (1, 'old')):
            members['1'].publish(
                member_data.GossipNote('lease/x', number, body)
            )
        for each_member in members.values():
            each_member.announce_revision(7)
        await self._until(
            lambda: all(told.note('lease/x') for told in members.values())
        )
        note = members['6'].note('lease/x')
        self.assertEqual(note and note.body, 'new')
        await self._until(lambda: 7 in heard.values())

    async def test_calls_do_not_grow_with_members(self) -> None:
        """Calls per member and round do not grow from 6 to 48 members.

        The calls of forty rounds are counted once all know each other.
        """
        few = await self._calls_per_round(6)
        many = await self._calls_per_round(48)
        self.assertLess(many, 1.5 * few)

    async def _calls_per_round(self, count: int) -> float:
        self.network = Network()
        names = await self._start(count)
        await self._until(lambda: self._all_know(names, names))
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
        join = probing.MembershipSettings('zone', ('0', '1'), ROUND_S, link)
        member = membership.Membership(name, name, join)
        member.serve(link)
        self.network.members[name] = member
        await member.start()

    def _all_know(self, observers: list[str], visible: list[str]) -> bool:
        expected = set(visible)
        return all(
            set(self.network.members[name].live(0)) == expected
            for name in observers
        )

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(ROUND_S)


if __name__ == '__main__':
    unittest.main()
