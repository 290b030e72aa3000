"""Contract tests of the model engine, run against the stand-in."""

import asyncio
import json
import unittest
from collections.abc import Awaitable
from typing import Any

from beryllug.core import config_data
from beryllug.drivers import (
    engine,
    engine_data,
    engine_stream,
    http_client,
    http_data,
)
from beryllug.standins import engine as standin
from beryllug.standins import engine_responses, engine_runs, engine_worker

TIMEOUT_S = 5.0
PROMPT = 'when is the oil bath open? '
V1 = config_data.VersionRef('small', 'v1')
V2 = config_data.VersionRef('small', 'v2')


def _ask(
    name: str, prompt: str = PROMPT, **more: Any
) -> engine_data.ChatRequest:
    priority = more.pop('priority', 0)
    version = more.pop('version', V1)
    messages = [{'role': 'user', 'content': prompt}]
    body = {'model': 'any', 'messages': messages, **more}
    return engine_data.ChatRequest(
        name, 'acme', version, json.dumps(body).encode(), priority
    )


def _text(events: bytes) -> str:
    lines = events.decode().split('\n\n')
    documents = [
        json.loads(line.removeprefix('data: '))
        for line in lines
        if line and not line.endswith('[DONE]')
    ]
    choices = [choice for each in documents for choice in each['choices']]
    return ''.join(choice['delta'].get('content', '') for choice in choices)


async def _failure(call: Awaitable[Any]) -> Any:
    try:
        return await call
    except (
        engine_data.EngineError,
        http_data.NotSentError,
        http_data.BrokenError,
    ) as exc:
        return exc


async def _read_until_broken(incoming: http_client.IncomingResponse) -> bytes:
    received = [await incoming.next_chunk()]
    try:
        while received[-1]:
            received.append(await incoming.next_chunk())
    except http_data.BrokenError:
        return b''.join(received)
    finally:
        incoming.close()
    raise AssertionError('the answer came whole')


