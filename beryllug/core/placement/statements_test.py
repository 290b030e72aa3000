"""Tests of what a server states of itself in the head of an answer."""

import unittest

from beryllug.core.placement import statements

Leaving = statements.Leaving
RateLimit = statements.RateLimit
Unreadable = statements.Unreadable
Found = tuple[statements.Statement, ...]


class StatementsTest(unittest.TestCase):
    """Headers that a server may send, sound ones and others."""

    def test_leaving(self) -> None:
        """A word that can't be read is taken for none, or for another."""
        table: tuple[tuple[str, Found], ...] = (
            ('', ()),
            ('1', (Leaving(),)),
            (' 1', (Leaving(),)),
            ('1, 1', (Leaving(),)),
            ('0, 1', (Leaving(),)),
            ('0', ()),
            ('maybe', (Unreadable('leaving', 'maybe'),)),
            ('11', (Unreadable('leaving', '11'),)),
        )
        for text, found in table:
            with self.subTest(text):
                texts = statements.Texts(leaving=text)
                self.assertEqual(statements.read(texts, is_sealed=False), found)

    def test_limit(self) -> None:
        """An answer that is not the server's ends the server's limit."""
        table: tuple[tuple[str, bool, Found], ...] = (
            ('', True, (RateLimit(None),)),
            ('', False, ()),
            ('1.5', False, (RateLimit(1.5),)),
            ('x', True, (Unreadable('limit', 'x'),)),
        )
        for text, is_sealed, found in table:
            with self.subTest(text=text, is_sealed=is_sealed):
                texts = statements.Texts(limit=text)
                read = statements.read(texts, is_sealed=is_sealed)
                self.assertEqual(read, found)


if __name__ == '__main__':
    unittest.main()
