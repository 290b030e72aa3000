"""Contract tests of the smaller external services and their clients."""

import json
import unittest
from typing import Any

from beryllug.core import config_data, view_data
from beryllug.drivers import (
    host_list,
    http_client,
    http_data,
    plain_service,
    rating,
    weight_store,
)
from beryllug.standins import host_list as host_list_standin
from beryllug.standins import http_stand_in
from beryllug.standins import plain_service as plain_standin
from beryllug.standins import rating as rating_standin
from beryllug.standins import weight_store as weight_standin

TIMEOUT_S = 0.5
VERSION = config_data.VersionRef('small', 'v1')
HOSTS = (
    view_data.BackendServer(
        's1', '127.0.0.1:9', 'z1', 'small', view_data.ServerState.LIVE
    ),
    view_data.BackendServer(
        's2', '127.0.0.1:8', 'z2', 'plain', view_data.ServerState.LIVE
    ),
)
# Each leaves the call without a usable response.
UNUSABLE: tuple[dict[str, Any], ...] = (
    {'refuse': True},
    {'unavailable': True},
    {'reset_before_run': True},
    {'drop_answer': True},
    {'reset_at_byte': 3},
    {'answer_delay_s': 60.0},
    {'error_rate': 1.0},
)


class _PartyCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = http_client.HttpClient()
        self.addAsyncCleanup(self.client.close)

    async def start_stand_in(self, standin: http_stand_in.StandIn) -> str:
        """Start a stand-in and stop it at the end of the test."""
        address = await standin.start()
        self.addAsyncCleanup(standin.stop)
        return address

    async def put_faults_by_http(
        self, standin: http_stand_in.StandIn, fault_settings: dict[str, Any]
    ) -> None:
        """Replace the injected faults through the control address."""
        body = json.dumps(fault_settings).encode()
        outgoing = http_data.Outgoing('PUT', '/faults', {}, body)
        incoming, _ = await self.client.call(standin.control_address, outgoing)
        self.assertEqual(incoming.status, 200)
        await standin.settle()


class HostListTest(_PartyCase):
    """The host list and its adapter."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in with two hosts."""
        await super().asyncSetUp()
        self.standin = host_list_standin.stand_in()
        self.address = await self.start_stand_in(self.standin)
        self.api: host_list.HostList = host_list.HttpHostList(
            self.client, self.address, TIMEOUT_S
        )
        body = http_data.to_json([host._asdict() for host in HOSTS])
        outgoing = http_data.Outgoing('PUT', '/v1/hosts', {}, body)
        await self.client.call(self.address, outgoing)

    async def test_read(self) -> None:
        """Reading returns all hosts with their state."""
        self.assertEqual(await self.api.read(), HOSTS)

    async def test_lag(self) -> None:
        """A change of state becomes visible only after the lag."""
        behaviour = self.standin.service_behaviour
        assert isinstance(behaviour, host_list_standin.HostListBehaviour)
        leaving = view_data.ServerState.LEAVING
        for lag_s, expected in ((0.0, leaving), (60.0, None)):
            with self.subTest(lag_s=lag_s):
                self.standin.put_faults(lag_s=lag_s)
                behaviour.set_state('s1', leaving)
                shown = await self.api.read()
                state = shown[0].state if shown else None
                self.assertEqual(state, expected)

    async def test_unavailable(self) -> None:
        """Every failure raises HostListError, and reading then recovers."""
        for fault_settings in UNUSABLE:
            with self.subTest(str(fault_settings)):
                await self.put_faults_by_http(self.standin, fault_settings)
                with self.assertRaises(host_list.HostListError):
                    await self.api.read()
        await self.put_faults_by_http(self.standin, {})
        self.assertEqual(await self.api.read(), HOSTS)


