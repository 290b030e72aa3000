"""Tests of which size of model answers."""

import unittest

from beryllug.core.placement import sizes

MODELS = ('small', 'middle', 'large')
# Size that answered, rank, confidence, spare seconds; the size asked instead.
CASES: tuple[tuple[str, int, int, int | None, float, int | None], ...] = (
    ('sure enough', 0, 0, 70, 1, None),
    ('not sure enough for an urgent one', 0, 0, 69, 1, 2),
    ('sure enough for a less urgent one', 0, 2, 50, 1, None),
    ('not sure for any', 0, 2, 49, 1, 2),
    ('the larger one would be late', 0, 0, 40, -1, None),
    ('late, but hardly worth keeping', 0, 0, 20, -1, 2),
    ('nothing said', 0, 0, None, 1, None),
    ('the largest already', 2, 0, 0, 1, None),
)


class SizesTest(unittest.TestCase):
    """When a small answer is dropped for a larger one."""

    def test_next(self) -> None:
        """Each case of the table."""
        for title, size, rank, confidence, spare_s, expected in CASES:
            with self.subTest(title):
                found = sizes.next_size(MODELS, size, rank, confidence, spare_s)
                self.assertEqual(found, expected)

    def test_one_model(self) -> None:
        """There is nothing larger than the only one."""
        self.assertIsNone(sizes.next_size(('solo',), 0, 0, 0, 1))


if __name__ == '__main__':
    unittest.main()
