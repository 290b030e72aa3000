"""Service 'ticks': detects stalls of this process's event loop.

A process whose event loop was blocked or suspended sees events late, and cannot
tell when they happened. Conclusions from the time of such an event have to be
based on the last time at which the loop is known to have run before it.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

TICK_S = 0.1
# Maximum delay from the loop receiving an event to the code that handles it.
MAX_DISPATCH_DELAY_S = 0.05
MAX_TICKS = 8
# Seconds without a tick that count as a stall. Peers' messages are awaited for
# about as long.
STALL_THRESHOLD_S = 0.3
# Seconds without a tick that are subtracted from the time that another process
# had for an answer: at least half of them were a stall.
MIN_GAP_S = 2 * TICK_S
# Number of gaps that are remembered: those of some seconds.
MAX_GAPS = 16


class _Gap(NamedTuple):
    """A time without a tick, in monotonic seconds."""

    start: float
    end: float


class Ticks:
    """Records the time at short intervals.

    Attributes:
        on_stall: Called with the length in seconds of each stall when it ends.
    """

    def __init__(self) -> None:
        """Start with the time of construction."""
        self.on_stall: Callable[[float], None] = _ignore_stall
        self._ticks: deque[float] = deque((time.monotonic(),), maxlen=MAX_TICKS)
        self._gaps: deque[_Gap] = deque(maxlen=MAX_GAPS)
        self._stood_until = 0.0
        self._handle: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start recording."""
        self._tick()

    async def stop(self, grace_s: float) -> None:
        """Stop recording."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def dump(self) -> dict[str, Any]:
        """Return the time since the last tick and the end of the last stall."""
        return {
            'last_s': time.monotonic() - self._ticks[-1],
            'stood_until': self._stood_until,
        }

    def ran_before(self, noticed: float) -> float:
        """Return the last time at which an event had not yet happened.

        Args:
            noticed: Monotonic time, just past, at which it was noticed.
        """
        earlier = [
            at for at in self._ticks if at <= noticed - MAX_DISPATCH_DELAY_S
        ]
        return earlier[-1] if earlier else self._ticks[0]

    def stood_until(self, now: float) -> float:
        """Return the time at which the last stall ended.

        Args:
            now: The current monotonic time.

        Returns:
            A monotonic time; `now` during a stall, 0 if there was none.
        """
        if now - self._ticks[-1] > STALL_THRESHOLD_S:
            return now
        return self._stood_until

    def stalled_s(self, since: float, now: float) -> float:
        """Return the seconds of stalls between two times, rounded up to ticks.

        Args:
            since: Monotonic time from which stalls count.
            now: The current monotonic time.

        Returns:
            The seconds; 0 if the service is not started.
        """
        if self._handle is None:
            return 0
        gaps = [*self._gaps, _Gap(self._ticks[-1], now)]
        return sum(
            max(gap.end - max(gap.start, since), 0)
            for gap in gaps
            if gap.end - gap.start >= MIN_GAP_S
        )

    def _tick(self) -> None:
        now = time.monotonic()
        gap = _Gap(self._ticks[-1], now)
        # Before the first tick there was nothing to be late for.
        gap_s = gap.end - gap.start if self._handle else 0
        if gap_s >= MIN_GAP_S:
            self._gaps.append(gap)
        self._stood_until = self.stood_until(now)
        self._ticks.append(now)
        if gap_s > STALL_THRESHOLD_S:
            self.on_stall(gap_s)
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(TICK_S, self._tick)


def _ignore_stall(seconds: float) -> None:
    """Default of `on_stall`."""
