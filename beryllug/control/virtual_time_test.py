"""Virtual time for tests of asyncio services.

Instead of waiting, the event loop advances its clock. Leases of production
length expire in milliseconds of real time, and results do not depend on the
load of the machine, as no time passes between two events.
"""

import asyncio
import selectors
import time
from typing import Any
from unittest import IsolatedAsyncioTestCase, main, mock


class Clock:
    """A monotonic clock that only advances when set."""

    def __init__(self) -> None:
        """Start at an arbitrary time other than zero."""
        self.now = 1000.0

    def time(self) -> float:
        """Return the current time in seconds."""
        return self.now


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> Any:
        if timeout is not None and timeout > 0:
            self._clock.now += timeout
        return super().select(0)


class _VirtualTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops that run in virtual time."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(_VirtualTimeSelector(self._clock))


class VirtualTimeCase(IsolatedAsyncioTestCase):
    """Runs its tests in virtual time; they may use no real sockets.

    Attributes:
        clock: The clock. Advancing it in a test acts as a pause of all
            simulated processes at the same time.
    """

    clock: Clock

    @classmethod
    def setUpClass(cls) -> None:
        """Replace the clock and the event loop policy for this class."""
        super().setUpClass()
        clock = Clock()
        cls.clock = clock
        clock_patch = mock.patch.object(time, 'monotonic', clock.time)
        clock_patch.start()
        cls.addClassCleanup(clock_patch.stop)
        previous_policy = asyncio.get_event_loop_policy()
        asyncio.set_event_loop_policy(_VirtualTimePolicy(clock))
        cls.addClassCleanup(asyncio.set_event_loop_policy, previous_policy)

    async def asyncSetUp(self) -> None:
        """Turn asyncio's debug mode off, as it is slow."""
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)


class JumpTest(VirtualTimeCase):
    """The clock advances without waiting."""

    async def test_jump(self) -> None:
        """Sleeps and timeouts of up to an hour end at once, in order."""
        start = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(1800):
                await asyncio.sleep(3600)
        self.assertAlmostEqual(time.monotonic() - start, 1800, places=3)


if __name__ == '__main__':
    main()
