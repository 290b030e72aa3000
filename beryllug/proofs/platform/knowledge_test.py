"""Tests of what processes hand one another of the platform's store."""

import random
import types
import unittest
from typing import Any

from beryllug.core.peering import peering_data, standing
from beryllug.drivers import store_era
from beryllug.kernel import log_lines
from beryllug.router import (
    directory,
    knowledge,
    order_list,
    server_list,
    zone_list,
)
from beryllug.standins import platform_site

ROUTES = 1400
# Bytes of a table that 72 processes can be handed within a second by three
# whose links carry 10 Mbit/s.
MOST_BYTES = 50000
DIGEST = peering_data.Digest('one', '127.0.0.1:1', '127.0.0.1:2')


def _known() -> directory.Directory:
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
    """Return a table of many routes, with names that are drawn."""
    rng = random.Random(1)
    table = platform_site.table(7)
    like = table['routes'][0]
    table['routes'] = [
        like
        | {
            'name': f'r-{rng.getrandbits(32):08x}',
            'path_prefix': f'/{rng.getrandbits(32):08x}/',
        }
        for _ in range(ROUTES)
    ]
    return table


class KnowledgeTest(unittest.TestCase):
    """A process that was told by the store, and one that asks it."""

    def test_large_table(self) -> None:
        """An operator adds 1,400 routes; keys and routes are in force soon.

        Three processes hand the table to all others. As it is stored it has
        400 KB, and those with small links were seven seconds late.
        """
        one = _known()
        one.take_table_spec(_large_table(), 'store')
        other = _known()
        given = knowledge.Knowledge(one)
        own = DIGEST._replace(versions=given.versions())
        asked = knowledge.Knowledge(other).versions()
        digest = given.complete(own, asked, 0)
        self.assertLess(len(digest.table), MOST_BYTES)
        knowledge.Knowledge(other).take(digest, 0)
        self.assertEqual(other.table, one.table)

    def test_newer(self) -> None:
        """A newer table is packed anew; who has it is handed none."""
        one = _known()
        given = knowledge.Knowledge(one)
        for version in (1, 2):
            one.take_table_spec(platform_site.table(version), 'store')
            own = DIGEST._replace(versions=given.versions())
            digest = given.complete(own, peering_data.Versions(), 0)
            other = _known()
            knowledge.Knowledge(other).take(digest, 0)
            self.assertEqual(other.table, one.table)
        digest = given.complete(own, given.versions(), 0)
        self.assertEqual(digest.table, b'')

    def test_who_follows(self) -> None:
        """Who asks learns who follows the store, and how long ago that was.

        A process that has just started is known to nobody who would tell it.
        Not knowing of them it would follow the store itself, as all do that
        start.
        """
        given = knowledge.Knowledge(_known())
        standing.heard(given.standing, 'two', 9.5)
        standing.heard(given.standing, 'six', 2.0)
        digest = given.complete(DIGEST, given.versions(), 10)
        asking = knowledge.Knowledge(_known())
        asking.take(digest, 30)
        self.assertEqual(standing.watching(asking.standing, 30), {'two'})
        self.assertEqual(standing.watching(asking.standing, 30.8), set())


if __name__ == '__main__':
    unittest.main()
