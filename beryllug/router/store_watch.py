"""Follows one kind of objects in the platform's store, while told to.

It lists the kind once and watches from there. A failed watch resumes at its
last revision; the kind is listed again only when the store has dropped that
history. Loss and recovery are logged once each, the recovery with the number of
failures between. After an error that nobody expected the kind is listed again:
a watch that ended would leave the process with outdated data for good, while
the others believe that it follows the store.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from absl import logging

from beryllug.drivers import object_data, store_data
from beryllug.kernel import log_lines
from beryllug.platform import store
from beryllug.router import invalid_entry_log, store_listing

# A waiting watch costs one call; the store lets it wait for up to 30 s. Ten
# seconds bound the time until a watch that the network lost is noticed.
WAIT_S = 10.0
# After a failure the first watch returns soon, so that the store's recovery is
# known when it happens: entries that expired in the outage are doubted from
# then on.
RECOVERY_WAIT_S = 0.05
# Seconds between a change and the next watch. Changes come in bursts, as when a
# zone's servers start or a version is rolled out; each one alone would wake
# every watch and cost a call. The first change is passed on at once, the others
# within a tenth of the time after which a leaving server must get no more
# requests.
BATCH_S = 0.25
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# Maximum pause in seconds that the store can ask for: its changes in the
# meantime are not known here.
MAX_RETRY_AFTER_S = 10.0
# A process that starts in an outage can serve nobody until the store recovers:
# the first retries come often, later ones once a second.
GROWTH = 1.3
# Range of the jitter factor of each pause, so that processes that lost the
# store together do not all reconnect at the same moment.
JITTER = (0.5, 1.5)

Listed = Callable[[store_data.Listing, float], None]
Changed = Callable[[store_data.Changes, float], None]
Reached = Callable[[bool, float], None]


class Follower(NamedTuple):
    """Callbacks for one kind.

    Attributes:
        listed: Called with a full list.
        changed: Called with changes, in order.
        reached: Called after each call, before its result is passed on, with
            whether the store answered.
    """

    listed: Listed
    changed: Changed
    reached: Reached


class StoreWatch:
    """Follows one kind from `start` to `stop`; can be restarted.

    Attributes:
        is_current: Whether the last call was answered.
        page_pause_s: Seconds to wait before each further page of a list.
    """

    def __init__(
        self,
        api: store.Store,
        kind: str,
        follower: Follower,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the store; `start` makes the first call."""
        self.is_current = False
        self.page_pause_s = 0.0
        self._api = api
        self._kind = kind
        self._follower = follower
        self._lines = lines
        self._refusals = invalid_entry_log.InvalidEntryLog(
            'entry_unreadable', lines
        )
        self._task: asyncio.Task[None] | None = None
        self._failures = 0
        self._lost_at = 0.0
        self._revision = 0

    def start(self) -> None:
        """Start following, with a full list."""
        if self._task is None:
            self._revision = 0
            self._task = asyncio.create_task(self._run())

    def relist(self) -> None:
        """List again at once, even if a call is waiting.

        If the watch's own task calls this, since its answer told of a new era,
        that call goes on.
        """
        if self._task is None or self._task is asyncio.current_task():
            return
        self._task.cancel()
        self._task = None
        self.start()

    def fail_waiting_call(self, reason: str) -> None:
        """Treat the waiting call as failed and retry from its revision."""
        if self._task is None:
            return
        self._task.cancel()
        self._note_failure(object_data.UnavailableError(reason))
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop following."""
        task = self._task
        self._task = None
        self.is_current = False
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                await self._step()
            except object_data.CompactedError as exc:
                self._lines.write(
                    'watch_compacted', kind=self._kind, error=str(exc)
                )
                self._revision = 0
                await asyncio.sleep(FIRST_PAUSE_S * random.uniform(*JITTER))
            except Exception as exc:
                self._handle_failure(exc)
                jittered_s = pause_s * random.uniform(*JITTER)
                await asyncio.sleep(max(jittered_s, _retry_after_s(exc)))
                pause_s = min(pause_s * GROWTH, MAX_PAUSE_S)
            else:
                pause_s = FIRST_PAUSE_S

    async def _step(self) -> None:
        if not self._revision:
            listing = await store_listing.list_all(
                self._api, self._kind, self.page_pause_s
            )
            self._note_answer()
            self._note_errors(listing.errors)
            self._follower.listed(listing, time.monotonic())
            self._revision = listing.revision
            return
        wait_s = RECOVERY_WAIT_S if self._failures else WAIT_S
        changes = await self._api.watch(self._kind, self._revision, wait_s)
        self._note_answer()
        self._note_errors(changes.errors)
        self._revision = max(changes.revision, self._revision)
        if changes.changes:
            self._follower.changed(changes, time.monotonic())
        if not changes.is_complete:
            self._lines.write('watch_incomplete', kind=self._kind)
            self._revision = 0
        if changes.changes or not changes.is_complete:
            await asyncio.sleep(BATCH_S)

    def _note_errors(self, errors: Iterable[str]) -> None:
        for error in errors:
            self._refusals.log_once(error, error)

    def _handle_failure(self, exc: Exception) -> None:
        if not isinstance(exc, object_data.ObjectApiError):
            logging.exception('event=watch_failed kind=%s', self._kind)
            self._revision = 0
        self._note_failure(exc)

    def _note_failure(self, exc: Exception) -> None:
        self._failures += 1
        self.is_current = False
        self._follower.reached(False, time.monotonic())
        if self._failures == 1:
            self._lost_at = time.monotonic()
            self._lines.write('store_lost', kind=self._kind, error=str(exc))

    def _note_answer(self) -> None:
        self.is_current = True
        self._follower.reached(True, time.monotonic())
        if self._failures:
            self._lines.write(
                'store_regained',
                kind=self._kind,
                failures=self._failures,
                away_s=round(time.monotonic() - self._lost_at, 3),
            )
        self._failures = 0


def _retry_after_s(exc: Exception) -> float:
    """Return the pause in seconds that the store asks for, bounded."""
    if isinstance(exc, object_data.RateLimitedError):
        return min(exc.retry_after_s, MAX_RETRY_AFTER_S)
    return 0
