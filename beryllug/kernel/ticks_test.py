"""Tests that an event noticed late, after a stall, is dated correctly."""

import asyncio
import time
import unittest

from beryllug.kernel import ticks

STALL_S = 0.4
SLACK_S = 0.1


class TicksTest(unittest.IsolatedAsyncioTestCase):
    """Stalls of the event loop of the test itself."""

    async def test_ran_before(self) -> None:
        """An event that happened during a stall of the loop looks recent."""
        for title, stall_s in (('runs', 0.0), ('stood still', STALL_S)):
            with self.subTest(title):
                service = ticks.Ticks()
                await service.start()
                await asyncio.sleep(4 * ticks.TICK_S)
                began = time.monotonic()
                time.sleep(stall_s)
                for _ in range(3):
                    await asyncio.sleep(0)
                noticed = time.monotonic()
                ran_at = service.ran_before(noticed)
                stood = service.stood_until(noticed)
                await service.stop(0)
                self.assertLessEqual(ran_at, began)
                self.assertIs(stood > began, stall_s > 0)
                least = (
                    began - ticks.TICK_S - ticks.MAX_DISPATCH_DELAY_S - SLACK_S
                )
                self.assertGreaterEqual(ran_at, least)

    async def test_stalled_s(self) -> None:
        """A stall is counted from the time since which it matters, once."""
        service = ticks.Ticks()
        lengths: list[float] = []
        service.on_stall = lengths.append
        began = time.monotonic()
        self.assertEqual(service.stalled_s(began, began + 1), 0)
        await service.start()
        await asyncio.sleep(2 * ticks.TICK_S)
        time.sleep(STALL_S)
        during = service.stalled_s(began, time.monotonic())
        await asyncio.sleep(2 * ticks.TICK_S)
        now = time.monotonic()
        after = service.stalled_s(began, now)
        later = service.stalled_s(now, now)
        await service.stop(0)
        for stalled_s in (during, after, *lengths):
            self.assertGreaterEqual(stalled_s, STALL_S - SLACK_S)
            self.assertLess(stalled_s, STALL_S + ticks.TICK_S + SLACK_S)
        self.assertEqual((later, len(lengths)), (0, 1))


if __name__ == '__main__':
    unittest.main()
