"""Servers that refuse requests and ask their sender to back off."""

import asyncio
import unittest

from beryllug.platform import names
from beryllug.proofs.platform import site_test
from beryllug.standins import server_rules

BACKOFF_S = 2.0
# Seconds in which routers have sent requests to the servers they prefer.
MET_S = 1.0
PRESSED_S = 5.0
OK = 200
UNAVAILABLE = 503


class BackoffTest(site_test.SiteCase):
    """Three routers, two servers a kind, of which one asks to back off."""

    routers = 3

    async def test_kept(self) -> None:
        """A server that asked a router to back off gets its requests on."""
        for load in site_test.LOADS:
            with self.subTest(load.path):
                await self.press(load, MET_S)
                refusing = self.busiest(*load.servers)
                self._put((refusing,), BACKOFF_S)
                replies = await self.press(load, PRESSED_S)
                self._put((refusing,), None)
                self._check(refusing)
                await asyncio.sleep(BACKOFF_S)
                served = sum(each.status == OK for each in replies)
                # A hold that was refused has had its one attempt: one router
                # sends one for each time that the server asks for rest.
                refusals = self.routers * (PRESSED_S // BACKOFF_S + 1)
                self.assertGreaterEqual(served, len(replies) - refusals)

    async def test_all(self) -> None:
        """Callers wait, or get no true time, while all servers want nothing."""
        for load in site_test.LOADS[1:]:
            with self.subTest(load.path):
                self._put(load.servers, BACKOFF_S)
                await self.press(load, MET_S)
                replies = await self.press(load, MET_S)
                for instance in load.servers:
                    self._check(instance)
                for reply in replies:
                    self.assertEqual(reply.status, UNAVAILABLE)
                    after_s = float(reply.headers[names.RETRY_AFTER])
                    self.assertLessEqual(after_s, BACKOFF_S)
                self._put(load.servers, None)
                await asyncio.sleep(BACKOFF_S)
                replies = await self.press(load, MET_S)
                self.assertEqual({each.status for each in replies}, {OK})

    async def test_over(self) -> None:
        """A server gets nothing any more though its time is over."""
        load = site_test.LOADS[0]
        self._put(load.servers, BACKOFF_S)
        await self.press(load, MET_S)
        self._put(load.servers, None)
        await asyncio.sleep(BACKOFF_S)
        before = self._arrived(load)
        replies = await self.press(load, MET_S)
        self.assertEqual({each.status for each in replies}, {OK})
        self.assertGreaterEqual(self._arrived(load) - before, len(replies))

    def _put(
        self, instances: tuple[str, ...], retry_after_s: float | None
    ) -> None:
        for instance in instances:
            runner = self.site.runners[instance]
            runner.states = runner.states._replace(retry_after_s=retry_after_s)

    def _check(self, instance: str) -> None:
        for router, came in self.arrivals(instance).items():
            self.assertEqual(server_rules.during_backoff(came), [], router)

    def _arrived(self, load: site_test.Load) -> int:
        return sum(
            len(self.site.runners[each].arrivals) for each in load.servers
        )


if __name__ == '__main__':
    unittest.main()
