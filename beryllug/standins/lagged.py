"""A value with a history, for reports that lag behind."""

import collections
from typing import Generic, TypeVar

State = TypeVar('State')

MAX_STATES = 5000


class DelayedValue(Generic[State]):
    """The states of a value with the start time of each."""

    def __init__(self, initial: State) -> None:
        """Start with a state that has always been in effect."""
        self.current = initial
        self._states: collections.deque[tuple[float, State]] = (
            collections.deque([(float('-inf'), initial)], maxlen=MAX_STATES)
        )

    def put(self, now: float, state: State) -> None:
        """Set the state in effect from `now` on."""
        self.current = state
        self._states.append((now, state))

    def at(self, now: float, lag_s: float) -> State:
        """Return the state in effect `lag_s` before `now`."""
        for started_at, state in reversed(self._states):
            if started_at <= now - lag_s:
                return state
        return self._states[0][1]
