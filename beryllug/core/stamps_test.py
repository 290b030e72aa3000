"""Tests of the order of revisions when a store is restored."""

import unittest

from beryllug.core import stamps


# The revision after more than ten years of one change per millisecond.
HIGH_REVISION = 2**39
ORDERED: tuple[tuple[int, int], ...] = (
    (0, 5),
    (0, 9),
    (1, 1),
    (1, HIGH_REVISION),
    (1, 2**40),
    (1, 2**64),
    (2, 1),
    (10**19, 10**100),
)


class StampsTest(unittest.TestCase):
    """Eras and revisions in one number."""

    def test_order(self) -> None:
        """A high revision of one era sorts before all of the next era."""
        stamped = [stamps.stamp(era, revision) for era, revision in ORDERED]
        self.assertEqual(stamped, sorted(stamped))
        for value, (era, revision) in zip(stamped, ORDERED, strict=True):
            self.assertEqual(stamps.era(value), era)
            self.assertEqual(stamps.revision(value), revision)
            self.assertEqual(stamps.format_stamp(value), f'{era}/{revision}')
            self.assertEqual(stamps.parse_stamp(f'{era}/{revision}'), value)

    def test_out_of_range(self) -> None:
        """A revision that a stamp can't hold is never taken for an era."""
        for revision in (-1, 2**stamps.REVISION_BITS):
            with self.subTest(revision), self.assertRaises(ValueError):
                stamps.stamp(1, revision)

    def test_return(self) -> None:
        """Only a later era than that of a known stamp is a restore."""
        cases: tuple[tuple[int, int, bool], ...] = (
            (stamps.stamp(2, 1), 0, False),
            (stamps.stamp(2, 1), stamps.stamp(0, 5), False),
            (stamps.stamp(2, 1), stamps.stamp(2, 5), False),
            (stamps.stamp(2, 1), stamps.stamp(1, 5), True),
            (stamps.stamp(1, 5), stamps.stamp(2, 1), False),
        )
        for stamped, before, is_return in cases:
            with self.subTest(stamped=stamped, before=before):
                self.assertIs(stamps.is_restored(stamped, before), is_return)


if __name__ == '__main__':
    unittest.main()
