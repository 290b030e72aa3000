"""Tests of how one kind of object in the platform's store is watched."""

import asyncio
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.drivers import http_client, store_data
from beryllug.kernel import log_lines
from beryllug.platform import store
from beryllug.router import store_watch
from beryllug.standins import platform_store

SERVERS = 'servers'
SERVER_COUNT = 40
GATHER_S = 0.05


class ManyServersTest(IsolatedAsyncioTestCase):
    """Many servers start in the same second."""

    async def asyncSetUp(self) -> None:
        stand_in = platform_store.stand_in(platform_store.PlatformStoreCfg())
        party = stand_in.service_behaviour
        assert isinstance(party, platform_store.PlatformStore)
        self.party = party
        client = http_client.HttpClient()
        self.api = store.Store(client, await stand_in.start(), 1)
        self.addAsyncCleanup(stand_in.stop)
        self.addAsyncCleanup(client.close)
        self.seen: list[str] = []
        follower = store_watch.Follower(
            self._take_list, self._take_changes, _ignore_call
        )
        self.watch = store_watch.StoreWatch(
            self.api, SERVERS, follower, log_lines.LineWriter(1)
        )

    async def test_many_servers(self) -> None:
        """All servers become known, the first at once, in few calls.

        With one call per entry, three watching processes would make as many
        calls in the second in which a zone recovers as in a minute without
        changes.
        """
        with mock.patch.object(store_watch, 'BATCH_S', GATHER_S):
            self.watch.start()
            self.addAsyncCleanup(self.watch.stop)
            await self._until(0)
            self.party.put(SERVERS, 'i-0', {})
            await self._until(1)
            for number in range(1, SERVER_COUNT):
                self.party.put(SERVERS, f'i-{number}', {})
                await asyncio.sleep(GATHER_S / SERVER_COUNT)
            await self._until(SERVER_COUNT)
        self.assertEqual(
            self.seen, [f'i-{each}' for each in range(SERVER_COUNT)]
        )
        self.assertLess(self.api.calls['watch'], SERVER_COUNT / 4)

    async def _until(self, count: int) -> None:
        async with asyncio.timeout(5):
            while len(self.seen) < count or not self.watch.is_current:
                await asyncio.sleep(0.001)

    def _take_list(self, found: store_data.Listing, now: float) -> None:
        self.seen.extend(each.name for each in found.found)

    def _take_changes(self, changes: store_data.Changes, now: float) -> None:
        self.seen.extend(each.stored.name for each in changes.changes)


def _ignore_call(is_reached: bool, now: float) -> None:
    """Ignore the result of a call."""


if __name__ == '__main__':
    main()
