"""Service 'load_spread': tells peers what this process has sent to runners.

Short notes, several times a second, and only while there is something to
tell: a runner's backlog of a second must be known before the next prompt goes
there too.
"""

import asyncio
import random
import time
from typing import Any

from beryllug.core.peering import members, peering_data
from beryllug.core.placement import backlog
from beryllug.drivers import datagrams, fleet_key

PERIOD_S = 0.25
# Peers that are told at a time: all of a small fleet. In a large one each
# process hears of a part of the others, and takes it for the whole in ratio.
MOST_TOLD = 8


class LoadSpread:
    """Tells a few peers at a time."""

    def __init__(
        self,
        known: members.Members,
        reading: backlog.Backlog,
        keys: fleet_key.KeyRing,
        address: str,
    ) -> None:
        """Bind to the members and to the backlog that is told."""
        self._members = known
        self._reading = reading
        self._address = address
        self._notes = datagrams.Datagrams(keys, peering_data.Loads, self._take)
        self._rng = random.Random(known.name)
        self._had_load = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to tell and to take."""
        await self._notes.start(self._address)
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop to tell."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._notes.stop()

    def dump(self) -> dict[str, Any]:
        """Return the backlog by runner, and the paces of the models."""
        now = time.monotonic()
        return {
            'own_s': backlog.told(self._reading, now),
            'paces_s': dict(self._reading.paces),
            'notes_sent': self._notes.sent,
            'notes_dropped': self._notes.dropped,
        }

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S)
            seconds = backlog.told(self._reading, time.monotonic())
            if seconds or self._had_load:
                self._tell(seconds)
            self._had_load = bool(seconds)

    def _tell(self, seconds: dict[str, float]) -> None:
        names = sorted(self._members.known)
        self._reading.heard_part = backlog.heard_part(
            len(names), MOST_TOLD, PERIOD_S
        )
        chosen = self._rng.sample(names, min(MOST_TOLD, len(names)))
        loads = peering_data.Loads(self._members.name, seconds)
        for name in chosen:
            self._notes.send(self._members.known[name].notes, loads)

    def _take(self, loads: peering_data.Loads) -> None:
        backlog.take(
            self._reading,
            loads.name,
            loads.seconds,
            time.monotonic(),
        )
