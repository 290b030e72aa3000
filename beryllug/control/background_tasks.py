"""Background tasks that run for the lifetime of their process.

An unexpected exception in a round is logged, and the next round starts after a
pause. Otherwise the task would end silently: leases would no longer be
renewed, or rows no longer be written, while the process looks healthy.
"""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging

PAUSE_S = 1.0


class DoneError(Exception):
    """Raised by a round to end its background task."""


async def run_repeatedly(
    name: str, work: Callable[[], Awaitable[None]]
) -> None:
    """Run a round repeatedly until cancelled or done.

    Args:
        name: Name of the task in the log.
        work: Runs one round, including its waits; may raise `DoneError`.
    """
    while True:
        try:
            await work()
        except DoneError:
            return
        except Exception:
            logging.exception('event=round_failed task=%s', name)
            await asyncio.sleep(PAUSE_S)
