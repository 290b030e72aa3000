"""Injects a fault of a plan, and ends it."""

import asyncio
import signal
import time

from beryllug.platform import store
from beryllug.soak import (
    checks,
    components,
    link_faults,
    load_checks,
    observations,
    plan,
    proxy,
    site,
    store_restore,
)
from beryllug.standins import (
    platform_runner,
    platform_site,
)

Kind = plan.Kind
# Seconds that a process is down before it is restarted.
RESTART_S = 0.3
# Seconds that a leaving server runs beyond the time that it must.
EXTRA_RUN_S = 1.5
DELAY_S = 0.08
SLOW_S = 0.3
ERROR_RATE = 0.4
# Backoff in seconds that a refusing server asks for.
BACKOFF_S = 2.0
# Statements in the answers of servers.
BRITTLE_STATEMENT = platform_runner.ServerStatus(brittle_per_s=4)
LIMIT_STATEMENT = platform_runner.ServerStatus(limit_per_s=site.LIMIT_PER_S)
BACKOFF_STATEMENT = platform_runner.ServerStatus(retry_after_s=BACKOFF_S)
# Seconds for which a sound server pauses.
PAUSE_S = 1.2
# A roll-out: its duration in seconds, its version, and the fraction of answers
# of a bad version that are errors.
ROLLOUT = 'rollout'
ROLLOUT_S = 10
VERSION = 'v2'
BAD_ERROR_RATE = 0.5


