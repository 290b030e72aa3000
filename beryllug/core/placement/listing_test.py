"""Tests of which servers are believed to be available."""

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
    """A server whose entry is dropped, with and without a store outage."""

    def setUp(self) -> None:
        self.book = listing.ServerListing(doubt_s=1.5)
        listing.put(self.book, _server('s1'))

    def test_dropped(self) -> None:
        """A dropped server is doubted for its time, then removed.

        The platform drops the entries of healthy servers during a store outage.
        Without this delay all servers would be removed at once and every caller
        refused, although all servers are running.
        """
        listing.drop(self.book, 's1', 10)
        table: tuple[tuple[float, int], ...] = ((10, 1), (11.4, 1), (11.6, 0))
        for now, doubted in table:
            with self.subTest(now):
                listed, found = listing.usable(self.book, now)
                self.assertEqual((len(listed), len(found)), (0, doubted))

    def test_two_outages(self) -> None:
        """The store fails again before the expired entries are back.

        The server keeps running and is kept through the second outage, until
        the store has been available for long enough. One that was dropped
        without an outage is not kept: it may have left.
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
        """Entries that expired in an outage may return for a while after it."""
        listing.store_failed(self.book)
        listing.store_answered(self.book, 10)
        listing.drop(self.book, 's1', 10)
        self.assertEqual(len(listing.usable(self.book, 12.4)[1]), 1)
        self.assertEqual(len(listing.usable(self.book, 12.6)[1]), 0)

    def test_back(self) -> None:
        """An entry that returns is listed again."""
        listing.drop(self.book, 's1', 10)
        listing.put(self.book, _server('s1'))
        self.assertEqual(len(listing.usable(self.book, 20)[0]), 1)

    def test_leaving(self) -> None:
        """A server that announced that it leaves is not used or doubted."""
        listing.put(self.book, _server('s1', State.LEAVING))
        self.assertEqual(listing.usable(self.book, 10), ([], []))
        listing.drop(self.book, 's1', 10)
        self.assertEqual(listing.usable(self.book, 10), ([], []))

    def test_reused_address(self) -> None:
        """A doubted server is dropped if another one has its address."""
        listing.drop(self.book, 's1', 10)
        listing.put(self.book, _server('s2'))
        listed, doubted = listing.usable(self.book, 10)
        self.assertEqual([each.instance for each in listed], ['s2'])
        self.assertEqual(doubted, [])

    def test_born_again(self) -> None:
        """A server crashes and restarts under its name.

        State of the previous incarnation does not apply to the new one; a late
        entry of the first start, or one without a start time, is not accepted.
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
        """The entry expires, and a later incarnation replaces it."""
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
        self.book = listing.ServerListing(doubt_s=1.5)
        listing.put(self.book, _server('s1'))
        listing.put(self.book, _server('s2', port=2))
        self.assertTrue(listing.record_leaving(self.book, 's1', 0))

    def test_outranks_entry(self) -> None:
        """An entry that still says ready does not restore a leaving server."""
        self.assertEqual(self._taking(1), ['s2'])
        listing.put(self.book, _server('s1', State.LEAVING))
        listing.put(self.book, _server('s1'))
        self.assertEqual(self._taking(1), ['s2'])
        self.assertFalse(listing.record_leaving(self.book, 's1', 2))
        listing.forget_leaving(self.book, 1000)
        self.assertEqual(self._taking(1000), ['s2'])

    def test_gone(self) -> None:
        """A leaving server whose entry is gone is neither lost nor doubted."""
        self.assertIsNone(listing.drop(self.book, 's1', 3))
        self.assertEqual(self._taking(3), ['s2'])
        listing.put(self.book, _server('s1'))
        self.assertEqual(self._taking(4), ['s2'])

    def test_doubted(self) -> None:
        """A leaving notice arrives while the server is doubted."""
        listing.drop(self.book, 's2', 3)
        self.assertEqual(self._taking(3), ['s2'])
        listing.record_leaving(self.book, 's2', 3.5)
        self.assertEqual(self._taking(3.5), [])

    def test_started_again(self) -> None:
        """A server that restarts under its id is not taken for leaving."""
        again = _server('s1')._replace(born=5)
        listing.put(self.book, again)
        self.assertEqual(self._taking(1), ['s1', 's2'])

    def test_forgotten(self) -> None:
        """Leaving notices of servers that are gone are removed."""
        listing.drop(self.book, 's1', 3)
        listing.record_leaving(self.book, 'unlisted', 3)
        listing.forget_leaving(self.book, 3 + listing.LEAVING_S / 2)
        self.assertEqual(len(self.book.leaving), 2)
        listing.forget_leaving(self.book, 3 + listing.LEAVING_S)
        self.assertEqual(self.book.leaving, {})

    def _taking(self, now: float) -> list[str]:
        listed, doubted = listing.usable(self.book, now)
        return sorted(each.name for each in (*listed, *doubted))


if __name__ == '__main__':
    unittest.main()
