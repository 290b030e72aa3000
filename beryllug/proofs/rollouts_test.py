"""Tests that roll-outs expose few callers to a bad version."""

import asyncio
import time
import unittest
from typing import Any

from beryllug.core import config_data, request_id
from beryllug.proofs import scenario
from beryllug.standins import (
    caller,
    harness,
    records,
    sample,
)

CALLERS = 6
BUDGET = 40
STAGES = (10, 25, 50, 100)
CANDIDATE = 'v2'
VERSION = 'x-beryllug-version'
TIMEOUT_S = 60.0
# Each entry process acts on two failures in a row before the fleet-wide
# verdict.
MAX_REACHED = 16


def _document() -> config_data.Document:
    declared = sample.document()
    rollout = declared.rollouts[0]._replace(
        stages=STAGES, exposure_budget=BUDGET, min_rating=0
    )
    return declared._replace(rollouts=(rollout,))


class RolloutsTest(unittest.IsolatedAsyncioTestCase):
    """Two entry hosts; callers without sessions use one model."""

    async def asyncSetUp(self) -> None:
        """Start the deployment."""
        plan = sample.plan()._replace(document=_document())
        self.fleet = harness.Fleet(plan)
        await self.fleet.start()
        self.stopping = False
        self.versions: list[str] = []

    async def asyncTearDown(self) -> None:
        """Stop the deployment."""
        await self.fleet.stop()

    async def test_bad_from_start(self) -> None:
        """Every answer of the candidate fails from the start.

        Callers receive answers of the incumbent. The candidate runs few
        requests before the roll-out stops. It remains stopped after the holder
        of its lease is killed, and the candidate receives no more requests.
        """
        await self._fail_candidate()
        senders = [
            asyncio.create_task(self._send_chats(index))
            for index in range(CALLERS)
        ]
        await harness.wait_for(lambda: self._has_verdict('stopped'), TIMEOUT_S)
        await self._kill_holder()
        await asyncio.sleep(1)
        stopped_at = time.time()
        await asyncio.sleep(1)
        self.stopping = True
        await asyncio.gather(*senders)
        await scenario.settle(self.fleet)
        reached = self._requests_on_candidate()
        print(  # noqa: WPS421
            f'bad candidate: {len(reached)} requests reached, '
            f'{len(self.versions)} answered'
        )
        self.assertLessEqual(len(reached), MAX_REACHED)
        self.assertTrue(await self._has_verdict('stopped'))
        late = [
            run
            for run in records.engine_runs_of(self.fleet)
            if run.version == CANDIDATE and run.received_at > stopped_at
        ]
        self.assertEqual(late, [])

    async def test_good(self) -> None:
        """A good candidate passes all stages in order and is promoted.

        The lease holder is killed during the roll-out. The next one continues
        at the stage stored in the record.
        """
        senders = [
            asyncio.create_task(self._send_chats(index))
            for index in range(CALLERS)
        ]
        stages: list[int] = []

        async def is_promoted() -> bool:  # noqa: WPS430
            state = await self._state()
            if state and state['stage'] not in stages:
                stages.append(state['stage'])
            return bool(state) and state['verdict'] == 'promoted'

        async def is_second_stage() -> bool:  # noqa: WPS430
            await is_promoted()
            return bool(stages) and stages[-1] >= 1

        await harness.wait_for(is_second_stage, TIMEOUT_S)
        await self._kill_holder()
        await harness.wait_for(is_promoted, TIMEOUT_S)
        self.stopping = True
        await asyncio.gather(*senders)
        self.assertEqual(stages, list(range(len(STAGES))))

    async def _send_chats(self, index: int) -> None:
        client = caller.Caller(sample.LARGE_KEY)
        number = 0
        while not self.stopping:
            number += 1
            host = self.fleet.hosts[number % 2].callers
            reply = await client.chat(host, 'desk-small', f'{index} {number}')
            if reply.status == harness.OK:
                self.versions.append(reply.headers[VERSION])
            await asyncio.sleep(0.01)
        await client.close()

    async def _fail_candidate(self) -> None:
        for stand_in in self.fleet.servers.values():
            stand_in.put_faults(version_errors={CANDIDATE: 1.0})
            await stand_in.settle()

    def _requests_on_candidate(self) -> set[str]:
        """Return the ids of the requests that ran on the candidate."""
        return {
            request_id.family_of(run.request_id)
            for run in records.engine_runs_of(self.fleet)
            if run.version == CANDIDATE
        }

    async def _state(self) -> dict[str, Any]:
        for name in self._controls():
            state = await self.fleet.dump(name)
            found = state['rollouts']['states'].get('desk-small')
            if found:
                return dict(found)
        return {}

    async def _has_verdict(self, verdict: str) -> bool:
        state = await self._state()
        return bool(state) and state['verdict'] == verdict

    async def _kill_holder(self) -> None:
        for name in self._controls():
            state = await self.fleet.dump(name)
            if 'desk-small' in state['rollouts']['judged_here']:
                await self.fleet.processes.kill(name)
                await self.fleet.restart(name)
                return
        self.fail('no process evaluates the roll-out')

    def _controls(self) -> list[str]:
        names = self.fleet.processes.names()
        controls = [name for name in names if name.startswith('control')]
        return sorted(controls)


if __name__ == '__main__':
    unittest.main()
