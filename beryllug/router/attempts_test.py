"""Tests of the retry decision and of the final error."""

import unittest
from typing import Any

from beryllug.core.placement import servers_data
from beryllug.core.routes import routes_data
from beryllug.drivers import http_data
from beryllug.platform import requests
from beryllug.router import attempts, dispatch, trials
from beryllug.router import call as call_data

ROUTE = routes_data.Route(
    name='draft',
    host='a.example',
    prefix='/draft/',
    kind=routes_data.RequestKind.STREAMING,
    timeout_s=20,
    target_s=3,
    gap_s=1,
    priority=0,
    models=('small', 'large'),
    targets=(routes_data.Target('pool', 1),),
    max_attempts=3,
    is_anonymous=True,
    is_resumable=False,
)


SERVER = servers_data.Server(
    's-1', 'pool', '10.0.0.1:80', 'a', 'v1', 8, servers_data.State.READY
)


class _Pool:
    """A pool that always permits a repeat."""

    def __init__(self) -> None:
        self.repeats = self

    def may_repeat(self, service: str) -> bool:
        return True


def _call(route: routes_data.Route) -> call_data.Call:
    asked = requests.RequestHeaders(
        'try', '', 20, '*', True, '', 0, 100, 50, '', ''
    )
    req = http_data.Request('POST', '/draft/a', {}, b'', '')
    return call_data.Call(req, asked, route, None, 'pool', 0, 20)


class AttemptsTest(unittest.TestCase):
    """A request whose last attempt failed, at second 1 of 20."""

    def test_next(self) -> None:
        """A request that may have run never gets a status that means "not run".

        An answer of the small model that was discarded has run, but a retry on
        the larger model is allowed, since the caller has received nothing. A
        broken connection ends a request that must not run twice.
        """
        table: tuple[tuple[str, dict[str, Any], bool, bool, int], ...] = (
            ('refused by a server', {}, False, True, 503),
            (
                'discarded, then refused',
                {'discarded_at': (SERVER,)},
                False,
                True,
                502,
            ),
            ('broken midway', {'may_have_run': True}, False, False, 502),
            (
                'broken midway, repeatable',
                {'may_have_run': True},
                True,
                True,
                502,
            ),
            (
                'timed out',
                {'may_have_run': True, 'is_late': True},
                True,
                True,
                504,
            ),
        )
        pool: Any = _Pool()
        for title, changed, is_resumable, goes_on, status in table:
            with self.subTest(title):
                call = _call(ROUTE._replace(is_resumable=is_resumable))
                progress = attempts.Progress(
                    trials.VersionChoice(), counted_attempts=1, **changed
                )
                found = attempts.may_retry(call, progress, pool, 1)
                self.assertEqual(found, goes_on)
                refused = attempts.final_error(call, progress, 1)
                self.assertEqual(refused.status, status)

    def test_ended(self) -> None:
        """A server that terminates during a stream doesn't count as an attempt.

        Otherwise the caller of a stream whose third server stops as a rollout
        completes is cut off, although another server could resume the stream.
        An attempt still counts if the server is reachable and only broke the
        connection, or if the request must not run twice.
        """
        table: tuple[tuple[str, bool, bool, int, int], ...] = (
            ('terminated', True, True, 0, 2),
            ('still reachable', False, True, 0, 3),
            ('must not run twice', True, False, 0, 3),
            (
                'too many terminated',
                True,
                True,
                attempts.MAX_TERMINATED_SERVERS,
                3,
            ),
        )
        for (
            title,
            is_server_gone,
            is_resumable,
            terminated,
            counted_attempts,
        ) in table:
            with self.subTest(title):
                outcome = dispatch.Unknown('closed')
                call = _call(
                    ROUTE._replace(is_resumable=is_resumable, max_attempts=3)
                )
                progress = attempts.Progress(
                    trials.VersionChoice(),
                    counted_attempts=3,
                    terminated=terminated,
                    is_server_gone=is_server_gone,
                )
                attempts.uncount_terminated_server(call, progress, outcome)
                self.assertEqual(progress.counted_attempts, counted_attempts)


if __name__ == '__main__':
    unittest.main()
