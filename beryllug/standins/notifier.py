"""A notification that wakes every task waiting for the next one."""

import asyncio


class Notifier:
    """Wakes all tasks that are waiting when the signal is sent."""

    def __init__(self) -> None:
        """Create a notifier without waiting tasks."""
        self._event = asyncio.Event()

    def signal(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = asyncio.Event()

    def next(self) -> asyncio.Event:
        """Return the next signal's event; get it before checking state."""
        return self._event
