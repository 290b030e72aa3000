"""Tests of the operators' HTTP endpoint."""

import base64
import json
import unittest
from collections.abc import Iterable
from typing import Any

from beryllug.core import settings_data
from beryllug.drivers import http_client, http_data, http_server
from beryllug.kernel import metrics_data, ops, registry

KEY = 'operator-key-number-one'
NEXT_KEY = 'operator-key-number-two'
CFG = settings_data.Operators('127.0.0.1:0', (KEY, NEXT_KEY))


def _basic(user: str, key: str) -> str:
    return base64.b64encode(f'{user}:{key}'.encode()).decode()


# Path, authorization, expected status.
ACCESS: tuple[tuple[str, str, int], ...] = (
    ('/healthz', '', 200),
    ('/readyz', '', 503),
    ('/dump', '', 401),
    ('/dump', f'Bearer {KEY}x', 401),
    ('/dump', KEY, 401),
    ('/dump', 'Bearer x', 401),
    ('/dump', f'Bearer {KEY}', 200),
    ('/dump', f'bearer {NEXT_KEY}', 200),
    ('/dump', f'Basic {_basic("ann", KEY)}', 200),
    ('/dump', f'Basic {_basic("ann", "wrong")}', 401),
    ('/dump', f'Basic {_basic(KEY, "")}', 401),
    ('/dump', 'Basic %%%', 401),
    ('/dump', 'Basic', 401),
    ('/metrics', '', 401),
    ('/metrics', f'Bearer {KEY}', 200),
    ('/own', f'Bearer {KEY}', 200),
    ('/own?query=1', f'Bearer {KEY}', 200),
    ('/own', '', 401),
    ('/other', f'Bearer {KEY}', 404),
)


class _WithSamples:
    """A service with two metrics."""

    def __init__(self) -> None:
        self.calls = 0

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing."""

    def dump(self) -> dict[str, Any]:
        return {'calls': self.calls}

    def measure(self) -> Iterable[metrics_data.Sample]:
        yield metrics_data.Sample('level', self.calls / 2, 'A level.')
        yield metrics_data.Sample(
            'calls',
            self.calls,
            'Calls so far.',
            metrics_data.Kind.COUNTER,
            {'kind': 'read'},
        )


class _WithHistogram(_WithSamples):
    """A service with a histogram."""

    def times(self) -> Iterable[metrics_data.LabeledHistogram]:
        histogram = metrics_data.Histogram()
        for seconds in (0.003, 0.04, 99):
            histogram.observe(seconds)
        yield metrics_data.LabeledHistogram(
            'answer_seconds', 'Times.', histogram, {'kind': 'safe'}
        )


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Authorization and content of the endpoint."""

    async def asyncSetUp(self) -> None:
        self.counted = _WithSamples()
        services = registry.Registry()
        services.register('counted', self.counted)
        routes = {ops.Route('GET', '/own'): self._own}
        self.operators = ops.Operators(CFG, services, bool, routes)
        self.client = http_client.HttpClient()
        await self.operators.start()

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.operators.stop(0)

    async def test_access(self) -> None:
        """Health and readiness need no key, everything else a valid one."""
        for path, authorization, expected in ACCESS:
            with self.subTest(path=path, authorization=authorization):
                status, _ = await self._get(path, authorization)
                self.assertEqual(status, expected)

    async def test_rotation(self) -> None:
        """After a rotation the old key is rejected, without a restart."""
        self.operators.replace_keys((NEXT_KEY,))
        for key, expected in ((KEY, 401), (NEXT_KEY, 200)):
            with self.subTest(key):
                status, _ = await self._get('/dump', f'Bearer {key}')
                self.assertEqual(status, expected)

    async def test_dump(self) -> None:
        """The dump contains the state of each service by name."""
        _, body = await self._get('/dump', f'Bearer {KEY}')
        self.assertEqual(json.loads(body), {'counted': {'calls': 0}})

    async def test_metrics(self) -> None:
        """Each scrape returns the current values."""
        for calls in (4, 6):
            self.counted.calls = calls
            _, body = await self._get('/metrics', f'Bearer {KEY}')
            lines = body.decode().splitlines()
            self.assertIn(f'beryllug_level {calls / 2}', lines)
            total = f'beryllug_calls_total{{kind="read"}} {float(calls)}'
            self.assertIn(total, lines)
        self.assertIn('# HELP beryllug_level A level.', lines)

    async def test_open_metrics(self) -> None:
        """A platform may scrape metrics without a key, and nothing else."""
        services = registry.Registry()
        services.register('clocked', _WithHistogram())
        await self.operators.stop(0)
        self.operators = ops.Operators(
            CFG, services, bool, {}, are_metrics_open=True
        )
        await self.operators.start()
        self.assertEqual((await self._get('/dump', ''))[0], 401)
        status, body = await self._get('/metrics', '')
        self.assertEqual(status, 200)
        name = 'beryllug_answer_seconds'
        for line in (
            f'{name}_bucket{{kind="safe",le="0.005"}} 1.0',
            f'{name}_bucket{{kind="safe",le="0.05"}} 2.0',
            f'{name}_bucket{{kind="safe",le="+Inf"}} 3.0',
            f'{name}_count{{kind="safe"}} 3.0',
        ):
            self.assertIn(line, body.decode().splitlines())

    async def _get(self, path: str, authorization: str) -> tuple[int, bytes]:
        headers = {'authorization': authorization} if authorization else {}
        incoming, body = await self.client.call(
            f'127.0.0.1:{self.operators.port}',
            http_data.Outgoing('GET', path, headers),
            5,
        )
        return incoming.status, body

    async def _own(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        await exchange.respond(ops.OK)


if __name__ == '__main__':
    unittest.main()
