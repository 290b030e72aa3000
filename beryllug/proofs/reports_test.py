"""Tests that reports run once and complete when their entry host fails."""

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
    """Uses engines on which a report takes two seconds."""

    async def asyncSetUp(self) -> None:
        """Start two entry hosts."""
        engine_cfg = engine_worker.EngineCfg(
            concurrency=sample.CONCURRENCY, token_s=TOKEN_S
        )
        servers = tuple(
            server._replace(engine=engine_cfg if server.engine else None)
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
        """Stop the deployment."""
        await self.caller.close()
        await self.fleet.stop()

    async def test_host_lost(self) -> None:
        """The entry host fails while a report is generated.

        The caller's connection breaks and it resends the report with the same
        key through another host. That host resumes the answer from the engine,
        where the run continued. The report is not run a second time; a second
        resend and a fetch return the same bytes.
        """
        first = asyncio.create_task(self._send(0))
        await harness.wait_for(self._is_running, harness.READY_S)
        await self.fleet.processes.kill(fleet_settings.entry_name(0))
        failed = await first
        self.assertNotEqual(failed.status, harness.OK)
        resent = await self._send(1)
        self.assertEqual(resent.status, harness.OK, resent)
        self.assertTrue(invariants.is_complete_response(resent, PROMPT))
        repeated = await self._send(1)
        self.assertEqual(repeated.body, resent.body)
        request_id = resent.headers[invariants.REQUEST_ID]
        fetched = await self.caller.ask(
            self.hosts[1], 'GET', f'/v1/requests/{request_id}'
        )
        self.assertEqual(fetched.body, resent.body)
        await self._check_ran_once(request_id)

    async def test_resent_while_running(self) -> None:
        """A caller resends a report through another host while it is running.

        Both connections receive the complete report of the same run.
        """
        first = asyncio.create_task(self._send(0))
        await harness.wait_for(self._is_running, harness.READY_S)
        resent = await self._send(1)
        original = await first
        for reply in (original, resent):
            self.assertEqual(reply.status, harness.OK, reply)
            self.assertTrue(invariants.is_complete_response(reply, PROMPT))
        await self._check_ran_once(original.headers[invariants.REQUEST_ID])

    async def test_caller_gone(self) -> None:
        """The caller disconnects during the run and resends the report."""
        sending = asyncio.create_task(self._send(0))
        await harness.wait_for(self._is_running, harness.READY_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        resent = await self._send(1)
        self.assertEqual(resent.status, harness.OK, resent)
        self.assertTrue(invariants.is_complete_response(resent, PROMPT))
        await self._check_ran_once(resent.headers[invariants.REQUEST_ID])

    async def test_hold_of_lost_host(self) -> None:
        """The entry host fails while a hold is at the booking service.

        Whether the hold ran is unknown. Resends report that it is in progress
        until its deadline and "unknown" afterwards; it never runs a second
        time.
        """
        for stand_in in self.fleet.servers.values():
            stand_in.put_faults(answer_delay_s=2 * HOLD_MS / MS)
        first = asyncio.create_task(self._hold(0))
        await harness.wait_for(self._is_hold_running, harness.READY_S)
        await self.fleet.processes.kill(fleet_settings.entry_name(0))
        await first
        run_states: list[str] = []

        async def is_unknown() -> bool:  # noqa: WPS430
            run_states.append((await self._hold(1)).error()['run'])
            return run_states[-1] == 'unknown'

        await harness.wait_for(is_unknown, harness.READY_S)
        self.assertNotIn('not_run', run_states)
        self.assertEqual(len(records.plain_runs_of(self.fleet)), 1)

    async def _hold(self, host: int) -> caller.Reply:
        return await self.caller.ask(
            self.hosts[host],
            'POST',
            '/v1/services/booking/holds',
            {'slot': KEY},
            idempotency_key=KEY,
        )

    async def _is_hold_running(self) -> bool:
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

    async def _check_ran_once(self, request_id: str) -> None:
        self.assertEqual(len(records.engine_runs_of(self.fleet)), 1)
        names = self.fleet.processes.names()
        self.assertIn(fleet_settings.entry_name(1), names)
        await scenario.settle(self.fleet)
        bills = records.outcome_rows(self.fleet)
        self.assertEqual(list(bills), [request_id])
        states = [row.state for row in bills[request_id]]
        self.assertEqual(states, [journal_data.OutcomeState.DONE])


if __name__ == '__main__':
    unittest.main()