class Injector:
    """Injects the faults of a plan into a deployment.

    Attributes:
        links: Cuts links of routers to servers.
    """

    def __init__(self, deployment: site.SoakSite) -> None:
        """Start without faults."""
        self._deployment = deployment
        self._busy: set[str] = set()
        self.links = link_faults.LinkFaults(deployment)

    async def inject(self, fault: plan.Fault) -> None:
        """Inject a fault, wait for its duration, and end it."""
        for kinds, inject_fault in (
            (plan.ROUTER_FAULTS, self._inject_router),
            (plan.STORE_LINK_FAULTS, self._inject_store_link),
            (plan.SERVER_LINK_FAULTS, self.links.cut_one),
            (plan.STORE_FAULTS, self._inject_store),
            (plan.ROLLOUT_FAULTS, self._roll_out),
            (plan.TABLE_CHANGES, self._change),
            (plan.ZONE_FAULTS, self._evacuate),
            (plan.SERVER_FAULTS, self._inject_server),
        ):
            if fault.kind in kinds:
                await inject_fault(fault)

    async def _inject_router(self, fault: plan.Fault) -> None:
        router = self._deployment.site.routers[fault.target]
        if router.name in self._busy:
            return
        self._busy.add(router.name)
        try:
            await self._signal(fault, router)
        finally:
            self._busy.discard(router.name)

    async def _signal(
        self, fault: plan.Fault, router: platform_site.Router
    ) -> None:
        running = self._deployment.running
        match fault.kind:
            case Kind.RELOAD:
                running.signal(router.name, signal.SIGHUP)
            case Kind.FREEZE:
                freeze = components.freeze_of(router.name)
                async with self._deployment.during_fault(router.name, freeze):
                    running.pause(router.name)
                    await asyncio.sleep(fault.for_s)
                    running.resume(router.name)
            case Kind.STOP:
                await running.terminate(router.name)
                await self._restart(router)
            case _:
                async with self._deployment.during_fault(router.name):
                    await running.kill(router.name)
                    await self._restart(router)

    async def _restart(self, router: platform_site.Router) -> None:
        async with self._deployment.during_fault(
            components.restart_of(router.name)
        ):
            await asyncio.sleep(RESTART_S)
            await self._deployment.site.restart_router(
                self._deployment.running, router
            )
            await asyncio.sleep(RESTART_S)

    async def _inject_store_link(self, fault: plan.Fault) -> None:
        store_proxy = self._deployment.store_proxies[fault.target]
        router = self._deployment.site.routers[fault.target]
        async with self._deployment.during_fault(router.name):
            match fault.kind:
                case Kind.STORE_SILENT:
                    store_proxy.silence()
                case Kind.STORE_HALF_CUT:
                    store_proxy.link.is_cut_down = True
                case _:
                    store_proxy.link.is_cut_up = True
                    store_proxy.link.is_cut_down = True
            await asyncio.sleep(fault.for_s)
            store_proxy.link.is_cut_up = False
            store_proxy.link.is_cut_down = False

    async def _inject_store(self, fault: plan.Fault) -> None:
        async with self._deployment.during_fault(components.STORE):
            match fault.kind:
                case Kind.STORE_FORGETS:
                    self._deployment.site.store_behaviour.compact()
                case Kind.STORE_RETURNS:
                    await store_restore.restore(self._deployment)
                case Kind.STORE_DOWN:
                    self._deployment.put_store_faults(refuse=True)
                case Kind.STORE_SLOW:
                    self._deployment.put_store_faults(answer_delay_s=SLOW_S)
                case _:
                    self._deployment.put_store_faults(drop_answer=True)
            await asyncio.sleep(fault.for_s)
            self._deployment.put_store_faults()

    async def _change(self, fault: plan.Fault) -> None:
        deployment = self._deployment
        if fault.kind is Kind.KEY and deployment.seen.revoked_at is None:
            deployment.seen.revoked_at = time.monotonic()
        deployment.put_table()

    async def _roll_out(self, fault: plan.Fault) -> None:
        """Order a new version of the model runners, once per run."""
        if ROLLOUT in self._busy:
            return
        self._busy.add(ROLLOUT)
        deployment = self._deployment
        is_bad = fault.kind is Kind.BAD_VERSION
        error_rate = BAD_ERROR_RATE if is_bad else 0
        instances = [
            await deployment.add_server(
                0, version=VERSION, error_rate=error_rate
            )
            for _ in range(2)
        ]
        began_at = time.monotonic()
        service = deployment.service(0)
        order = {
            'service': service,
            'target': VERSION,
            'duration_s': ROLLOUT_S,
        }
        deployment.site.store_behaviour.put(store.ROLLOUTS, service, order)
        await asyncio.sleep(ROLLOUT_S)
        status = deployment.site.store_behaviour.status(store.ROLLOUTS, service)
        deployment.seen.rollout_result = observations.RolloutResult(
            is_bad,
            began_at,
            time.monotonic(),
            (status or {}).get('state', ''),
            frozenset(instances),
        )

    async def _inject_server(self, fault: plan.Fault) -> None:
        instance = self._deployment.present[fault.target]
        if instance in self._busy:
            return
        self._busy.add(instance)
        runner = self._deployment.site.runners[instance]
        try:
            match fault.kind:
                case Kind.SERVER_LEAVES:
                    self._deployment.put_entry(
                        fault.target, instance, 'draining'
                    )
                    self._deployment.seen.draining_since[instance] = (
                        time.monotonic()
                    )
                    await self._leave(fault.target, instance)
                case Kind.SERVER_STATES_LEAVING:
                    await self._leave(fault.target, instance)
                case Kind.SERVER_COLD:
                    await self._replace_by_cold(fault.target, instance)
                case Kind.SERVER_LIMITED:
                    # Longer than it takes to propagate.
                    seconds = (
                        checks.APPLY_S + checks.LIMIT_WINDOW_S + fault.for_s
                    )
                    await _make_statement(runner, seconds, LIMIT_STATEMENT)
                case Kind.SERVER_PAUSES:
                    await _pause(self._deployment.server_proxies[instance])
                case Kind.SERVER_BRITTLE:
                    await _make_brittle(runner, fault.for_s)
                case Kind.SERVER_BACKS_OFF:
                    await _make_statement(
                        runner, fault.for_s, BACKOFF_STATEMENT
                    )
                case _:
                    await self._break_server(fault, instance)
        finally:
            self._busy.discard(instance)

    async def _leave(self, number: int, instance: str) -> None:
        """Let a server announce that it leaves; its entry may be ready."""
        deployment = self._deployment
        runner = deployment.site.runners[instance]
        runner.reported_status = runner.reported_status._replace(
            is_leaving=True
        )
        deployment.present[number] = await deployment.add_server(number)
        await asyncio.sleep(checks.APPLY_S + EXTRA_RUN_S)
        deployment.remove_entry(instance)
        await asyncio.sleep(EXTRA_RUN_S)
        # Requests that still run there are past their deadlines.
        async with self._deployment.during_fault(components.SERVERS):
            deployment.put_faults(instance, refuse=True)

    async def _replace_by_cold(self, number: int, instance: str) -> None:
        """Crash a server and replace it at once by a cold one."""
        deployment = self._deployment
        async with self._deployment.during_fault(components.SERVERS):
            deployment.put_faults(instance, refuse=True)
            deployment.server_proxies[instance].reset()
            deployment.remove_entry(instance)
            deployment.present[number] = await deployment.add_server(
                number, cold_s=site.COLD_S
            )
            await asyncio.sleep(RESTART_S)

    async def _evacuate(self, fault: plan.Fault) -> None:
        """Evacuate a zone for longer than the order takes to apply."""
        deployment = self._deployment
        zone = site.ZONES[-1]
        if zone in self._busy:
            return
        self._busy.add(zone)
        began_at = time.monotonic()
        deployment.site.store_behaviour.put(store.EVACUATIONS, zone, {})
        await asyncio.sleep(checks.APPLY_S + fault.for_s)
        ended_at = time.monotonic()
        deployment.site.store_behaviour.remove(store.EVACUATIONS, zone)
        deployment.seen.closed.append(
            observations.Evacuation(zone, began_at, ended_at)
        )
        self._busy.discard(zone)

    async def _break_server(self, fault: plan.Fault, instance: str) -> None:
        deployment = self._deployment
        server_proxy = deployment.server_proxies[instance]
        async with self._deployment.during_fault(components.SERVERS):
            match fault.kind:
                case Kind.SERVER_CRASH:
                    deployment.site.stand_ins[instance].crash()
                    server_proxy.reset()
                case Kind.SERVER_RESETS:
                    deployment.put_faults(
                        instance, reset_before_run=True, times=4
                    )
                case Kind.SERVER_LOSES:
                    deployment.put_faults(instance, drop_answer=True, times=4)
                case Kind.SERVER_FAILS:
                    deployment.put_faults(instance, error_rate=ERROR_RATE)
                case Kind.SERVER_SLOW:
                    deployment.put_faults(instance, delay_s=SLOW_S)
                case Kind.SERVER_CUT:
                    server_proxy.link.is_cut_down = True
                case Kind.SERVER_SILENT:
                    server_proxy.silence()
                case _:
                    server_proxy.link.delay_s = DELAY_S
            await asyncio.sleep(fault.for_s)
            deployment.put_faults(instance)
            server_proxy.link.is_cut_down = False
            server_proxy.link.delay_s = 0


async def _make_statement(
    runner: platform_runner.PlatformRunner,
    seconds: float,
    states: platform_runner.ServerStatus,
) -> None:
    """Let a server's answers state something for some seconds."""
    runner.reported_status = states
    await asyncio.sleep(seconds)
    runner.reported_status = platform_runner.ServerStatus()


async def _make_brittle(
    runner: platform_runner.PlatformRunner, seconds: float
) -> None:
    """Let a server state that it is brittle, and later hold fewer."""
    before = runner.cfg
    runner.reported_status = BRITTLE_STATEMENT
    await asyncio.sleep(load_checks.STABLE_S)
    runner.cfg = before._replace(slots=1, queue=0)
    await asyncio.sleep(load_checks.STABLE_S + seconds)
    runner.cfg = before
    runner.reported_status = platform_runner.ServerStatus()


async def _pause(server_proxy: proxy.Proxy) -> None:
    """Hold back all bytes of a server, new connections' too, for a moment."""
    server_proxy.link.is_cut_up = True
    server_proxy.link.is_cut_down = True
    await asyncio.sleep(PAUSE_S)
    server_proxy.link.is_cut_up = False
    server_proxy.link.is_cut_down = False
