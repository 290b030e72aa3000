"""Detects that the store stopped answering during a long watch call.

A waiting call looks the same whether nothing changes or the store is down. So
each process that follows the store regularly makes a small call, for which
outdated data is good enough and which therefore costs little.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from beryllug.drivers import object_data
from beryllug.kernel import background_tasks
from beryllug.platform import store
from beryllug.router import store_watch

# Seconds between two calls, and the timeout of each. Together with the seconds
# in which other processes take over, a change is known within two.
PERIOD_S = 0.4
ANSWER_S = 0.4
# Range of the jitter factor of each pause, so that the processes that follow
# the store do not call at the same moments.
JITTER = (0.8, 1.0)


class StoreLiveness:
    """Checks whether the store answers.

    Attributes:
        on_unresponsive: Called each time that it does not.
    """

    def __init__(
        self, api: store.Store, watches: Sequence[store_watch.StoreWatch]
    ) -> None:
        """Bind to the store and to the watches of it."""
        self.on_unresponsive: Callable[[], None] = _ignore_outage
        self._api = api
        self._watches = watches
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the checks."""
        if self._task is None:
            self._task = background_tasks.start('store_liveness', self._run)

    async def stop(self) -> None:
        """Stop the checks."""
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S * random.uniform(*JITTER))
            # Failed watches are retried anyway and need no check.
            if all(watch.is_current for watch in self._watches):
                await self._ping()

    async def _ping(self) -> None:
        try:
            await self._api.ping(ANSWER_S)
        except object_data.ObjectApiError as exc:
            for watch in self._watches:
                watch.fail_waiting_call(str(exc))
            self.on_unresponsive()


def _ignore_outage() -> None:
    """Default of `on_unresponsive`."""
