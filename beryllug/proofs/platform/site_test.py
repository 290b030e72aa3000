"""What callers get on a calm day and when single things break."""

import asyncio
import time
import unittest
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from beryllug.drivers import http_data
from beryllug.platform import names, store
from beryllug.standins import platform_runner, platform_site

DRAFT = '/draft/roster'
REPORT = '/report/car'
HOLD = '/hold/slot'
LOOKUP = '/lookup/slot'
LATE = 'the stream did not end in time'
BROKEN = http_data.BrokenError
# Seconds between events, many times those between two looks at a server.
SLOW_EVENT_S = 0.1
# Seconds between two requests of all callers together.
PAUSE_S = 0.06


class Load(NamedTuple):
    """Requests of one kind, and the servers that they go to."""

    path: str
    method: str
    servers: tuple[str, str]


LOADS = (
    Load(LOOKUP, 'GET', ('d1', 'd2')),
    Load(HOLD, 'POST', ('d1', 'd2')),
    Load(DRAFT, 'POST', ('p1', 'p2')),
)


class SiteCase(unittest.IsolatedAsyncioTestCase):
    """A site with two runners of the pool, two of the desk, one router."""

    routers = 1
    # Settings of the routers beside the usual ones.
    settings: Mapping[str, Any] = MappingProxyType({})

    async def asyncSetUp(self) -> None:
        self.site = platform_site.Site()
        await self.site.open()
        for instance in ('p1', 'p2'):
            await self.site.add_runner(platform_site.POOL, instance)
        for instance in ('d1', 'd2'):
            await self.site.add_runner(platform_site.DESK, instance)
        for _ in range(self.routers):
            router = await self.site.add_router(**self.settings)
            await self.site.until_ready(router)
        self.router = self.site.routers[0]

    async def asyncTearDown(self) -> None:
        await self.site.close()

    async def ask(self, path: str, **options: Any) -> platform_site.Reply:
        return await self.site.ask(self.router, path, **options)

    async def press(
        self, load: Load, seconds: float, *, may_be_late: bool = False
    ) -> list[platform_site.Reply]:
        """Send requests to all routers in turn; returns the replies.

        Args:
            load: The requests.
            seconds: How long.
            may_be_late: Streams may be cut at the end of their route's time.
        """
        until = time.monotonic() + seconds
        asking: list[asyncio.Task[platform_site.Reply]] = []
        while time.monotonic() < until:
            router = self.site.routers[len(asking) % self.routers]
            asked = self.site.ask(router, load.path, load.method, b'')
            asking.append(asyncio.create_task(asked))
            await asyncio.sleep(PAUSE_S)
        found = await asyncio.gather(*asking, return_exceptions=may_be_late)
        broken = [each for each in found if isinstance(each, BaseException)]
        reasons = [line['reason'] for line in self.site.logged('cut_off')]
        self.assertLessEqual({type(each) for each in broken}, {BROKEN}, broken)
        self.assertLessEqual(len(broken), reasons.count(LATE), broken)
        return [each for each in found if not isinstance(each, BaseException)]

    def arrivals(
        self, instance: str
    ) -> dict[str, list[platform_runner.Arrival]]:
        """Return what reached a server, by the router that sent it."""
        found: dict[str, list[platform_runner.Arrival]] = {
            router.name: [] for router in self.site.routers
        }
        for arrival in self.site.runners[instance].arrivals:
            found[self.site.asked_of[arrival.attempt_id]].append(arrival)
        return found

    def busiest(self, *instances: str) -> str:
        """Return the server that most requests have reached."""
        return max(
            instances, key=lambda name: len(self.site.runners[name].arrivals)
        )

    def runs(self, *instances: str) -> list[str]:
        """Return the ids of the requests that ran on some servers."""
        return [
            run.attempt_id
            for instance in instances
            for run in self.site.runners[instance].runs
        ]


