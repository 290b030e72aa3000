"""A long report arrives whole and once, over the death of its entry host."""

import asyncio
import unittest

from beryllug.core import journal_data
from beryllug.proofs import scenario
from beryllug.standins import (
    caller,
    engine_worker,
    fleet_settings,
    harness,
    invariants,
    records,
    sample,
)

TOKEN_S = 0.01
TOKENS = 200
HOLD_MS = 2000
MS = 1000
KEY = 'report-of-the-week'
PROMPT = 'who works on Sunday'


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    """Engines slow enough that a report takes two seconds."""

    async def asyncSetUp(self) -> None:
        """Start two entry hosts."""
        slow = engine_worker.EngineCfg(
            concurrency=sample.CONCURRENCY, token_s=TOKEN_S
        )
        servers = tuple(
            server._replace(engine=slow if server.engine else None)
            for server in sample.servers()
        )
        plan = sample.plan()._replace(servers=servers)
        targets = tuple(
            target._replace(total_ms=HOLD_MS)
            if target.request_class == 'hold'
            else target
            for target in plan.document.targets
        )
        document = plan.document._replace(targets=targets)
        self.fleet = harness.Fleet(plan._replace(document=document))
        await self.fleet.start()
        self.caller = caller.Caller(sample.LARGE_KEY)
        self.hosts = [ports.callers for ports in self.fleet.hosts]

    async def asyncTearDown(self) -> None:
        """Stop them."""
        await self.caller.close()
        await self.fleet.stop()

    async def test_host_lost(self) -> None:
        """The entry host dies while a report is made.

        The caller's connection breaks and it sends the report again under
        the same key through another host. That host takes the answer up at
        the engine, which goes on without its entry. The report is not run
        again; a third try and a fetch give the same bytes.
        """
        first = asyncio.create_task(self._send(0))
        await harness.wait_for(self._is_running, harness.READY_S)
        await self.fleet.processes.kill(fleet_settings.entry_name(0))
        lost = await first
        self.assertNotEqual(lost.status, harness.OK)
        again = await self._send(1)
        self.assertEqual(again.status, harness.OK, again)
        self.assertTrue(invariants.is_own(again, PROMPT))
        third = await self._send(1)
        self.assertEqual(third.body, again.body)
        request_id = again.headers[invariants.REQUEST_ID]
        fetched = await self.caller.ask(
            self.hosts[1], 'GET', f'/v1/requests/{request_id}'
        )
        self.assertEqual(fetched.body, again.body)
        await self._check_once(request_id)

    async def test_resent_while_running(self) -> None:
        """An impatient caller sends a report again through another host.

        Both connections get the whole report of the one run.
        """
        first = asyncio.create_task(self._send(0))
        await harness.wait_for(self._is_running, harness.READY_S)
        again = await self._send(1)
        done = await first
        for reply in (done, again):
            self.assertEqual(reply.status, harness.OK, reply)
            self.assertTrue(invariants.is_own(reply, PROMPT))
        await self._check_once(done.headers[invariants.REQUEST_ID])

    async def test_caller_gone(self) -> None:
        """The caller goes away half way and fetches the report later."""
        sending = asyncio.create_task(self._send(0))
        await harness.wait_for(self._is_running, harness.READY_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        again = await self._send(1)
        self.assertEqual(again.status, harness.OK, again)
        self.assertTrue(invariants.is_own(again, PROMPT))
        await self._check_once(again.headers[invariants.REQUEST_ID])

    async def test_hold_of_lost_host(self) -> None:
        """The entry host dies while a hold is at the booking service.

        Nobody can know whether it ran. The resend is told that it is in
        progress for as long as it may be, and "unknown" from then on; it is
        never run again.
        """
        for made in self.fleet.servers.values():
            made.put_faults(answer_delay_s=2 * HOLD_MS / MS)
        first = asyncio.create_task(self._hold(0))
        await harness.wait_for(self._is_held, harness.READY_S)
        await self.fleet.processes.kill(fleet_settings.entry_name(0))
        await first
        told: list[str] = []

        async def is_unknown() -> bool:  # noqa: WPS430
            told.append((await self._hold(1)).error()['run'])
            return told[-1] == 'unknown'

        await harness.wait_for(is_unknown, harness.READY_S)
        self.assertNotIn('not_run', told)
        self.assertEqual(len(records.plain_runs_of(self.fleet)), 1)

    async def _hold(self, host: int) -> caller.Reply:
        return await self.caller.ask(
            self.hosts[host],
            'POST',
            '/v1/services/booking/holds',
            {'slot': KEY},
            idempotency_key=KEY,
        )

    async def _is_held(self) -> bool:
        return bool(records.plain_runs_of(self.fleet))

    async def _send(self, host: int) -> caller.Reply:
        return await self.caller.chat(
            self.hosts[host],
            'roster',
            PROMPT,
            stream=True,
            max_tokens=TOKENS,
            idempotency_key=KEY,
        )

    async def _is_running(self) -> bool:
        runs = records.engine_runs_of(self.fleet)
        return any(run.tokens_out for run in runs)

    async def _check_once(self, request_id: str) -> None:
        self.assertEqual(len(records.engine_runs_of(self.fleet)), 1)
        names = self.fleet.processes.names()
        self.assertIn(fleet_settings.entry_name(1), names)
        await scenario.settle(self.fleet)
        bills = records.bills(self.fleet)
        self.assertEqual(list(bills), [request_id])
        states = [row.state for row in bills[request_id]]
        self.assertEqual(states, [journal_data.OutcomeState.DONE])


if __name__ == '__main__':
    unittest.main()
