"""Tests of which servers are believed to be there."""

import unittest

from beryllug.core.placement import listing, servers_data

State = servers_data.State


def _server(
    instance: str, state: State = State.READY, port: int = 1
) -> servers_data.Server:
    return servers_data.Server(
        instance, 'pool', f'10.0.0.1:{port}', 'a', 'v1', 6, state
    )


class ListingTest(unittest.TestCase):
    """A server whose entry goes, with and without the store's trouble."""

    def setUp(self) -> None:
        self.book = listing.Book(doubt_s=1.5)
        listing.put(self.book, _server('s1'))

    def test_dropped(self) -> None:
        """A dropped entry is doubted for its time, then gone.

        The platform drops the entries of sound servers while its store is
        away. Without the doubt every server would be gone at once and every
        caller refused, although all of them serve.
        """
        listing.drop(self.book, 's1', 10)
        table: tuple[tuple[float, int], ...] = ((10, 1), (11.4, 1), (11.6, 0))
        for now, doubted in table:
            with self.subTest(now):
                listed, found = listing.usable(self.book, now)
                self.assertEqual((len(listed), len(found)), (0, doubted))

    def test_two_outages(self) -> None:
        """The store goes away again before the lapsed entries are back.

        The server lives on and is kept through the second outage, until the
        store has been back for its time. One that went while all was well is
        not: it may have left.
        """
        listing.put(self.book, _server('s2', port=2))
        listing.drop(self.book, 's2', 5)
        listing.store_failed(self.book)
        listing.store_answered(self.book, 10)
        listing.drop(self.book, 's1', 10.1)
        listing.store_failed(self.book)
        for now in (10.2, 20, 30):
            _, doubted = listing.usable(self.book, now)
            self.assertEqual([each.instance for each in doubted], ['s1'])
        listing.store_answered(self.book, 30)
        self.assertEqual(len(listing.usable(self.book, 32.4)[1]), 1)
        self.assertEqual(len(listing.usable(self.book, 32.6)[1]), 0)

    def test_after_outage(self) -> None:
        """What lapsed in an outage may come back for a while after it."""
        listing.store_failed(self.book)
        listing.store_answered(self.book, 10)
        listing.drop(self.book, 's1', 10)
        self.assertEqual(len(listing.usable(self.book, 12.4)[1]), 1)
        self.assertEqual(len(listing.usable(self.book, 12.6)[1]), 0)

    def test_back(self) -> None:
        """An entry that comes back is listed again."""
        listing.drop(self.book, 's1', 10)
        listing.put(self.book, _server('s1'))
        self.assertEqual(len(listing.usable(self.book, 20)[0]), 1)

    def test_leaving(self) -> None:
        """One that said it leaves gets nothing, and is not doubted after."""
        listing.put(self.book, _server('s1', State.LEAVING))
        self.assertEqual(listing.usable(self.book, 10), ([], []))
        listing.drop(self.book, 's1', 10)
        self.assertEqual(listing.usable(self.book, 10), ([], []))

    def test_reused_address(self) -> None:
        """A doubted server whose address another one has is gone."""
        listing.drop(self.book, 's1', 10)
        listing.put(self.book, _server('s2'))
        listed, doubted = listing.usable(self.book, 10)
        self.assertEqual([each.instance for each in listed], ['s2'])
        self.assertEqual(doubted, [])

    def test_born_again(self) -> None:
        """A server crashes and starts again under its name.

        What was known of it does not hold for the new one; an entry of the
        first start that comes late, or one without a start, is not taken.
        """
        table: tuple[tuple[str, int, bool, str | None], ...] = (
            ('the first that states its start', 5, False, 's1'),
            ('the same again', 5, False, None),
            ('a later one', 9, False, 's1@5'),
            ('the earlier, late', 5, True, None),
            ('one without a start', 0, True, None),
        )
        for title, born, is_stale, before in table:
            with self.subTest(title):
                server = _server('s1')._replace(born=born)
                found = listing.is_stale(self.book, server)
                self.assertEqual(found, is_stale)
                if not found:
                    replaced = listing.put(self.book, server)
                    name = replaced.instance if replaced else None
                    self.assertEqual(name, before)
        listing.drop(self.book, 's1', 10)
        late = _server('s1')._replace(born=5)
        self.assertTrue(listing.is_stale(self.book, late))

    def test_born_again_while_doubted(self) -> None:
        """The entry lapses, and another start comes back for it."""
        listing.put(self.book, _server('s1')._replace(born=5))
        listing.drop(self.book, 's1', 10)
        before = listing.put(self.book, _server('s1')._replace(born=6))
        self.assertEqual(before and before.instance, 's1@5')
        listed, doubted = listing.usable(self.book, 10)
        self.assertEqual([each.instance for each in listed], ['s1@6'])
        self.assertEqual(doubted, [])


class LeavingTest(unittest.TestCase):
    """A server states in its answers that it leaves."""

    def setUp(self) -> None:
        self.book = listing.Book(doubt_s=1.5)
        listing.put(self.book, _server('s1'))
        listing.put(self.book, _server('s2', port=2))
        self.assertTrue(listing.states_leaving(self.book, 's1', 0))

    def test_outranks_entry(self) -> None:
        """An entry that still says ready brings a leaving server back."""
        self.assertEqual(self._taking(1), ['s2'])
        listing.put(self.book, _server('s1', State.LEAVING))
        listing.put(self.book, _server('s1'))
        self.assertEqual(self._taking(1), ['s2'])
        self.assertFalse(listing.states_leaving(self.book, 's1', 2))
        listing.forget_leaving(self.book, 1000)
        self.assertEqual(self._taking(1000), ['s2'])

    def test_gone(self) -> None:
        """A leaving server whose entry goes counts as lost, or is doubted."""
        self.assertIsNone(listing.drop(self.book, 's1', 3))
        self.assertEqual(self._taking(3), ['s2'])
        listing.put(self.book, _server('s1'))
        self.assertEqual(self._taking(4), ['s2'])

    def test_doubted(self) -> None:
        """A server is doubted, and its word that it leaves comes then."""
        listing.drop(self.book, 's2', 3)
        self.assertEqual(self._taking(3), ['s2'])
        listing.states_leaving(self.book, 's2', 3.5)
        self.assertEqual(self._taking(3.5), [])

    def test_started_again(self) -> None:
        """A server that starts again under its id is taken for leaving."""
        again = _server('s1')._replace(born=5)
        listing.put(self.book, again)
        self.assertEqual(self._taking(1), ['s1', 's2'])

    def test_forgotten(self) -> None:
        """What is known of servers that are gone grows without end."""
        listing.drop(self.book, 's1', 3)
        listing.states_leaving(self.book, 'unlisted', 3)
        listing.forget_leaving(self.book, 3 + listing.LEAVING_S / 2)
        self.assertEqual(len(self.book.leaving), 2)
        listing.forget_leaving(self.book, 3 + listing.LEAVING_S)
        self.assertEqual(self.book.leaving, {})

    def _taking(self, now: float) -> list[str]:
        listed, doubted = listing.usable(self.book, now)
        return sorted(each.name for each in (*listed, *doubted))


if __name__ == '__main__':
    unittest.main()
