"""A virtual clock: one heap of events, no threads and no real time.

Events at the same second run in the order in which they were planned, so the
same seeds give the same figures to the last digit.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

Event = tuple[float, int, Callable[..., None], tuple[Any, ...]]


class Clock:
    """Runs planned calls in the order of their virtual seconds."""

    def __init__(self) -> None:
        """Start at second zero with nothing planned."""
        self.now = 0.0
        self._events: list[Event] = []
        self._numbers = itertools.count()

    def after(
        self, delay_s: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Plan a call so many seconds from now."""
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now + delay_s, number, call, args))

    def run(self, until: float) -> None:
        """Run events up to a second, then stand at it."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](*event[3])
        self.now = until