class CalmTest(SiteCase):
    """One request of each kind, and those that are refused."""

    async def test_kinds(self) -> None:
        """Each kind is answered, with the server's own headers and body."""
        table: tuple[tuple[str, str, bytes], ...] = (
            (LOOKUP, 'GET', b''),
            (HOLD, 'POST', b'{"slot":1}'),
            (REPORT, 'POST', b'car'),
            (DRAFT, 'POST', b'roster'),
        )
        for path, method, body in table:
            with self.subTest(path):
                reply = await self.ask(path, method=method, body=body)
                self.assertEqual(reply.status, 200)
                self.assertIn(names.SEAL, reply.headers)

    async def test_refused(self) -> None:
        """A wrong host, path or key is refused and runs nowhere."""
        table: tuple[tuple[str, dict[str, str], int], ...] = (
            ('/none/', {}, 404),
            (LOOKUP, {'host': 'other.example'}, 404),
            (LOOKUP, {names.AUTHORIZATION: 'Bearer wrong'}, 401),
            (LOOKUP, {names.AUTHORIZATION: ''}, 401),
        )
        for path, headers, status in table:
            with self.subTest(path=path, headers=headers):
                reply = await self.ask(path, **headers)
                self.assertEqual(reply.status, status)
        self.assertEqual(self.runs('d1', 'd2'), [])

    async def test_forwarded_headers(self) -> None:
        """The server gets the account, never the key nor what is ours to set.

        A caller that could set them would reserve memory at a runner or go
        on from the memory of another caller's request.
        """
        forged = {
            names.TENANT: 'other',
            'beryllug-hold': 'h1',
            'beryllug-pin-ms': '100',
            'beryllug-kv-backup': '10.0.0.1:1',
            'kv-from': '10.0.0.1:1/h1',
            'x-own': 'kept',
        }
        reply = await self.ask(LOOKUP, **forged)
        self.assertEqual(reply.status, 200)
        run = next(
            run
            for instance in ('d1', 'd2')
            for run in self.site.runners[instance].runs
        )
        self.assertEqual(run.account, platform_site.ACCOUNT)
        self.assertEqual(run.headers['x-own'], 'kept')
        self.assertEqual(run.headers['host'], platform_site.HOST)
        for name in (*forged, names.AUTHORIZATION):
            if name not in {names.TENANT, 'x-own'}:
                self.assertNotIn(name, run.headers)

    async def test_too_late(self) -> None:
        """Who has too little time left for any answer is refused at once.

        A caller whose stream hung until it left comes back with hundredths of
        a second. Sent on, it would hear nothing until its time is over, and
        runners would read its prompt for nobody.
        """
        for deadline_ms, tokens, status, runs in (
            ('5000', '900000,100', 503, 0),
            ('5000', '400,100', 200, 1),
        ):
            with self.subTest(tokens):
                changed = {names.DEADLINE: deadline_ms, names.TOKENS: tokens}
                reply = await self.ask(DRAFT, method='POST', **changed)
                self.assertEqual(reply.status, status)
                self.assertGreaterEqual(len(self.runs('p1', 'p2')), runs)
                if not runs:
                    self.assertEqual(self.runs('p1', 'p2'), [])

    async def test_larger_model(self) -> None:
        """An unsure answer of the small model is dropped for the large one's.

        The caller gets one whole answer, of one model.
        """
        bodies = set()
        for number in range(40):
            reply = await self.ask(
                DRAFT, method='POST', **{names.ATTEMPT: f'draft-{number}'}
            )
            models = {
                line.split()[1]
                for line in reply.body.split(b'\n')
                if b'data' in line
            }
            self.assertEqual(len(models), 1)
            self.assertEqual(reply.body.count(b'id: '), 5)
            bodies |= models
        self.assertEqual(bodies, {b'small', b'large'})


class RefusedModelTest(SiteCase):
    """All runners refuse the larger model."""

    async def test_refused(self) -> None:
        """A caller gets the small model's answer, and no "not run" that lies.

        The small model's unsure answer is dropped and the large one asked,
        which runners refuse, as full ones do. The request has run by then: 503
        would promise that it has not. The small one is asked again, and its
        answer goes out since no attempt is left.
        """
        for instance in ('p1', 'p2'):
            self.site.runners[instance].refused_model = 'large'
        for number in range(20):
            attempt_id = f'draft-{number}'
            reply = await self.ask(
                DRAFT, method='POST', **{names.ATTEMPT: attempt_id}
            )
            self.assertEqual(reply.status, 200, attempt_id)
            self.assertNotIn(b'large', reply.body)
        self.assertGreater(len(self.runs('p1', 'p2')), 20)


