"""Tests of whether a request is tried once more, and what it gets else."""

import asyncio
import unittest
from typing import Any

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


class _Pool:
    """A pool that has repeats left."""

    def __init__(self) -> None:
        self.repeats = self

    def may_repeat(self, service: str) -> bool:
        return True


class _Sender:
    """Tells whether the server of the last attempt has ended."""

    def __init__(self, *, is_unreachable: bool) -> None:
        self._is_unreachable = is_unreachable

    async def is_unreachable(self, server: Any) -> bool:
        return self._is_unreachable


def _call(route: routes_data.Route) -> call_data.Call:
    asked = requests.Asked('try', '', 20, '*', True, '', 0, 100, 50, '', '')
    req = http_data.Request('POST', '/draft/a', {}, b'', '')
    return call_data.Call(req, asked, route, None, 'pool', 0, 20)


class AttemptsTest(unittest.TestCase):
    """A request whose last attempt has failed, at second 1 of 20."""

    def test_next(self) -> None:
        """What has run is never refused as not run; what may go on does.

        A small answer that was dropped has run, and the larger model may still
        be asked of another server: the caller has none of it. A broken
        connection ends a request that may not run twice.
        """
        table: tuple[tuple[str, dict[str, Any], bool, bool, int], ...] = (
            ('refused by a server', {}, False, True, 503),
            ('dropped, then refused', {'was_discarded': True}, False, True, 502),
            ('broken off', {'may_have_run': True}, False, False, 502),
            ('broken off, repeatable', {'may_have_run': True}, True, True, 502),
            (
                'in vain until its time',
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
        """A stream's third server ends under it, as a roll-out is complete.

        Its caller is cut off, although others could go on with the stream. A
        server that is there and broke the connection counts; so does one that
        ends under a request which may not run twice.
        """
        table: tuple[tuple[str, bool, bool, int, int], ...] = (
            ('ended', True, True, 0, 2),
            ('still there', False, True, 0, 3),
            ('may not run twice', True, False, 0, 3),
            (
                'too many have ended',
                True,
                True,
                attempts.MAX_TERMINATED_SERVERS,
                3,
            ),
        )
        for (
            title,
            is_unreachable,
            is_resumable,
            terminated,
            counted_attempts,
        ) in table:
            with self.subTest(title):
                outcome = dispatch.Unknown('closed')
                sender: Any = _Sender(is_unreachable=is_unreachable)
                server: Any = None
                call = _call(
                    ROUTE._replace(is_resumable=is_resumable, max_attempts=3)
                )
                progress = attempts.Progress(
                    trials.VersionChoice(),
                    counted_attempts=3,
                    terminated=terminated,
                )
                asyncio.run(
                    attempts.uncount_terminated_server(
                        call, progress, server, outcome, sender
                    )
                )
                self.assertEqual(progress.counted_attempts, counted_attempts)


if __name__ == '__main__':
    unittest.main()
