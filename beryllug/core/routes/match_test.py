"""Tests of routes: host, longest prefix, service and retries."""

import unittest

from beryllug.core.routes import match, routes_data


def _route(prefix: str, **changes: object) -> routes_data.Route:
    route = routes_data.Route(
        name=prefix,
        host='shop.example',
        prefix=prefix,
        kind=routes_data.RequestKind.SAFE,
        timeout_s=1,
        target_s=1,
        gap_s=0,
        priority=2,
        models=(),
        targets=(routes_data.Target('old', 90), routes_data.Target('new', 10)),
        max_attempts=2,
        is_anonymous=False,
        is_resumable=False,
    )
    return route._replace(**changes)  # type: ignore[arg-type]


TABLE = routes_data.RouteTable(
    version=1,
    routes={'shop.example': (_route('/a/b/'), _route('/a/'))},
    services={},
    accounts={},
    needs_keys=False,
    limits=routes_data.CallerLimits(1, 1, 1, 1),
)
CASES: tuple[tuple[str, str, str | None], ...] = (
    ('shop.example', '/a/b/c', '/a/b/'),
    ('shop.example', '/a/b', '/a/'),
    ('Shop.Example:8080', '/a/?x=/a/b/', '/a/'),
    ('shop.example', '/b/', None),
    ('other.example', '/a/', None),
    ('', '/a/', None),
)


class MatchTest(unittest.TestCase):
    """The route and service of a request."""

    def test_route(self) -> None:
        """Each case of the table."""
        for host, target, expected in CASES:
            with self.subTest(host=host, target=target):
                found = match.find_route(TABLE, host, target)
                self.assertEqual(found and found.name, expected)

    def test_service(self) -> None:
        """Services are chosen by weight, including at the ends of the range."""
        route = TABLE.routes['shop.example'][0]
        for share, service in (
            (0.0, 'old'),
            (0.89, 'old'),
            (0.91, 'new'),
            (1.0, 'new'),
        ):
            with self.subTest(share):
                self.assertEqual(match.choose_service(route, share), service)

    def test_repeatable(self) -> None:
        """A stream may run again only if it is resumable."""
        kinds = routes_data.RequestKind
        for kind, resumable, expected in (
            (kinds.SAFE, False, True),
            (kinds.NON_IDEMPOTENT, True, False),
            (kinds.STREAMING, False, False),
            (kinds.STREAMING, True, True),
        ):
            with self.subTest(kind=kind, resumable=resumable):
                route = _route('/', kind=kind, is_resumable=resumable)
                self.assertEqual(route.is_repeatable, expected)


if __name__ == '__main__':
    unittest.main()
