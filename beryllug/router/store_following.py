"""Lets this process follow the platform's store while it is its turn."""

import asyncio
import math
import time

from beryllug.core.peering import members, watcher_election
from beryllug.kernel import background_tasks
from beryllug.router import directory


class StoreFollowing:
    """Starts and stops the watches of the store, by who else watches it."""

    def __init__(
        self,
        standing: watcher_election.WatcherState,
        known: members.Members,
        store_directory: directory.Directory,
    ) -> None:
        """Bind to the known watchers and processes and to the watches."""
        self._standing = standing
        self._members = known
        self._directory = store_directory
        self._task: asyncio.Task[None] | None = None

    def stop(self) -> None:
        """Start no more watches."""
        if self._task is not None:
            self._task.cancel()

    async def update(self, now: float) -> None:
        """Follow the store, if this process should."""
        if self._directory.is_current():
            watcher_election.record_watcher(
                self._standing, self._members.name, now
            )
        should_follow = watcher_election.must_watch(
            self._standing, self._members, now
        )
        await self._directory.update_following(should_follow=should_follow)

    def record_store_silence(self, name: str, now: float) -> None:
        """Record that the store stopped answering a process that watches.

        If it is this process's turn, it takes over at once: its next round may
        be too late for a change to be in force in time.
        """
        watcher_election.record_store_silence(self._standing, name, now)
        due_at = watcher_election.watch_due_at(
            self._standing, self._members, now
        )
        is_pending = self._task is not None and not self._task.done()
        if due_at < math.inf and not is_pending:
            self._task = background_tasks.run_once(
                'store_following', self._update_after(due_at - now)
            )

    async def _update_after(self, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        await self.update(time.monotonic())
