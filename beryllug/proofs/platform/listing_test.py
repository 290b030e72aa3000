"""Tests of lists that many processes ask the platform's store for at once.

What callers see without the safeguards: after all processes of a fleet of a
hundred were killed, nothing is answered for half a minute. Each lists a
thousand servers from the store, which refuses some calls of each, and each
begins its list anew after a refusal.
"""

from typing import Any
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.drivers import http_client, object_data, store_data
from beryllug.platform import store
from beryllug.router import store_listing
from beryllug.standins import platform_store

SERVERS = 'servers'


class _Api:
    """A store's client of which some calls are refused, and changes."""

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
            self._party.drop(kind, gone)
        if self.asked in self.refused:
            raise object_data.RateLimitedError(0.1)
        return await self._api.list_page(kind, after)


class ListingTest(IsolatedAsyncioTestCase):
    """A list of ten servers, two a page."""

    async def asyncSetUp(self) -> None:
        stand_in = platform_store.stand_in(
            platform_store.PlatformStoreCfg(page=2)
        )
        party = stand_in.party
        assert isinstance(party, platform_store.PlatformStore)
        client = http_client.HttpClient()
        self.store = store.Store(client, await stand_in.start(), 1)
        self.addAsyncCleanup(stand_in.stop)
        self.addAsyncCleanup(client.close)
        for name in 'abcdefghij':
            party.put(SERVERS, name, {'x': name})
        self.api = _Api(self.store, party)

    async def test_refused(self) -> None:
        """A refused page is asked for again, and no page twice."""
        self.api.refused = {2, 3, 5}
        with mock.patch.object(store_listing, 'PAUSES_S', (0.001,) * 4):
            found = await store_listing.list_all(self._asked(), SERVERS)
        names = ''.join(each.name for each in found.found)
        self.assertEqual(names, 'abcdefghij')
        self.assertEqual(self.api.asked, 5 + 3)

    async def test_first_refused(self) -> None:
        """A first page that is refused fails: the store is down, perhaps."""
        self.api.refused = {1}
        with self.assertRaises(object_data.RateLimitedError):
            await store_listing.list_all(self._asked(), SERVERS)
        self.assertEqual(self.api.asked, 1)

    async def test_change_between(self) -> None:
        """A server goes from a page that was read, before the last is.

        A watch from the revision of the list must tell of it, or requests go
        to that server for as long as nothing else is known of it.
        """
        self.api.changes = {3: 'b'}
        found = await store_listing.list_all(self._asked(), SERVERS)
        self.assertIn('b', [each.name for each in found.found])
        after = await self.store.watch(SERVERS, found.revision, 0.1)
        gone = [each.stored.name for each in after.changes if each.is_gone]
        self.assertEqual(gone, ['b'])

    def _asked(self) -> Any:
        return self.api


if __name__ == '__main__':
    main()
