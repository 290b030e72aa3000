"""Tests of the replay of membership, and of the builders of state."""

import unittest

from beryllug.bench.slopes import member_slope, member_tables, reports

SIZES = (3, 9, 40)


class TablesTest(unittest.TestCase):
    """Tables that are copies of one another."""

    def test_copies(self) -> None:
        """A copied table is what its process would have made itself."""
        for size in SIZES:
            known = member_tables.members(size)
            for member in known:
                with self.subTest(size=size, member=member.name):
                    others = [one for one in known if one != member]
                    made = member_tables.table_of((member, *others))
                    copied = member_tables.tables(size)[member.name]
                    self.assertEqual(copied.ring, made.ring)
                    self.assertEqual(copied.own, made.own)
                    self.assertEqual(copied.known, made.known)


class ReplayTest(unittest.TestCase):
    """A change reaches all."""

    def test_restart(self) -> None:
        """All hear of a restart, in at most a few rounds more than hops."""
        for size in SIZES:
            with self.subTest(size):
                spread = member_slope.restart(size)
                self.assertGreater(spread.rounds, 0)
                self.assertLessEqual(spread.rounds, size)
                self.assertGreater(spread.sent, 0)

    def test_zone(self) -> None:
        """All others believe the lost processes dead, not before 3 rounds."""
        spread = member_slope.lose_zone(40)
        self.assertGreater(spread.rounds, 3)
        self.assertLess(spread.rounds, member_slope.MOST_ROUNDS - 1)


class RecordTest(unittest.TestCase):
    """Records of a roll-out of a given size."""

    def test_record(self) -> None:
        """Each entry has a share and each account its tests."""
        record = reports.record(5, 3)
        self.assertEqual(len(record.exposure.shares), 5)
        self.assertEqual(len(record.scopes), 4)


if __name__ == '__main__':
    unittest.main()
