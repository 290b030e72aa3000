"""Servers that say in their answers that they leave, before the store does."""

import unittest
from types import MappingProxyType

from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site, server_rules

DRAIN_S = 1.0
MS = 1000
# Seconds in which routers have sent requests to the servers they prefer.
MET_S = 1.5
PRESSED_S = 3.0
OK = 200
SERVICES = MappingProxyType(
    {
        site_test.LOOKUP: platform_site.DESK,
        site_test.HOLD: platform_site.DESK,
        site_test.DRAFT: platform_site.POOL,
    }
)


class LeavingTest(site_test.SiteCase):
    """Three routers, a server of each kind that leaves."""

    routers = 3
    settings = MappingProxyType({'drain_ms': DRAIN_S * MS})

    async def test_heard_in_answer(self) -> None:
        """A server gets requests from a router that it told it leaves."""
        for load in site_test.LOADS:
            with self.subTest(load.path):
                await self.press(load, MET_S)
                instance = self.busiest(*self._present(load))
                await self._leaves(instance, SERVICES[load.path])
                replies = await self.press(load, PRESSED_S)
                self.assertEqual({each.status for each in replies}, {OK})
                for router, came in self.arrivals(instance).items():
                    late = server_rules.after_leaving(came, DRAIN_S)
                    self.assertEqual(late, [], router)

    def _present(self, load: site_test.Load) -> list[str]:
        """Return the servers that do not leave."""
        runners = self.site.runners
        return [
            each for each in load.servers if not runners[each].states.is_leaving
        ]

    async def _leaves(self, instance: str, service: str) -> None:
        """Let a server say that it leaves, with another one there for it."""
        runner = self.site.runners[instance]
        runner.states = runner.states._replace(is_leaving=True)
        await self.site.add_runner(service, f'{instance}-next')


if __name__ == '__main__':
    unittest.main()
