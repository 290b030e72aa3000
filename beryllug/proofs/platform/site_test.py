"""Requests through a router, without faults and with single faults."""

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
TIMEOUT_REASON = 'the stream did not end in time'
BROKEN = http_data.BrokenError
# Seconds between events, many times the poll interval of the test.
SLOW_EVENT_INTERVAL_S = 0.1
# Seconds between two requests of all callers together.
REQUEST_INTERVAL_S = 0.06


class Load(NamedTuple):
    """Requests of one kind, and the backend servers that receive them."""

    path: str
    method: str
    servers: tuple[str, str]


LOADS = (
    Load(LOOKUP, 'GET', ('d1', 'd2')),
    Load(HOLD, 'POST', ('d1', 'd2')),
    Load(DRAFT, 'POST', ('p1', 'p2')),
)


class SiteCase(unittest.IsolatedAsyncioTestCase):
    """A site with two model runners, two desk servers and one router."""

    routers = 1
    # Router settings in addition to the default ones.
    settings: Mapping[str, Any] = MappingProxyType({})
    store_cfg = platform_site.DEFAULT_STORE

    async def asyncSetUp(self) -> None:
        self.site = platform_site.Site(self.store_cfg)
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

    async def send_load(
        self, load: Load, seconds: float, *, may_time_out: bool = False
    ) -> list[platform_site.Reply]:
        """Send requests to all routers in turn and return the replies.

        Args:
            load: The requests.
            seconds: How long to send.
            may_time_out: Whether streams may be cut at their route's timeout.
        """
        deadline = time.monotonic() + seconds
        tasks: list[asyncio.Task[platform_site.Reply]] = []
        while time.monotonic() < deadline:
            router = self.site.routers[len(tasks) % self.routers]
            request = self.site.ask(router, load.path, load.method, b'')
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        outcomes = await asyncio.gather(*tasks, return_exceptions=may_time_out)
        errors = [each for each in outcomes if isinstance(each, BaseException)]
        reasons = [line['reason'] for line in self.site.logged('cut_off')]
        self.assertLessEqual({type(each) for each in errors}, {BROKEN}, errors)
        self.assertLessEqual(len(errors), reasons.count(TIMEOUT_REASON), errors)
        return [
            each for each in outcomes if not isinstance(each, BaseException)
        ]

    def arrivals(
        self, instance: str
    ) -> dict[str, list[platform_runner.ReceivedRequest]]:
        """Return the requests that reached a server, by router."""
        found: dict[str, list[platform_runner.ReceivedRequest]] = {
            router.name: [] for router in self.site.routers
        }
        for arrival in self.site.runners[instance].received_requests:
            found[self.site.router_by_attempt[arrival.attempt_id]].append(
                arrival
            )
        return found

    def busiest(self, *instances: str) -> str:
        """Return the server that received the most requests."""
        return max(
            instances,
            key=lambda name: len(self.site.runners[name].received_requests),
        )

    def runs(self, *instances: str) -> list[str]:
        """Return the attempt ids of the requests run by some servers."""
        return [
            run.attempt_id
            for instance in instances
            for run in self.site.runners[instance].runs
        ]


