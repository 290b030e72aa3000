"""The deployment of a soak: router processes behind proxies."""

import collections
import contextlib
import functools
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

from beryllug.core import settings_data
from beryllug.platform import requests, store
from beryllug.soak import plan, proxy, observations
from beryllug.standins import (
    faults,
    platform_runner,
    platform_site,
    platform_store,
    processes,
)

# Make streams last long enough to be hit by a fault; no time bound depends on
# these values.
EVENTS = 12
MS = 1000
EVENT_S = 0.03
REVOKED_KEY = 'second-key'
# An account that at times sends ten times its usual load; its attempt ids begin
# with its name.
FLOOD_ACCOUNT = 'flood'
FLOOD_KEY = 'flood-key'
GRACE_S = 6.0
# Each service has servers in both zones.
ZONES = (platform_site.ZONE, 'b')
# Seconds for which a server is cold after its start, and requests per second
# that it can serve meanwhile.
COLD_S = 2.0
COLD_PER_S = 4
# Requests per second that a server accepts while it states a limit.
LIMIT_PER_S = 2.0
# Limits of bodies before and after it is raised.
SMALL_BODY_BYTES = 4096
LARGE_BODY_BYTES = 65536
RunBad = Callable[
    [
        platform_runner.PlatformRunner,
        requests.RequestHeaders,
        dict[str, str],
        faults.Response,
    ],
    Awaitable[None],
]


