"""Stores whose revisions or eras begin at a large number.

No page bounds either. A manifest that an operator had written never came into
force on a store whose revisions began at the time of day in milliseconds: they
spilled into the era, and the store's answers were refused as those of an
earlier era.
"""

import asyncio
import unittest

from beryllug.proofs.platform import returns_test, site_test
from beryllug.standins import platform_site, platform_store

UNAUTHORIZED = 401
STARTS: tuple[tuple[int, int], ...] = (
    (1, 1_733_530_000_000),
    # The revisions reach the next bit while the routers run.
    (1, 2**40 - 12),
    (1, 2**53 + 1),
    (1, 2**64 - 12),
    (3, 10**100),
    (2**24 - 1, 5),
    (10**19, 2**63),
)


class LargeReturnsTest(returns_test.ReturnsTest):
    """What holds when a store is restored holds with large numbers, too."""

    store_cfg = platform_store.PlatformStoreCfg(
        first_revision=2**64 - 12, first_era=2**24 - 1
    )


class TableTest(unittest.IsolatedAsyncioTestCase):
    """Four routers, one of which starts later than the others."""

    async def test_in_force(self) -> None:
        """A manifest comes into force nowhere, as revisions are large."""
        for era, revision in STARTS:
            with self.subTest(era=era, revision=revision):
                await self._check(
                    platform_site.Site(
                        platform_store.PlatformStoreCfg(
                            first_revision=revision, first_era=era
                        )
                    )
                )

    async def test_versions(self) -> None:
        """The notes of a process end, as the manifest's version is large."""
        for version in (2**63, 2**64, 10**30):
            with self.subTest(version):
                await self._check(platform_site.Site(), version)

    async def _check(self, site: platform_site.Site, version: int = 7) -> None:
        await site.open()
        self.addAsyncCleanup(site.close)
        for instance in ('d1', 'd2'):
            await site.add_runner(platform_site.DESK, instance)
        for _ in range(4):
            await site.until_ready(await site.add_router())
        for _ in range(20):
            site.list_runner(platform_site.DESK, 'd2')
        site.put_table(platform_site.table(version, tenants=[]))
        site.list_runner(platform_site.DESK, 'd1', 'draining')
        await site.until_ready(await site.add_router())
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            for router in site.routers:
                await self._until_refused(site, router)
        self.assertEqual(site.logged('store_returned'), [])
        self.assertEqual(site.logged('store_era_unreadable'), [])

    async def _until_refused(
        self, site: platform_site.Site, router: platform_site.Router
    ) -> None:
        while True:
            reply = await site.ask(router, site_test.LOOKUP)
            if reply.status == UNAUTHORIZED:
                return
