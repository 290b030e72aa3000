"""Batches items that are sent to the same remote method.

A remote call costs far more than one more row in it. With little load each
item is sent at once; under load, calls keep a minimum interval, and the items
that arrive within it share the next call.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

Item = TypeVar('Item')
Reply = TypeVar('Reply')

MIN_CALL_INTERVAL_S = 0.004
MAX_BATCH = 256


class Batcher(Generic[Item, Reply]):
    """Collects items for a short time and sends them in one call."""

    def __init__(
        self, send: Callable[[Sequence[Item]], Awaitable[Sequence[Reply]]]
    ) -> None:
        """Initialize over a function that returns one reply per item."""
        self._send = send
        self._waiting: list[tuple[Item, asyncio.Future[Reply]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = float('-inf')

    async def submit(self, item: Item) -> Reply:
        """Send an item in a batch and return its reply.

        Raises:
            Exception: Any exception of the batch call.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Reply] = loop.create_future()
        self._waiting.append((item, future))
        if len(self._waiting) >= MAX_BATCH:
            self._flush()
        elif self._timer is None:
            due = max(loop.time(), self._sent_at + MIN_CALL_INTERVAL_S)
            self._timer = loop.call_at(due, self._flush)
        return await future

    async def stop(self) -> None:
        """Send the queued items and wait for all open calls."""
        self._flush()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch = self._waiting
        self._waiting = []
        if batch:
            self._sent_at = asyncio.get_running_loop().time()
            task = asyncio.create_task(self._run(batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(
        self, batch: list[tuple[Item, 'asyncio.Future[Reply]']]
    ) -> None:
        try:
            replies = await self._send([item for item, _ in batch])
        except Exception as exc:
            for _, future in batch:
                _fail_future(future, exc)
            return
        for (_, future), reply in zip(batch, replies, strict=True):
            if not future.done():
                future.set_result(reply)


def _fail_future(future: 'asyncio.Future[Reply]', exc: Exception) -> None:
    if not future.done():
        future.set_exception(exc)
