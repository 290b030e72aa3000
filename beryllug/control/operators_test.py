"""Tests of the configuration API on the operators' address."""

import itertools
import json
import pathlib
from types import MappingProxyType
from typing import Any, NamedTuple
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.control import (
    config,
    config_admin,
    fleet_status,
    operators,
)
from beryllug.core import (
    config_root,
    document_parts,
    rpc_data,
    settings_data,
)
from beryllug.drivers import (
    config_store,
    http_client,
    http_data,
    object_fake_test,
    rpc,
)
from beryllug.kernel import ops, registry

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kesarvan.json').read_text()
HEAVIER = TEXT.replace('"weight": 5', '"weight": 6')
KEY = 'operator-key-number-one'
OPERATORS = settings_data.Operators('127.0.0.1:0', (KEY,))
PROCESS = settings_data.Process(
    'c0', settings_data.Role.CONTROL, 'host-1', 'zone-1'
)
CONTROL = settings_data.Control('c0:1', ('c1:1',), '', '', heartbeat_s=0.05)
ROLLOUT = MappingProxyType(
    {
        'model': 'desk-small',
        'incumbent': 'v1',
        'candidate': 'v2',
        'stages': [10, 100],
        'exposure_budget': 5,
        'max_error_rate': 0.1,
        'min_rating': 0.5,
    }
)


class _Case(NamedTuple):
    """One request that changes nothing, and its expected reply."""

    title: str
    method: str
    target: str
    body: str
    status: int
    word: str


REFUSED: tuple[_Case, ...] = (
    _Case('no JSON', 'POST', '/v1/config?expect=1&author=a', '{', 422, ''),
    _Case(
        'senseless',
        'POST',
        '/v1/config?expect=1&author=a',
        TEXT.replace('"candidate": "v2"', '"candidate": "v1"'),
        422,
        'invalid',
    ),
    _Case('no author', 'POST', '/v1/config?expect=1', TEXT, 400, 'usage'),
    _Case('no revision', 'POST', '/v1/config?author=a', TEXT, 400, 'usage'),
    _Case(
        'negative', 'POST', '/v1/config?expect=-1&author=a', TEXT, 400, 'usage'
    ),
    _Case(
        'apply id',
        'POST',
        '/v1/config?expect=1&author=a&apply_id=a%20b',
        TEXT,
        400,
        'usage',
    ),
    _Case('behind', 'POST', '/v1/config?expect=0&author=a', HEAVIER, 409, ''),
    _Case('ahead', 'POST', '/v1/config?expect=9&author=a', HEAVIER, 409, ''),
    _Case('judged', 'POST', '/v1/validate', '{"a": 1}', 422, 'invalid'),
    _Case('sound', 'POST', '/v1/validate', TEXT, 200, ''),
    _Case('compared', 'POST', '/v1/diff', HEAVIER, 200, ''),
    _Case('not compared', 'POST', '/v1/diff', '[]', 422, 'invalid'),
    _Case('forgotten', 'GET', '/v1/config?revision=77', '', 404, 'unknown'),
    _Case(
        'no version',
        'POST',
        '/v1/withdraw?model=desk-small&version=v9&author=a',
        '',
        422,
        'invalid',
    ),
    _Case(
        'last version',
        'POST',
        '/v1/withdraw?model=desk-large&version=v1&author=a',
        '',
        422,
        'invalid',
    ),
    _Case('no model', 'POST', '/v1/withdraw?author=a', '', 400, 'usage'),
    _Case(
        'no roll-out',
        'POST',
        '/v1/rollout/stop?model=desk-large&author=a',
        '',
        422,
        'invalid',
    ),
    _Case(
        'odd roll-out', 'POST', '/v1/rollout/start?author=a', '[]', 400, 'usage'
    ),
    _Case('no bills', 'GET', '/v1/usage', '', 404, 'unknown'),
)


class _NoPeers:
    """An RPC client whose peers are all unreachable."""

    async def call(
        self,
        address: str,
        method: rpc.Method[rpc.Ask, rpc.Reply],
        ask: rpc.Ask,
        timeout_s: float,
    ) -> rpc.Reply:
        """Raise an error."""
        raise rpc.RpcError('UNAVAILABLE', address)


