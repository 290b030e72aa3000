"""Tests of rate limits that servers state in their answers."""

import unittest

from beryllug.core.placement import server_limits

Observation = server_limits.Observation


class ReadTest(unittest.TestCase):
    """Parsing of a limit."""

    def test_read(self) -> None:
        """A number that is not a valid rate is not a limit."""
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


class ObservationTest(unittest.TestCase):
    """The latest observation of a server."""

    def test_newest(self) -> None:
        """An out-of-order answer neither ends nor restores a limit."""
        table: tuple[tuple[str, tuple[Observation, ...], float | None], ...] = (
            ('stated', (Observation(2, 1),), 2),
            ('stated anew', (Observation(2, 1), Observation(3, 2)), 3),
            ('ended', (Observation(2, 1), Observation(None, 2)), None),
            (
                'sent before it was stated',
                (Observation(2, 1), Observation(None, 0.5)),
                2,
            ),
            (
                'received late',
                (Observation(2, 1), Observation(None, 2), Observation(2, 1.5)),
                None,
            ),
            (
                'stated again',
                (Observation(2, 1), Observation(None, 2), Observation(4, 3)),
                4,
            ),
        )
        for title, observed, per_s in table:
            with self.subTest(title):
                limits = server_limits.Limits()
                for seen in observed:
                    server_limits.take(limits, 'i', seen)
                self.assertEqual(server_limits.per_s(limits, 'i'), per_s)

    def test_forget(self) -> None:
        """Limits of servers that are gone are not kept forever."""
        limits = server_limits.Limits()
        for number in range(3):
            server_limits.take(limits, f'i-{number}', Observation(1, 0))
        server_limits.take(limits, 'i-1', Observation(None, 1))
        listed = frozenset(('i-0', 'i-1'))
        table: tuple[tuple[float, set[str]], ...] = (
            (2, {'i-0', 'i-1', 'i-2'}),
            (1 + server_limits.ENDED_S, {'i-0', 'i-2'}),
            (server_limits.UNLISTED_RETENTION_S, {'i-0'}),
        )
        for now, kept in table:
            server_limits.forget(limits, listed, now)
            self.assertEqual(set(limits.observed), kept)

    def test_told(self) -> None:
        """An observation that is gossiped in a circle is not renewed."""
        limits = server_limits.Limits()
        server_limits.take(limits, 'i', Observation(2, 1))
        for seen, per_s in (
            (Observation(3, 1 + server_limits.HOP_MARGIN_S), 2),
            (Observation(3, 1.1 + server_limits.HOP_MARGIN_S), 3),
            (Observation(None, 2), None),
            (Observation(3, 1.5), None),
        ):
            server_limits.take_remote(limits, 'i', seen)
            self.assertEqual(server_limits.per_s(limits, 'i'), per_s)

    def test_recent(self) -> None:
        """The end of a limit is sent on, as one that missed it keeps it."""
        limits = server_limits.Limits()
        server_limits.take(limits, 'limited', Observation(2, 5))
        for instance in ('ended', 'answers since'):
            server_limits.take(limits, instance, Observation(2, 0))
            server_limits.take(limits, instance, Observation(None, 5))
        for at in (6, 15, 24):
            server_limits.take(limits, 'answers since', Observation(None, at))
        every = {'limited', 'ended', 'answers since'}
        table: tuple[tuple[float, set[str]], ...] = (
            (6, every),
            (14, every),
            (5 + server_limits.ENDED_S, set()),
        )
        for now, expected in table:
            with self.subTest(now=now):
                recent = server_limits.recent(limits, now)
                self.assertEqual(set(recent), expected)


if __name__ == '__main__':
    unittest.main()
