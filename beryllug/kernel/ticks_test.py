"""When the event loop ran before an event that is noticed late."""

import asyncio
import time
import unittest

from beryllug.kernel import ticks

STALL_S = 0.4
SLACK_S = 0.1


class TicksTest(unittest.IsolatedAsyncioTestCase):
    """The loop of the test itself."""

    async def test_ran_before(self) -> None:
        """An event that happened while the loop stood still looks new."""
        for title, stall_s in (('runs', 0.0), ('stood still', STALL_S)):
            with self.subTest(title):
                ticking = ticks.Ticks()
                await ticking.start()
                await asyncio.sleep(4 * ticks.TICK_S)
                began = time.monotonic()
                time.sleep(stall_s)
                for _ in range(3):
                    await asyncio.sleep(0)
                noticed = time.monotonic()
                ran_at = ticking.ran_before(noticed)
                stood = ticking.stood_until(noticed)
                await ticking.stop(0)
                self.assertLessEqual(ran_at, began)
                self.assertIs(stood > began, stall_s > 0)
                least = began - ticks.TICK_S - ticks.SETTLE_S - SLACK_S
                self.assertGreaterEqual(ran_at, least)


if __name__ == '__main__':
    unittest.main()
