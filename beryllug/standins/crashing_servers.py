"""Stand-in servers that crash under one request and come back as others.

A crashed server breaks off all that it runs and refuses connections. Its entry
goes after some missed heartbeats; another server starts at its address before
that.
"""

import asyncio
import functools
import time
from enum import Enum, auto
from typing import Any, NamedTuple

from beryllug.platform import names, requests, store
from beryllug.standins import (
    faults,
    http_stand_in,
    platform_runner,
    platform_site,
)

OK = 200
LITTLE_CONFIDENCE = '10'
FULL_CONFIDENCE = '100'
SMALL = 'small'


class Stage(Enum):
    """How far the answer to the bad request has come before the crash."""

    NO_HEAD = auto()
    HEAD = auto()
    EVENT = auto()
    UNSURE_HEAD = auto()


class Crash(NamedTuple):
    """How a server crashes, and when it is replaced.

    Attributes:
        stage: How far its answer has come.
        after_s: Seconds from the begin of the run to the crash.
        wait_s: Seconds that the bad request waits before it runs.
        entry_s: Seconds from the crash until its entry is removed; None if
            the store can't remove it.
        back_s: Seconds from the crash until another server runs at its
            address.
    """

    stage: Stage
    after_s: float = 0.1
    wait_s: float = 0.0
    entry_s: float | None = 3.6
    back_s: float = 3.0


class CrashingServers:
    """Servers of one service that crash under the bad request.

    Attributes:
        crashes: Seconds of the crashes.
        arrivals: Seconds at which the bad request came to a server.
    """

    def __init__(
        self,
        site: platform_site.Site,
        service: str,
        crash: Crash,
        **options: Any,
    ) -> None:
        """Bind to a site; `add` starts a server.

        Args:
            site: The site.
            service: The service of the servers.
            crash: How they crash.
            options: Options of the servers.
        """
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self._options = options
        self._crashed: set[str] = set()
        self._site = site
        self._service = service
        self._crash = crash
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def add(self, port: int = 0) -> None:
        """Start a server and list it."""
        self._number += 1
        instance = f'{self._service}-{self._number}'
        runner = await self._site.add_runner(
            self._service, instance, port=port, **self._options
        )
        runner.set_bad_run(functools.partial(self._run_bad, runner))

    async def stop(self) -> None:
        """Start and remove no more servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_bad(
        self,
        runner: platform_runner.PlatformRunner,
        parsed: requests.RequestHeaders,
        headers: dict[str, str],
        response: faults.Response,
    ) -> None:
        """Run the bad request until its server crashes."""
        self.arrivals.append(time.monotonic())
        if self._crash.wait_s:
            await asyncio.sleep(self._crash.wait_s)
        instance = runner.cfg.instance
        self._spawn(self._crash_later(instance))
        stage = self._crash.stage
        if stage is not Stage.NO_HEAD:
            await response.start(OK, headers | _stream_headers(parsed, stage))
        if stage is Stage.EVENT:
            number = int(parsed.last_event or 0) + 1
            await response.send(b'id: %d\ndata: x\n\n' % number)
        await asyncio.Event().wait()

    async def _crash_later(self, instance: str) -> None:
        await asyncio.sleep(self._crash.after_s)
        if instance in self._crashed:
            return
        self._crashed.add(instance)
        self.crashes.append(time.monotonic())
        stand_in = self._site.stand_ins[instance]
        stand_in.put_faults(refuse=True)
        self._spawn(self._drop_entry(instance))
        self._spawn(self._replace(stand_in))

    async def _drop_entry(self, instance: str) -> None:
        if self._crash.entry_s is not None:
            await asyncio.sleep(self._crash.entry_s)
            self._site.store_behaviour.remove(store.SERVERS, instance)

    async def _replace(self, crashed: http_stand_in.StandIn) -> None:
        await asyncio.sleep(self._crash.back_s)
        await self.add(port=int(crashed.address.rpartition(':')[2]))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _stream_headers(
    parsed: requests.RequestHeaders, stage: Stage
) -> dict[str, str]:
    """Return what the head of the answer states of its stream."""
    is_unsure = stage is Stage.UNSURE_HEAD and parsed.model.startswith(SMALL)
    return {
        names.CONTENT_TYPE: names.EVENT_STREAM,
        names.CONFIDENCE: LITTLE_CONFIDENCE if is_unsure else FULL_CONFIDENCE,
    }
