"""A signal that wakes every task that waits for the next one."""

import asyncio


class Wake:
    """Wakes all who wait at the moment of the signal."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._event = asyncio.Event()

    def signal(self) -> None:
        """Wake all who wait now."""
        self._event.set()
        self._event = asyncio.Event()

    def next(self) -> asyncio.Event:
        """Return what the next signal sets; take it before checking state."""
        return self._event
