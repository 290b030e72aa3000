"""Tests of the push forest and of deltas of parts."""

import os
import unittest

from beryllug.core import part_delta, push_tree


class PushTreeTest(unittest.TestCase):
    """Members that receive a push."""

    def test_each_once(self) -> None:
        """Every member but the roots gets a push from exactly one member."""
        for count in (1, 2, 3, 8, 44, 45):
            for roots in sorted({1, 2, count}):
                order = [str(number) for number in range(count)]
                receivers = [
                    child
                    for member in order
                    for child in push_tree.children(order, roots, member)
                ]
                with self.subTest(count=count, roots=roots):
                    self.assertEqual(sorted(receivers), sorted(order[roots:]))

    def test_all_reached(self) -> None:
        """Pushes from the roots reach all members in a few steps."""
        order = [str(number) for number in range(44)]
        reached = set(order[:2])
        for _ in range(3):
            reached |= {
                child
                for member in reached
                for child in push_tree.children(order, 2, member)
            }
        self.assertEqual(reached, set(order))

    def test_non_member(self) -> None:
        """A process that is not a member has no children."""
        self.assertEqual(push_tree.children(['a', 'b'], 1, 'c'), ())


class PartDeltaTest(unittest.TestCase):
    """Deltas between two parts."""

    def test_round_trip(self) -> None:
        """Any part is restored from its delta to any base."""
        random_bytes = os.urandom(50000)
        for base in (b'', b'x', random_bytes):
            for content in (b'', b'y', random_bytes[:-10] + b'z' * 10):
                delta = part_delta.compress(content, base)
                self.assertEqual(part_delta.expand(delta, base), content)

    def test_small(self) -> None:
        """The delta of a small change is far smaller than the part."""
        base = os.urandom(5000).hex().encode()
        changed = base.replace(base[4000:4004], b'beef', 1)
        delta = part_delta.compress(changed, base)
        self.assertLess(len(delta), len(base) // 50)

    def test_invalid_delta(self) -> None:
        """An invalid delta, or one that expands without bound, is rejected."""
        oversized = part_delta.compress(bytes(part_delta.MAX_BYTES * 4), b'')
        for title, delta in (
            ('noise', b'\xff' * 9),
            ('oversized', oversized),
        ):
            with self.subTest(title), self.assertRaises(ValueError):
                part_delta.expand(delta, b'')


if __name__ == '__main__':
    unittest.main()