class EngineContract:
    """Contract of any implementation, as a mixin for test cases.

    The engine at `address` has one batch slot, has only v1 loaded, checks
    fencing tokens and needs some time for each token.
    """

    api: engine.Engine
    address: str

    async def test_complete_response(self: Any) -> None:
        """A complete response contains the request's tag and the usage."""
        incoming = await self.api.chat(self.address, _ask('r1'))
        body = await self._read(incoming)
        text = json.loads(body)['choices'][0]['message']['content']
        self.assertTrue(engine_responses.is_complete(text, 'r1', PROMPT))
        usage = engine_stream.usage_of(body)
        self.assertEqual(usage, engine_data.Usage(6, 24))

    async def test_stream(self: Any) -> None:
        """A stream yields the same text and ends with usage and DONE."""
        incoming = await self.api.chat(self.address, _ask('r1', stream=True))
        events = await self._read(incoming)
        self.assertTrue(
            engine_responses.is_complete(_text(events), 'r1', PROMPT)
        )
        tail = engine_stream.StreamTail()
        for start in range(0, len(events), 7):
            self.assertFalse(tail.reached_end())
            tail.feed(events[start : start + 7])
        self.assertTrue(tail.reached_end())
        self.assertEqual(tail.usage(), engine_data.Usage(6, 24))

    async def test_resume(self: Any) -> None:
        """A broken stream is resumed at the exact byte, also repeatedly."""
        ask = _ask('r1', stream=True)
        incoming = await self.api.chat(self.address, ask)
        first = await incoming.next_chunk()
        incoming.close()
        resumed = await self.api.resume(self.address, 'r1', len(first))
        rest = await self._read(resumed)
        text = _text(first + rest)
        self.assertTrue(engine_responses.is_complete(text, 'r1', PROMPT))
        again = await self.api.resume(self.address, 'r1', 0)
        self.assertEqual(await self._read(again), first + rest)
        self.assertIsNone(await self.api.resume(self.address, 'other', 0))

    async def test_cancel(self: Any) -> None:
        """Cancel returns whether the request had started to run."""
        running = await self.api.chat(self.address, _ask('r1', stream=True))
        queued = asyncio.create_task(
            _failure(self.api.chat(self.address, _ask('r2', stream=True)))
        )
        await self._until_load(running=1, queued=1)
        cases = (
            ('r2', engine_data.CancelResult(known=True)),
            ('r1', engine_data.CancelResult(known=True, started=True)),
            ('r3', engine_data.CancelResult(known=False)),
        )
        for name, expected in cases:
            with self.subTest(name):
                found = await self.api.cancel(self.address, name)
                self.assertEqual(found, expected)
        with self.assertRaises(http_data.BrokenError):
            await running.read()
        running.close()
        (await queued).close()
        await self._until_load(running=0, queued=0)

    async def test_priority(self: Any) -> None:
        """The waiting request with the lowest priority number runs first."""
        first = await self.api.chat(self.address, _ask('r1', stream=True))
        asks = [_ask('late', priority=5), _ask('soon', priority=1)]
        waiting = []
        for number, ask in enumerate(asks):
            waiting.append(
                asyncio.create_task(self.api.chat(self.address, ask))
            )
            await self._until_load(running=1, queued=number + 1)
        await self._read(first)
        done, _ = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        self.assertEqual(done, {waiting[1]})
        for incoming in await asyncio.gather(*waiting):
            await self._read(incoming)

    async def test_not_loaded(self: Any) -> None:
        """A request for a version that is not loaded is declined as not run."""
        incoming = await self.api.chat(self.address, _ask('r1', version=V2))
        self.assertTrue(engine.is_declined(incoming))
        incoming.close()

    async def test_bad_request(self: Any) -> None:
        """An invalid request is not declined: no other engine could run it."""
        ask = _ask('r1', max_tokens=10**9)
        incoming = await self.api.chat(self.address, ask)
        self.assertEqual(incoming.status, 400)
        self.assertFalse(engine.is_declined(incoming))
        incoming.close()

    async def test_orders(self: Any) -> None:
        """Orders take effect, except with an outdated fencing token."""
        kinds = engine_data.OrderKind
        order = engine_data.Order('o1', kinds.LOAD, V2, 5)
        await self.api.order(self.address, order)
        await self._until_loaded({V1, V2})
        old = engine_data.Order('o2', kinds.UNLOAD, V2, 4)
        exc = await _failure(self.api.order(self.address, old))
        self.assertIsInstance(exc, engine_data.StaleOrderError)
        self.assertEqual(exc.highest, 5)
        await self._until_loaded({V1, V2})
        role = engine_data.Order('o3', kinds.ROLE, V2, 5, role='decode')
        await self.api.order(self.address, role)
        self.assertEqual((await self.api.load(self.address)).role, 'decode')
        await self.api.order(self.address, old._replace(fencing=6))
        await self._until_loaded({V1})

    async def test_cache(self: Any) -> None:
        """Prompts with a common prefix share its blocks and cache events."""
        shared = 'x' * engine_responses.BLOCK_CHARS
        ask = _ask('r1', f'{shared}a')
        await self._read(await self.api.chat(self.address, ask))
        read = await self.api.cache_events(self.address, 0)
        self.assertEqual([event.stored for event in read.events], [True])
        exported = await self.api.export_kv(self.address, _ask('', shared))
        self.assertEqual(await self.api.import_kv(self.address, exported), 1)
        again = await self.api.cache_events(self.address, read.latest)
        self.assertEqual(again.events, ())

    async def _read(self, incoming: http_client.IncomingResponse) -> bytes:
        try:
            return await incoming.read()
        finally:
            incoming.close()

    async def _until_load(self: Any, **expected: int) -> None:
        while True:
            report = (await self.api.load(self.address))._asdict()
            if {name: report[name] for name in expected} == expected:
                return
            await asyncio.sleep(0)

    async def _until_loaded(
        self: Any, expected: set[config_data.VersionRef]
    ) -> None:
        while True:
            report = await self.api.load(self.address)
            if set(report.loaded) == expected:
                return
            await asyncio.sleep(0)


