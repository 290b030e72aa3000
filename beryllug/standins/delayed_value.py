"""A value with a history, for reports that lag behind."""

import collections
from typing import Generic, TypeVar

Shown = TypeVar('Shown')

MAX_STATES = 5000


class DelayedValue(Generic[Shown]):
    """The states of a value with the start time of each."""

    def __init__(self, initial: Shown) -> None:
        """Start with a state that has always been in effect."""
        self.latest = initial
        self._states: collections.deque[tuple[float, Shown]] = (
            collections.deque([(float('-inf'), initial)], maxlen=MAX_STATES)
        )

    def put(self, now: float, state: Shown) -> None:
        """Set the state in effect from `now` on."""
        self.latest = state
        self._states.append((now, state))

    def at(self, now: float, lag_s: float) -> Shown:
        """Return the state in effect `lag_s` before `now`."""
        for started_at, state in reversed(self._states):
            if started_at <= now - lag_s:
                return state
        return self._states[0][1]
