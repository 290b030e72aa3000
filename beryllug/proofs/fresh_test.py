"""Tests that a new deployment serves the sample documents immediately.

A process that has just started must not refuse requests because of default
estimates of service times.
"""

import json
import unittest
from pathlib import Path

from beryllug.core import document_plain
from beryllug.standins import caller, harness, records, sample

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'
REQUESTS = 20


class FreshTest(unittest.IsolatedAsyncioTestCase):
    """Uses the latency targets of the example documents."""

    async def asyncSetUp(self) -> None:
        """Start one host with the targets of an example document."""
        rendered = json.loads((EXAMPLES / 'kesarvan.json').read_text())
        targets = document_plain.build(rendered).targets
        plan = sample.plan(hosts=1)
        document = plan.document._replace(targets=targets)
        self.fleet = harness.Fleet(plan._replace(document=document))
        await self.fleet.start()
        self.caller = caller.Caller(sample.LARGE_KEY)
        self.host = self.fleet.hosts[0].callers

    async def asyncTearDown(self) -> None:
        """Stop the deployment."""
        await self.caller.close()
        await self.fleet.stop()

    async def test_served(self) -> None:
        """An idle deployment refuses no lookup or hold for its deadline."""
        refused = []
        for number in range(REQUESTS):
            for reply in (await self._lookup(), await self._hold(number)):
                if reply.error().get('code') == 'deadline':
                    refused.append(reply)
        self.assertEqual(refused, [])
        self.assertGreater(len(records.plain_runs_of(self.fleet)), REQUESTS)

    async def _lookup(self) -> caller.Reply:
        return await self.caller.ask(
            self.host, 'GET', '/v1/services/booking/slots'
        )

    async def _hold(self, number: int) -> caller.Reply:
        return await self.caller.ask(
            self.host,
            'POST',
            '/v1/services/booking/holds',
            {'slot': f'{number}'},
            idempotency_key=f'fresh-{number}',
        )


if __name__ == '__main__':
    unittest.main()
