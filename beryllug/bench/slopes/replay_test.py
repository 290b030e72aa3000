"""Tests of the membership simulation and of the builders of state."""

import unittest

from beryllug.bench.slopes import member_slope, member_tables, reports

SIZES = (3, 9, 40)


class TablesTest(unittest.TestCase):
    """Tables that are derived from one another."""

    def test_copies(self) -> None:
        """A derived table equals one that is built by merging all members."""
        for size in SIZES:
            known = member_tables.members(size)
            for member in known:
                with self.subTest(size=size, member=member.name):
                    others = [one for one in known if one != member]
                    built = member_tables.table_of((member, *others))
                    copied = member_tables.tables(size)[member.name]
                    self.assertEqual(copied.ring, built.ring)
                    self.assertEqual(copied.own, built.own)
                    self.assertEqual(copied.known, built.known)


class ReplayTest(unittest.TestCase):
    """A change reaches all processes."""

    def test_restart(self) -> None:
        """All processes learn of a restart, in at most `size` rounds."""
        for size in SIZES:
            with self.subTest(size):
                spread = member_slope.restart(size)
                self.assertGreater(spread.rounds, 0)
                self.assertLessEqual(spread.rounds, size)
                self.assertGreater(spread.sent, 0)

    def test_zone(self) -> None:
        """All others mark the lost processes dead, after more than 3 rounds."""
        spread = member_slope.fail_zone(40)
        self.assertGreater(spread.rounds, 3)
        self.assertLess(spread.rounds, member_slope.MAX_ROUNDS - 1)


class RecordTest(unittest.TestCase):
    """Records of a roll-out with given numbers of entries and accounts."""

    def test_record(self) -> None:
        """There is a share per entry; a scope per account and one for all."""
        record = reports.record(5, 3)
        self.assertEqual(len(record.exposure.shares), 5)
        self.assertEqual(len(record.scopes), 4)


if __name__ == '__main__':
    unittest.main()
