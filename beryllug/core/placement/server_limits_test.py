"""Tests of what servers' answers say of their limits."""

import unittest

from beryllug.core.placement import server_limits

Word = server_limits.Word


class ReadTest(unittest.TestCase):
    """The text of a limit."""

    def test_read(self) -> None:
        """A decimal number that is no rate is no limit."""
        table: tuple[tuple[str, float | None], ...] = (
            ('1.6', 1.6),
            (' 20 ', 20),
            ('0', 0),
            ('', None),
            ('-1', None),
            ('nan', None),
            ('inf', None),
            ('soon', None),
        )
        for text, per_s in table:
            with self.subTest(text):
                self.assertEqual(server_limits.read(text), per_s)


class WordTest(unittest.TestCase):
    """What a server said last."""

    def test_newest(self) -> None:
        """An answer that was overtaken neither ends nor brings back a limit."""
        table: tuple[tuple[str, tuple[Word, ...], float | None], ...] = (
            ('named', (Word(2, 1),), 2),
            ('named anew', (Word(2, 1), Word(3, 2)), 3),
            ('ended', (Word(2, 1), Word(None, 2)), None),
            ('asked before it was named', (Word(2, 1), Word(None, 0.5)), 2),
            ('told late', (Word(2, 1), Word(None, 2), Word(2, 1.5)), None),
            ('named again', (Word(2, 1), Word(None, 2), Word(4, 3)), 4),
        )
        for title, words, per_s in table:
            with self.subTest(title):
                limits = server_limits.Limits()
                for word in words:
                    server_limits.take(limits, 'i', word)
                self.assertEqual(server_limits.per_s(limits, 'i'), per_s)

    def test_forget(self) -> None:
        """Limits of servers that are gone are not kept for ever."""
        limits = server_limits.Limits()
        for number in range(3):
            server_limits.take(limits, f'i-{number}', Word(1, 0))
        server_limits.take(limits, 'i-1', Word(None, 1))
        listed = frozenset(('i-0', 'i-1'))
        server_limits.forget(limits, listed, 2)
        self.assertEqual(set(limits.words), listed)
        server_limits.forget(limits, listed, 1 + server_limits.ENDED_S)
        self.assertEqual(set(limits.words), {'i-0'})


if __name__ == '__main__':
    unittest.main()
