"""Tests of the push forest and of differences of parts."""

import os
import unittest

from beryllug.core import part_delta, push_tree


class PushTreeTest(unittest.TestCase):
    """Who pushes to whom."""

    def test_each_once(self) -> None:
        """Every member but the roots has exactly one that pushes to it."""
        for count in (1, 2, 3, 8, 44, 45):
            for roots in sorted({1, 2, count}):
                order = [str(number) for number in range(count)]
                pushed = [
                    child
                    for member in order
                    for child in push_tree.children(order, roots, member)
                ]
                with self.subTest(count=count, roots=roots):
                    self.assertEqual(sorted(pushed), sorted(order[roots:]))

    def test_reached(self) -> None:
        """Pushes that start at the roots reach all in a few steps."""
        order = [str(number) for number in range(44)]
        reached = set(order[:2])
        for _ in range(3):
            reached |= {
                child
                for member in reached
                for child in push_tree.children(order, 2, member)
            }
        self.assertEqual(reached, set(order))

    def test_stranger(self) -> None:
        """Who is not a member pushes to nobody."""
        self.assertEqual(push_tree.children(['a', 'b'], 1, 'c'), ())


class PartDeltaTest(unittest.TestCase):
    """A part as its difference from another."""

    def test_round_trip(self) -> None:
        """Any part comes back over any base."""
        noise = os.urandom(50000)
        for base in (b'', b'x', noise):
            for content in (b'', b'y', noise[:-10] + b'z' * 10):
                delta = part_delta.compress(content, base)
                self.assertEqual(part_delta.expand(delta, base), content)

    def test_small(self) -> None:
        """One changed byte of a part costs far less than the part."""
        base = os.urandom(5000).hex().encode()
        changed = base.replace(base[4000:4004], b'beef', 1)
        delta = part_delta.compress(changed, base)
        self.assertLess(len(delta), len(base) // 50)

    def test_hostile(self) -> None:
        """What is no difference, or swells without bound, is refused."""
        swelling = part_delta.compress(bytes(part_delta.MAX_BYTES * 4), b'')
        for title, delta in (('noise', b'\xff' * 9), ('swelling', swelling)):
            with self.subTest(title), self.assertRaises(ValueError):
                part_delta.expand(delta, b'')


if __name__ == '__main__':
    unittest.main()
