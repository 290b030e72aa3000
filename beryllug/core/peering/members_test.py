"""Tests of the membership of the role `router`."""

import itertools
import random
import unittest
from collections.abc import Callable

from beryllug.core.peering import members


def _known_peer(name: str, at: float) -> members.KnownPeer:
    return members.KnownPeer(f'{name}:1', f'{name}:2', at)


def _fleet(size: int) -> dict[str, members.Members]:
    """Return processes that all know one another."""
    fleet = {f'p{each}': members.Members(f'p{each}') for each in range(size)}
    for known in fleet.values():
        for name in fleet:
            members.record_peer(known, name, _known_peer(name, 0))
    return fleet


def _mark_gone_everywhere(
    fleet: dict[str, members.Members], name: str, now: float
) -> None:
    for each in fleet.values():
        members.mark_gone(each, name, now)


class MembersTest(unittest.TestCase):
    """Signs of life, departures and timeouts."""

    def setUp(self) -> None:
        self.members = members.Members('one')
        members.record_peer(self.members, 'two', _known_peer('two', 10))

    def test_heard(self) -> None:
        """A process is new once; older news of it changes nothing."""
        self.assertFalse(
            members.record_peer(self.members, 'one', _known_peer('one', 10))
        )
        self.assertTrue(
            members.record_peer(self.members, 'six', _known_peer('six', 10))
        )
        members.record_peer(self.members, 'two', _known_peer('two', 4))
        self.assertEqual(self.members.known['two'].heard_at, 10)

    def test_gone(self) -> None:
        """A process that is silent or announces its stop is removed."""
        self.assertEqual(members.expire_peers(self.members, 15.9), [])
        self.assertEqual(members.expire_peers(self.members, 16.1), ['two'])
        members.record_peer(self.members, 'two', _known_peer('two', 20))
        self.assertTrue(members.mark_gone(self.members, 'two', 20))
        self.assertEqual(self.members.known, {})

    def test_outdated_news(self) -> None:
        """News from peers unaware of a departure does not revert it.

        A later sign of life does, and invalidates an older departure.
        """
        members.mark_gone(self.members, 'two', 12)
        self.assertFalse(
            members.record_peer(self.members, 'two', _known_peer('two', 11))
        )
        self.assertTrue(
            members.record_peer(self.members, 'two', _known_peer('two', 13))
        )
        self.assertFalse(members.mark_gone(self.members, 'two', 12.5))
        members.refresh_peer(self.members, 'two', 18)
        self.assertEqual(members.expire_peers(self.members, 23), [])

    def test_large_fleet(self) -> None:
        """75 live processes do not expire one another; a dead one is removed.

        Each calls two others a second. One is killed half way through: the
        caller detects it and notifies all others.
        """
        rng = random.Random(5)
        fleet = _fleet(75)
        expired = [self._run_round(fleet, now, rng) for now in range(60)]
        dead = fleet.pop('p7')
        expired.extend(
            self._run_round(fleet, now, rng) for now in range(60, 90)
        )
        self.assertEqual(sum(expired), 0)
        still_known_by = [
            each for each in fleet.values() if dead.name in each.known
        ]
        self.assertEqual(still_known_by, [])

    def test_partition(self) -> None:
        """Two partitioned zones find each other again.

        Each removes all processes of the other zone within seconds. Once the
        link is back, one call to a process that was gone is enough to start.
        """
        rng = random.Random(5)
        fleet = _fleet(12)
        for now in range(5):
            self._run_round(fleet, now, rng)
        names = sorted(fleet)
        for one, other in itertools.product(names[:6], names[6:]):
            members.mark_gone(fleet[one], other, 5)
            members.mark_gone(fleet[other], one, 5)
        for now in range(6, 10):
            self._run_round(fleet, now, rng)
        departed = fleet['p0'].gone
        self.assertEqual(len(departed), 6)
        self._exchange(fleet, 'p0', sorted(departed)[0], 10, rng)
        for now in range(11, 31):
            self._run_round(fleet, now, rng)
        fewest_known = min(len(each.known) for each in fleet.values())
        self.assertEqual(fewest_known, 11)

    def test_ranked(self) -> None:
        """All processes compute the same ranking, whatever their own name."""
        other = members.Members('two')
        members.record_peer(other, 'one', _known_peer('one', 10))
        for subject in ('pool', 'desk', 'chat'):
            with self.subTest(subject):
                self.assertEqual(
                    members.ranked(self.members, subject),
                    members.ranked(other, subject),
                )

    def test_rankings_follow_changes(self) -> None:
        """A ranking includes every join, departure and change of zone.

        The first processes of a ranking judge roll-outs and watch the store.
        With a stale cached ranking, a process that has died is chosen, and
        nobody does its work.
        """
        zoned = _known_peer('six', 11)._replace(zone='a')
        steps: tuple[tuple[str, Callable[[], object], int, list[str]], ...] = (
            ('unchanged', lambda: None, 2, []),
            (
                'another one joins',
                lambda: members.record_peer(
                    self.members, 'six', _known_peer('six', 10)
                ),
                3,
                [],
            ),
            (
                'its zone is learned',
                lambda: members.record_peer(self.members, 'six', zoned),
                3,
                ['six'],
            ),
            (
                'it stops',
                lambda: members.mark_gone(self.members, 'six', 12),
                2,
                [],
            ),
            (
                'the other one times out',
                lambda: members.expire_peers(self.members, 20),
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

    def test_convergence(self) -> None:
        """60 processes know one another after a few rounds of two calls each.

        Each starts with the address of one seed; in each round it sends some
        of the processes it knows to two others.
        """
        rng = random.Random(3)
        fleet = {
            f'p{number}': members.Members(f'p{number}') for number in range(60)
        }
        for known in fleet.values():
            members.record_peer(known, 'p0', _known_peer('p0', 0))
        for now in range(1, 16):
            for name, known in fleet.items():
                called = rng.sample(
                    sorted(known.known), min(2, len(known.known))
                )
                for peer in called or ['p0']:
                    self._exchange(fleet, name, peer, now, rng)
        fewest_known = min(len(each.known) for each in fleet.values())
        self.assertGreaterEqual(fewest_known, 55)

    def _run_round(
        self, fleet: dict[str, members.Members], now: float, rng: random.Random
    ) -> int:
        """Make each process call two others; return how many expired."""
        for name, known in fleet.items():
            for peer in rng.sample(sorted(known.known), 2):
                if peer in fleet:
                    self._exchange(fleet, name, peer, now, rng)
                else:
                    _mark_gone_everywhere(fleet, peer, now)
        return sum(
            len(members.expire_peers(each, now)) for each in fleet.values()
        )

    def _exchange(
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
            members.record_peer(
                fleet[receiver], sender, _known_peer(sender, now)
            )
            for peer in members.sample_peers(fleet[sender], now, rng):
                seen = _known_peer(peer.name, now - peer.heard_ago_s)
                members.record_peer(fleet[receiver], peer.name, seen)


if __name__ == '__main__':
    unittest.main()
