"""Service 'eligible': the backend servers that a request may be sent to.

Excludes servers in an evacuated availability zone and servers outside the
regions that the request is bound to. A cold server is included only if this
process has a part of the fleet's bound on its requests, and a server that
states a rate limit only while it is not known to refuse.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from beryllug.core.placement import (
    backoffs,
    choose,
    cold_servers,
    full_servers,
    retry_delay,
    servers_data,
)
from beryllug.core.routes import routes_data
from beryllug.kernel import metrics_data
from beryllug.router import server_limits, server_list, zone_list

DEFAULT_SERVICE = routes_data.Service('', 0, None)
Servers = list[servers_data.Server]


def _none_running(instance: str, now: float) -> int:
    """Default of `running`."""
    return 0


class ProcessLocation(NamedTuple):
    """The location of a process.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        regions: The region of each availability zone.
    """

    name: str
    zone: str
    regions: Mapping[str, str]


class EligibleServers:
    """Knows which listed servers accept requests of this process now.

    Attributes:
        limits: The rate limits that servers state.
        backoffs: Servers that have asked this process to back off.
        full: Servers that must not turn many requests away.
        running: Returns how many requests run on a server, of all processes.
        size: The size of the fleet, by which bounds are divided.
        process_name: Name of this process.
    """

    def __init__(
        self,
        known: server_list.ServerList,
        zones: zone_list.ZoneList,
        place: ProcessLocation,
        limits: server_limits.ServerLimits,
    ) -> None:
        """Bind to the listed servers, evacuated zones and limits."""
        self.limits = limits
        self.backoffs = backoffs.Backoffs()
        self.full = full_servers.FullServers()
        self.running: Callable[[str, float], int] = _none_running
        self._known = known
        self._zones = zones
        self._regions = place.regions
        self.process_name = place.name
        self._cold = cold_servers.Cold(place.name)
        self.size = self._cold.size
        self._services: Mapping[str, routes_data.Service] = {}
        known.on_listed = self._on_listed
        zones.on_reopened = self._on_reopened

    async def start(self) -> None:
        """Do nothing: the service is driven by requests and the list."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def take_table(self, table: routes_data.RouteTable) -> None:
        """Use the services of the route table in force."""
        self._services = table.services

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that a service's listed servers run."""
        listed, _ = self._known.usable(now)
        return frozenset(
            server.version for server in listed if server.service == service
        )

    def candidates(
        self, criteria: servers_data.Requirements, now: float
    ) -> tuple[Servers, Servers]:
        """Return the listed servers for an attempt, and the doubted ones.

        The entry of a doubted server was dropped from the store's list a moment
        ago.
        """
        listed, doubted = self._known.usable(now)
        found = (
            self._accepting(listed, criteria, now),
            self._accepting(doubted, criteria, now),
        )
        if any(found) or not self.backoffs.asked:
            return found
        return self._probe_candidates(listed, criteria, now), []

    def still_accepts(
        self,
        server: servers_data.Server,
        criteria: servers_data.Requirements,
        now: float,
    ) -> bool:
        """Return whether a server is still listed and accepts requests."""
        listed, doubted = self._known.usable(now)
        is_listed = server in listed or server in doubted
        is_backing_off = (
            backoffs.left_s(self.backoffs, server.instance, now) > 0
        )
        return (
            is_listed
            and not is_backing_off
            and _has_room(self, server, now)
            and self._accepts(server, criteria, now)
        )

    def count_request(self, instance: str, now: float) -> None:
        """Count a request that is sent to a server."""
        cold_servers.sent(self._cold, instance, now)
        backoffs.sent(self.backoffs, instance, now)

    def unavailability(
        self, criteria: servers_data.Requirements, now: float
    ) -> retry_delay.PlacementFailure:
        """Return why there is no server for an attempt."""
        listed, doubted = self._known.usable(now)
        of_service = [
            each
            for each in (*listed, *doubted)
            if each.service == criteria.service
            and _is_version_allowed(each, criteria)
        ]
        in_region = [
            each
            for each in of_service
            if _is_region_allowed(self._regions, each, criteria)
        ]
        available = frozenset(
            each.instance
            for each in in_region
            if each.zone not in self._zones.evacuated
        )
        backoff_s = {
            instance: backoffs.left_s(self.backoffs, instance, now)
            for instance in available
        }
        due_s = list(backoff_s.values())
        if due_s and min(due_s) > 0:
            return retry_delay.PlacementFailure(
                retry_delay.Cause.BACKING_OFF, min(due_s)
            )
        left = available - criteria.excluded
        full_s = _full_s(self, in_region, left, now)
        if full_s is not None:
            return retry_delay.PlacementFailure(
                retry_delay.Cause.FULL, full_s or None
            )
        if not of_service or not criteria.excluded.isdisjoint(available):
            return retry_delay.PlacementFailure(retry_delay.Cause.NO_SERVER)
        if not available:
            cause = retry_delay.Cause.EVACUATED
            if not in_region:
                cause = retry_delay.Cause.NO_REGION
            return retry_delay.PlacementFailure(cause)
        due_s = [
            max(self.limits.refused_s(instance, now), backoff_s[instance])
            for instance in available
            if self.limits.per_s(instance) is not None
        ]
        if due_s:
            return retry_delay.PlacementFailure(
                retry_delay.Cause.LIMITED, min(due_s)
            )
        return retry_delay.PlacementFailure(retry_delay.Cause.COLD)

    def dump(self) -> dict[str, Any]:
        """Return the evacuated zones and the cold servers."""
        now = time.monotonic()
        return {
            'evacuated': sorted(self._zones.evacuated),
            'cold_s': {
                instance: round(until - now, 2)
                for instance, until in self._cold.until.items()
                if until > now
            },
            'brittle': dict(self.full.brittle),
            'processes': self.size.ever,
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the numbers of evacuated zones and of cold servers."""
        now = time.monotonic()
        yield metrics_data.Sample(
            'zones_evacuated',
            len(self._zones.evacuated),
            'Availability zones whose servers get no new work.',
        )
        yield metrics_data.Sample(
            'servers_cold',
            sum(until > now for until in self._cold.until.values()),
            'Backend servers that bear few requests after their start.',
        )

    def _accepting(
        self, servers: Servers, criteria: servers_data.Requirements, now: float
    ) -> Servers:
        """Return the servers that accept a request of this process now.

        If all servers of the versions that the request may run on are at a
        limit, servers of other versions don't replace them: a session would
        leave its version.
        """
        accepting = [
            each for each in servers if self._accepts(each, criteria, now)
        ]
        if not _has_statements(self):
            return accepting
        overloaded = {
            each.instance
            for each in accepting
            if _is_overloaded(self, each, criteria, now)
        }
        if not overloaded:
            return accepting
        fitting = choose.fitting(accepting, criteria)
        return [each for each in fitting if each.instance not in overloaded]

    def _probe_candidates(
        self, servers: Servers, criteria: servers_data.Requirements, now: float
    ) -> Servers:
        """Return servers in backoff that may be sent one probe request.

        None if an answer of a smaller model would be discarded for it.
        """
        if criteria.without_limit:
            return []
        accepting = [
            each for each in servers if self._accepts(each, criteria, now)
        ]
        return [
            each
            for each in choose.fitting(accepting, criteria)
            if backoffs.may_probe(self.backoffs, each.instance, now)
            and _has_room(self, each, now)
            and not self.limits.refused_s(each.instance, now)
        ]

    def _accepts(
        self,
        server: servers_data.Server,
        criteria: servers_data.Requirements,
        now: float,
    ) -> bool:
        """Return whether a server accepts a request of this process now."""
        return (
            server.service == criteria.service
            and server.zone not in self._zones.evacuated
            and _is_region_allowed(self._regions, server, criteria)
            and cold_servers.may_send(
                self._cold,
                server.instance,
                _service_of(self._services, server).cold_per_s,
                now,
            )
        )

    def _on_listed(self, server: servers_data.Server, now: float) -> None:
        cold_servers.becomes_cold(
            self._cold, server.instance, server.cold_s, now
        )

    def _on_reopened(self, zone: str, now: float) -> None:
        """Treat the servers of a zone as cold when its evacuation ends.

        They may have become cold while the zone was evacuated, but report that
        only with their next heartbeat. Until then the whole fleet would send
        its requests to them, as the least loaded servers.
        """
        for servers in self._known.usable(now):
            for server in servers:
                if server.zone == zone:
                    cold_servers.becomes_cold(
                        self._cold,
                        server.instance,
                        _service_of(self._services, server).cold_s,
                        now,
                    )


def _service_of(
    services: Mapping[str, routes_data.Service], server: servers_data.Server
) -> routes_data.Service:
    return services.get(server.service, DEFAULT_SERVICE)


def _has_statements(servers: EligibleServers) -> bool:
    """Return whether any server has stated that it can bear less."""
    return bool(
        servers.limits.known.observed
        or servers.backoffs.asked
        or servers.full.brittle
        or servers.full.until
    )


def _has_room(
    servers: EligibleServers, server: servers_data.Server, now: float
) -> bool:
    """Return whether a server has room for a request, or is not brittle."""
    running = 0
    if server.instance in servers.full.brittle:
        running = servers.running(server.instance, now)
    return full_servers.has_room(
        servers.full, server.instance, server.slots, running, now
    )


def _full_s(
    servers: EligibleServers,
    listed: Servers,
    instances: frozenset[str],
    now: float,
) -> float | None:
    """Return for how long none of some servers has room; None if one has."""
    named = [each for each in listed if each.instance in instances]
    if not named or any(_has_room(servers, each, now) for each in named):
        return None
    return min(
        full_servers.left_s(servers.full, each.instance, now) for each in named
    )


def _is_overloaded(
    servers: EligibleServers,
    server: servers_data.Server,
    criteria: servers_data.Requirements,
    now: float,
) -> bool:
    """Return whether a server has stated that it accepts no more now."""
    instance = server.instance
    if backoffs.left_s(servers.backoffs, instance, now) > 0:
        return True
    if not _has_room(servers, server, now):
        return True
    is_limited = servers.limits.per_s(instance) is not None
    if criteria.without_limit and is_limited:
        return True
    return is_limited and servers.limits.refused_s(instance, now) > 0


def _is_version_allowed(
    server: servers_data.Server, criteria: servers_data.Requirements
) -> bool:
    """Return whether a server runs a version that the request is bound to."""
    if not criteria.is_bound or criteria.versions is None:
        return True
    return server.version in criteria.versions


def _is_region_allowed(
    regions: Mapping[str, str],
    server: servers_data.Server,
    criteria: servers_data.Requirements,
) -> bool:
    """Return whether a server is in a region that the request may run in.

    A server whose zone belongs to no known region is in none.
    """
    if criteria.regions is None:
        return True
    return regions.get(server.zone, '') in criteria.regions
