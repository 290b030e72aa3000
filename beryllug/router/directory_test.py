"""Tests of when a router is ready to place requests."""

import asyncio
import unittest
from collections.abc import Mapping
from types import MappingProxyType, SimpleNamespace
from typing import Any

from beryllug.drivers import store_data, store_era
from beryllug.kernel import log_lines
from beryllug.router import directory, order_list, server_list, zone_list

LONG_S = 60.0
SHORT_S = 0.01
TABLE: Mapping[str, Any] = MappingProxyType(
    {'version': 1, 'routes': [], 'services': [], 'limits': {}}
)


class ReadyTest(unittest.IsolatedAsyncioTestCase):
    """A process that has just started and has no data."""

    async def asyncSetUp(self) -> None:
        lines = log_lines.LineWriter(1)
        api: Any = SimpleNamespace(eras=store_era.StoreEra())
        self.servers = server_list.ServerList(1, lines)
        orders = order_list.OrderList(lines)
        self.known = directory.Directory(
            api, self.servers, orders, zone_list.ZoneList(lines), lines
        )

    async def test_table_and_servers(self) -> None:
        """A request waits until both a route table and servers are known.

        They arrive one after the other, in any order, from the store or from a
        peer. With only one of them, a request would be refused at once although
        it could be placed a moment later.
        """
        for first, second in (
            (self._take_table, self._take_servers),
            (self._take_servers, self._take_table),
        ):
            with self.subTest(first.__name__):
                await self.asyncSetUp()
                waiting = asyncio.create_task(self.known.wait_ready(LONG_S))
                first()
                await asyncio.sleep(SHORT_S)
                self.assertFalse(waiting.done())
                second()
                await waiting
                self.assertTrue(self.known.is_ready())

    async def test_timeout(self) -> None:
        """The wait ends after the given time and raises nothing."""
        await self.known.wait_ready(SHORT_S)
        self.assertFalse(self.known.is_ready())

    def _take_table(self) -> None:
        self.known.take_table_spec(dict(TABLE), 'peer')

    def _take_servers(self) -> None:
        self.servers.listed(store_data.Listing((), 1), 0)


if __name__ == '__main__':
    unittest.main()
