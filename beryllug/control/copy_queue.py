"""Sends copies of intents to another process, in groups."""

import asyncio
from collections.abc import Awaitable, Callable

from beryllug.core import journal_data

Row = journal_data.Row


class CopyQueue:
    """One call is under way at a time; the next takes all that waited."""

    def __init__(
        self, send: Callable[[tuple[Row, ...]], Awaitable[bool]]
    ) -> None:
        """Make a queue over a call that tells whether copies are kept."""
        self._send = send
        self._waiting: list[tuple[Row, asyncio.Future[bool]]] = []
        self._task: asyncio.Task[None] | None = None

    async def put(self, row: Row) -> bool:
        """Copy a row; tell whether another process keeps it."""
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append((row, fut))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return await fut

    async def _run(self) -> None:
        while self._waiting:
            group = self._waiting
            self._waiting = []
            kept = await self._send(tuple(row for row, _ in group))
            for _, fut in group:
                if not fut.done():
                    fut.set_result(kept)
