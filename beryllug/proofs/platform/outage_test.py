"""The platform's store is unavailable, for all routers or for one."""

import asyncio
from unittest import main, mock

from beryllug.core.placement import retry_delay
from beryllug.platform import names, store
from beryllug.proofs.platform import site_test
from beryllug.router import directory
from beryllug.standins import platform_site


class OutageTest(site_test.SiteCase):
    """Requests during an outage of the store and after it."""

    async def test_keeps_serving(self) -> None:
        """Requests are served from known data during the outage.

        The loss and the recovery are logged in one line each, with the count of
        failed calls between them.
        """
        self.site.store_stand_in.put_faults(refuse=True)
        await self.site.store_stand_in.settle()
        await self._until_logged('store_lost')
        for _ in range(5):
            reply = await self.ask(site_test.LOOKUP)
            self.assertEqual(reply.status, 200)
        self.site.store_stand_in.put_faults()
        await self._until_logged('store_regained')
        kinds = [line['kind'] for line in self.site.logged('store_lost')]
        self.assertEqual(len(kinds), len(set(kinds)))

    async def test_expired_entries(self) -> None:
        """All entries expire in the outage; their servers are still used.

        If they were dropped at once, every request would be refused until the
        entries are written again.
        """
        self.site.store_stand_in.put_faults(refuse=True)
        await self.site.store_stand_in.settle()
        await self._until_logged('store_lost')
        for instance in ('d1', 'd2'):
            self.site.store_behaviour.remove(store.SERVERS, instance)
        self.site.store_stand_in.put_faults()
        await self._until_logged('server_dropped')
        self.assertEqual((await self.ask(site_test.LOOKUP)).status, 200)

    async def test_no_table(self) -> None:
        """A lone router that starts in an outage refuses as "not run"."""
        alone = await self._start_alone()
        reply = await self.site.ask(alone, site_test.LOOKUP)
        self.assertEqual(reply.status, 503)
        self.assertIn(names.RETRY_AFTER, reply.headers)

    async def test_waits_for_table(self) -> None:
        """A request that arrives just before the route table waits for it.

        All routers were killed in an outage of the store, which is about to
        end. A caller that is refused would retry seconds later and miss its
        deadline.
        """
        alone = await self._start_alone()
        with mock.patch.object(retry_delay, 'table_wait_s', _long_wait):
            asking = asyncio.create_task(self.site.ask(alone, site_test.LOOKUP))
            await asyncio.sleep(platform_site.POLL_S)
            self.site.store_stand_in.put_faults()
            reply = await asking
        self.assertEqual(reply.status, 200)

    async def test_from_peers(self) -> None:
        """A router that starts in an outage gets all data from a peer."""
        self.site.store_stand_in.put_faults(refuse=True)
        await self.site.store_stand_in.settle()
        late = await self.site.add_router()
        await self.site.until_ready(late)
        reply = await self.site.ask(late, site_test.LOOKUP)
        self.assertEqual(reply.status, 200)

    async def test_keys_from_peers(self) -> None:
        """A key is revoked while the store refuses one router.

        That router learns of it from a peer and refuses the key.
        """
        late = await self.site.add_router()
        await self.site.until_ready(late)
        self.site.store_stand_in.put_faults(
            only='GET /beryllug/objects/config', unavailable=True
        )
        await self._cut_watches()
        document = platform_site.table(9, tenants=[])
        known = late.services.find('directory', directory.Directory)
        known.take_table_spec(document, 'operator')
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while (await self.ask(site_test.LOOKUP)).status != 401:
                await asyncio.sleep(platform_site.POLL_S)

    async def test_compacted(self) -> None:
        """Changes made while the store compacts its history are found."""
        await self._cut_watches()
        self.site.put_table(platform_site.table(3))
        self.site.store_behaviour.compact()
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not any(
                line['version'] == 3 for line in self.site.logged('table_taken')
            ):
                await asyncio.sleep(platform_site.POLL_S)

    async def test_older_table(self) -> None:
        """An older table is ignored, whatever its source."""
        known = self.router.services.find('directory', directory.Directory)
        known.take_table_spec(platform_site.table(5), 'peer')
        known.take_table_spec(platform_site.table(4, tenants=[]), 'peer')
        self.assertEqual((await self.ask(site_test.LOOKUP)).status, 200)

    async def _start_alone(self) -> platform_site.Router:
        """Stop all routers and start one during an outage."""
        self.site.store_stand_in.put_faults(refuse=True)
        await self.site.store_stand_in.settle()
        for router in self.site.routers:
            await router.services.stop(0)
        self.site.routers.clear()
        return await self.site.add_router()

    async def _cut_watches(self) -> None:
        self.site.store_behaviour.compact()
        await asyncio.sleep(platform_site.POLL_S)

    async def _until_logged(self, event: str) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not self.site.logged(event):
                await asyncio.sleep(platform_site.POLL_S)


def _long_wait(left_s: float) -> float:
    """Return a wait that does not end early on a busy host."""
    return platform_site.TIMEOUT_S


if __name__ == '__main__':
    main()