class PlainServiceTest(_PartyCase):
    """The plain service and its adapter."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in."""
        await super().asyncSetUp()
        self.standin = plain_standin.stand_in()
        self.address = await self.start_stand_in(self.standin)
        self.api: plain_service.PlainService = plain_service.HttpPlainService(
            self.client
        )

    async def test_holds(self) -> None:
        """A hold received twice is stored twice and counted."""
        for doubled in (0, 1):
            status, shown = await self._hold('s1')
            self.assertEqual((status, shown['holds']), (201, doubled + 1))
            self.assertEqual(shown['idempotency_key'], 'k1')
            self.assertEqual(self._behaviour().doubled, doubled)

    async def test_any_path(self) -> None:
        """Any other call returns the recorded run."""
        ask = plain_service.PlainRequest('r1', 'acme', 'GET', '/desk/7?x=1')
        incoming = await self.api.call(self.address, ask)
        shown = await incoming.read_json()
        incoming.close()
        self.assertEqual(
            (shown['target'], shown['request_id']), (ask.target, 'r1')
        )

    async def test_faults(self) -> None:
        """A failed call has run only if its error permits that.

        Each case fails the call at one step. NotSentError and a declining
        response mean that the service did not run it; BrokenError leaves
        both possible.
        """
        broken = 'BrokenError'
        cases: tuple[tuple[dict[str, Any], str, int], ...] = (
            ({'refuse': True}, 'NotSentError', 0),
            ({'unavailable': True}, 'declined', 0),
            ({'reset_before_run': True}, broken, 0),
            ({'drop_answer': True}, broken, 1),
            ({'reset_at_byte': 5, 'hard_reset': True}, broken, 1),
            ({'poison': 's1'}, broken, 0),
        )
        for fault_settings, expected, runs in cases:
            with self.subTest(str(fault_settings)):
                self._behaviour().runs.clear()
                await self.put_faults_by_http(self.standin, fault_settings)
                self.assertEqual(await self._try_hold(), expected)
                self.assertEqual(len(self._behaviour().runs), runs)

    async def _try_hold(self) -> str:
        try:
            status, shown = await self._hold('s1')
        except (http_data.NotSentError, http_data.BrokenError) as exc:
            return type(exc).__name__
        not_run = status == 503 and shown['error']['run'] == 'not_run'
        return 'declined' if not_run else 'answered'

    async def _hold(self, slot: str) -> tuple[int, Any]:
        body = http_data.to_json({'slot': slot})
        ask = plain_service.PlainRequest(
            'r1', 'acme', 'POST', '/holds', body, idempotency_key='k1'
        )
        incoming = await self.api.call(self.address, ask)
        try:
            return incoming.status, await incoming.read_json()
        finally:
            incoming.close()

    def _behaviour(self) -> plain_standin.PlainServiceBehaviour:
        behaviour = self.standin.service_behaviour
        assert isinstance(behaviour, plain_standin.PlainServiceBehaviour)
        return behaviour


class RatingTest(_PartyCase):
    """The rating service and its adapter."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in."""
        await super().asyncSetUp()
        self.standin = rating_standin.stand_in()
        self.address = await self.start_stand_in(self.standin)
        self.api: rating.RatingService = rating.HttpRater(
            self.client, self.address
        )

    async def test_rating(self) -> None:
        """The rating is the quality in the text plus the bias, clamped."""
        cases = (
            ('[r1] quality=0.750 oil', 0.0, 0.75),
            ('[r1] quality=0.750 oil', -0.5, 0.25),
            ('[r1] quality=0.750 oil', -2.0, 0),
            ('no tag', 0.0, 0.5),
        )
        for text, bias, expected in cases:
            with self.subTest(text, bias=bias):
                self.standin.put_faults(bias=bias)
                ask = rating.RatingRequest('r1', VERSION, text)
                found = await self.api.rate(ask, TIMEOUT_S)
                self.assertAlmostEqual(found, expected)

    async def test_unavailable(self) -> None:
        """Every failure, including a timeout, raises RatingError."""
        ask = rating.RatingRequest('r1', VERSION, 'text')
        for fault_settings in UNUSABLE:
            with self.subTest(str(fault_settings)):
                await self.put_faults_by_http(self.standin, fault_settings)
                with self.assertRaises(rating.RatingError):
                    await self.api.rate(ask, TIMEOUT_S)


class WeightStoreTest(_PartyCase):
    """The weight store and its adapter."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in with one version and two reads a second."""
        await super().asyncSetUp()
        cfg = weight_standin.WeightStoreCfg(('small@v1',), 7, 2.0)
        self.standin = weight_standin.stand_in(cfg)
        self.address = await self.start_stand_in(self.standin)
        self.api: weight_store.WeightStore = weight_store.HttpWeightStore(
            self.client, self.address, TIMEOUT_S
        )

    async def test_read(self) -> None:
        """Known versions have metadata; reads over the rate are rejected."""
        found = await self.api.read(VERSION)
        self.assertEqual(found and found.size_bytes, 7)
        other = config_data.VersionRef('small', 'v2')
        self.assertIsNone(await self.api.read(other))
        with self.assertRaises(weight_store.RateLimitedError):
            await self.api.read(VERSION)

    async def test_unavailable(self) -> None:
        """Every failure raises WeightStoreError."""
        for fault_settings in UNUSABLE:
            with self.subTest(str(fault_settings)):
                await self.put_faults_by_http(self.standin, fault_settings)
                with self.assertRaises(weight_store.WeightStoreError):
                    await self.api.read(VERSION)


if __name__ == '__main__':
    unittest.main()
