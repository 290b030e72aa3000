"""Notices that the store has fallen silent while a call waits for changes.

A waiting call looks the same whether nothing changes or nobody answers. So who
follows the store asks it something small from time to time, of which old data
will do: such a call costs little.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from beryllug.drivers import object_data
from beryllug.platform import store
from beryllug.router import store_watch

# Seconds between two calls, and for the answer. With the seconds in which
# others take over, a change is known within two.
PERIOD_S = 0.4
ANSWER_S = 0.4
# Parts of the period between which each pause is drawn, so that those who
# follow the store do not ask at the same moments.
JITTER = (0.8, 1.0)


class StorePulse:
    """Asks the store whether it answers.

    Attributes:
        on_silent: Told each time that it does not.
    """

    def __init__(
        self, api: store.Store, watches: Sequence[store_watch.StoreWatch]
    ) -> None:
        """Bind to the store, and to the calls that wait for its changes."""
        self.on_silent: Callable[[], None] = _pass_over
        self._api = api
        self._watches = watches
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to ask."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop to ask."""
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S * random.uniform(*JITTER))
            # Calls that have failed are made again anyway.
            if all(watch.is_current for watch in self._watches):
                await self._ask()

    async def _ask(self) -> None:
        try:
            await self._api.ping(ANSWER_S)
        except object_data.ObjectApiError as exc:
            for watch in self._watches:
                watch.doubt(str(exc))
            self.on_silent()


def _pass_over() -> None:
    """Tell nobody that the store is silent."""
