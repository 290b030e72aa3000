"""Tests of timeouts in a process that stalls."""

import asyncio
import time
import unittest
from typing import NamedTuple

from beryllug.drivers import answer_timeouts

NEVER = answer_timeouts.NEVER
TIMEOUT_S = 0.1
STALL_S = 0.3


class Case(NamedTuple):
    """A timer that fires, and until when its answer is awaited.

    Attributes:
        title: What happened.
        wait: The wait, from second 0.
        now: When its timer fires.
        stalled_s: Recorded stalls until then.
        expected: Until when the answer is awaited.
    """

    title: str
    wait: answer_timeouts.Wait
    now: float
    stalled_s: float
    expected: float


def _wait(
    due: float, timer_at: float | None = None, latest: float = NEVER
) -> answer_timeouts.Wait:
    return answer_timeouts.Wait(0, due, timer_at or due, latest)


CASES = (
    Case('no stall', _wait(1.5), 1.5, 0, 1.5),
    Case('a busy loop', _wait(0.05), 0.055, 0, 0.05),
    Case('a busy loop, by the length of the timeout', _wait(1.5), 1.6, 0, 1.5),
    Case('a stall past the timer', _wait(1.5), 2.0, 0, 2.5),
    Case('a stall far longer than the timeout', _wait(0.05), 2.0, 0, 2.05),
    Case('a recorded stall past the timer', _wait(1.5), 1.6, 1.6, 3.1),
    Case('a recorded stall before the timer', _wait(1.5), 1.5, 1.4, 2.9),
    Case('a stall that was counted already', _wait(1.5, 2.9), 2.9, 1.4, 2.9),
    Case('a second stall', _wait(1.5, 2.9), 3.4, 1.4, 3.9),
    Case('the latest time is near', _wait(1.5, latest=1.8), 1.6, 1.6, 1.8),
    Case('the latest time has passed', _wait(1.5, latest=1.5), 2.0, 2.0, 1.5),
)


class AnswerTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Stalls of the event loop of the test itself."""

    def test_postponed(self) -> None:
        """Own stalls are not taken for a server that does not answer."""
        for case in CASES:
            with self.subTest(case.title):
                again_at = answer_timeouts.postponed(
                    case.wait, case.now, case.stalled_s
                )
                self.assertAlmostEqual(again_at, case.expected)

    async def test_ready(self) -> None:
        """An answer that is ready when the timer fires is not cancelled."""
        asyncio.get_running_loop().slow_callback_duration = STALL_S * 2
        for latest_s in (TIMEOUT_S, NEVER):
            with self.subTest(latest_s=latest_s):
                loop = asyncio.get_running_loop()
                answer: asyncio.Future[str] = loop.create_future()
                now = loop.time()
                loop.call_later(TIMEOUT_S / 2, answer.set_result, 'ready')
                waiting = asyncio.create_task(
                    _receive(answer, now, now + latest_s)
                )
                await asyncio.sleep(0)
                time.sleep(STALL_S)
                self.assertEqual(await waiting, 'ready')

    async def test_no_answer(self) -> None:
        """A server that never answers is given up despite constant stalls."""
        asyncio.get_running_loop().slow_callback_duration = STALL_S * 2
        timeouts = answer_timeouts.AnswerTimeouts()
        waiting = asyncio.create_task(_wait_forever(timeouts))
        for _ in range(answer_timeouts.MAX_POSTPONEMENTS + 2):
            await asyncio.sleep(0)
            time.sleep(TIMEOUT_S * 1.5)
        await asyncio.sleep(0)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                await waiting


async def _receive(
    answer: 'asyncio.Future[str]', now: float, latest: float
) -> str:
    timeouts = answer_timeouts.AnswerTimeouts()
    async with timeouts.until(now + TIMEOUT_S, latest):
        return await answer


async def _wait_forever(timeouts: answer_timeouts.AnswerTimeouts) -> None:
    async with timeouts.within(TIMEOUT_S):
        await asyncio.Event().wait()


if __name__ == '__main__':
    unittest.main()
