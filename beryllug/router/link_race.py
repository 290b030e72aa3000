"""Connections that are opened in several ways, the first of which is used."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from beryllug.drivers import http_link

LinkTask = asyncio.Task[http_link.Link]
Way = Callable[[], Coroutine[Any, Any, http_link.Link]]


class LinkRace:
    """Opens connections, and owns the tasks that do."""

    def __init__(self) -> None:
        """Start without a task."""
        self._pending: set[LinkTask] = set()

    async def open(
        self, ways: Sequence[Way], head_start_s: float
    ) -> http_link.Link:
        """Return the first link.

        The ways that were begun before the successful one run on, so their
        outcome is still recorded.

        Args:
            ways: Open a link. Each is begun when those before it have failed
                or, for the head start, not succeeded.
            head_start_s: Head start of each over the next one, in seconds.

        Raises:
            OSError: There is no way, or all have failed; that of the first.
        """
        if not ways:
            raise OSError('no way to connect')
        tasks: list[LinkTask] = []
        try:
            for way in ways:
                tasks.append(self._begin(way()))
                if await _has_first(tasks, head_start_s):
                    break
            await _has_first(tasks, None)
        except asyncio.CancelledError:
            _cancel(tasks)
            raise
        first = next(filter(_has_link, tasks), tasks[0])
        place = tasks.index(first)
        for earlier in tasks[:place]:
            earlier.add_done_callback(_close_link)
        _cancel(tasks[place + 1 :])
        return first.result()

    def cancel(self) -> None:
        """Cancel all that is under way."""
        for task in self._pending:
            task.cancel()

    def _begin(self, opening: Coroutine[Any, Any, http_link.Link]) -> LinkTask:
        task = asyncio.create_task(opening)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return task


def _has_link(task: LinkTask) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


async def _has_first(tasks: Sequence[LinkTask], wait_s: float | None) -> bool:
    """Wait until a task has a link, or all have failed or the wait is over."""
    deadline = None
    if wait_s is not None:
        deadline = asyncio.get_running_loop().time() + wait_s
    pending = {task for task in tasks if not task.done()}
    while pending and not any(map(_has_link, tasks)):
        left_s = None
        if deadline is not None:
            left_s = deadline - asyncio.get_running_loop().time()
        done, pending = await asyncio.wait(
            pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            break
    return any(map(_has_link, tasks))


def _cancel(tasks: Iterable[LinkTask]) -> None:
    for task in tasks:
        task.add_done_callback(_close_link)
        task.cancel()


def _close_link(task: LinkTask) -> None:
    if _has_link(task):
        task.result().abort()
