"""Servers that refuse requests and ask the router to back off."""

import asyncio
import unittest

from beryllug.platform import names
from beryllug.proofs.platform import site_test
from beryllug.standins import router_checks

BACKOFF_S = 2.0
# Seconds within which routers have sent requests to preferred servers.
WARM_UP_S = 1.0
LOAD_S = 5.0
OK = 200
UNAVAILABLE = 503


class BackoffTest(site_test.SiteCase):
    """Three routers, two servers a kind, of which one asks to back off."""

    routers = 3

    async def test_respected(self) -> None:
        """Routers send next to nothing in a backoff; others serve."""
        for load in site_test.LOADS:
            with self.subTest(load.path):
                await self.send_load(load, WARM_UP_S)
                refusing = self.busiest(*load.servers)
                self._set_backoff((refusing,), BACKOFF_S)
                replies = await self.send_load(load, LOAD_S)
                self._set_backoff((refusing,), None)
                self._check_backoff(refusing)
                await asyncio.sleep(BACKOFF_S)
                served = sum(each.status == OK for each in replies)
                # A refused hold has used its only attempt: each router sends
                # one whenever a backoff of the server is over.
                refusals = self.routers * (LOAD_S // BACKOFF_S + 1)
                self.assertGreaterEqual(served, len(replies) - refusals)

    async def test_all(self) -> None:
        """If all back off, callers get 503 with a true Retry-After."""
        for load in site_test.LOADS[1:]:
            with self.subTest(load.path):
                self._set_backoff(load.servers, BACKOFF_S)
                await self.send_load(load, WARM_UP_S)
                replies = await self.send_load(load, WARM_UP_S)
                for instance in load.servers:
                    self._check_backoff(instance)
                for reply in replies:
                    self.assertEqual(reply.status, UNAVAILABLE)
                    after_s = float(reply.headers[names.RETRY_AFTER])
                    self.assertLessEqual(after_s, BACKOFF_S)
                self._set_backoff(load.servers, None)
                await asyncio.sleep(BACKOFF_S)
                replies = await self.send_load(load, WARM_UP_S)
                self.assertEqual({each.status for each in replies}, {OK})

    async def test_over(self) -> None:
        """A server gets requests again when its backoff is over."""
        load = site_test.LOADS[0]
        self._set_backoff(load.servers, BACKOFF_S)
        await self.send_load(load, WARM_UP_S)
        self._set_backoff(load.servers, None)
        await asyncio.sleep(BACKOFF_S)
        before = self._arrived(load)
        replies = await self.send_load(load, WARM_UP_S)
        self.assertEqual({each.status for each in replies}, {OK})
        self.assertGreaterEqual(self._arrived(load) - before, len(replies))

    def _set_backoff(
        self, instances: tuple[str, ...], retry_after_s: float | None
    ) -> None:
        for instance in instances:
            runner = self.site.runners[instance]
            runner.reported_status = runner.reported_status._replace(
                retry_after_s=retry_after_s
            )

    def _check_backoff(self, instance: str) -> None:
        for router, came in self.arrivals(instance).items():
            self.assertEqual(
                router_checks.find_during_backoff(came), [], router
            )

    def _arrived(self, load: site_test.Load) -> int:
        return sum(
            len(self.site.runners[each].received_requests)
            for each in load.servers
        )


if __name__ == '__main__':
    unittest.main()
