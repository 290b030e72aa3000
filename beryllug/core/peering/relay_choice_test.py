"""Which peers are asked to forward a connection."""

import random
import unittest

from beryllug.core.peering import members, relay_choice

ZONE = 'a'
OWN = frozenset(('n0', 'n1', 'n2', 'n3'))
SERVER = '10.0.0.1:80'
OTHER_SERVER = '10.0.0.2:80'


class ChoiceTest(unittest.TestCase):
    """A fleet over two zones."""

    def setUp(self) -> None:
        self.known = members.Members('self')
        for number in range(8):
            zone = ZONE if number < 4 else 'b'
            seen = members.KnownPeer(f'c{number}', f'n{number}', 0, zone)
            members.record_peer(self.known, f'p{number}', seen)
        self.state = relay_choice.RelayState()
        self.rng = random.Random(1)

    def test_own_zone_first(self) -> None:
        """Connections go through another zone though the own one has links."""
        for _ in range(20):
            asked = self._choose(0)
            self.assertEqual(len(asked), relay_choice.MAX_ASKED)
            self.assertIn(asked[0], OWN)
            self.assertIn(asked[2], OWN)

    def test_other_zone(self) -> None:
        """All peers that are asked have lost their links together."""
        for _ in range(20):
            self.assertNotIn(self._choose(0)[1], OWN)

    def test_not_reached(self) -> None:
        """A peer that did not reach a server is asked for it again."""
        for number in range(3):
            relay_choice.unreached(self.state, f'n{number}', SERVER, 0)
        for _ in range(20):
            self.assertEqual(self._choose(0.5)[0], 'n3')
        first = {self._choose(0.5, OTHER_SERVER)[0] for _ in range(50)}
        self.assertEqual(first, OWN)

    def test_zone_cut(self) -> None:
        """Each connection is first tried through a zone that is cut off."""
        for number in range(4):
            relay_choice.unreached(self.state, f'n{number}', SERVER, 0)
        self.assertNotIn(self._choose(4, OTHER_SERVER)[0], OWN)
        self.assertIn(self._choose(6, OTHER_SERVER)[0], OWN)

    def test_zone_restored(self) -> None:
        """A zone is avoided though one of it has forwarded since."""
        for number in range(4):
            relay_choice.unreached(self.state, f'n{number}', SERVER, 0)
        relay_choice.forwarded(self.state, 'n0', 0.1)
        self.assertIn(self._choose(0.5, OTHER_SERVER)[0], OWN)

    def test_failed(self) -> None:
        """A peer that is cut off, too, would be asked again and again."""
        for number in range(3):
            relay_choice.failed(self.state, f'n{number}', 0)
        for _ in range(20):
            asked = self._choose(0.5)
            self.assertEqual(asked[0], 'n3')
            self.assertTrue({'n0', 'n1', 'n2'}.isdisjoint(asked))
        later = {self._choose(2)[0] for _ in range(20)}
        self.assertEqual(later, OWN)
        self.assertEqual(self.state.refused_at, {})

    def test_spread(self) -> None:
        """One peer would forward the connections of all others."""
        first = {self._choose(0)[0] for _ in range(50)}
        self.assertEqual(first, OWN)

    def _choose(self, now: float, server: str = SERVER) -> list[str]:
        target = relay_choice.Target(ZONE, server)
        return relay_choice.choose(
            self.state, self.known, target, now, self.rng
        )


if __name__ == '__main__':
    unittest.main()
