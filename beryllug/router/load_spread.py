"""Service 'load_spread': tells peers what this process has sent to runners.

Short messages, several times a second, and only while there is something to
tell: a runner's backlog of a second must be known before the next prompt goes
there too.
"""

import asyncio
import random
import time
from typing import Any

from beryllug.core.peering import members, peering_data
from beryllug.core.placement import backlog
from beryllug.drivers import methods, rpc, rpc_peers

PERIOD_S = 0.25
CALL_S = 0.5
# Peers that are told at a time. All of a small fleet; in a large one, each
# process hears of a part of the others, which is the whole in the mean.
MOST_TOLD = 8


class LoadSpread:
    """Tells a few peers at a time."""

    def __init__(
        self,
        known: members.Members,
        reading: backlog.Backlog,
        calls: rpc_peers.Peers,
    ) -> None:
        """Bind to the members and to the backlog that is told."""
        self._members = known
        self._reading = reading
        self._calls = calls
        self._rng = random.Random(known.name)
        self._had_load = False
        self._task: asyncio.Task[None] | None = None
        self._calling: set[asyncio.Task[None]] = set()

    def serve(self, server: rpc.RpcServer) -> None:
        """Take what peers tell."""
        server.unary(methods.LOADS, self._take)

    async def start(self) -> None:
        """Start to tell."""
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop to tell."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return the backlog by runner, and the paces of the models."""
        now = time.monotonic()
        return {
            'own_s': backlog.told(self._reading, now),
            'paces_s': dict(self._reading.paces),
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
        chosen = self._rng.sample(names, min(MOST_TOLD, len(names)))
        loads = peering_data.Loads(self._members.name, seconds)
        for address in members.addresses(self._members, chosen):
            task = asyncio.create_task(self._call(address, loads))
            self._calling.add(task)
            task.add_done_callback(self._calling.discard)

    async def _call(self, address: str, loads: peering_data.Loads) -> None:
        try:
            await self._calls.call(address, methods.LOADS, loads, CALL_S)
        except rpc.RpcError:
            # What is not heard of for a while counts as nothing; whether the
            # peer is gone is for the membership to find.
            return

    async def _take(self, loads: peering_data.Loads) -> peering_data.Nothing:
        backlog.take(self._reading, loads.name, loads.seconds, time.monotonic())
        return peering_data.Nothing()
