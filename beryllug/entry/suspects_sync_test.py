"""Tests of the suspects fetched after an entry process was stalled."""

import asyncio
import time
import unittest
from typing import Any, cast

from beryllug.core import rpc_data, suspects_data
from beryllug.drivers import rpc
from beryllug.entry import (
    suspects_sync,
    control_link,
    delivery_test,
    known_suspects,
)

REQUESTS = 20


class _FakeControl:
    """A process clock and a control process with one suspected request."""

    def __init__(self, *, answers: bool, silent: bool = False) -> None:
        self.resumed_at = 0.0
        self.asked = 0
        self._answers = answers
        self._silent = silent

    def stood_until(self, now: float) -> float:
        return self.resumed_at

    async def call(
        self, method: Any, request: suspects_data.Notes, timeout_s: float
    ) -> suspects_data.Notes:
        self.asked += 1
        await asyncio.sleep(0)
        if self._silent:
            await asyncio.sleep(1)
        if not self._answers:
            raise rpc.RpcError('UNAVAILABLE', '')
        loss = suspects_data.Loss('s0', '', time.time())
        note = suspects_data.SuspectNote(_call().fingerprint, (loss,))
        return suspects_data.Notes((note,))


class SuspectSyncTest(unittest.IsolatedAsyncioTestCase):
    """Concurrent requests after the process resumed."""

    async def test_catch_up(self) -> None:
        """Guards against treating a suspect as ordinary after a stall."""
        for answers in (True, False):
            with self.subTest(answers=answers):
                process = _FakeControl(answers=answers)
                known = _suspicions(process)
                sync = suspects_sync.SuspectSync(
                    cast('Any', process), known, process
                )
                await self._send(sync)
                self.assertEqual(process.asked, 0)
                for number in (1, 2):
                    process.resumed_at = time.monotonic()
                    await self._send(sync)
                    self.assertEqual(process.asked, number)
                self.assertIs(known.needs_trial(_call()), answers)

    async def test_silent(self) -> None:
        """Guards against one full timeout per silent control process."""
        process = _FakeControl(answers=True, silent=True)
        known = _suspicions(process)
        sync = suspects_sync.SuspectSync(cast('Any', process), known, process)
        process.resumed_at = time.monotonic()
        await self._send(sync)
        waited_s = time.monotonic() - process.resumed_at
        self.assertLess(waited_s, 2 * suspects_sync.SYNC_TIMEOUT_S)

    async def _send(self, sync: suspects_sync.SuspectSync) -> None:
        waiting = (sync.catch_up() for _ in range(REQUESTS))
        await asyncio.gather(*waiting)


def _suspicions(process: _FakeControl) -> known_suspects.KnownSuspects:
    request = rpc_data.ViewRequest('e', 'zone-1')
    calls = cast('Any', process)
    link = control_link.ControlLink(request, cast('Any', None), calls)
    return known_suspects.KnownSuspects(link)


def _call() -> Any:
    return delivery_test.make_call('bad', repeatable=False, within_s=1.0)


if __name__ == '__main__':
    unittest.main()
