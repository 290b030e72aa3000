"""Service 'server_paths': connections of this process to backend servers.

A connection is opened directly, and through a peer if that fails or is late. By
what succeeds, `core.placement.reachability` tells a server that is down from a
link that is cut. While a link is cut, connections go through peers, and the
server is probed until it can be connected to again.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

from beryllug.core.placement import reachability
from beryllug.drivers import answer_timeouts, http_client, http_link
from beryllug.kernel import background_tasks, log_lines, metrics_data
from beryllug.router import path_verdicts

# Timeout of a connection to a backend server. A round trip between zones takes
# 3 ms; a lost packet is retransmitted only after a second, by which time
# another server has responded.
CONNECT_TIMEOUT_S = 0.3
# Seconds after which a connect that is still pending is tried through a peer,
# many round trips.
HEAD_START_S = 0.1
# Upper bound in seconds on all that is tried for one connection.
OPEN_TIMEOUT_S = 0.5
# Seconds between two probes while a link is cut.
PROBE_INTERVAL_S = 0.5

LinkTask = asyncio.Task[http_link.Link]


class Relays(Protocol):
    """Opens connections through peers."""

    async def open(self, address: str) -> http_link.Link:
        """Connect to a server; raises OSError."""


def _no_servers() -> Iterable[str]:
    return ()


class ServerPaths:
    """Opens connections to backend servers.

    Attributes:
        dial: Connects to an address.
        relays: Opens connections through peers; None without any.
        listed: Returns the addresses of the listed servers.
        verdicts: Tells which links are cut.
    """

    def __init__(
        self,
        lines: log_lines.LineWriter,
        timeouts: answer_timeouts.AnswerTimeouts,
    ) -> None:
        """Bind to the log and to the timeouts of this process."""
        self.dial: http_client.Opener = http_link.open_link
        self.relays: Relays | None = None
        self.listed: Callable[[], Iterable[str]] = _no_servers
        self.verdicts = path_verdicts.PathVerdicts(lines)
        self._timeouts = timeouts
        self._rng = random.Random()
        self._probing: asyncio.Task[None] | None = None
        self._pending: set[LinkTask] = set()

    async def start(self) -> None:
        """Do nothing: the service is driven by requests."""

    async def stop(self, grace_s: float) -> None:
        """Stop probing."""
        if self._probing is not None:
            self._probing.cancel()
        for task in self._pending:
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return which servers can't be connected to directly."""
        return self.verdicts.dump()

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the numbers of connects and of servers out of reach."""
        return self.verdicts.measure()

    def is_cut(self, address: str) -> bool:
        """Return whether the link to a server is assumed to be cut."""
        return reachability.is_cut(self.verdicts.state, address)

    async def open(self, address: str) -> http_link.Link:
        """Connect to a server.

        Raises:
            OSError: It can't be reached, or not in time.
        """
        if not self.is_cut(address):
            return await self._race(address)
        try:
            return await self._relay(address)
        except OSError:
            return await self.connect(address, CONNECT_TIMEOUT_S)

    async def connect(self, address: str, timeout_s: float) -> http_link.Link:
        """Connect to a server directly.

        Raises:
            OSError: It can't be reached, or not in time.
        """
        try:
            async with self._timeouts.within(timeout_s):
                link = await self.dial(address)
        except OSError as exc:
            reachability.forget(self.verdicts.state, (address, *self.listed()))
            self.verdicts.failed(address, exc, time.monotonic())
            self._probe_cut()
            raise
        self.verdicts.connected(address, time.monotonic())
        return link

    async def _race(self, address: str) -> http_link.Link:
        """Connect directly, and through a peer if that fails or is late."""
        direct = self._begin(self.connect(address, CONNECT_TIMEOUT_S))
        tasks = [direct]
        try:
            await asyncio.wait(tasks, timeout=HEAD_START_S)
            if not _has_link(direct):
                tasks.append(self._begin(self._relay(address)))
            first = await _first_link(tasks)
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
                task.add_done_callback(_close_link)
            raise
        for other in tasks:
            if other is not first:
                other.add_done_callback(_close_link)
            if other is not direct:
                # The outcome of the direct one tells whether the link is cut.
                other.cancel()
        return first.result()

    def _begin(self, opening: Coroutine[Any, Any, http_link.Link]) -> LinkTask:
        task = asyncio.create_task(opening)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return task

    async def _relay(self, address: str) -> http_link.Link:
        if self.relays is None:
            raise ConnectionRefusedError('no other process is known')
        try:
            link = await self.relays.open(address)
        except OSError as exc:
            self.verdicts.not_relayed(address, exc)
            raise
        self.verdicts.relayed(address, time.monotonic())
        self._probe_cut()
        return link

    def _probe_cut(self) -> None:
        if self.verdicts.state.cut and self._probing is None:
            self._probing = background_tasks.run_once(
                'path_probe', self._probe()
            )

    async def _probe(self) -> None:
        """Connect to servers until no link is taken for cut any more."""
        state = self.verdicts.state
        try:
            while state.cut or state.is_isolated:
                await self._probe_any()
        finally:
            self._probing = None

    async def _probe_any(self) -> None:
        state = self.verdicts.state
        await asyncio.sleep(PROBE_INTERVAL_S)
        listed = tuple(self.listed())
        reachability.forget(state, listed)
        targets = listed if state.is_isolated else state.cut
        if targets:
            await self._probe_one(self._rng.choice(tuple(targets)))

    async def _probe_one(self, address: str) -> None:
        try:
            link = await self.connect(address, CONNECT_TIMEOUT_S)
        except OSError:
            # It is recorded, and the next probe follows.
            return
        link.abort()


def _has_link(task: LinkTask) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


async def _first_link(tasks: list[LinkTask]) -> LinkTask:
    """Return the first task that has a link, else the first task."""
    pending = set(tasks)
    while pending:
        for task in tasks:
            if _has_link(task):
                return task
        _, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
    return next(filter(_has_link, tasks), tasks[0])


def _close_link(task: LinkTask) -> None:
    if _has_link(task):
        task.result().abort()