class BrokenTest(SiteCase):
    """A backend server breaks at some step of one request."""

    async def test_non_idempotent(self) -> None:
        """A slot hold runs once at most, and "not run" is said only then.

        The caller sends a hold; its server breaks at some step. Where a byte
        may have reached it, a second run could hold a second slot: the answer
        promises nothing. Where none has, another server takes it.
        """
        table: tuple[tuple[dict[str, Any], int, int], ...] = (
            ({'refuse': True}, 200, 1),
            ({'unavailable': True}, 502, 0),
            ({'reset_before_run': True}, 502, 0),
            ({'drop_answer': True}, 502, 1),
            ({'drop_answer': True, 'hard_reset': True}, 502, 1),
            ({'reset_at_byte': 3}, 502, 1),
        )
        for number, (broken, status, ran) in enumerate(table):
            with self.subTest(broken):
                reply, runs = await self._break(f'hold-{number}', broken, HOLD)
                self.assertEqual((reply.status, runs), (status, ran))

    async def test_idempotent(self) -> None:
        """A lookup is answered by the other server, whatever broke."""
        table: tuple[dict[str, Any], ...] = (
            {'refuse': True},
            {'reset_before_run': True},
            {'drop_answer': True},
            {'reset_at_byte': 3, 'hard_reset': True},
            {'error_rate': 1.0},
        )
        for number, broken in enumerate(table):
            with self.subTest(broken):
                reply, _ = await self._break(f'look-{number}', broken, LOOKUP)
                self.assertEqual(reply.status, 200)

    async def test_declined(self) -> None:
        """A server without room says that nothing ran; another one runs it."""
        for instance in ('d1', 'd2'):
            await self._replace(instance, slots=0, queue=0)
        await self.site.add_runner(platform_site.DESK, 'd9')
        await self._until_listed('d9')
        reply = await self.ask(HOLD, method='POST')
        self.assertEqual(reply.status, 200)

    async def test_all_decline(self) -> None:
        """No server has room: 503 with a time to come back, and none ran."""
        for instance in ('d1', 'd2'):
            await self._replace(instance, slots=0, queue=0)
        reply = await self.ask(LOOKUP)
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers[names.RETRY_AFTER]), 0)
        self.assertEqual(self.runs('d1', 'd2'), [])

    async def test_not_the_servers(self) -> None:
        """A success without the server's seal never reaches a caller."""
        for instance in ('d1', 'd2'):
            self.site.runners[instance].is_sealed = False
        self.assertEqual((await self.ask(LOOKUP)).status, 502)
        self.assertEqual((await self.ask(HOLD, method='POST')).status, 502)

    async def test_reused_address(self) -> None:
        """An instance is gone and another service has its address.

        The router still believes the old entry; the new instance refuses
        what is meant for the old one, and a sound server answers.
        """
        address = self.site.stand_ins['p1'].address
        self.site.store_party.put(
            store.SERVERS,
            'd0',
            {
                'service': platform_site.DESK,
                'address': address,
                'zone': 'a',
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
            },
        )
        await self._until_listed('d0')
        for _ in range(6):
            self.assertEqual((await self.ask(LOOKUP)).status, 200)
        self.assertEqual(self.runs('p1'), [])

    async def _break(
        self, attempt_id: str, broken: dict[str, Any], path: str
    ) -> tuple[platform_site.Reply, int]:
        """Send a request whose first server breaks; count its runs."""
        for instance in ('d1', 'd2'):
            stand_in = self.site.stand_ins[instance]
            if path == LOOKUP or not broken.get('refuse'):
                is_broken = path == HOLD or instance == 'd1'
            else:
                is_broken = instance == 'd1'
            stand_in.put_faults(**(broken if is_broken else {}))
            await stand_in.settle()
        reply = await self.ask(
            path,
            method='POST' if path == HOLD else 'GET',
            **{names.ATTEMPT: attempt_id},
        )
        for instance in ('d1', 'd2'):
            self.site.stand_ins[instance].put_faults()
            await self.site.stand_ins[instance].settle()
        return reply, self.runs('d1', 'd2').count(attempt_id)

    async def _replace(self, instance: str, **options: Any) -> None:
        runner = self.site.runners[instance]
        runner.cfg = runner.cfg._replace(**options)

    async def _until_listed(self, instance: str) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not any(
                line['instance'] == instance
                for line in self.site.logged('server_listed')
            ):
                await asyncio.sleep(platform_site.POLL_S)


