"""Requests that crash each model runner that runs them, sent repeatedly.

It is the same request again and again, or they are never alike and share a
prompt segment.

A crashed runner breaks off all that it runs and refuses connections. Its entry
goes later than another runner starts in its place.
"""

import asyncio
import random
import time

from beryllug.platform import requests
from beryllug.soak import callers, components, plan, site
from beryllug.standins import faults, platform_runner, platform_site

# Seconds from the begin of a run to the crash, and from the crash until the
# runner is replaced and until its entry is removed.
CRASH_S = 0.1
BACK_S = 3.0
ENTRY_S = 3.6
# Seconds for which the request is sent, and between two times.
FOR_S = 12.0
INTERVAL_S = 0.4
# How it is told from others.
NAME = 'bad'
PATH = '/draft/roster'
# Crashes from which requests that share a segment are known.
SEGMENT_KNOWN_AFTER = 5


class CrashRequest:
    """Sends the request, and crashes the runners that run it."""

    def __init__(
        self,
        deployment: site.SoakSite,
        balancer: callers.Balancer,
        seed: int,
        *,
        is_segment: bool,
    ) -> None:
        """Bind to the deployment; `run` sends the requests.

        Args:
            deployment: The site.
            balancer: Chooses routers.
            seed: Seed of the run.
            is_segment: Whether they share a segment only.
        """
        self._is_segment = is_segment
        self._prompt = plan.draw_crash_prompt(seed, platform_runner.BAD_SEGMENT)
        self._count = 0
        if is_segment:
            deployment.seen.known_after = SEGMENT_KNOWN_AFTER
        self._deployment = deployment
        self._balancer = balancer
        self._caller = callers.Caller(NAME, deployment, balancer, seed)
        self._rng = random.Random(f'{seed}/{NAME}')
        self._crashed: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        deployment.set_bad_run(self._run_bad)

    async def run(self, at_s: float | None) -> None:
        """Send the request from some second on; None for never."""
        if at_s is None:
            return
        await asyncio.sleep(at_s)
        end = time.monotonic() + FOR_S
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end:
                tasks.create_task(self._send())
                await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*self._tasks)

    async def _send(self) -> None:
        router = self._balancer.choose(self._rng)
        sent = self._caller.new_request(router, PATH, platform_runner.BAD)
        self._count += 1
        if self._is_segment:
            sent = sent._replace(
                body=sent.attempt_id.encode(),
                prompt=self._prompt.format(own=f'{self._count:x}'),
            )
        # It is owed no answer, so its result is not kept.
        await self._caller.send(
            router, sent._replace(key=platform_site.KEY), 'POST'
        )

    async def _run_bad(
        self,
        runner: platform_runner.PlatformRunner,
        parsed: requests.RequestHeaders,
        headers: dict[str, str],
        response: faults.Response,
    ) -> None:
        """Run the request until its runner crashes."""
        await asyncio.sleep(CRASH_S)
        instance = runner.cfg.instance
        if instance not in self._crashed:
            self._crashed.add(instance)
            task = asyncio.create_task(self._crash(instance))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.Event().wait()

    async def _crash(self, instance: str) -> None:
        deployment = self._deployment
        crashed_at = time.monotonic()
        deployment.seen.crashes.append(crashed_at)
        await deployment.server_proxies[instance].stop()
        deployment.put_faults(instance, refuse=True)
        await asyncio.sleep(BACK_S)
        if instance in deployment.present:
            number = deployment.present.index(instance)
            deployment.present[number] = await deployment.add_server(number)
        await asyncio.sleep(ENTRY_S - BACK_S)
        deployment.remove_entry(instance)
        deployment.record_fault(
            (components.SERVERS,), crashed_at, time.monotonic()
        )
