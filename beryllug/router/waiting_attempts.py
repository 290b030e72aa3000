"""Attempts that wait at a server for the head of their answer.

A request may wait in the queue of a server for seconds. If servers are lost
under its like meanwhile, it is withdrawn, before that server runs it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from beryllug.router import attempts
from beryllug.router import call as call_data


class Waiting(NamedTuple):
    """A request whose attempt waits, and its progress."""

    call: call_data.Call
    progress: attempts.Progress


class WaitingAttempts:
    """The waiting attempts of this process, each with what ends its wait."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._waiting: dict[asyncio.Timeout, Waiting] = {}

    @contextlib.asynccontextmanager
    async def wait(
        self, call: call_data.Call, progress: attempts.Progress
    ) -> AsyncIterator[None]:
        """Wait for an answer.

        Raises:
            TimeoutError: The request is withdrawn.
        """
        async with asyncio.timeout(None) as scope:
            self._waiting[scope] = Waiting(call, progress)
            try:
                yield
            finally:
                self._waiting.pop(scope)

    def withdraw(self, is_withdrawn: Callable[[Waiting], bool]) -> None:
        """Withdraw the requests for which a function returns True.

        One that is withdrawn already may still have to end.
        """
        now = asyncio.get_running_loop().time()
        for scope, waiting in self._waiting.items():
            if not scope.expired() and is_withdrawn(waiting):
                scope.reschedule(now)