class CrashTest(SiteCase):
    """A request that crashes each server that runs it."""

    routers = 2

    async def test_refused(self) -> None:
        """A hold crashes its server; its caller sends it again and again.

        Each server's connections break, its entry is dropped, and another
        one starts. Each of the first three sendings costs a server and gets
        502. Then both routers refuse that hold as "not run"; others run.
        """
        for number in range(3):
            instance = f'crashed-{number}'
            await self._one_server(instance)
            made = self.site.stand_ins[instance]
            made.put_faults(drop_answer=True)
            reply = await self._hold(self.site.routers[number % 2], b'bad')
            self.assertEqual(reply.status, 502)
            self.site.store_party.drop(store.SERVERS, instance)
            await self._until_dropped(instance)
            made.put_faults(refuse=True)
        await self._one_server('sound')
        await asyncio.sleep(1)
        for router in self.site.routers:
            self.assertEqual((await self._hold(router, b'bad')).status, 503)
            self.assertEqual((await self._hold(router, b'good')).status, 200)
        self.assertEqual(len(self.runs('sound')), 2)

    async def _hold(
        self, router: platform_site.Router, body: bytes
    ) -> platform_site.Reply:
        return await self.site.ask(router, HOLD, method='POST', body=body)

    async def _one_server(self, instance: str) -> None:
        """Leave one server to the service, in both routers' lists."""
        for each in ('d1', 'd2'):
            self.site.list_runner(platform_site.DESK, each, 'draining')
        await self.site.add_runner(platform_site.DESK, instance)
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while len(self._named('server_listed', instance)) < self.routers:
                await asyncio.sleep(platform_site.POLL_S)

    async def _until_dropped(self, instance: str) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while len(self._named('server_dropped', instance)) < self.routers:
                await asyncio.sleep(platform_site.POLL_S)

    def _named(self, event: str, instance: str) -> list[Any]:
        logged = self.site.logged(event)
        return [line for line in logged if line['instance'] == instance]


class StreamTest(SiteCase):
    """Streams that break off, hang, or lose their caller."""

    async def test_resumed(self) -> None:
        """A stream breaks within its third event and goes on elsewhere.

        The caller gets each event once, none in part, and a proper end; the
        second server is asked for what comes after the last whole event.
        """
        for instance in ('p1', 'p2'):
            runner = self.site.runners[instance]
            runner.cut_after = 3
            runner.cfg = runner.cfg._replace(event_s=SLOW_EVENT_S)
        task = asyncio.create_task(self.ask(DRAFT, method='POST'))
        while not self.runs('p1', 'p2'):
            await asyncio.sleep(platform_site.POLL_S)
        second = 'p2' if self.runs('p1') else 'p1'
        self.site.runners[second].cut_after = None
        reply = await task
        self.assertEqual(reply.status, 200)
        for number in range(1, 6):
            self.assertEqual(reply.body.count(b'id: %d\n' % number), 1)
        self.assertNotIn(b'ha', reply.body.replace(b'data', b''))

    async def test_not_resumable(self) -> None:
        """A stream that may not go on elsewhere is cut, never ended well."""
        for instance in ('p1', 'p2'):
            self.site.runners[instance].cut_after = 3
        with self.assertRaises(Exception):
            await self.ask(REPORT, method='POST')
        self.assertEqual(len(self.runs('p1', 'p2')), 1)

    async def test_caller_leaves(self) -> None:
        """A caller closes its connection; the server stops working for it.

        The server sees its connection close within half a second and does
        not end the run.
        """
        for instance in ('p1', 'p2'):
            self.site.runners[instance].stall_after = 2
        task = asyncio.create_task(self.ask(DRAFT, method='POST'))
        while not self.runs('p1', 'p2'):
            await asyncio.sleep(platform_site.POLL_S)
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(0.5):
            while not self.site.logged('caller_left'):
                await asyncio.sleep(platform_site.POLL_S)

    async def test_timeout(self) -> None:
        """A stream that stands still is cut at its route's timeout."""
        document = platform_site.table(2)
        for route in document['routes']:
            route['timeout_ms'] = 300
        self.site.put_table(document)
        await self._until_table(2)
        for instance in ('p1', 'p2'):
            self.site.runners[instance].stall_after = 2
        with self.assertRaises(Exception):
            await self.ask(REPORT, method='POST')
        reasons = [line['reason'] for line in self.site.logged('cut_off')]
        self.assertEqual(reasons, [LATE])

    async def _until_table(self, version: int) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not any(
                line['version'] == version
                for line in self.site.logged('table_taken')
            ):
                await asyncio.sleep(platform_site.POLL_S)


if __name__ == '__main__':
    unittest.main()
