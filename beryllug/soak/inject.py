"""Brings about one fault of a plan, and its end."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator

from beryllug.platform import store
from beryllug.soak import checks, plan, seen, site
from beryllug.standins import (
    platform_runner,
    platform_site,
    platform_store,
)

Kind = plan.Kind
# Seconds that a process is gone before it starts again.
RESTART_S = 0.3
# Seconds that a server which leaves goes on, beyond what it owes.
LINGER_S = 1.5
# Seconds between a copy of the store and its loss, and from its return until
# operator and servers have written again.
COPY_S = 1.5
REWRITTEN_S = 1.0
DELAY_S = 0.08
SLOW_S = 0.3
SHARE = 0.4
# Seconds for which a server that refuses wants nothing.
BACKOFF_S = 2.0
# What servers state for a while.
LIMITED = platform_runner.Statement(limit_per_s=site.LIMIT_PER_S)
REFUSING = platform_runner.Statement(retry_after_s=BACKOFF_S)
# A roll-out: seconds in which it is to be done, its version, and the share
# of a bad one's answers that fail.
ROLLOUT = 'rollout'
ROLLOUT_S = 10
VERSION = 'v2'
BAD_SHARE = 0.5


class Injector:
    """Injects the faults of a plan into a deployment."""

    def __init__(self, made: site.SoakSite) -> None:
        """Begin with nothing wrong."""
        self._made = made
        self._busy: set[str] = set()

    async def inject(self, fault: plan.Fault) -> None:
        """Bring a fault about, and end it."""
        for kinds, hit in (
            (plan.OF_ROUTERS, self._hit_router),
            (plan.OF_LINKS, self._hit_way),
            (plan.OF_STORE, self._hit_store),
            (plan.ROLLOUTS, self._roll_out),
            (plan.CHANGES, self._change),
            (plan.OF_ZONES, self._evacuate),
            (plan.OF_SERVERS, self._hit_server),
        ):
            if fault.kind in kinds:
                await hit(fault)

    @contextlib.asynccontextmanager
    async def _trouble(self, *whats: str) -> AsyncIterator[None]:
        began_at = time.monotonic()
        try:
            yield
        finally:
            self._made.note(whats, began_at, time.monotonic())

    async def _hit_router(self, fault: plan.Fault) -> None:
        router = self._made.site.routers[fault.target]
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
        running = self._made.running
        match fault.kind:
            case Kind.RELOAD:
                running.signal(router.name, signal.SIGHUP)
            case Kind.FREEZE:
                freeze = checks.freeze_of(router.name)
                async with self._trouble(router.name, freeze):
                    running.freeze(router.name)
                    await asyncio.sleep(fault.for_s)
                    running.thaw(router.name)
            case Kind.STOP:
                await running.terminate(router.name)
                await self._start_again(router)
            case _:
                async with self._trouble(router.name):
                    await running.kill(router.name)
                    await self._start_again(router)

    async def _start_again(self, router: platform_site.Router) -> None:
        async with self._trouble(checks.restart_of(router.name)):
            await asyncio.sleep(RESTART_S)
            await self._made.site.respawn(self._made.running, router)
            await asyncio.sleep(RESTART_S)

    async def _hit_way(self, fault: plan.Fault) -> None:
        way = self._made.store_ways[fault.target]
        router = self._made.site.routers[fault.target]
        async with self._trouble(router.name):
            match fault.kind:
                case Kind.STORE_SILENT:
                    way.silence()
                case Kind.STORE_HALF_CUT:
                    way.link.is_cut_down = True
                case _:
                    way.link.is_cut_up = True
                    way.link.is_cut_down = True
            await asyncio.sleep(fault.for_s)
            way.link.is_cut_up = False
            way.link.is_cut_down = False

    async def _hit_store(self, fault: plan.Fault) -> None:
        async with self._trouble(checks.STORE):
            match fault.kind:
                case Kind.STORE_FORGETS:
                    self._made.site.store_party.compact()
                case Kind.STORE_RETURNS:
                    await _return_store(self._made)
                case Kind.STORE_DOWN:
                    self._made.put_store_faults(refuse=True)
                case Kind.STORE_SLOW:
                    self._made.put_store_faults(answer_delay_s=SLOW_S)
                case _:
                    self._made.put_store_faults(drop_answer=True)
            await asyncio.sleep(fault.for_s)
            self._made.put_store_faults()

    async def _change(self, fault: plan.Fault) -> None:
        made = self._made
        if fault.kind is Kind.KEY and made.seen.revoked_at is None:
            made.seen.revoked_at = time.monotonic()
        made.put_table()

    async def _roll_out(self, fault: plan.Fault) -> None:
        """Order a new version of the model runners; once in a run."""
        if ROLLOUT in self._busy:
            return
        self._busy.add(ROLLOUT)
        made = self._made
        is_bad = fault.kind is Kind.BAD_VERSION
        error_rate = BAD_SHARE if is_bad else 0
        instances = [
            await made.add_server(0, version=VERSION, error_rate=error_rate)
            for _ in range(2)
        ]
        began_at = time.monotonic()
        service = made.service(0)
        order = {
            'service': service,
            'target': VERSION,
            'duration_s': ROLLOUT_S,
        }
        made.site.store_party.put(store.ROLLOUTS, service, order)
        await asyncio.sleep(ROLLOUT_S)
        status = made.site.store_party.status(store.ROLLOUTS, service)
        made.seen.ordered = seen.Ordered(
            is_bad,
            began_at,
            time.monotonic(),
            (status or {}).get('state', ''),
            frozenset(instances),
        )

    async def _hit_server(self, fault: plan.Fault) -> None:
        instance = self._made.present[fault.target]
        if instance in self._busy:
            return
        self._busy.add(instance)
        try:
            match fault.kind:
                case Kind.SERVER_LEAVES:
                    self._made.put_entry(fault.target, instance, 'draining')
                    self._made.seen.left_at[instance] = time.monotonic()
                    await self._leave(fault.target, instance)
                case Kind.SERVER_STATES_LEAVING:
                    await self._leave(fault.target, instance)
                case Kind.SERVER_COLD:
                    await self._return_cold(fault.target, instance)
                case Kind.SERVER_LIMITED:
                    # Longer than it takes to be known.
                    seconds = checks.IN_FORCE_S + checks.LIMIT_S + fault.for_s
                    await self._state(instance, seconds, LIMITED)
                case Kind.SERVER_BACKS_OFF:
                    await self._state(instance, fault.for_s, REFUSING)
                case _:
                    await self._break(fault, instance)
        finally:
            self._busy.discard(instance)

    async def _leave(self, number: int, instance: str) -> None:
        """Let a server say that it leaves; its entry may still say ready."""
        made = self._made
        runner = made.site.runners[instance]
        runner.states = runner.states._replace(is_leaving=True)
        made.present[number] = await made.add_server(number)
        await asyncio.sleep(checks.IN_FORCE_S + LINGER_S)
        made.site.store_party.drop(store.SERVERS, instance)
        await asyncio.sleep(LINGER_S)
        # Requests that still run there have had all of their time.
        async with self._trouble(checks.SERVERS):
            made.put_faults(instance, refuse=True)

    async def _state(
        self,
        instance: str,
        seconds: float,
        states: platform_runner.Statement,
    ) -> None:
        """Let a server's answers state something of it for a while."""
        runner = self._made.site.runners[instance]
        runner.states = states
        await asyncio.sleep(seconds)
        runner.states = platform_runner.Statement()

    async def _return_cold(self, number: int, instance: str) -> None:
        """Let a server crash; another one is there for it at once, cold."""
        made = self._made
        async with self._trouble(checks.SERVERS):
            made.put_faults(instance, refuse=True)
            made.server_ways[instance].reset()
            made.site.store_party.drop(store.SERVERS, instance)
            made.present[number] = await made.add_server(
                number, cold_s=site.COLD_S
            )
            await asyncio.sleep(RESTART_S)

    async def _evacuate(self, fault: plan.Fault) -> None:
        """Have a zone evacuated, for longer than it takes to be in force."""
        made = self._made
        zone = site.ZONES[-1]
        if zone in self._busy:
            return
        self._busy.add(zone)
        began_at = time.monotonic()
        made.site.store_party.put(store.EVACUATIONS, zone, {})
        await asyncio.sleep(checks.IN_FORCE_S + fault.for_s)
        ended_at = time.monotonic()
        made.site.store_party.drop(store.EVACUATIONS, zone)
        made.seen.closed.append(seen.Closed(zone, began_at, ended_at))
        self._busy.discard(zone)

    async def _break(self, fault: plan.Fault, instance: str) -> None:
        made = self._made
        way = made.server_ways[instance]
        async with self._trouble(checks.SERVERS):
            match fault.kind:
                case Kind.SERVER_CRASH:
                    made.site.stand_ins[instance].crash()
                    way.reset()
                case Kind.SERVER_RESETS:
                    made.put_faults(instance, reset_before_run=True, times=4)
                case Kind.SERVER_LOSES:
                    made.put_faults(instance, drop_answer=True, times=4)
                case Kind.SERVER_FAILS:
                    made.put_faults(instance, error_rate=SHARE)
                case Kind.SERVER_SLOW:
                    made.put_faults(instance, delay_s=SLOW_S)
                case Kind.SERVER_CUT:
                    way.link.is_cut_down = True
                case Kind.SERVER_SILENT:
                    way.silence()
                case _:
                    way.link.delay_s = DELAY_S
            await asyncio.sleep(fault.for_s)
            made.put_faults(instance)
            way.link.is_cut_down = False
            way.link.delay_s = 0


async def _return_store(made: site.SoakSite) -> None:
    """Let the store return from a copy, and be written again later."""
    party = made.site.store_party
    copy = party.copy()
    await asyncio.sleep(COPY_S)
    made.put_store_faults(refuse=True)
    await asyncio.sleep(RESTART_S)
    written = party.copy()
    party.return_from(copy)
    made.put_store_faults()
    await asyncio.sleep(REWRITTEN_S)
    _write_again(party, written, copy.revision)


def _write_again(
    party: platform_store.PlatformStore,
    before: platform_store.Copy,
    returned_at: int,
) -> None:
    """Write what operator and servers had written before a return.

    What they have written or removed since stands.

    Args:
        party: The store.
        before: What it held before.
        returned_at: Revision that it returned to.
    """
    present = party.copy().stored
    since = {
        (each.kind, each.name)
        for each in party.history
        if each.revision > returned_at
    }
    for key in sorted((before.stored.keys() | present.keys()) - since):
        shown = before.stored.get(key)
        known = present.get(key, {})
        if shown is None:
            party.drop(*key)
        elif known.get('spec') != shown['spec']:
            party.put(*key, shown['spec'], known.get('status'))
