"""Tests of which processes there are."""

import itertools
import random
import unittest
from collections.abc import Callable

from beryllug.core.peering import members


def _known(name: str, at: float) -> members.Known:
    return members.Known(f'{name}:1', f'{name}:2', at)


def _fleet(size: int) -> dict[str, members.Members]:
    """Return processes that all know one another."""
    fleet = {f'p{each}': members.Members(f'p{each}') for each in range(size)}
    for known in fleet.values():
        for name in fleet:
            members.heard(known, name, _known(name, 0))
    return fleet


def _tell_gone(
    fleet: dict[str, members.Members], name: str, now: float
) -> None:
    for each in fleet.values():
        members.found_gone(each, name, now)


class MembersTest(unittest.TestCase):
    """Signs of life, and their end."""

    def setUp(self) -> None:
        self.members = members.Members('one')
        members.heard(self.members, 'two', _known('two', 10))

    def test_heard(self) -> None:
        """A process is new once; an older word of it changes nothing."""
        self.assertFalse(members.heard(self.members, 'one', _known('one', 10)))
        self.assertTrue(members.heard(self.members, 'six', _known('six', 10)))
        members.heard(self.members, 'two', _known('two', 4))
        self.assertEqual(self.members.known['two'].heard_at, 10)

    def test_gone(self) -> None:
        """Who is silent or says that it leaves is forgotten."""
        self.assertEqual(members.forget(self.members, 15.9), [])
        self.assertEqual(members.forget(self.members, 16.1), ['two'])
        members.heard(self.members, 'two', _known('two', 20))
        self.assertTrue(members.found_gone(self.members, 'two', 20))
        self.assertEqual(self.members.known, {})

    def test_older_words(self) -> None:
        """Others who have not heard that it is gone do not bring it back.

        A later sign of life does, and makes an older word of its end void.
        """
        members.found_gone(self.members, 'two', 12)
        self.assertFalse(members.heard(self.members, 'two', _known('two', 11)))
        self.assertTrue(members.heard(self.members, 'two', _known('two', 13)))
        self.assertFalse(members.found_gone(self.members, 'two', 12.5))
        members.heard_again(self.members, 'two', 18)
        self.assertEqual(members.forget(self.members, 23), [])

    def test_large_fleet(self) -> None:
        """75 processes that live do not forget one another; a dead one is.

        Each calls two others a second. One is killed half way: who calls it
        finds it gone, and tells all.
        """
        rng = random.Random(5)
        fleet = _fleet(75)
        silent = [self._round(fleet, now, rng) for now in range(60)]
        dead = fleet.pop('p7')
        silent.extend(self._round(fleet, now, rng) for now in range(60, 90))
        self.assertEqual(sum(silent), 0)
        knowing = [each for each in fleet.values() if dead.name in each.known]
        self.assertEqual(knowing, [])

    def test_halves(self) -> None:
        """Two zones lose one another, and find each other again.

        Each forgets all of the other zone within seconds. One call to a
        process that was gone, once the link is back, is enough to begin with.
        """
        rng = random.Random(5)
        fleet = _fleet(12)
        for now in range(5):
            self._round(fleet, now, rng)
        names = sorted(fleet)
        for one, other in itertools.product(names[:6], names[6:]):
            members.found_gone(fleet[one], other, 5)
            members.found_gone(fleet[other], one, 5)
        for now in range(6, 10):
            self._round(fleet, now, rng)
        gone = fleet['p0'].gone
        self.assertEqual(len(gone), 6)
        self._compare(fleet, 'p0', sorted(gone)[0], 10, rng)
        for now in range(11, 31):
            self._round(fleet, now, rng)
        least = min(len(each.known) for each in fleet.values())
        self.assertEqual(least, 11)

    def test_ranked(self) -> None:
        """All processes agree on who judges, whatever their own name."""
        other = members.Members('two')
        members.heard(other, 'one', _known('one', 10))
        for subject in ('pool', 'desk', 'chat'):
            with self.subTest(subject):
                self.assertEqual(
                    members.ranked(self.members, subject),
                    members.ranked(other, subject),
                )

    def test_orders_follow(self) -> None:
        """Who comes, goes or tells its zone is in the next order.

        Judges and followers of the store are the first of an order. One that
        is kept too long names a process that has died, and its work is done
        by nobody.
        """
        zoned = _known('six', 11)._replace(zone='a')
        steps: tuple[tuple[str, Callable[[], object], int, list[str]], ...] = (
            ('as it began', lambda: None, 2, []),
            (
                'one comes',
                lambda: members.heard(self.members, 'six', _known('six', 10)),
                3,
                [],
            ),
            (
                'it tells its zone',
                lambda: members.heard(self.members, 'six', zoned),
                3,
                ['six'],
            ),
            (
                'it stops',
                lambda: members.found_gone(self.members, 'six', 12),
                2,
                [],
            ),
            (
                'the other falls silent',
                lambda: members.forget(self.members, 20),
                1,
                [],
            ),
        )
        for title, step, names, near in steps:
            with self.subTest(title):
                step()
                self.assertEqual(len(members.ranked(self.members, 'p')), names)
                found, far = members.by_zone(self.members, 'a')
                self.assertEqual(found, near)
                self.assertEqual(len(far), names - 1 - len(near))

    def test_spread(self) -> None:
        """In a few rounds of two calls each, 60 processes know one another.

        Each starts with one seed's address; in a round it tells two others
        some of those it knows.
        """
        rng = random.Random(3)
        fleet = {
            f'p{number}': members.Members(f'p{number}') for number in range(60)
        }
        for known in fleet.values():
            members.heard(known, 'p0', _known('p0', 0))
        for now in range(1, 16):
            for name, known in fleet.items():
                called = rng.sample(
                    sorted(known.known), min(2, len(known.known))
                )
                for peer in called or ['p0']:
                    self._compare(fleet, name, peer, now, rng)
        least = min(len(each.known) for each in fleet.values())
        self.assertGreaterEqual(least, 55)

    def _round(
        self, fleet: dict[str, members.Members], now: float, rng: random.Random
    ) -> int:
        """Let each call two others; returns how many were forgotten unasked."""
        for name, known in fleet.items():
            for peer in rng.sample(sorted(known.known), 2):
                if peer in fleet:
                    self._compare(fleet, name, peer, now, rng)
                else:
                    _tell_gone(fleet, peer, now)
        return sum(len(members.forget(each, now)) for each in fleet.values())

    def _compare(
        self,
        fleet: dict[str, members.Members],
        one: str,
        other: str,
        now: float,
        rng: random.Random,
    ) -> None:
        for sender, receiver in ((one, other), (other, one)):
            if sender == receiver:
                continue
            members.heard(fleet[receiver], sender, _known(sender, now))
            for peer in members.told(fleet[sender], now, rng):
                seen = _known(peer.name, now - peer.heard_ago_s)
                members.heard(fleet[receiver], peer.name, seen)


if __name__ == '__main__':
    unittest.main()
