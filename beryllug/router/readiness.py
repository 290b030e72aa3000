"""When a process that has just started may place requests."""

import asyncio
import contextlib
from collections.abc import Callable

from beryllug.kernel import log_lines

# Seconds for which a process with a table and a list of servers waits for what
# else it should know: an idle store answers all its calls within milliseconds,
# and a release before this one tells nothing of it.
MAX_FURTHER_WAIT_S = 0.5


class Readiness:
    """Waits for the data that is needed, and a short time for the rest.

    Attributes:
        is_complete: Returns whether the rest is known.
    """

    def __init__(
        self, has_data: Callable[[], bool], lines: log_lines.LineWriter
    ) -> None:
        """Bind to what is needed.

        Args:
            has_data: Returns whether this process has what it needs.
            lines: Writes log lines.
        """
        self.is_complete: Callable[[], bool] = _always
        self._has_data = has_data
        self._lines = lines
        self._ready = asyncio.Event()
        self._is_overdue = False
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Wait for nothing any more."""
        if self._timer is not None:
            self._timer.cancel()

    def is_ready(self) -> bool:
        """Tell whether requests may be placed."""
        if not self._has_data():
            return False
        return self._is_overdue or self.is_complete()

    def update(self) -> None:
        """Let waiting requests go on if this process has become ready."""
        if self.is_ready():
            self._ready.set()
        elif self._has_data() and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                MAX_FURTHER_WAIT_S, self._end_wait
            )

    async def wait(self, timeout_s: float) -> None:
        """Wait until requests can be placed, at most for the given time."""
        if self._ready.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._ready.wait()

    def _end_wait(self) -> None:
        if not self.is_complete():
            self._is_overdue = True
            self._lines.write('ready_incomplete')
        self.update()


def _always() -> bool:
    """Default of `is_complete`."""
    return True
