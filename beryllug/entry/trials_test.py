"""Tests of server selection for trials and for ordinary requests."""

import time
import unittest
from typing import Any, cast

from beryllug.core import (
    balance_data,
    config_data,
    refusal,
    rpc_data,
    suspects_data,
    view_data,
)
from beryllug.entry import (
    call_data,
    control_link,
    crashes,
    delivery_test,
    routing,
    trials,
)

POOL = 'booking'
PICK = balance_data.Pick(POOL)
ZONE = 'zone-1'
SERVERS = ('s0', 's1', 's2')
DRAWS = 20
Verdict = suspects_data.Verdict


class _FakeControl:
    """A control process with one verdict, which keeps its requests."""

    def __init__(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.asked: list[Any] = []

    async def call(self, method: Any, request: Any, timeout_s: float) -> Any:
        self.asked.append(request)
        return suspects_data.TrialReply(self.verdict)


class _SteadyClock:
    """The clock of a process that is never stalled."""

    def ran_before(self, noticed: float) -> float:
        return noticed

    def stood_until(self, now: float) -> float:
        return 0.0


class TrialsTest(unittest.IsolatedAsyncioTestCase):
    """An entry process with a view of one pool of three servers."""

    async def asyncSetUp(self) -> None:
        """Create the services of an entry, without sockets."""
        self.calls = _FakeControl(Verdict.TRY)
        request = rpc_data.ViewRequest('e', ZONE)
        calls = cast('Any', self.calls)
        self.link = control_link.ControlLink(request, cast('Any', None), calls)
        self.routing = routing.Routing('e', ZONE, self.link)
        self.crashes = crashes.Crashes(
            'e', calls, self.link, calls, _SteadyClock()
        )
        self.trials = trials.Trials(self.routing, self.crashes)

    async def test_ordinary(self) -> None:
        """Ordinary requests avoid the servers of trials if possible."""
        for title, tried, wanted in (
            ('no trial', (), set(SERVERS)),
            ('one trial', ('s0',), {'s1', 's2'}),
            ('two trials', ('s0', 's1'), {'s2'}),
            ('trials everywhere', SERVERS, set(SERVERS)),
        ):
            with self.subTest(title):
                self._apply_view(tuple(_suspect(name, name) for name in tried))
                found = {await self._placed_on('other') for _ in range(DRAWS)}
                self.assertEqual(found, wanted)

    async def test_alone(self) -> None:
        """A suspect runs on a server without other requests if possible."""
        self._apply_view((_suspect('a:bad', ''),))
        self.assertEqual(
            {await self._placed_on('bad') for _ in range(DRAWS)}, set(SERVERS)
        )
        for number, server in enumerate(SERVERS):
            self._start_request_on(server)
            left = set(SERVERS[number + 1 :]) or set(SERVERS)
            found = {await self._placed_on('bad') for _ in range(DRAWS)}
            self.assertEqual(found, left)

    async def test_verdicts(self) -> None:
        """Verdicts are applied, and requested only for suspects."""
        for verdict, refused in (
            (Verdict.TRY, False),
            (Verdict.RUN, False),
            (Verdict.REFUSE, True),
            (Verdict.WAIT, True),
        ):
            with self.subTest(verdict):
                self._apply_view((_suspect('a:bad', ''),))
                self.calls.verdict = verdict
                self.assertEqual(await self._placed_on('bad') == '', refused)
        self.calls.asked.clear()
        self.assertNotEqual(await self._placed_on('other'), '')
        self.assertEqual(self.calls.asked, [])

    async def test_refused_at_once(self) -> None:
        """A refused suspect is refused without asking control.

        A non-repeatable one may have run, so it is refused only when an
        attempt is made; "not run" could be wrong before that.
        """
        self._apply_view((_suspect('a:bad', '')._replace(refused=True),))
        with self.assertRaises(refusal.RefusedError):
            self.crashes.refuse_suspect(_call('bad'))
        self.crashes.refuse_suspect(_call('bad', repeatable=False))
        with self.assertRaises(refusal.RefusedError):
            self.crashes.known.needs_trial(_call('bad', repeatable=False))

    async def _placed_on(self, body_hash: str) -> str:
        """Return the id of the selected server, empty if refused."""
        try:
            place = await self.trials.select_server(_call(body_hash), PICK)
        except refusal.RefusedError:
            return ''
        return place.server.server_id if place.server else ''

    def _start_request_on(self, server_id: str) -> None:
        attempt = self.routing.attempt(
            PICK, _server(server_id), time.monotonic()
        )
        self.routing.begin(_call(f'on {server_id}'), attempt)

    def _apply_view(self, suspects: tuple[rpc_data.Suspect, ...]) -> None:
        pool = config_data.Pool(POOL, config_data.PoolKind.PLAIN, 4)
        empty = view_data.EMPTY_VIEW.document
        update = rpc_data.ViewUpdate(
            1,
            empty._replace(pools=(pool,)),
            servers=tuple(map(_server, SERVERS)),
            suspects=suspects,
        )
        self.link._apply_update(update)


def _suspect(fingerprint: str, trial_server: str) -> rpc_data.Suspect:
    until = time.time() + 60
    return rpc_data.Suspect(fingerprint, 1, until, trial_server=trial_server)


def _server(server_id: str) -> view_data.BackendServer:
    return view_data.BackendServer(
        server_id, '127.0.0.1:9', ZONE, POOL, view_data.ServerState.LIVE
    )


def _call(body_hash: str, *, repeatable: bool = True) -> call_data.Call:
    return delivery_test.make_call(
        body_hash, repeatable=repeatable, within_s=0.2
    )


if __name__ == '__main__':
    unittest.main()
