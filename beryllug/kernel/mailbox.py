"""Mailboxes: message queues of tasks that own their state.

A service whose state is changed on behalf of several callers has one task and
one mailbox. Callers `ask` and wait for the reply; the task handles the messages
one at a time, so its state needs no lock.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Generic, NamedTuple, TypeVar

Message = TypeVar('Message')


class Envelope(NamedTuple, Generic[Message]):
    """A message and the future that its reply resolves."""

    message: Message
    fut: 'asyncio.Future[Any]'


class Mailbox(Generic[Message]):
    """A bounded queue of messages with one consuming task."""

    def __init__(self, size: int) -> None:
        """Create a mailbox that holds at most `size` messages."""
        self._queue: asyncio.Queue[Envelope[Message]] = asyncio.Queue(size)
        self._task: asyncio.Task[None] | None = None

    def start(self, handle: Callable[[Message], Awaitable[Any]]) -> None:
        """Start the task that handles the messages in order."""
        self._task = asyncio.create_task(self._run(handle))

    async def ask(self, message: Message) -> Any:
        """Send a message and wait for the reply.

        Raises:
            Exception: Whatever the handler raised.
        """
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        await self._queue.put(Envelope(message, fut))
        return await fut

    def tell(self, message: Message) -> bool:
        """Send a message without a reply; return False if there is no room."""
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        fut.add_done_callback(_consume_exception)
        try:
            self._queue.put_nowait(Envelope(message, fut))
        except asyncio.QueueFull:
            return False
        return True

    async def stop(self) -> None:
        """Cancel the task and all queued messages."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        while not self._queue.empty():
            self._queue.get_nowait().fut.cancel()

    async def _run(self, handle: Callable[[Message], Awaitable[Any]]) -> None:
        while True:
            envelope = await self._queue.get()
            try:
                reply = await handle(envelope.message)
            except Exception as exc:
                _reject(envelope.fut, exc)
            else:
                _resolve(envelope.fut, reply)


def _consume_exception(fut: 'asyncio.Future[Any]') -> None:
    if not fut.cancelled():
        fut.exception()


def _resolve(fut: 'asyncio.Future[Any]', reply: Any) -> None:
    if not fut.done():
        fut.set_result(reply)


def _reject(fut: 'asyncio.Future[Any]', exc: Exception) -> None:
    if not fut.done():
        fut.set_exception(exc)
