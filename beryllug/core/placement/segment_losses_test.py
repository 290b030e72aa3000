"""Tests of the servers that are kept for each prompt segment."""

import unittest

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import segment_losses

BAD = 's/bad'
LONG = tuple(f's/{number}' for number in range(2000))


class SegmentLossesTest(unittest.TestCase):
    """Servers that are lost one after the other."""

    def setUp(self) -> None:
        """Start without any known losses."""
        self.known: suspects_data.SegmentLosses = {}

    def lose(self, number: int, keys: tuple[str, ...], at: float = 0) -> None:
        """Record a lost server."""
        lost = segment_losses.LostServer(f'i-{number}', at, keys)
        segment_losses.record(self.known, lost)

    def test_shared(self) -> None:
        """Each segment of a long prompt takes a record of its own."""
        for number in range(2):
            self.lose(number, LONG)
        self.assertEqual(len({id(losses) for losses in self.known.values()}), 1)

    def test_repeated(self) -> None:
        """A server that two processes tell of counts twice."""
        for _ in range(2):
            self.lose(0, (BAD,))
        self.assertEqual(
            segment_losses.instances(self.known, BAD, 0), frozenset(('i-0',))
        )

    def test_bounded(self) -> None:
        """What many conversations share is forgotten with their own parts."""
        for number in range(40):
            own = tuple(f's/{number}/{each}' for each in range(2000))
            self.lose(number, (BAD, *own), number)
        self.assertLessEqual(len(self.known), segment_losses.MAX_SEGMENTS)
        self.assertEqual(
            len(segment_losses.instances(self.known, BAD, 40)),
            segment_losses.MAX_LOSSES,
        )

    def test_expired(self) -> None:
        """A server that was lost long ago makes a segment a suspect."""
        self.lose(0, LONG)
        later = suspects.SUSPICION_S + 1
        self.lose(1, (BAD,), later)
        segment_losses.expire(self.known, later)
        self.assertEqual(list(self.known), [BAD])

    def test_cleared(self) -> None:
        """An answer before a loss clears it, however long before."""
        self.lose(0, (BAD,), 5)
        segment_losses.clear_before(self.known, BAD, 4)
        self.assertIn(BAD, self.known)
        segment_losses.clear_before(self.known, BAD, 5)
        self.assertNotIn(BAD, self.known)


if __name__ == '__main__':
    unittest.main()
