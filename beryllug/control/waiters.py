"""Futures of callers that wait for rows to become durable."""

import asyncio
from collections.abc import Iterable

from beryllug.core import shard_state


class Waiters:
    """Futures by row; several callers may wait for one row."""

    def __init__(self) -> None:
        """Initialize without waiters."""
        self._futures: dict[shard_state.RowId, list[asyncio.Future[bool]]] = {}

    async def wait(self, row_id: shard_state.RowId, wait_s: float) -> bool:
        """Return whether a row became durable; False on timeout."""
        future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures.setdefault(row_id, []).append(future)
        try:
            async with asyncio.timeout(wait_s):
                return await future
        except TimeoutError:
            return False

    def complete(
        self, row_ids: Iterable[shard_state.RowId], *, durable: bool
    ) -> None:
        """Complete the futures of these rows with their result."""
        for row_id in row_ids:
            for future in self._futures.pop(row_id, ()):
                if not future.done():
                    future.set_result(durable)

    def fail_all(self) -> None:
        """Complete all futures as not durable."""
        self.complete(list(self._futures), durable=False)


async def wait_for_event(event: asyncio.Event, wait_s: float) -> bool:
    """Wait until an event is set; False on timeout."""
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(wait_s):
            return await event.wait()
    except TimeoutError:
        return False
