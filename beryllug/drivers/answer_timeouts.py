"""Timeouts for answers of other processes, which allow for stalls of this one.

asyncio runs a due timer in the same turn of the loop in which it sees that a
socket is readable, and the cancellation wins. So a process that was paused, or
had a slow turn, would take its own delay for a fault of every server whose
answer waits in a socket by then. These timeouts count only the time in which
this process ran, up to a latest time, and let bytes that have arrived be read
before they expire.
"""

import asyncio
import math
from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple

# Seconds by which a timer may be late without a stall, and the part of its
# timeout by which it may be.
MAX_TIMER_DELAY_S = 0.01
MAX_DELAY_PART = 0.1
# Maximum number of postponements: a process that is always late still has to
# give up a server that does not answer.
MAX_POSTPONEMENTS = 3
NEVER = math.inf
# Returns the seconds of stalls from one loop time to another.
StalledS = Callable[[float, float], float]


def no_stalls(since: float, now: float) -> float:
    """Return 0, in a process that does not record its stalls."""
    return 0


class Wait(NamedTuple):
    """A wait for an answer, in seconds of the loop's time.

    Attributes:
        since: Time at which it began.
        due: Time until which it lasts if this process does not stall.
        timer_at: Time for which its timer is set now.
        latest: Time at which it ends in any case.
    """

    since: float
    due: float
    timer_at: float
    latest: float


def postponed(wait: Wait, now: float, stalled_s: float) -> float:
    """Return until when an answer is awaited, as seen when the timer fires.

    Args:
        wait: The wait.
        now: The current time.
        stalled_s: Seconds of stalls since it began, as far as recorded.

    Returns:
        A time in seconds; `now` or earlier if the timeout has expired.
    """
    again_at = wait.due + stalled_s
    late_s = now - wait.timer_at
    timeout_s = wait.due - wait.since
    if late_s > max(MAX_TIMER_DELAY_S, timeout_s * MAX_DELAY_PART):
        again_at = max(again_at, now + min(late_s, timeout_s))
    return min(again_at, wait.latest)


class AnswerTimeout:
    """An asynchronous context manager that raises `TimeoutError`."""

    def __init__(self, due: float, latest: float, stalled_s: StalledS) -> None:
        """Set the loop time when it expires, and the latest one."""
        self._loop = asyncio.get_running_loop()
        self._wait = Wait(self._loop.time(), due, due, latest)
        self._stalled_s = stalled_s
        self._postponements = 0
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        """Start the timer."""
        await self._timeout.__aenter__()
        if self._wait.due < NEVER:
            self._handle = self._loop.call_at(self._wait.due, self._fire)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer.

        Raises:
            TimeoutError: It has expired.
        """
        if self._handle is not None:
            self._handle.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _fire(self) -> None:
        now = self._loop.time()
        again_at = now
        if self._postponements < MAX_POSTPONEMENTS:
            stalled_s = self._stalled_s(self._wait.since, now)
            again_at = postponed(self._wait, now, stalled_s)
        if again_at > now:
            self._postponements += 1
            self._wait = self._wait._replace(timer_at=again_at)
            self._handle = self._loop.call_at(again_at, self._fire)
        else:
            # Expires in the next turn, after the tasks whose bytes were
            # received in this one.
            self._timeout.reschedule(now)


def at_deadline(deadline: float) -> AnswerTimeout:
    """Return a timeout for a request's own deadline, which stalls don't move.

    What has been received by then is still read.
    """
    return AnswerTimeout(deadline, deadline, no_stalls)


class AnswerTimeouts:
    """Creates timeouts by the recorded stalls of this process."""

    def __init__(self, stalled_s: StalledS = no_stalls) -> None:
        """Bind to the record of stalls."""
        self.stalled_s = stalled_s

    def within(
        self, seconds: float | None, latest: float = NEVER
    ) -> AnswerTimeout:
        """Return a timeout that expires after some seconds; None for never."""
        if seconds is None:
            return self.until(NEVER, latest)
        return self.until(asyncio.get_running_loop().time() + seconds, latest)

    def until(self, due: float | None, latest: float = NEVER) -> AnswerTimeout:
        """Return a timeout that expires at a loop time; None for never."""
        due = NEVER if due is None else due
        return AnswerTimeout(min(due, latest), latest, self.stalled_s)
