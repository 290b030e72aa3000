"""Tests of the order of revisions over returns of a store."""

import unittest

from beryllug.core import stamps


class StampsTest(unittest.TestCase):
    """Eras and revisions in one number."""

    def test_order(self) -> None:
        """A late revision of an earlier era outranks one of a later era."""
        stamped = [
            stamps.stamp(era, revision)
            for era, revision in ((0, 5), (0, 9), (1, 1), (1, 2**39), (2, 1))
        ]
        self.assertEqual(stamped, sorted(stamped))
        self.assertEqual(
            [stamps.era(each) for each in stamped], [0, 0, 1, 1, 2]
        )
        self.assertEqual(stamps.revision(stamped[3]), 2**39)
        self.assertEqual(stamps.shown(stamped[2]), '1/1')

    def test_return(self) -> None:
        """The first list that a process has is taken for a return."""
        table: tuple[tuple[int, int, bool], ...] = (
            (stamps.stamp(2, 1), 0, False),
            (stamps.stamp(2, 1), stamps.stamp(2, 5), False),
            (stamps.stamp(2, 1), stamps.stamp(1, 5), True),
            (stamps.stamp(1, 5), stamps.stamp(2, 1), False),
        )
        for stamped, before, is_return in table:
            with self.subTest(stamped=stamped, before=before):
                self.assertIs(stamps.is_return(stamped, before), is_return)


if __name__ == '__main__':
    unittest.main()
