"""The deployment of a soak: routers as processes, proxies on their ways."""

import time
from collections.abc import Iterable
from typing import Any

from beryllug.soak import plan, proxy, seen
from beryllug.standins import platform_site, processes

# Nothing of a run is timed by these: they make streams last long enough to
# meet a fault.
EVENTS = 12
MS = 1000
EVENT_S = 0.03
REVOKED_KEY = 'second-key'
GRACE_S = 6.0
# Each service has servers in both zones.
ZONES = (platform_site.ZONE, 'b')
# Seconds for which a server is cold after its start, and requests a second that
# it bears meanwhile.
COLD_S = 2.0
COLD_PER_S = 4
# Requests a second that a server takes while it names a limit.
LIMIT_PER_S = 2.0


class SoakSite:
    """What a run works with.

    Attributes:
        site: Store, backend servers and routers.
        running: The processes of the routers.
        store_ways: Proxies from each router to the store.
        server_ways: Proxies to each backend server, by instance.
        present: Instances in the places that faults name.
        seen: What is held against the promises.
    """

    def __init__(self, sizes: plan.Sizes) -> None:
        """Make it; `open` starts it."""
        self.sizes = sizes
        self.site = platform_site.Site()
        self.running = processes.Processes()
        self.store_ways: list[proxy.Proxy] = []
        self.server_ways: dict[str, proxy.Proxy] = {}
        self.present: list[str] = []
        self.seen = seen.Seen()
        self.version = 1
        self._count = 0

    async def open(self) -> None:
        """Start all, and wait until the routers are ready."""
        await self.site.open()
        self.put_table()
        for number in range(self.sizes.servers):
            self.present.append(await self.add_server(number))
        for _ in range(self.sizes.routers):
            way = proxy.Proxy(self.site.store_stand_in.address)
            await way.start('127.0.0.1')
            self.store_ways.append(way)
            await self.site.spawn_router(
                self.running, store=way.address, grace_s=GRACE_S
            )

    async def close(self) -> None:
        """Stop all."""
        await self.running.stop()
        for way in (*self.store_ways, *self.server_ways.values()):
            await way.stop()
        await self.site.close()

    def put_table(self) -> None:
        """Write the next route table, with the keys that are left."""
        keys = [platform_site.KEY]
        if self.seen.revoked_at is None:
            keys.append(REVOKED_KEY)
        tenants = [{'name': platform_site.ACCOUNT, 'api_keys': keys}]
        self.version += 1
        services = [
            {'name': name, 'cold_start_s': COLD_S, 'cold_per_s': COLD_PER_S}
            for name in (platform_site.POOL, platform_site.DESK)
        ]
        document = platform_site.table(
            self.version, tenants=tenants, services=services
        )
        self.site.put_table(document)

    def service(self, number: int) -> str:
        """Return the service of a place."""
        is_model = number < self.sizes.models
        return platform_site.POOL if is_model else platform_site.DESK

    async def add_server(
        self, number: int, cold_s: float = 0, **options: Any
    ) -> str:
        """Start a server behind a proxy, list it, and return its instance."""
        self._count += 1
        instance = f'server-{self._count}'
        service = self.service(number)
        zone = ZONES[number % len(ZONES)]
        self.seen.zones[instance] = zone
        await self.site.add_runner(
            service,
            instance,
            zone,
            is_listed=False,
            events=EVENTS,
            event_s=EVENT_S,
            **options,
        )
        way = proxy.Proxy(self.site.stand_ins[instance].address)
        self.site.shown_addresses[instance] = await way.start('127.0.0.1')
        self.server_ways[instance] = way
        if cold_s:
            self.seen.cold_until[instance] = time.monotonic() + cold_s
        self.site.list_runner(service, instance, cold_ms=round(cold_s * MS))
        return instance

    def put_entry(self, number: int, instance: str, state: str) -> None:
        """Write the entry of a server in a place."""
        self.site.list_runner(self.service(number), instance, state)

    def put_faults(self, instance: str, **given: object) -> None:
        """Set the fault switches of a server."""
        self.site.stand_ins[instance].put_faults(**given)

    def put_store_faults(self, **given: object) -> None:
        """Set the fault switches of the store."""
        self.site.store_stand_in.put_faults(**given)

    def note(
        self, whats: Iterable[str], began_at: float, ended_at: float
    ) -> None:
        """Note a trouble that is over."""
        self.seen.spans.extend(
            seen.Span(what, began_at, ended_at) for what in whats
        )

    def collect(self) -> None:
        """Take what ran at the servers."""
        for instance, runner in self.site.runners.items():
            for run in runner.runs:
                ran = seen.Ran(
                    run.attempt_id, instance, run.at, run.account, run.headers
                )
                self.seen.runs.setdefault(run.attempt_id, []).append(ran)
            for arrival in runner.arrivals:
                router = self.seen.routers[arrival.attempt_id]
                key = (instance, router)
                self.seen.arrivals.setdefault(key, []).append(arrival)
            self.seen.limited[instance] = [
                seen.Came(
                    each.at,
                    self.seen.routers[each.attempt_id],
                    each.answered.limit_per_s,
                )
                for each in runner.arrivals
                if each.answered.limit_per_s is not None
            ]
