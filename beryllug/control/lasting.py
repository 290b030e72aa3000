"""Tasks that go on for as long as their process.

A round that fails in a way nobody thought of is logged, and the next one
comes after a pause. Without this the task would end without a word: leases
would no longer be renewed, or rows no longer be written, while the process
looks healthy.
"""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging

PAUSE_S = 1.0


class DoneError(Exception):
    """Ends a lasting task: there is nothing left to do."""


async def repeat(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Do some work again and again, until cancelled or done.

    Args:
        name: What the log calls it.
        work: One round; it waits by itself, and may raise `DoneError`.
    """
    while True:
        try:
            await work()
        except DoneError:
            return
        except Exception:
            logging.exception('event=round_failed task=%s', name)
            await asyncio.sleep(PAUSE_S)
