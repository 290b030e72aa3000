"""Tests of splitting JSON that may be invalid."""

import unittest
from typing import Any

import msgspec
from hypothesis import given, strategies

from beryllug.drivers import json_parts

SIZE = 1_000_000
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)
CASES: tuple[tuple[str, bytes, tuple[bytes, ...], bool], ...] = (
    ('list', b' [1, "]" ] ', (b'1', b' "]" '), True),
    (
        'nested',
        b'{"a":[1,{"b":2}],"c":3}',
        (b'"a":[1,{"b":2}]', b'"c":3'),
        True,
    ),
    ('quoted', rb'["\"[[", 1]', (rb'"\"[["', b' 1'), True),
    ('no UTF-8', b'["\xff", 1]', (b'"\xff"', b' 1'), True),
    ('blank', b'[ ]', (), True),
    ('open', b'[1,{"a":2]', (b'1', b'{"a":2]'), False),
    ('open text', b'[1,"2]', (b'1', b'"2]'), False),
    ('wrong bracket', b'[1,2}', (b'1', b'2}'), False),
)
# What a list may hold in place of an entry.
LARGE: tuple[tuple[str, bytes], ...] = (
    ('text', b'"%b"' % (b'x' * SIZE)),
    ('escapes', b'"%b"' % (rb'\n' * SIZE)),
    ('brackets', b'%b%b' % (b'[' * SIZE, b']' * SIZE)),
    ('open brackets', b'[' * SIZE),
    ('commas', b',' * SIZE),
)


class PartsTest(unittest.TestCase):
    """Parts of lists and objects."""

    def test_cases(self) -> None:
        """Parts are separated by the commas of the outermost brackets."""
        for title, raw, parts, is_closed in CASES:
            with self.subTest(title):
                expected = json_parts.Parts(parts, is_closed)
                self.assertEqual(json_parts.split(raw), expected)
                rest = json_parts.split(b'%b,1' % raw).rest.strip()
                self.assertEqual(rest, b',1' if is_closed else b'')

    @given(
        strategies.lists(JSON), strategies.dictionaries(strategies.text(), JSON)
    )
    def test_valid(self, listed: list[Any], members: dict[str, Any]) -> None:
        """The parts of valid JSON are its elements and members."""
        encode = msgspec.json.encode
        parts = json_parts.split(encode(listed))
        decoded = [msgspec.json.decode(part) for part in parts.parts]
        self.assertEqual((decoded, parts.is_closed), (listed, True))
        found = json_parts.split(encode(members)).parts
        rebuilt = b'{%b}' % b','.join(found)
        self.assertEqual(msgspec.json.decode(rebuilt), members)

    @given(strategies.binary())
    def test_any_bytes(self, raw: bytes) -> None:
        """A watch ends, as bytes that are no JSON raise an unknown error."""
        for function in (json_parts.split, json_parts.members):
            try:
                function(raw)
            except ValueError:
                self.assertNotIn(raw.lstrip()[:1], {b'{'})

    def test_large(self) -> None:
        """A process exceeds its memory, as it keeps a mark per character."""
        for title, raw in LARGE:
            with self.subTest(title):
                parts = json_parts.split(b'[1,%b' % raw)
                self.assertEqual(parts.parts[0], b'1')
                self.assertFalse(parts.is_closed)


if __name__ == '__main__':
    unittest.main()
