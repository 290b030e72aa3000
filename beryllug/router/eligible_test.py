"""Tests of which backend servers a request may be sent to."""

import unittest
from collections.abc import Mapping
from types import MappingProxyType

from beryllug.core.peering import peering_data
from beryllug.core.placement import (
    backoffs,
    permits,
    retry_delay,
    servers_data,
)
from beryllug.core.routes import match, routes_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import (
    eligible,
    server_limits,
    server_list,
    zone_list,
)

REGIONS = MappingProxyType({'a': 'west', 'b': 'west', 'c': 'east'})
DESK = 'desk'
HOST = 'shop.example'
ROUTE = MappingProxyType(
    {
        'name': 'lookup',
        'host': HOST,
        'path_prefix': '/lookup/',
        'kind': 'safe',
        'timeout_ms': 3000,
        'service': DESK,
    }
)
NONE: frozenset[str] = frozenset()
NO_VERSIONS: Mapping[str, str] = MappingProxyType({})
Names = tuple[str, ...]


def _entry(zone: str, cold_ms: int) -> dict[str, object]:
    return {
        'service': DESK,
        'address': '10.0.0.1:80',
        'zone': zone,
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining_ms': cold_ms,
    }


def _table(**parts: object) -> dict[str, object]:
    """Return a route table as the store holds it."""
    return {'version': 1, 'limits': {}, **parts}


def _criteria(*regions: str, excluded: Names = ()) -> servers_data.Requirements:
    return servers_data.Requirements(
        DESK,
        None,
        None,
        frozenset(excluded),
        regions=frozenset(regions) or None,
    )


