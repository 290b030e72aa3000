"""Fetches suspected requests after this process was stalled.

A control process waits only some tenths of a second for an entry before it
answers a crash report. An entry that was stalled for longer may not know of a
request that has crashed a server, and would send it to the next one.
"""

import asyncio
import time
from typing import Protocol

from absl import logging

from beryllug.core import suspects_data
from beryllug.drivers import methods, rpc
from beryllug.entry import control_calls, known_suspects

SYNC_TIMEOUT_S = 0.3


class Ticks(Protocol):
    """The part of the process clock that `SuspectSync` uses."""

    def stood_until(self, now: float) -> float:
        """Return when the process last resumed after a stall."""


class SuspectSync:
    """Asks a control process once after each stall."""

    def __init__(
        self,
        calls: control_calls.ControlCalls,
        known: known_suspects.KnownSuspects,
        ticks: Ticks,
    ) -> None:
        """Use the given control calls, known suspects and clock."""
        self._calls = calls
        self._known = known
        self._ticks = ticks
        self._synced_at = 0.0
        self._lock = asyncio.Lock()

    async def catch_up(self) -> None:
        """Fetch the suspects missed in a stall, within a bounded time."""
        if self._is_current():
            return
        async with self._lock:
            if self._is_current():
                return
            now = time.monotonic()
            await self._fetch()
            self._synced_at = now

    def _is_current(self) -> bool:
        return self._ticks.stood_until(time.monotonic()) <= self._synced_at

    async def _fetch(self) -> None:
        request = suspects_data.Notes(wants=True)
        try:
            # One timeout for all control processes that are tried in turn.
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                reply: suspects_data.Notes = await self._calls.call(
                    methods.TELL_SUSPECTS, request, SYNC_TIMEOUT_S
                )
        except (rpc.RpcError, TimeoutError) as exc:
            logging.warning('event=suspects_not_learnt error=%r', exc)
            return
        self._known.merge_notes(reply.notes, time.time())
