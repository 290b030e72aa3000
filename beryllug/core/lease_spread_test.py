"""Tests of the assignment of preferred members to leases."""

import itertools
import unittest
from collections import Counter

from beryllug.core import lease_spread

LEASES = (3, 8, 64)
MEMBERS = (1, 3, 7, 8, 100)


def _names(count: int) -> list[str]:
    return [f'journal/{number}' for number in range(count)]


def _members(count: int) -> list[str]:
    return [f'control-{number}' for number in range(count)]


class LeaseSpreadTest(unittest.TestCase):
    """Shares are even, and incremental updates give the full result."""

    def test_even(self) -> None:
        """No member is preferred for more than its share of a kind."""
        for leases, members in itertools.product(LEASES, MEMBERS):
            with self.subTest(leases=leases, members=members):
                spread = lease_spread.LeasePreferences()
                lease_spread.update(spread, _names(leases), _members(members))
                counts = Counter(spread.preferred.values())
                share = lease_spread.share(spread, 'journal/0')
                self.assertEqual(share, -(-leases // members))
                self.assertLessEqual(max(counts.values()), share)

    def test_change_is_as_from_scratch(self) -> None:
        """Incremental updates give the result of a full computation."""
        names = _names(64)
        spread = lease_spread.LeasePreferences()
        members = _members(20)
        lease_spread.update(spread, names, members)
        for gone in range(0, 20, 3):
            members.remove(f'control-{gone}')
            lease_spread.update(spread, names, members)
        lease_spread.update(spread, names, [*members, 'joined'])
        scratch = lease_spread.LeasePreferences()
        lease_spread.update(scratch, names, [*members, 'joined'])
        self.assertEqual(spread.preferred, scratch.preferred)

    def test_excess(self) -> None:
        """Only a member that holds more than its share gives a lease up."""
        names = _names(4)
        spread = lease_spread.LeasePreferences()
        lease_spread.update(spread, names, ['one'])
        self.assertIsNone(lease_spread.excess(spread, names, 'one'))
        lease_spread.update(spread, names, ['one', 'two'])
        held = list(names)
        name = lease_spread.excess(spread, held, 'one')
        while name is not None:
            self.assertEqual(spread.preferred[name], 'two')
            held.remove(name)
            name = lease_spread.excess(spread, held, 'one')
        self.assertEqual(len(held), 2)
        others = ['rollouts/a', 'rollouts/b']
        lease_spread.update(spread, [*names, *others], ['one', 'two'])
        self.assertIsNone(lease_spread.excess(spread, others[:1], 'one'))

    def test_ranks(self) -> None:
        """Ranks of a lease are distinct; the successor has rank 1."""
        spread = lease_spread.LeasePreferences()
        members = _members(5)
        lease_spread.update(spread, _names(5), members)
        ranks = sorted(
            lease_spread.rank(spread, 'journal/0', name) for name in members
        )
        self.assertEqual(ranks, [0, 1, 2, 3, 4])
        first = spread.preferred['journal/0']
        successor = lease_spread.successor_of(spread, 'journal/0', first)
        self.assertIsNotNone(successor)
        self.assertEqual(
            lease_spread.rank(spread, 'journal/0', successor or ''), 1
        )


if __name__ == '__main__':
    unittest.main()
