"""Service 'accusations': keeps lost trials in the store.

Each is written by the process whose trial it was, and removed by one that has
seen all of its keys answered. Both may wait for the store; callers do not.
"""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from beryllug.core.placement import poison_data
from beryllug.drivers import object_data
from beryllug.kernel import background_tasks, log_lines
from beryllug.platform import store
from beryllug.router import accusation_documents, accusation_list

# Writes that wait; a server that is lost takes few trials with it.
MAX_WAITING = 64
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
GROWTH = 2.0


class AccusationWrites:
    """Writes one after the other.

    Attributes:
        counts: Numbers of writes by how they ended, for the dump.
    """

    def __init__(
        self,
        api: store.Store,
        listed: accusation_list.AccusationList,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the store."""
        self.counts = {'stored': 0, 'removed': 0, 'dropped': 0}
        self._api = api
        self._listed = listed
        self._lines = lines
        # What is written, by name; None for the removal of the object.
        self._waiting: dict[str, Any] = {}
        self._has_work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start writing."""
        self._task = background_tasks.start('accusations', self._run)

    async def stop(self, grace_s: float) -> None:
        """Stop writing; peers and the store know the rest or learn it anew."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return counts of writes, and the names of those that wait."""
        return {**self.counts, 'waiting': sorted(self._waiting)}

    def store(self, accusation: poison_data.Accusation) -> None:
        """Write an accusation soon."""
        spec = accusation_documents.encode(accusation, time.time())
        self._put(accusation.trial_id, spec)

    def remove(self, names: Iterable[str]) -> None:
        """Remove accusations soon, if they are stored."""
        for name in names:
            self._put(name, None)

    def _put(self, name: str, spec: Any) -> None:
        if len(self._waiting) >= MAX_WAITING and name not in self._waiting:
            self.counts['dropped'] += 1
            return
        self._waiting[name] = spec
        self._has_work.set()

    async def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            if not self._waiting:
                self._has_work.clear()
                await self._has_work.wait()
            name, spec = next(iter(self._waiting.items()))
            if await self._try_write(name, spec, pause_s):
                pause_s = FIRST_PAUSE_S
                if self._waiting[name] is spec:
                    self._waiting.pop(name)
                self._remove_expired()
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * GROWTH, MAX_PAUSE_S)

    async def _try_write(self, name: str, spec: Any, pause_s: float) -> bool:
        """Write or remove; returns whether there is nothing left to do."""
        try:
            await self._write(name, spec)
        except (object_data.ConflictError, object_data.NotFoundError):
            return True
        except (
            object_data.UnavailableError,
            object_data.UncertainError,
        ) as exc:
            if pause_s == FIRST_PAUSE_S:
                self._log_failure(name, exc)
            return False
        except object_data.ObjectApiError as exc:
            # The same call would be refused again.
            self._log_failure(name, exc)
            self.counts['dropped'] += 1
            return True
        self.counts['stored' if spec else 'removed'] += 1
        event = 'accusation_stored' if spec else 'accusation_removed'
        self._lines.write(event, trial=name)
        return True

    async def _write(self, name: str, spec: Any) -> None:
        if spec:
            await self._api.create(accusation_documents.KIND, name, spec)
        else:
            await self._api.delete(accusation_documents.KIND, name)

    def _log_failure(self, name: str, exc: Exception) -> None:
        self._lines.write('accusation_not_stored', trial=name, error=str(exc))

    def _remove_expired(self) -> None:
        """Remove what no longer matters, beside what is written anyway."""
        self.remove(self._listed.expired)
        self._listed.expired = ()
