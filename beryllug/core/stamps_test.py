"""Tests of the order of revisions over returns of a store."""

import unittest

from beryllug.core import stamps


# A revision after a change a millisecond for over ten years.
LATE = 2**39


class StampsTest(unittest.TestCase):
    """Eras and revisions in one number."""

    def test_order(self) -> None:
        """A late revision of an earlier era outranks one of a later era."""
        table = ((0, 5), (0, 9), (1, 1), (1, LATE), (2, 1))
        stamped = [stamps.stamp(era, revision) for era, revision in table]
        self.assertEqual(stamped, sorted(stamped))
        for each, (era, revision) in zip(stamped, table, strict=True):
            self.assertEqual(stamps.era(each), era)
            self.assertEqual(stamps.revision(each), revision)
            self.assertEqual(stamps.shown(each), f'{era}/{revision}')

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
