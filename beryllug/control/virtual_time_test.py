"""Virtual time for tests of asyncio services.

Where a loop would wait, its clock jumps instead. Leases of real length lapse
in milliseconds of real time, and a busy machine changes no outcome: nothing
happens between two events.
"""

import asyncio
import selectors
import time
from typing import Any
from unittest import IsolatedAsyncioTestCase, main, mock


class Clock:
    """A monotonic clock that only moves when told."""

    def __init__(self) -> None:
        """Start at some second that is not zero."""
        self.now = 1000.0

    def time(self) -> float:
        """Return the present second."""
        return self.now


class _JumpingSelector(selectors.SelectSelector):
    """Lets the clock jump instead of waiting."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> Any:
        if timeout is not None and timeout > 0:
            self._clock.now += timeout
        return super().select(0)


class _Policy(asyncio.DefaultEventLoopPolicy):
    """Makes loops that live in virtual time."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(_JumpingSelector(self._clock))


class VirtualTimeCase(IsolatedAsyncioTestCase):
    """Runs its tests in virtual time; they may use no real sockets.

    Attributes:
        clock: The clock. A test that moves it pauses all processes at once,
            in the middle of what they do.
    """

    clock: Clock

    @classmethod
    def setUpClass(cls) -> None:
        """Replace the clock and the event loops of this class's tests."""
        super().setUpClass()
        clock = Clock()
        cls.clock = clock
        patched = mock.patch.object(time, 'monotonic', clock.time)
        patched.start()
        cls.addClassCleanup(patched.stop)
        before = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(_Policy(clock))
        cls.addClassCleanup(asyncio.set_event_loop_policy, before)

    async def asyncSetUp(self) -> None:
        """Spare the cost of asyncio's debug mode."""
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)


class JumpTest(VirtualTimeCase):
    """The clock jumps."""

    async def test_jump(self) -> None:
        """Timeouts and sleeps of an hour pass at once, in their order."""
        start = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(1800):
                await asyncio.sleep(3600)
        self.assertAlmostEqual(time.monotonic() - start, 1800, places=3)


if __name__ == '__main__':
    main()
