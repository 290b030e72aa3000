"""A value whose past states can be shown, as a lagging report does."""

import collections
from typing import Generic, TypeVar

Shown = TypeVar('Shown')

KEPT = 5000


class Lagged(Generic[Shown]):
    """The states of a value with the time at which each began."""

    def __init__(self, first: Shown) -> None:
        """Begin with a state that has held for ever."""
        self.present = first
        self._states: collections.deque[tuple[float, Shown]] = (
            collections.deque([(float('-inf'), first)], maxlen=KEPT)
        )

    def put(self, now: float, state: Shown) -> None:
        """Take a new state from `now` on."""
        self.present = state
        self._states.append((now, state))

    def at(self, now: float, lag_s: float) -> Shown:
        """Return the state that held `lag_s` before `now`."""
        for began, state in reversed(self._states):
            if began <= now - lag_s:
                return state
        return self._states[0][1]
