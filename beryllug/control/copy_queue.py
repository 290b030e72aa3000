"""Sends copies of intents to another process in batches."""

import asyncio
from collections.abc import Awaitable, Callable

from beryllug.core import journal_data

Row = journal_data.Row


class CopyQueue:
    """Allows one call at a time; the next one takes all waiting rows."""

    def __init__(
        self, send: Callable[[tuple[Row, ...]], Awaitable[bool]]
    ) -> None:
        """Initialize the queue.

        Args:
            send: Sends rows; tells whether another process stored them.
        """
        self._send = send
        self._waiting: list[tuple[Row, asyncio.Future[bool]]] = []
        self._task: asyncio.Task[None] | None = None

    async def put(self, row: Row) -> bool:
        """Copy a row; tell whether another process stored it."""
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((row, future))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return await future

    async def _run(self) -> None:
        while self._waiting:
            batch = self._waiting
            self._waiting = []
            is_stored = await self._send(tuple(row for row, _ in batch))
            for _, future in batch:
                if not future.done():
                    future.set_result(is_stored)
