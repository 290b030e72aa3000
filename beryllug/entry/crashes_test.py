"""Tests of when a broken connection counts as the loss of its server."""

import asyncio
import time
import unittest
from typing import Any, NamedTuple, cast

from beryllug.core import rpc_data, view_data
from beryllug.drivers import http_data
from beryllug.entry import (
    control_link,
    crashes,
    delivery_test,
    liveness,
    routing,
)

SERVER = view_data.BackendServer(
    's0', '127.0.0.1:9', 'zone-1', 'booking', view_data.ServerState.LIVE
)
ServerLiveness = liveness.ServerLiveness


class _FakeControl:
    """A control process that keeps the messages it receives."""

    def __init__(self) -> None:
        self.received: list[Any] = []

    async def call(self, method: Any, message: Any, timeout_s: float) -> Any:
        self.received.append(message)


class _FakeServer:
    """A server that answers or refuses, and the clock of a stalled process."""

    def __init__(self, case: 'Case') -> None:
        self._case = case
        self._stood_until = 0.0

    async def call(self, address: str, outgoing: http_data.Outgoing) -> None:
        await asyncio.sleep(self._case.answer_delay_s)
        if self._case.stalls:
            self._stood_until = time.monotonic()
        if self._case.refuses:
            raise http_data.NotSentError('refused')

    def ran_before(self, noticed: float) -> float:
        return noticed - self._case.ago_s

    def stood_until(self, now: float) -> float:
        return self._stood_until


class Case(NamedTuple):
    """A connection that broke.

    Attributes:
        title: Name of the case.
        found: Expected result.
        ago_s: Seconds since the process last ran before it noticed.
        sent_ago_s: Seconds since the request was sent.
        refuses: Whether the server refuses connections.
        stalls: Whether the process is stalled during the check.
        answer_delay_s: Seconds until the server answers.
    """

    title: str
    found: ServerLiveness
    ago_s: float = 0.1
    sent_ago_s: float = 5.0
    refuses: bool = False
    stalls: bool = False
    answer_delay_s: float = 0.0


CASES = (
    Case('seen at once, it answers', ServerLiveness.ALIVE),
    Case('seen at once, it refuses', ServerLiveness.GONE, refuses=True),
    Case('seen late, it answers', ServerLiveness.UNKNOWN, ago_s=0.8),
    Case('seen late, it refuses', ServerLiveness.GONE, ago_s=0.8, refuses=True),
    Case(
        'stalled during the check',
        ServerLiveness.UNKNOWN,
        stalls=True,
        answer_delay_s=0.4,
    ),
    Case('the server answers late', ServerLiveness.ALIVE, answer_delay_s=0.4),
    Case(
        'sent after the stall', ServerLiveness.ALIVE, ago_s=0.8, sent_ago_s=0.1
    ),
)


class CrashesTest(unittest.IsolatedAsyncioTestCase):
    """An entry process with one server and one control process."""

    async def test_cut(self) -> None:
        """A server that may have restarted before its check counts as lost."""
        for case in CASES:
            with self.subTest(case.title):
                calls = _FakeControl()
                reports = _reports(calls, case)
                call, attempt = _attempt(case)
                found = await reports.report_if_gone(call, attempt, ('a:bad',))
                self.assertEqual(found, case.found)
                self.assertEqual(
                    _reported_servers(calls),
                    [] if found is ServerLiveness.ALIVE else ['s0'],
                )

    async def test_streams(self) -> None:
        """A client that leaves a stream makes no request a suspect."""
        for title, cut in (('the server cut it', True), ('left', False)):
            for case in CASES:
                with self.subTest(title, case=case.title):
                    calls = _FakeControl()
                    reports = _reports(calls, case)
                    call, attempt = _attempt(case)
                    reports.check_in_background(
                        call, attempt, ('a:bad',), cut=cut
                    )
                    await reports.stop(0)
                    known = case.refuses or cut
                    lost = known and case.found is not ServerLiveness.ALIVE
                    self.assertEqual(
                        _reported_servers(calls), ['s0'] if lost else []
                    )


def _reports(calls: _FakeControl, case: Case) -> crashes.Crashes:
    request = rpc_data.ViewRequest('e', 'zone-1')
    link = control_link.ControlLink(
        request, cast('Any', None), cast('Any', calls)
    )
    process = cast('Any', _FakeServer(case))
    return crashes.Crashes('e', cast('Any', calls), link, process, process)


def _attempt(case: Case) -> tuple[Any, routing.Attempt]:
    call = delivery_test.make_call('bad', repeatable=False, within_s=1.0)
    sent_at = time.monotonic() - case.sent_ago_s
    return call, routing.Attempt(SERVER, 'booking', None, sent_at, 0.0)


def _reported_servers(calls: _FakeControl) -> list[str]:
    return [
        received.server_id
        for received in calls.received
        if isinstance(received, rpc_data.CrashReport)
    ]


if __name__ == '__main__':
    unittest.main()
