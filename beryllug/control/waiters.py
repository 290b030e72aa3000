"""Who waits for which row to become durable."""

import asyncio
from collections.abc import Iterable

from beryllug.core import shard_state


class Waiters:
    """Futures by row; several may wait for one row."""

    def __init__(self) -> None:
        """Make an empty set."""
        self._futs: dict[shard_state.RowId, list[asyncio.Future[bool]]] = {}

    async def wait(self, row_id: shard_state.RowId, wait_s: float) -> bool:
        """Wait until a row is settled; False when that takes too long."""
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._futs.setdefault(row_id, []).append(fut)
        try:
            async with asyncio.timeout(wait_s):
                return await fut
        except TimeoutError:
            return False

    def settle(
        self, row_ids: Iterable[shard_state.RowId], *, durable: bool
    ) -> None:
        """Tell whoever waits for these rows what became of them."""
        for row_id in row_ids:
            for fut in self._futs.pop(row_id, ()):
                if not fut.done():
                    fut.set_result(durable)

    def give_up(self) -> None:
        """Tell all that their rows were not made durable here."""
        self.settle(list(self._futs), durable=False)


async def set_within(event: asyncio.Event, wait_s: float) -> bool:
    """Wait until an event is set; False when that takes too long."""
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(wait_s):
            return await event.wait()
    except TimeoutError:
        return False