class EligibleTest(unittest.TestCase):
    """A server in each of three zones, and one in a zone without a region."""

    def setUp(self) -> None:
        lines = log_lines.LineWriter(1)
        self.zones = zone_list.ZoneList(lines)
        self.listed = server_list.ServerList(1, lines)
        place = eligible.ProcessLocation('p', 'a', REGIONS)
        self.limits = server_limits.ServerLimits('p', lines)
        self.eligible = eligible.EligibleServers(
            self.listed, self.zones, place, self.limits
        )
        services = [{'name': DESK, 'cold_per_s': 2}]
        self.eligible.take_table(documents.table(_table(services=services)))
        self._list(dict.fromkeys('abcd', 0))

    def test_regions(self) -> None:
        """A request that is bound to regions is sent to no other region.

        It is refused if its route and client account have no region in common,
        or if its regions have no server: its data must not leave them.
        """
        table: tuple[tuple[Names, str], ...] = (
            ((), 'abcd'),
            (('west',), 'ab'),
            (('west', 'east'), 'abc'),
            (('north',), ''),
        )
        for regions, names in table:
            with self.subTest(regions):
                self.assertEqual(self._found(_criteria(*regions)), names)
        unavailability = self.eligible.unavailability(_criteria('north'), 0)
        self.assertIs(unavailability.cause, retry_delay.Cause.NO_REGION)

    def test_lack(self) -> None:
        """The reason for having no server decides when the caller retries."""
        table: tuple[tuple[str, Names, int, retry_delay.Cause], ...] = (
            ('abcd', (), 0, retry_delay.Cause.EVACUATED),
            ('abc', (), 1000, retry_delay.Cause.COLD),
            ('abc', ('d',), 0, retry_delay.Cause.NO_SERVER),
        )
        for evacuated, excluded, cold_ms, cause in table:
            with self.subTest(evacuated=evacuated, excluded=excluded):
                self.setUp()
                self._list(dict.fromkeys('abcd', cold_ms))
                self.zones.take(evacuated, 5, 'peer', 0)
                criteria = _criteria(excluded=excluded)
                self.assertIs(
                    self.eligible.unavailability(criteria, 0).cause, cause
                )

    def test_cold(self) -> None:
        """A process that doesn't know the fleet skips cold servers."""
        self._list({'a': 0, 'b': 1000})
        self.assertEqual(self._found(_criteria()), 'a')
        self.assertEqual(self._found(_criteria(), now=1), 'ab')

    def test_limited(self) -> None:
        """A session must not change version because its servers are limited."""
        self._list(dict.fromkeys('abcd', 0), {'c': 'v2'})
        self._limit('c', 1)
        criteria = _criteria()._replace(versions=frozenset(('v2',)))
        table: tuple[tuple[servers_data.Requirements, float, str], ...] = (
            (criteria, 0, 'abcd'),
            (criteria, 1, ''),
            (criteria._replace(without_limit=True), 0, ''),
            (_criteria(), 1, 'abd'),
            (_criteria()._replace(without_limit=True), 0, 'abd'),
        )
        for asked, refused_s, names in table:
            with self.subTest(asked=asked, refused_s=refused_s):
                permits.refuse(self.limits.permits, 'c', refused_s, 0)
                self.assertEqual(self._found(asked), names)

    def test_due(self) -> None:
        """A caller must not be told to retry before a server has room."""
        self._limit('a', 1)
        self._limit('b', 1)
        for instance, wait_s in (('a', 0.7), ('b', 0.4)):
            permits.refuse(self.limits.permits, instance, wait_s, 0)
        self.zones.take('cd', 5, 'peer', 0)
        unavailability = self.eligible.unavailability(_criteria(), 0)
        self.assertIs(unavailability.cause, retry_delay.Cause.LIMITED)
        self.assertEqual(unavailability.due_s, 0.4)

    def test_backing_off(self) -> None:
        """A server must be sent no requests while its backoff lasts."""
        self._list(dict.fromkeys('abcd', 0), {'c': 'v2'})
        backoffs.back_off(self.eligible.backoffs, 'c', 3, 0)
        of_v2 = _criteria()._replace(versions=frozenset(('v2',)))
        table: tuple[tuple[servers_data.Requirements, float, str], ...] = (
            (_criteria(), 0, 'abd'),
            (_criteria()._replace(without_limit=True), 2.9, 'abd'),
            (_criteria(), 3, 'abcd'),
            # A session does not leave its version because of a backoff.
            (of_v2._replace(without_limit=True), 1, ''),
            (of_v2, 1, 'c'),
            (of_v2, 3, 'abcd'),
        )
        for criteria, now, names in table:
            with self.subTest(criteria=criteria, now=now):
                self.assertEqual(self._found(criteria, now=now), names)
        listed, _ = self.listed.usable(0)
        server = next(each for each in listed if each.name == 'c')
        for now, takes in ((2.9, False), (3, True)):
            self.assertIs(
                self.eligible.still_accepts(server, _criteria(), now), takes
            )

    def test_all_backing_off(self) -> None:
        """Callers must be told when the first server's backoff ends."""
        for instance, seconds in zip('abcd', (3, 2, 4, 5), strict=True):
            backoffs.back_off(self.eligible.backoffs, instance, seconds, 0)
        for now, excluded, cause, due_s in (
            (0, (), retry_delay.Cause.BACKING_OFF, 2),
            (1.5, ('b',), retry_delay.Cause.BACKING_OFF, 0.5),
            (2, ('b',), retry_delay.Cause.NO_SERVER, None),
        ):
            with self.subTest(now):
                unavailability = self.eligible.unavailability(
                    _criteria(excluded=excluded), now
                )
                self.assertEqual(
                    (unavailability.cause, unavailability.due_s), (cause, due_s)
                )

    def test_stale_zones(self) -> None:
        """An older set of evacuated zones from a peer changes nothing."""
        for names, revision, evacuated in (
            ('a', 5, 'a'),
            ('', 4, 'a'),
            ('ab', 5, 'a'),
            ('', 6, ''),
        ):
            self.zones.take(names, revision, 'peer', 0)
            self.assertEqual(self.zones.evacuated, frozenset(evacuated))

    def _limit(self, instance: str, per_s: float) -> None:
        news = peering_data.RateLimitReport(instance, per_s, 0)
        self.limits.merge_observations((news,), 'peer', 0)

    def _list(
        self, cold_ms: dict[str, int], versions: Mapping[str, str] = NO_VERSIONS
    ) -> None:
        found = tuple(
            store_data.StoredObject(
                zone,
                1,
                _entry(zone, each) | {'version': versions.get(zone, 'v1')},
                None,
                False,
            )
            for zone, each in cold_ms.items()
        )
        self.listed.listed(
            store_data.Listing(found, self.listed.revision + 1), 0
        )

    def _found(
        self, criteria: servers_data.Requirements, now: float = 0
    ) -> str:
        found, _ = self.eligible.candidates(criteria, now)
        return ''.join(sorted(server.name for server in found))


class RegionsTest(unittest.TestCase):
    """The regions allowed by a route and a client account together."""

    def test_both(self) -> None:
        """If both name regions, the intersection applies; it may be empty."""
        table: tuple[tuple[Names, Names, frozenset[str] | None], ...] = (
            ((), (), None),
            (('west',), (), frozenset(('west',))),
            ((), ('east',), frozenset(('east',))),
            (('west', 'east'), ('east',), frozenset(('east',))),
            (('west',), ('east',), NONE),
        )
        for of_route, of_account, expected in table:
            with self.subTest(of_route=of_route, of_account=of_account):
                tenant = {
                    'name': 'shop',
                    'api_keys': ['k'],
                    'allowed_regions': of_account,
                }
                route = dict(ROUTE, allowed_regions=of_route)
                table_read = documents.table(
                    _table(routes=[route], tenants=[tenant])
                )
                found = match.regions(
                    _first(table_read), table_read.accounts['k']
                )
                self.assertEqual(found, expected)


def _first(table: routes_data.RouteTable) -> routes_data.Route:
    return table.routes[HOST][0]


if __name__ == '__main__':
    unittest.main()