class OperatorsTest(IsolatedAsyncioTestCase):
    """Operations of operators, and the replies to refused ones."""

    async def asyncSetUp(self) -> None:
        no_pause = mock.patch.object(config_store, 'RETRY_DELAY_S', 0)
        no_pause.start()
        self.addCleanup(no_pause.stop)
        self.api = object_fake_test.FakeObjects()
        calls = _NoPeers()
        self.view = config.Config(PROCESS, CONTROL, self.api, calls)
        status = fleet_status.FleetStatus(self.view, calls)
        admin = config_admin.ConfigAdmin(self.view)
        self.operators = ops.Operators(
            OPERATORS,
            registry.Registry(),
            bool,
            operators.routes(admin, status),
        )
        self.client = http_client.HttpClient()
        await self.operators.start()

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.operators.stop(0)

    async def test_apply(self) -> None:
        """A document is applied, shown, retained and compared."""
        schema = await self.get('/v1/schema')
        self.assertIn('accounts', schema['properties'])
        await self.apply(TEXT, 0, 'ann')
        shown = await self.get('/v1/config')
        self.assertEqual((shown['revision'], shown['author']), (1, 'ann'))
        status, _ = await self.call(
            'POST', '/v1/validate', json.dumps(shown['document'])
        )
        self.assertEqual(status, 200)
        _, compared = await self.call('POST', '/v1/diff', HEAVIER)
        paths = [found['path'] for found in compared['differences']]
        self.assertEqual(paths, ['accounts[kutch-resorts].weight'])
        await self.apply(HEAVIER, 1, 'bob')
        listed = (await self.get('/v1/config/history'))['history']
        authors = [past['author'] for past in listed]
        self.assertEqual(authors, ['bob', 'ann'])
        first = await self.get('/v1/config?revision=1')
        self.assertEqual(first['document'], shown['document'])

    async def test_refused(self) -> None:
        """Each refusal has the expected error and changes nothing."""
        await self.apply(TEXT, 0, 'ann')
        before = dict(self.api.stored)
        for case in REFUSED:
            with self.subTest(case.title):
                status, body = await self.call(
                    case.method, case.target, case.body
                )
                self.assertEqual(status, case.status, body)
                if case.word:
                    self.assertEqual(body['error'], case.word)
                if status == 422:
                    self.assertTrue(body['findings'])
                self.assertEqual(self.api.stored, before)

    async def test_conflict(self) -> None:
        """The second of two operators is told whose change came first."""
        await self.apply(TEXT, 0, 'ann')
        await self.apply(HEAVIER, 1, 'ann')
        status, body = await self.call(
            'POST', '/v1/config?expect=1&author=bob', TEXT
        )
        self.assertEqual(status, 409)
        self.assertEqual((body['revision'], body['author']), (2, 'ann'))
        paths = [found['path'] for found in body['differences']]
        self.assertEqual(paths, ['accounts[kutch-resorts].weight'])

    async def test_outage(self) -> None:
        """Without the platform nothing is applied, and the reply says so."""
        await self.apply(TEXT, 0, 'ann')
        await self.view.watch.read()
        self.api.down = True
        status, body = await self.call(
            'POST', '/v1/config?expect=1&author=ann', HEAVIER
        )
        self.assertEqual((status, body['error']), (503, 'unavailable'))
        shown = await self.get('/v1/config')
        self.assertEqual(shown['source'], 'this process')
        self.assertEqual(shown['revision'], 1)

    async def test_uncertain(self) -> None:
        """The reply to an apply is lost and the platform becomes unavailable.

        The operator can't know whether the document was applied. A retry with
        a new apply id would conflict with the first apply; one with the same
        apply id reports that the first took effect.
        """
        await self.apply(TEXT, 0, 'ann')
        self.api.before_write = self._lose_root_reply
        target = '/v1/config?expect=1&author=ann&apply_id=mine'
        status, body = await self.call('POST', target, HEAVIER)
        self.assertEqual((status, body['apply_id']), (504, 'mine'))
        self.api.lost_requests.clear()
        status, body = await self.call('POST', target, HEAVIER)
        self.assertEqual((status, body['revision']), (200, 2))

    async def test_edits(self) -> None:
        """Versions and rollouts are edited by name, each edit once."""
        await self.apply(TEXT, 0, 'ann')
        query = 'author=ann&apply_id'
        for target, body in (
            (f'/v1/rollout/stop?model=desk-small&{query}=e1', ''),
            (f'/v1/restore?model=desk-small&version=v2&{query}=e2', ''),
            (f'/v1/rollout/start?{query}=e3', json.dumps(dict(ROLLOUT))),
            (f'/v1/rollout/promote?model=desk-small&{query}=e4', ''),
            (f'/v1/withdraw?model=desk-small&version=v2&{query}=e5', ''),
        ):
            with self.subTest(target):
                first = await self.call('POST', target, body)
                self.assertEqual(first[0], 200, first[1])
                again = await self.call('POST', target, body)
                self.assertEqual(again, first)
        shown = await self.get('/v1/config')
        self.assertEqual(shown['revision'], 6)
        versions = shown['document']['models'][0]['versions']
        self.assertEqual(
            [(found['version'], found['withdrawn']) for found in versions],
            [('v2', True), ('v1', False)],
        )

    async def test_newer_release(self) -> None:
        """A control process of a newer release wrote a field unknown here.

        During a rolling upgrade an operator edits through an old control
        process. It would silently drop the new field when it writes the
        document back, so it refuses the edit. The document itself is accepted
        and stays in use.
        """
        await self.apply(TEXT, 0, 'ann')
        stored = self.api.stored[config_root.KEY]
        root = config_root.decode(stored.value)
        await self.view.watch.read()
        newer = []
        for digest in root.parts:
            key = document_parts.key_of(digest)
            part = self.api.stored[key].value
            changed = part.replace(b'"weight":5', b'"weight":5,"tier":"gold"')
            made = document_parts.make(changed)
            newer.append(made.digest)
            await self.api.write(
                document_parts.key_of(made.digest), made.content, None
            )
        root = root._replace(revision=2, parts=tuple(newer))
        await self.api.write(
            config_root.KEY, config_root.encode(root), stored.version
        )
        status, body = await self.call(
            'POST', '/v1/restore?model=desk-small&version=v1&author=a', ''
        )
        self.assertEqual(status, 422)
        self.assertIn('newer release', body['findings'][0]['reason'])
        shown = await self.get('/v1/config')
        self.assertEqual(shown['document']['accounts'][0]['tier'], 'gold')
        await self.view.watch.read()
        self.assertEqual(self.view.revision, 2)

    async def test_status(self) -> None:
        """All processes are listed, also those that don't answer."""
        stream = self.view.feed.stream(rpc_data.ViewRequest('e0', 'zone-1'))
        self.view.feed.open()
        await anext(stream)
        follow = anext(stream)
        shown = await self.get('/v1/status')
        names = [found['name'] for found in shown['processes']]
        self.assertEqual(names, ['c0', 'c1:1'])
        self.assertIn('no answer', shown['processes'][1]['state'])
        await follow
        shown = await self.get('/v1/status')
        names = [found['name'] for found in shown['processes']]
        self.assertEqual(names, ['c0', 'e0', 'c1:1'])
        await stream.aclose()

    async def apply(self, text: str, expect: int, author: str) -> None:
        """Apply a document."""
        status, body = await self.call(
            'POST', f'/v1/config?expect={expect}&author={author}', text
        )
        self.assertEqual((status, body.get('revision')), (200, expect + 1))

    async def get(self, target: str) -> dict[str, Any]:
        """Send a GET request that must succeed."""
        status, body = await self.call('GET', target, '')
        self.assertEqual(status, 200, body)
        return body

    async def call(
        self, method: str, target: str, body: str
    ) -> tuple[int, dict[str, Any]]:
        """Send a request as an operator."""
        headers = {'authorization': f'Bearer {KEY}'}
        incoming, answer = await self.client.call(
            f'127.0.0.1:{self.operators.port}',
            http_data.Outgoing(method, target, headers, body.encode()),
            10,
        )
        decoded: dict[str, Any] = json.loads(answer)
        return incoming.status, decoded

    async def _lose_root_reply(self, key: str) -> None:
        if key == config_root.KEY:
            self.api.lost_responses = [f'write {key}']
            self.api.lost_requests = list(itertools.repeat(f'read {key}', 100))
        else:
            self.api.before_write = self._lose_root_reply


if __name__ == '__main__':
    main()
