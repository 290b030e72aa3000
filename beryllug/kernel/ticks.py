"""Service 'ticks': when the event loop of this process last ran.

A process that stood still sees late what happened meanwhile, and cannot tell
when it happened. What it concludes from the time of an event has to reckon
from the last time when the loop is known to have run before.
"""

import asyncio
import time
from collections import deque
from typing import Any

TICK_S = 0.1
# Seconds from the loop's taking an event to the code that it concerns.
SETTLE_S = 0.05
KEPT = 8
# Seconds without a tick that count as standing still: what others tell this
# process is waited for about as long.
STILL_S = 0.3


class Ticks:
    """Notes the time in short intervals."""

    def __init__(self) -> None:
        """Begin with the time of the construction."""
        self._ran: deque[float] = deque((time.monotonic(),), maxlen=KEPT)
        self._stood_until = 0.0
        self._handle: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Begin to note the time."""
        self._tick()

    async def stop(self, grace_s: float) -> None:
        """End."""
        if self._handle is not None:
            self._handle.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the seconds since the last note, and the last standstill."""
        return {
            'last_s': time.monotonic() - self._ran[-1],
            'stood_until': self._stood_until,
        }

    def ran_before(self, noticed: float) -> float:
        """Return the last time when an event had not yet happened.

        Args:
            noticed: The monotonic second, just past, when it was noticed.
        """
        earlier = [at for at in self._ran if at <= noticed - SETTLE_S]
        return earlier[-1] if earlier else self._ran[0]

    def stood_until(self, now: float) -> float:
        """Return when the process last went on after it stood still.

        Args:
            now: The present monotonic second.

        Returns:
            The monotonic second, 0 for never.
        """
        if now - self._ran[-1] > STILL_S:
            return now
        return self._stood_until

    def _tick(self) -> None:
        now = time.monotonic()
        self._stood_until = self.stood_until(now)
        self._ran.append(now)
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(TICK_S, self._tick)