class SingleRequestTest(SiteCase):
    """One request of each kind, and requests that are refused."""

    async def test_kinds(self) -> None:
        """Each kind is answered with the server's headers and body."""
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
        """A wrong host, path or key is refused, and nothing runs."""
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
        """The server gets the account, but no key or reserved header.

        A caller that could set the reserved headers would reserve memory at a
        runner or continue from the cached state of another caller's request.
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
        """A request whose deadline is too short for any answer is refused.

        After a stream has hung, a caller may retry with hundredths of a second
        left. If forwarded, the request times out and runners process its prompt
        in vain.
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
        """A low-confidence answer of the small model is replaced.

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
        """The caller gets the small model's answer and no false "not run".

        The small model's low-confidence answer is discarded and the large model
        asked, which runners refuse, as full ones do. The request has run by
        then, and 503 would state that it has not. The small model is asked
        again, and its answer is returned as no attempt is left.
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
    """A backend server fails at some step of one request."""

    async def test_non_idempotent(self) -> None:
        """A hold runs at most once, and "not run" is stated only if true.

        The server of a hold fails at some step. If a byte may have reached it,
        a second run could hold a second slot, so the answer states nothing
        about execution. Otherwise another server runs the request.
        """
        table: tuple[tuple[dict[str, Any], int, int], ...] = (
            ({'refuse': True}, 200, 1),
            ({'unavailable': True}, 502, 0),
            ({'reset_before_run': True}, 502, 0),
            ({'drop_answer': True}, 502, 1),
            ({'drop_answer': True, 'hard_reset': True}, 502, 1),
            ({'reset_at_byte': 3}, 502, 1),
        )
        for number, (faults, status, ran) in enumerate(table):
            with self.subTest(faults):
                reply, runs = await self._ask_with_faults(
                    f'hold-{number}', faults, HOLD
                )
                self.assertEqual((reply.status, runs), (status, ran))

    async def test_idempotent(self) -> None:
        """The other server answers a lookup after any fault."""
        table: tuple[dict[str, Any], ...] = (
            {'refuse': True},
            {'reset_before_run': True},
            {'drop_answer': True},
            {'reset_at_byte': 3, 'hard_reset': True},
            {'error_rate': 1.0},
        )
        for number, faults in enumerate(table):
            with self.subTest(faults):
                reply, _ = await self._ask_with_faults(
                    f'look-{number}', faults, LOOKUP
                )
                self.assertEqual(reply.status, 200)

    async def test_declined(self) -> None:
        """A request that a full server declines runs on another one."""
        for instance in ('d1', 'd2'):
            await self._replace(instance, slots=0, queue=0)
        await self.site.add_runner(platform_site.DESK, 'd9')
        await self._until_listed('d9')
        reply = await self.ask(HOLD, method='POST')
        self.assertEqual(reply.status, 200)

    async def test_all_decline(self) -> None:
        """If all servers are full: 503 with Retry-After, nothing runs."""
        for instance in ('d1', 'd2'):
            await self._replace(instance, slots=0, queue=0)
        reply = await self.ask(LOOKUP)
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers[names.RETRY_AFTER]), 0)
        self.assertEqual(self.runs('d1', 'd2'), [])

    async def test_unsealed(self) -> None:
        """A success without the server's seal never reaches a caller."""
        for instance in ('d1', 'd2'):
            self.site.runners[instance].is_sealed = False
        self.assertEqual((await self.ask(LOOKUP)).status, 502)
        self.assertEqual((await self.ask(HOLD, method='POST')).status, 502)

    async def test_reused_address(self) -> None:
        """The address of a removed instance is used by another service.

        The router still has the old entry. The new instance refuses requests
        for the old one, and a healthy server answers.
        """
        address = self.site.stand_ins['p1'].address
        self.site.store_behaviour.put(
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

    async def _ask_with_faults(
        self, attempt_id: str, faults: dict[str, Any], path: str
    ) -> tuple[platform_site.Reply, int]:
        """Send a request while servers have a fault; count its runs."""
        for instance in ('d1', 'd2'):
            stand_in = self.site.stand_ins[instance]
            if path == LOOKUP or not faults.get('refuse'):
                is_faulty = path == HOLD or instance == 'd1'
            else:
                is_faulty = instance == 'd1'
            stand_in.put_faults(**(faults if is_faulty else {}))
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
        """A hold that crashes its server is refused after three crashes.

        On each crash the server's connections break, its entry is dropped and
        another server starts. The first three attempts get 502 and cost a
        server each. Then both routers refuse that hold as "not run", while
        other requests run.
        """
        for number in range(3):
            instance = f'crashed-{number}'
            await self._replace_servers(instance)
            crashing = self.site.stand_ins[instance]
            crashing.put_faults(drop_answer=True)
            reply = await self._hold(self.site.routers[number % 2], b'bad')
            self.assertEqual(reply.status, 502)
            self.site.store_behaviour.remove(store.SERVERS, instance)
            await self._until_dropped(instance)
            crashing.put_faults(refuse=True)
        await self._replace_servers('sound')
        await asyncio.sleep(1)
        for router in self.site.routers:
            self.assertEqual((await self._hold(router, b'bad')).status, 503)
            self.assertEqual((await self._hold(router, b'good')).status, 200)
        self.assertEqual(len(self.runs('sound')), 2)

    async def _hold(
        self, router: platform_site.Router, body: bytes
    ) -> platform_site.Reply:
        return await self.site.ask(router, HOLD, method='POST', body=body)

    async def _replace_servers(self, instance: str) -> None:
        """Drain the others, so that both routers list one server."""
        for each in ('d1', 'd2'):
            self.site.list_runner(platform_site.DESK, each, 'draining')
        await self.site.add_runner(platform_site.DESK, instance)
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while (
                len(self._logged_for('server_listed', instance)) < self.routers
            ):
                await asyncio.sleep(platform_site.POLL_S)

    async def _until_dropped(self, instance: str) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while (
                len(self._logged_for('server_dropped', instance)) < self.routers
            ):
                await asyncio.sleep(platform_site.POLL_S)

    def _logged_for(self, event: str, instance: str) -> list[Any]:
        logged = self.site.logged(event)
        return [line for line in logged if line['instance'] == instance]


class StreamTest(SiteCase):
    """Streams that break, stall, or lose their caller."""

    async def test_resumed(self) -> None:
        """A stream that breaks within its third event resumes elsewhere.

        The caller gets each event once, none partially, and a proper end. The
        second server is asked for the events after the last complete one.
        """
        for instance in ('p1', 'p2'):
            runner = self.site.runners[instance]
            runner.abort_at_event = 3
            runner.cfg = runner.cfg._replace(event_s=SLOW_EVENT_INTERVAL_S)
        task = asyncio.create_task(self.ask(DRAFT, method='POST'))
        while not self.runs('p1', 'p2'):
            await asyncio.sleep(platform_site.POLL_S)
        second = 'p2' if self.runs('p1') else 'p1'
        self.site.runners[second].abort_at_event = None
        reply = await task
        self.assertEqual(reply.status, 200)
        for number in range(1, 6):
            self.assertEqual(reply.body.count(b'id: %d\n' % number), 1)
        self.assertNotIn(b'ha', reply.body.replace(b'data', b''))

    async def test_not_resumable(self) -> None:
        """A stream that is not resumable is cut, not ended normally."""
        for instance in ('p1', 'p2'):
            self.site.runners[instance].abort_at_event = 3
        with self.assertRaises(Exception):
            await self.ask(REPORT, method='POST')
        self.assertEqual(len(self.runs('p1', 'p2')), 1)

    async def test_caller_leaves(self) -> None:
        """The router notices within half a second that a caller disconnects.

        It then closes its connection, so that the server does not finish the
        run.
        """
        for instance in ('p1', 'p2'):
            self.site.runners[instance].stall_at_event = 2
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
        """A stalled stream is cut at its route's timeout."""
        document = platform_site.table(2)
        for route in document['routes']:
            route['timeout_ms'] = 300
        self.site.put_table(document)
        await self._until_table(2)
        for instance in ('p1', 'p2'):
            self.site.runners[instance].stall_at_event = 2
        with self.assertRaises(Exception):
            await self.ask(REPORT, method='POST')
        reasons = [line['reason'] for line in self.site.logged('cut_off')]
        self.assertEqual(reasons, [TIMEOUT_REASON])

    async def _until_table(self, version: int) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while not any(
                line['version'] == version
                for line in self.site.logged('table_taken')
            ):
                await asyncio.sleep(platform_site.POLL_S)


if __name__ == '__main__':
    unittest.main()
