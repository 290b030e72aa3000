"""Servers that refuse requests and ask their sender to stay away."""

import asyncio
import unittest

from beryllug.proofs.platform import site_test
from beryllug.standins import server_rules

REST_S = 2.0
# Seconds in which routers have sent requests to the servers they prefer.
MET_S = 1.0
PRESSED_S = 5.0
OK = 200


class RestTest(site_test.SiteCase):
    """Three routers, two servers a kind, of which one asks for rest."""

    routers = 3

    async def test_kept(self) -> None:
        """A server that asked a router for rest gets its requests on."""
        for load in site_test.LOADS:
            with self.subTest(load.path):
                await self.press(load, MET_S)
                rested = self.busiest(*load.servers)
                runner = self.site.runners[rested]
                runner.states = runner.states._replace(rest_s=REST_S)
                replies = await self.press(load, PRESSED_S)
                runner.states = runner.states._replace(rest_s=None)
                for router, came in self.arrivals(rested).items():
                    kept = server_rules.during_rest(came)
                    self.assertEqual(kept, [], router)
                await asyncio.sleep(REST_S)
                served = sum(each.status == OK for each in replies)
                # A hold that was refused has had its one attempt: one router
                # sends one for each time that the server asks for rest.
                refusals = self.routers * (PRESSED_S // REST_S + 1)
                self.assertGreaterEqual(served, len(replies) - refusals)


if __name__ == '__main__':
    unittest.main()
