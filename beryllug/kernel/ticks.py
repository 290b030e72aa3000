"""Service 'ticks': when the event loop of this process last ran.

A process that stood still sees late what happened meanwhile, and cannot tell
when it happened. What it concludes from the time of an event has to reckon
from the last time when the loop is known to have run before.
"""

import asyncio
import time
from collections import deque
from typing import Any

TICK_S = 0.05
# Seconds from the loop's taking an event to the code that it concerns.
SETTLE_S = 0.05
KEPT = 8


class Ticks:
    """Notes the time in short intervals."""

    def __init__(self) -> None:
        """Begin with the time of the construction."""
        self._ran: deque[float] = deque((time.monotonic(),), maxlen=KEPT)
        self._handle: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Begin to note the time."""
        self._tick()

    async def stop(self, grace_s: float) -> None:
        """End."""
        if self._handle is not None:
            self._handle.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the seconds since the last note."""
        return {'last_s': time.monotonic() - self._ran[-1]}

    def ran_before(self, noticed: float) -> float:
        """Return the last time when an event had not yet happened.

        Args:
            noticed: The monotonic second, just past, when it was noticed.
        """
        earlier = [at for at in self._ran if at <= noticed - SETTLE_S]
        return earlier[-1] if earlier else self._ran[0]

    def _tick(self) -> None:
        self._ran.append(time.monotonic())
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(TICK_S, self._tick)
