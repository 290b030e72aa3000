"""A router process that stalls while it waits for answers."""

import asyncio
import time
import unittest
from typing import Any, NamedTuple

from beryllug.proofs.platform import site_test
from beryllug.standins import platform_site

# Seconds that a server works on a request or an event, and that the store takes
# to answer, so that a stall falls into it.
WORK_S = 0.05
SETTLE_S = 1.0
# Longer than the timeout of a liveness check of the store.
PING_STALL_S = 0.6
# Seconds between two stalls in a row: some turns of the event loop.
BETWEEN_S = 0.02
OK = 200


class Case(NamedTuple):
    """A request whose router stalls.

    Attributes:
        title: The timeout that the stalls exceed.
        load: The kind of request.
        stalls_s: Seconds of each stall.
        is_sent: Whether the first stall begins when a server has the request,
            else when its connection is being made.
    """

    title: str
    load: site_test.Load
    stalls_s: tuple[float, ...]
    is_sent: bool


LOOKUP, HOLD, DRAFT = site_test.LOADS
CASES = (
    Case('an attempt', LOOKUP, (1.6,), is_sent=True),
    Case('an attempt, with some time left', LOOKUP, (1.4,), is_sent=True),
    Case('a pause between events', DRAFT, (1.5,), is_sent=True),
    Case('a connect', LOOKUP, (0.35, 0.35, 0.35), is_sent=False),
    Case('a connect of a hold', HOLD, (0.35, 0.35, 0.35), is_sent=False),
)


class StallTest(site_test.SiteCase):
    """One router; stalls of the event loop of the test itself."""

    async def test_request(self) -> None:
        """A stall of the router is not taken for a fault of a server."""
        for instance in ('d1', 'd2', 'p1', 'p2'):
            runner = self.site.runners[instance]
            runner.cfg = runner.cfg._replace(work_s=WORK_S, event_s=WORK_S)
        for case in CASES:
            with self.subTest(case.title, path=case.load.path):
                before = len(self.runs(*case.load.servers))
                reply = await self._ask_during_stalls(case, before)
                self.assertEqual(reply.status, OK, self._failures())
                self.assertEqual(self._failures(), [])
                runs = len(self.runs(*case.load.servers)) - before
                self.assertEqual(runs, 1)

    async def _ask_during_stalls(
        self, case: Case, before: int
    ) -> platform_site.Reply:
        asking = asyncio.create_task(
            self.ask(case.load.path, method=case.load.method)
        )
        self.site.log_records.clear()
        while not self._has_begun(case, before):
            await asyncio.sleep(0)
        if case.is_sent:
            await asyncio.sleep(WORK_S / 2)
        for stall_s in case.stalls_s:
            time.sleep(stall_s)
            await asyncio.sleep(BETWEEN_S)
        return await asking

    def _has_begun(self, case: Case, before: int) -> bool:
        if case.is_sent:
            return len(self.runs(*case.load.servers)) > before
        seen = self.router.services.dump()['pool']
        return any(each['in_flight'] for each in seen.values())

    def _failures(self) -> list[dict[str, Any]]:
        """Return the attempts that were not answered by their server."""
        return [
            line
            for line in self.site.logged('attempt')
            if not line['came'].isdecimal() and 'confidence' not in line['came']
        ]


class FleetStallTest(site_test.SiteCase):
    """Three routers in one process, which all stall at the same time."""

    routers = 3

    async def test_idle(self) -> None:
        """Routers that stall neither lose one another nor the store."""
        self.site.store_stand_in.put_faults(answer_delay_s=WORK_S)
        await asyncio.sleep(SETTLE_S)
        for _ in range(3):
            await self._until_ping()
            time.sleep(PING_STALL_S)
            await asyncio.sleep(SETTLE_S)
        for event in ('store_lost', 'peer_lost'):
            with self.subTest(event):
                self.assertEqual(self.site.logged(event), [])
        stalled = self.site.logged('process_stalled')
        self.assertEqual(
            {line['process'] for line in stalled},
            {each.name for each in self.site.routers},
        )

    async def _until_ping(self) -> None:
        """Wait until the store answers a liveness check of some router."""
        calls = self.site.store_behaviour.calls
        before = calls.get('stale', 0)
        while calls.get('stale', 0) == before:
            await asyncio.sleep(0)


if __name__ == '__main__':
    unittest.main()
