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
        table: tuple[tuple[float, set[str]], ...] = (
            (2, {'i-0', 'i-1', 'i-2'}),
            (1 + server_limits.ENDED_S, {'i-0', 'i-2'}),
            (server_limits.UNLISTED_S, {'i-0'}),
        )
        for now, kept in table:
            server_limits.forget(limits, listed, now)
            self.assertEqual(set(limits.words), kept)

    def test_told(self) -> None:
        """A word that goes round gets younger with each hop, for ever."""
        limits = server_limits.Limits()
        server_limits.take(limits, 'i', Word(2, 1))
        for word, per_s in (
            (Word(3, 1 + server_limits.HOP_S), 2),
            (Word(3, 1.1 + server_limits.HOP_S), 3),
            (Word(None, 2), None),
            (Word(3, 1.5), None),
        ):
            server_limits.take_told(limits, 'i', word)
            self.assertEqual(server_limits.per_s(limits, 'i'), per_s)


if __name__ == '__main__':
    unittest.main()
