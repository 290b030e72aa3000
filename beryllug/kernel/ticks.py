"""Service 'ticks': detects stalls of this process's event loop.

A process whose event loop was blocked or suspended sees events late, and cannot
tell when they happened. Conclusions from the time of such an event have to be
based on the last time at which the loop is known to have run before it.
"""

import asyncio
import time
from collections import deque
from typing import Any

TICK_S = 0.1
# Maximum delay from the loop receiving an event to the code that handles it.
MAX_DISPATCH_DELAY_S = 0.05
MAX_TICKS = 8
# Seconds without a tick that count as a stall. Peers' messages are awaited for
# about as long.
STALL_THRESHOLD_S = 0.3


class Ticks:
    """Records the time at short intervals."""

    def __init__(self) -> None:
        """Start with the time of construction."""
        self._ticks: deque[float] = deque((time.monotonic(),), maxlen=MAX_TICKS)
        self._stood_until = 0.0
        self._handle: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start recording."""
        self._tick()

    async def stop(self, grace_s: float) -> None:
        """Stop recording."""
        if self._handle is not None:
            self._handle.cancel()

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

    def _tick(self) -> None:
        now = time.monotonic()
        self._stood_until = self.stood_until(now)
        self._ticks.append(now)
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(TICK_S, self._tick)
