"""The batch of the engine stand-in, with a priority queue."""

import asyncio
import heapq
import itertools

QueueEntry = tuple[int, int, 'asyncio.Future[None]']


class Batch:
    """A fixed number of slots; further requests wait by priority."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Create a batch with a number of slots and a queue limit."""
        self.running = 0
        self._slots = slots
        self._queue_limit = queue_limit
        self._waiting: list[QueueEntry] = []
        self._sequence = itertools.count()

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return sum(not fut.done() for _, _, fut in self._waiting)

    def is_full(self) -> bool:
        """Return whether all slots are taken and the queue is full."""
        return self.running >= self._slots and self.queued >= self._queue_limit

    async def acquire(self, priority: int) -> None:
        """Acquire a slot, waiting until one is free."""
        if self.running < self._slots:
            self.running += 1
            return
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()
        heapq.heappush(self._waiting, (priority, next(self._sequence), fut))
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the slot to the first waiting request, or free it."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
