"""A virtual clock for discrete-event simulation.

It uses one heap of events, no threads and no real time. Events due at the
same time run in the order in which they were scheduled, so the same seeds
give exactly the same figures.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

Event = tuple[float, int, Callable[..., None], tuple[Any, ...]]


class Clock:
    """Runs scheduled callbacks in the order of virtual time."""

    def __init__(self) -> None:
        """Start at time zero with nothing scheduled."""
        self.now = 0.0
        self._events: list[Event] = []
        self._sequence = itertools.count()

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay."""
        order = next(self._sequence)
        heapq.heappush(
            self._events, (self.now + delay_s, order, callback, args)
        )

    def run(self, until: float) -> None:
        """Run the events due until a time, then set the clock to it."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](*event[3])
        self.now = until
