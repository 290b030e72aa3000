"""Tests of the store data that processes exchange with peers."""

import random
import types
import unittest
from typing import Any

from beryllug.core.peering import peering_data, watcher_election
from beryllug.drivers import store_era
from beryllug.kernel import log_lines
from beryllug.router import (
    directory,
    store_exchange,
    order_list,
    server_list,
    zone_list,
)
from beryllug.standins import platform_site

ROUTES = 1400
# Maximum size of a table that three processes on 10 Mbit/s links can send to
# 72 others within a second.
MAX_TABLE_BYTES = 50000
DIGEST = peering_data.Digest('one', '127.0.0.1:1', '127.0.0.1:2')


def _directory() -> directory.Directory:
    lines = log_lines.LineWriter(1)
    api: Any = types.SimpleNamespace(eras=store_era.StoreEra())
    return directory.Directory(
        api,
        server_list.ServerList(1, lines),
        order_list.OrderList(lines),
        zone_list.ZoneList(lines),
        lines,
    )


def _large_table() -> dict[str, Any]:
    """Return a table of many routes with random names."""
    rng = random.Random(1)
    table = platform_site.table(7)
    template = table['routes'][0]
    table['routes'] = [
        template
        | {
            'name': f'r-{rng.getrandbits(32):08x}',
            'path_prefix': f'/{rng.getrandbits(32):08x}/',
        }
        for _ in range(ROUTES)
    ]
    return table


class KnowledgeTest(unittest.TestCase):
    """A process that has read the store, and one that asks it."""

    def test_large_table(self) -> None:
        """1,400 new routes are small enough to be passed on in a second.

        Three processes send the table to all others. In its stored form it has
        400 KB, and processes on slow links got it seven seconds late.
        """
        one = _directory()
        one.take_table_spec(_large_table(), 'store')
        other = _directory()
        given = store_exchange.StoreExchange(one)
        own = DIGEST._replace(versions=given.versions())
        asked = store_exchange.StoreExchange(other).versions()
        digest = given.add_missing(own, asked, 0)
        self.assertLess(len(digest.table), MAX_TABLE_BYTES)
        store_exchange.StoreExchange(other).apply(digest, 0)
        self.assertEqual(other.table, one.table)

    def test_newer(self) -> None:
        """A newer table is encoded again; up-to-date peers get none."""
        one = _directory()
        given = store_exchange.StoreExchange(one)
        for version in (1, 2):
            one.take_table_spec(platform_site.table(version), 'store')
            own = DIGEST._replace(versions=given.versions())
            digest = given.add_missing(own, peering_data.Versions(), 0)
            other = _directory()
            store_exchange.StoreExchange(other).apply(digest, 0)
            self.assertEqual(other.table, one.table)
        digest = given.add_missing(own, given.versions(), 0)
        self.assertEqual(digest.table, b'')

    def test_who_follows(self) -> None:
        """A peer learns which processes watch the store and how recently.

        No process reports to one that has just started. Without this
        information, all starting processes would watch the store themselves.
        """
        given = store_exchange.StoreExchange(_directory())
        watcher_election.record_watcher(given.standing, 'two', 9.5)
        watcher_election.record_watcher(given.standing, 'six', 2.0)
        digest = given.add_missing(DIGEST, given.versions(), 10)
        asking = store_exchange.StoreExchange(_directory())
        asking.apply(digest, 30)
        self.assertEqual(
            watcher_election.watching(asking.standing, 30), {'two'}
        )
        self.assertEqual(
            watcher_election.watching(asking.standing, 30.8), set()
        )


if __name__ == '__main__':
    unittest.main()
