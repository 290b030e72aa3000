"""Tests of repairing JSON that is invalid in one part."""

import unittest

import msgspec

from beryllug.drivers import json_repair

DEPTH = 100_000
CASES: tuple[tuple[str, bytes, bytes], ...] = (
    ('sound', b'{"a":[1,"]"]}', b'{"a":[1,"]"]}'),
    ('quoted', rb'["\"[[", 1]', rb'["\"[[", 1]'),
    ('no UTF-8', b'["\xff\xfe", 1]', '["\ufffd\ufffd", 1]'.encode()),
)


class RepairTest(unittest.TestCase):
    """JSON after repair."""

    def test_cases(self) -> None:
        """Invalid UTF-8 is replaced; valid JSON stays unchanged."""
        for title, raw, expected in CASES:
            with self.subTest(title):
                self.assertEqual(json_repair.repair(raw), expected)

    def test_nested(self) -> None:
        """An entry nested too deeply is replaced; the others are kept."""
        deep = b''.join((b'[' * DEPTH, b']' * DEPTH))
        whole = json_repair.repair(b'{"items":[1,%b,{"a":2}]}' % deep)
        items = msgspec.json.decode(whole)['items']
        self.assertEqual((items[0], items[2]), (1, {'a': 2}))


if __name__ == '__main__':
    unittest.main()
