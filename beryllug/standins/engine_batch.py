"""The batch of the engine stand-in: places, and a queue by priority."""

import asyncio
import heapq
import itertools

Waiting = tuple[int, int, 'asyncio.Future[None]']


class Batch:
    """A fixed number of places; who finds none waits by priority."""

    def __init__(self, places: int, queue: int) -> None:
        """Make a batch with so many places and so long a queue."""
        self.running = 0
        self._places = places
        self._queue = queue
        self._waiting: list[Waiting] = []
        self._order = itertools.count()

    @property
    def queued(self) -> int:
        """Count those who wait."""
        return sum(not fut.done() for _, _, fut in self._waiting)

    def is_full(self) -> bool:
        """Tell whether neither a place nor the queue has room."""
        return self.running >= self._places and self.queued >= self._queue

    async def enter(self, priority: int) -> None:
        """Take a place, waiting for one if need be."""
        if self.running < self._places:
            self.running += 1
            return
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), fut))
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Give the place to the first who waits."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
