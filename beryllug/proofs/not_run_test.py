"""Tests that "not_run" is reported truthfully and holds run at most once.

The connection to the backend server is broken at different stages of a request.
The run state told to the caller is checked against what the servers ran.
"""

import unittest
from typing import Any

from beryllug.proofs import scenario
from beryllug.standins import caller, harness, invariants, records, sample

HOLDS = '/v1/services/booking/holds'
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'

# Title, injected faults, expected run state and expected number of runs.
HOLD_CASES: tuple[tuple[str, dict[str, Any], str, int], ...] = (
    ('before connect', {'refuse': True}, NOT_RUN, 0),
    ('server says not run', {'unavailable': True}, NOT_RUN, 0),
    ('after the body, no effect', {'reset_before_run': True}, UNKNOWN, 0),
    ('after the effect', {'drop_answer': True}, UNKNOWN, 1),
    ('mid-answer', {'reset_at_byte': 5}, UNKNOWN, 1),
    ('mid-answer, hard', {'reset_at_byte': 5, 'hard_reset': True}, UNKNOWN, 1),
)
STREAM_CASES: tuple[tuple[str, dict[str, Any]], ...] = (
    ('no head', {'drop_answer': True}),
    ('first byte', {'reset_at_byte': 1}),
    ('mid-answer', {'reset_at_byte': 700}),
    ('mid-answer, hard', {'reset_at_byte': 700, 'hard_reset': True}),
)


class NotRunTest(unittest.IsolatedAsyncioTestCase):
    """Breaks connections at every stage, with two entry hosts."""

    async def asyncSetUp(self) -> None:
        """Start the deployment."""
        self.fleet = harness.Fleet(sample.plan())
        await self.fleet.start()
        self.caller = caller.Caller(sample.LARGE_KEY)
        self.hosts = [ports.callers for ports in self.fleet.hosts]

    async def asyncTearDown(self) -> None:
        """Stop the deployment."""
        await self.caller.close()
        await self.fleet.stop()

    async def test_holds(self) -> None:
        """The run state of a hold is correct, also after a resend.

        The connection to the booking server breaks during a hold. The fault is
        removed and the caller sends the hold again with the same key through
        the other host. It runs only if "not_run" was reported; a hold that may
        have run does not run again.
        """
        for number, (title, faults, run, runs) in enumerate(HOLD_CASES):
            with self.subTest(title):
                key = f'hold-{number}'
                await self._put_faults(faults)
                reply = await self._hold(0, key)
                await self._put_faults({})
                self.assertEqual(reply.error().get('run'), run)
                self.assertEqual(self._runs(key), runs)
                resent = await self._hold(1, key)
                expected = 1 if run == NOT_RUN else runs
                self.assertEqual(self._runs(key), expected, resent)
                self.assertEqual(resent.status == 201, run == NOT_RUN)

    async def test_streams(self) -> None:
        """A stream that breaks is resumed and complete.

        The engine resets the stream and the entry process resumes it at the
        exact byte offset. The caller gets every byte once, and exactly one
        billing record is written.
        """
        for title, faults in STREAM_CASES:
            with self.subTest(title):
                await self._put_faults({**faults, 'times': 1})
                reply = await self.caller.chat(
                    self.hosts[0], 'desk-large', title, stream=True
                )
                await self._put_faults({})
                self.assertEqual(reply.status, 200, reply)
                self.assertTrue(reply.body.endswith(b'data: [DONE]\n\n'))
                self.assertTrue(
                    invariants.is_complete_response(reply, title), reply.body
                )
                request_id = reply.headers['x-beryllug-request-id']
                await scenario.settle(self.fleet)
                bills = records.outcome_rows(self.fleet)
                self.assertEqual(len(bills[request_id]), 1)

    async def _put_faults(self, faults: dict[str, Any]) -> None:
        for stand_in in self.fleet.servers.values():
            stand_in.put_faults(**faults)
            await stand_in.settle()

    async def _hold(self, host: int, key: str) -> caller.Reply:
        return await self.caller.ask(
            self.hosts[host],
            'POST',
            HOLDS,
            {'slot': key},
            idempotency_key=key,
        )

    def _runs(self, key: str) -> int:
        return sum(
            run.idempotency_key == key
            for run in records.plain_runs_of(self.fleet)
        )


if __name__ == '__main__':
    unittest.main()
