"""Tests of lists that many processes request from the store at once.

After all processes of a fleet of a hundred are killed, each lists a thousand
servers from the store, which refuses some of the calls. If each restarted its
list after a refusal, no request would be answered for half a minute.
"""

from typing import Any
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.drivers import http_client, object_data, store_data
from beryllug.platform import store
from beryllug.router import store_listing
from beryllug.standins import platform_store

SERVERS = 'servers'


class _Api:
    """A store client that refuses some calls and makes changes."""

    def __init__(
        self, api: store.Store, party: platform_store.PlatformStore
    ) -> None:
        self._api = api
        self._party = party
        self.refused: set[int] = set()
        self.changes: dict[int, str] = {}
        self.asked = 0

    async def list_page(self, kind: str, after: str = '') -> store_data.Page:
        self.asked += 1
        gone = self.changes.get(self.asked)
        if gone:
            self._party.remove(kind, gone)
        if self.asked in self.refused:
            raise object_data.RateLimitedError(0.1)
        return await self._api.list_page(kind, after)


class ListingTest(IsolatedAsyncioTestCase):
    """A list of ten servers, two per page."""

    async def asyncSetUp(self) -> None:
        stand_in = platform_store.stand_in(
            platform_store.PlatformStoreCfg(page=2)
        )
        party = stand_in.service_behaviour
        assert isinstance(party, platform_store.PlatformStore)
        client = http_client.HttpClient()
        self.store = store.Store(client, await stand_in.start(), 1)
        self.addAsyncCleanup(stand_in.stop)
        self.addAsyncCleanup(client.close)
        for name in 'abcdefghij':
            party.put(SERVERS, name, {'x': name})
        self.api = _Api(self.store, party)

    async def test_refused(self) -> None:
        """A refused page is requested again, and no page twice."""
        self.api.refused = {2, 3, 5}
        with mock.patch.object(store_listing, 'RETRY_PAUSES_S', (0.001,) * 4):
            found = await store_listing.list_all(self._untyped_api(), SERVERS)
        names = ''.join(each.name for each in found.found)
        self.assertEqual(names, 'abcdefghij')
        self.assertEqual(self.api.asked, 5 + 3)

    async def test_first_refused(self) -> None:
        """A refused first page fails: the store may be down."""
        self.api.refused = {1}
        with self.assertRaises(object_data.RateLimitedError):
            await store_listing.list_all(self._untyped_api(), SERVERS)
        self.assertEqual(self.api.asked, 1)

    async def test_change_between(self) -> None:
        """A server is removed from a page that has already been read.

        A watch from the list's revision must report the removal. Otherwise
        requests go to that server until something else reveals it.
        """
        self.api.changes = {3: 'b'}
        found = await store_listing.list_all(self._untyped_api(), SERVERS)
        self.assertIn('b', [each.name for each in found.found])
        after = await self.store.watch(SERVERS, found.revision, 0.1)
        gone = [each.stored.name for each in after.changes if each.is_deleted]
        self.assertEqual(gone, ['b'])

    def _untyped_api(self) -> Any:
        return self.api


if __name__ == '__main__':
    main()