class StandInTest(EngineContract, unittest.IsolatedAsyncioTestCase):
    """The stand-in fulfils the contract and injects faults."""

    async def asyncSetUp(self) -> None:
        """Start a stand-in."""
        cfg = engine_worker.EngineCfg(
            concurrency=1, queue=2, token_s=0.002, loaded=('small@v1',)
        )
        self.standin = standin.stand_in(cfg)
        self.address = await self.standin.start()
        self.client = http_client.HttpClient()
        self.api = engine.HttpEngine(self.client, TIMEOUT_S)

    async def asyncTearDown(self) -> None:
        """Stop the stand-in."""
        await self.client.close()
        await self.standin.stop()

    async def test_full(self) -> None:
        """A request over the queue limit is declined and not run."""
        tasks = [
            asyncio.create_task(self.api.chat(self.address, _ask(str(name))))
            for name in range(3)
        ]
        await self._until_load(running=1, queued=2)
        incoming = await self.api.chat(self.address, _ask('over'))
        self.assertTrue(engine.is_declined(incoming))
        incoming.close()
        for other in await asyncio.gather(*tasks):
            await self._read(other)
        self.assertNotIn('over', self._states())

    async def test_poison(self) -> None:
        """A request that crashes the engine also fails concurrent requests.

        The connections of the poison request and of the concurrent request
        break. The engine then refuses connections until it restarts, and
        has lost all responses.
        """
        await self._restart(engine_worker.EngineCfg(token_s=60.0))
        self.standin.put_faults(poison='XYZZY')
        ask = _ask('ok', stream=True)
        bystander = asyncio.create_task(
            _failure(self.api.chat(self.address, ask))
        )
        await self._until_load(running=1)
        crash = await _failure(
            self.api.chat(self.address, _ask('bad', 'XYZZY'))
        )
        self.assertIsInstance(crash, http_data.BrokenError)
        self.assertIsInstance(await bystander, http_data.BrokenError)
        await self.standin.settle()
        exc = await _failure(self.api.chat(self.address, _ask('later')))
        self.assertIsInstance(exc, http_data.NotSentError)
        self.standin.put_faults()
        await self.standin.settle()
        self.assertIsNone(await self.api.resume(self.address, 'ok', 0))

    async def test_version_errors(self) -> None:
        """Runs of a faulty version fail and are recorded as failed."""
        self.standin.put_faults(version_errors={'v1': 1.0})
        incoming = await self.api.chat(self.address, _ask('r1'))
        await self._read(incoming)
        self.assertEqual(incoming.status, 500)
        self.assertFalse(engine.is_declined(incoming))
        failed = engine_runs.RunState.FAILED
        self.assertEqual(self._states(), {'r1': failed})

    async def test_ignored_fencing(self) -> None:
        """An engine that ignores fencing tokens executes an outdated order."""
        self.standin.put_faults(ignore_fencing=True)
        kinds = engine_data.OrderKind
        order = engine_data.Order('o1', kinds.LOAD, V2, 5)
        await self.api.order(self.address, order)
        await self._until_loaded({V1, V2})
        old = engine_data.Order('o2', kinds.UNLOAD, V2, 4)
        await self.api.order(self.address, old)
        await self._until_loaded({V1})

    async def test_lag(self) -> None:
        """Load reports and cache events lag and can have gaps."""
        self.standin.put_faults(lag_s=60.0)
        prompt = 'x' * engine_responses.BLOCK_CHARS
        incoming = await self.api.chat(self.address, _ask('r', prompt))
        report = await self.api.load(self.address)
        self.assertEqual(report.running, 0)
        await self._read(incoming)
        read = await self.api.cache_events(self.address, 0)
        self.assertEqual(read.events, ())
        self.standin.put_faults(gap_rate=1.0)
        gaps = await self.api.cache_events(self.address, 0)
        self.assertEqual((gaps.latest, gaps.events), (1, ()))

    async def test_reset(self) -> None:
        """A stream reset after some bytes is resumed to the full response."""
        for position in (1, 500, 3000):
            with self.subTest(str(position)):
                name = f'r{position}'
                self.standin.put_faults(times=1, reset_at_byte=position)
                ask = _ask(name, stream=True)
                incoming = await self.api.chat(self.address, ask)
                received = await _read_until_broken(incoming)
                self.assertEqual(len(received), position)
                resumed = await self.api.resume(
                    self.address, name, len(received)
                )
                assert resumed is not None
                text = _text(received + await self._read(resumed))
                whole = engine_responses.is_complete(text, name, PROMPT)
                self.assertTrue(whole)

    async def _restart(self, cfg: engine_worker.EngineCfg) -> None:
        await self.standin.stop()
        self.standin = standin.stand_in(cfg)
        self.address = await self.standin.start()

    def _states(self) -> dict[str, engine_runs.RunState]:
        behaviour = self.standin.service_behaviour
        assert isinstance(behaviour, standin.EngineBehaviour)
        records = behaviour.worker.records
        return {record.request_id: record.state for record in records}


if __name__ == '__main__':
    unittest.main()