class SoakSite:
    """The deployment of a run.

    Attributes:
        site: Store, backend servers and routers.
        running: The processes of the routers.
        store_proxies: Proxies from each router to the store.
        server_proxies: Proxies to each backend server, by instance.
        present: Current instances, by the server number that faults refer to.
        seen: Observations that are checked against the guarantees.
        first_zone_routers: Number of routers in the first zone.
    """

    def __init__(
        self,
        sizes: plan.Sizes,
        store_cfg: platform_store.PlatformStoreCfg,
        *,
        has_two_zones: bool = False,
    ) -> None:
        """Create the deployment; `open` starts it.

        Args:
            sizes: Numbers of routers and servers.
            store_cfg: Options of the store.
            has_two_zones: Whether some routers are in the second zone.
        """
        self.sizes = sizes
        self.first_zone_routers = sizes.routers
        if has_two_zones:
            self.first_zone_routers -= sizes.other_zone_routers
        self.site = platform_site.Site(store_cfg)
        self.running = processes.Processes('beryllug.soak.cut_daemon')
        self.store_proxies: list[proxy.Proxy] = []
        self.server_proxies: dict[str, proxy.Proxy] = {}
        self.present: list[str] = []
        self.seen = observations.Observations()
        self.version = 1
        self._count = 0
        self._run_bad: RunBad | None = None
        self._in_fault: collections.Counter[str] = collections.Counter()

    async def open(self) -> None:
        """Start everything, and wait until the routers are ready."""
        await self.site.open()
        self.put_table()
        for number in range(self.sizes.servers):
            self.present.append(await self.add_server(number))
        for number in range(self.sizes.routers):
            store_proxy = proxy.Proxy(self.site.store_stand_in.address)
            await store_proxy.start('127.0.0.1')
            self.store_proxies.append(store_proxy)
            await self.site.spawn_router(
                self.running,
                zone=ZONES[number >= self.first_zone_routers],
                store=store_proxy.address,
                grace_s=GRACE_S,
                account_shares=settings_data.Switch.ON,
            )

    async def close(self) -> None:
        """Stop everything."""
        await self.running.stop()
        for opened in (*self.store_proxies, *self.server_proxies.values()):
            await opened.stop()
        await self.site.close()

    def put_table(self) -> None:
        """Write the next route table, with the keys that are valid."""
        keys = [platform_site.KEY]
        if self.seen.revoked_at is None:
            keys.append(REVOKED_KEY)
        tenants = [
            {'name': platform_site.ACCOUNT, 'api_keys': keys},
            {'name': FLOOD_ACCOUNT, 'api_keys': [FLOOD_KEY]},
        ]
        limits = {'max_body_bytes': SMALL_BODY_BYTES}
        if self.seen.raised_at is not None:
            limits = {'max_body_bytes': LARGE_BODY_BYTES}
        self.version += 1
        services = [
            {'name': name, 'cold_start_s': COLD_S, 'cold_per_s': COLD_PER_S}
            for name in (platform_site.POOL, platform_site.DESK)
        ]
        document = platform_site.table(
            self.version, tenants=tenants, services=services, limits=limits
        )
        self.site.put_table(document)

    def service(self, number: int) -> str:
        """Return the service of a server number."""
        is_model = number < self.sizes.models
        return platform_site.POOL if is_model else platform_site.DESK

    async def add_server(
        self, number: int, cold_s: float = 0, **options: Any
    ) -> str:
        """Start a server behind a proxy, list it and return its instance."""
        self._count += 1
        instance = f'server-{self._count}'
        service = self.service(number)
        zone = ZONES[number % len(ZONES)]
        self.seen.zones[instance] = zone
        runner = await self.site.add_runner(
            service,
            instance,
            zone,
            is_listed=False,
            events=EVENTS,
            event_s=EVENT_S,
            **options,
        )
        if self._run_bad is not None:
            runner.set_bad_run(functools.partial(self._run_bad, runner))
        server_proxy = proxy.Proxy(self.site.stand_ins[instance].address)
        self.site.listed_addresses[instance] = await server_proxy.start(
            '127.0.0.1'
        )
        self.server_proxies[instance] = server_proxy
        if cold_s:
            self.seen.cold_until[instance] = time.monotonic() + cold_s
        self.site.list_runner(service, instance, cold_ms=round(cold_s * MS))
        return instance

    def set_bad_run(self, run_bad: RunBad) -> None:
        """Set how all servers run a request with the body `BAD`."""
        self._run_bad = run_bad
        for runner in self.site.runners.values():
            runner.set_bad_run(functools.partial(run_bad, runner))

    def remove_entry(self, instance: str) -> None:
        """Remove the entry of a server, if another fault has not yet."""
        with contextlib.suppress(KeyError):
            self.site.store_behaviour.remove(store.SERVERS, instance)

    def put_entry(self, number: int, instance: str, state: str) -> None:
        """Write the entry of a server."""
        self.site.list_runner(self.service(number), instance, state)

    def put_faults(self, instance: str, **given: object) -> None:
        """Set the fault switches of a server."""
        self.site.stand_ins[instance].put_faults(**given)

    def put_store_faults(self, **given: object) -> None:
        """Set the fault switches of the store."""
        self.site.store_stand_in.put_faults(**given)

    def record_fault(
        self, components: Iterable[str], began_at: float, ended_at: float
    ) -> None:
        """Record the period of a fault that has ended."""
        self.seen.fault_periods.extend(
            observations.FaultPeriod(component, began_at, ended_at)
            for component in components
        )

    def is_in_fault(self, components: frozenset[str]) -> bool:
        """Return whether one of some components has a fault now."""
        return any(self._in_fault[each] for each in components)

    @contextlib.asynccontextmanager
    async def during_fault(self, *components: str) -> AsyncIterator[None]:
        """Record a fault of components for as long as the context lasts."""
        began_at = time.monotonic()
        self._in_fault.update(components)
        try:
            yield
        finally:
            self._in_fault.subtract(components)
            self.record_fault(components, began_at, time.monotonic())

    def collect(self) -> None:
        """Collect the requests that reached or ran at the servers."""
        for instance, runner in self.site.runners.items():
            for run in runner.runs:
                ran = observations.Run(
                    run.attempt_id, instance, run.at, run.account, run.headers
                )
                self.seen.runs.setdefault(run.attempt_id, []).append(ran)
            for arrival in runner.received_requests:
                router = self.seen.routers[arrival.attempt_id]
                key = (instance, router)
                self.seen.arrivals.setdefault(key, []).append(arrival)
            self.seen.falls[instance] = runner.falls
            self.seen.limited[instance] = [
                observations.LimitedArrival(
                    each.at,
                    self.seen.routers[each.attempt_id],
                    each.answered.limit_per_s,
                )
                for each in runner.received_requests
                if each.answered.limit_per_s is not None
            ]
