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
        listing.replace(self.book, (), 10)
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


if __name__ == '__main__':
    unittest.main()
