"""Background tasks that run for the lifetime of their process.

An unexpected exception in a round is logged, and the next round starts after a
pause. Otherwise the task would end silently: leases would no longer be
renewed, rows no longer be written, or the store no longer be followed, while
the process looks healthy.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

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


def start(name: str, work: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task that runs a round repeatedly; see `run_repeatedly`."""
    return asyncio.create_task(run_repeatedly(name, work))


def run_once(name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task that nobody waits for; an exception that ends it is logged.

    Args:
        name: Name of the task in the log.
        work: Runs once.
    """
    return asyncio.create_task(_log_failure(name, work))


async def _log_failure(name: str, work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except Exception:
        logging.exception('event=task_failed task=%s', name)
