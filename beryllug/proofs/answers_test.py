"""Every caller gets the whole answer to its own request, and no other's."""

import asyncio
import json
import random
import unittest

from beryllug.core import journal_data
from beryllug.proofs import scenario
from beryllug.standins import (
    caller,
    engine_runs,
    engine_worker,
    harness,
    invariants,
    records,
    sample,
)

CALLERS = 40
EACH = 25
CANCELLED_SHARE = 0.25
LONGEST_WAIT_S = 0.05
TOKEN_S = 0.001
BIG_TOKENS = 32000
SMALL_READ = 512
BESIDE = 40


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """One entry host, so that all answers share its few connections."""

    async def asyncSetUp(self) -> None:
        """Start it."""
        engines = engine_worker.EngineCfg(
            concurrency=sample.CONCURRENCY, token_s=TOKEN_S
        )
        servers = tuple(
            server._replace(engine=engines if server.engine else None)
            for server in sample.servers()
        )
        plan = sample.plan(hosts=1)._replace(servers=servers)
        pools = tuple(
            pool._replace(concurrency=4 * CALLERS)
            for pool in plan.document.pools
        )
        document = plan.document._replace(pools=pools)
        self.fleet = harness.Fleet(plan._replace(document=document))
        await self.fleet.start()
        self.host = self.fleet.hosts[0].callers

    async def asyncTearDown(self) -> None:
        """Stop it."""
        await self.fleet.stop()

    async def test_cancelled_beside_others(self) -> None:
        """A quarter of the callers go away at a random moment.

        Their connections to the engines have unread answers, which must not
        reach whoever uses a connection next. Each answer carries its
        request's id and a hash of itself.
        """
        counts = await asyncio.gather(
            *(self._call(number) for number in range(CALLERS))
        )
        await scenario.settle(self.fleet)
        answered = sum(whole for whole, _ in counts)
        cancelled = sum(gone for _, gone in counts)
        self.assertEqual(answered + cancelled, CALLERS * EACH)
        self.assertGreater(cancelled, CALLERS)
        bills = records.bills(self.fleet)
        self.assertEqual({len(rows) for rows in bills.values()}, {1})
        done = journal_data.OutcomeState.DONE
        states = [found[0].state for found in bills.values()]
        self.assertGreaterEqual(states.count(done), answered)
        print(  # noqa: WPS421
            f'answers: {answered} whole and own, {cancelled} cancelled, '
            f'{len(bills)} bills'
        )

    async def test_cancelled_at_engine(self) -> None:
        """A caller goes away in the middle of a stream: the engine is told."""
        who = caller.Caller(sample.LARGE_KEY)
        sending = asyncio.create_task(
            who.chat(
                self.host,
                'desk-large',
                'long',
                stream=True,
                max_tokens=BIG_TOKENS,
            )
        )

        async def is_running() -> bool:  # noqa: WPS430
            runs = records.engine_runs_of(self.fleet)
            return any(run.tokens_out for run in runs)

        await harness.wait_for(is_running, harness.READY_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await who.close()

        async def is_cancelled() -> bool:  # noqa: WPS430
            states = [run.state for run in records.engine_runs_of(self.fleet)]
            return states == [engine_runs.RunState.CANCELLED]

        await harness.wait_for(is_cancelled, harness.READY_S)
        await scenario.settle(self.fleet)
        rows = [
            row for found in records.bills(self.fleet).values() for row in found
        ]
        self.assertEqual(
            [row.state for row in rows], [journal_data.OutcomeState.CANCELLED]
        )
        self.assertGreater(rows[0].stages[0].tokens_out, 0)

    async def test_slow_reader(self) -> None:
        """One caller reads a long stream slowly; it holds back itself only.

        The entry stops reading that one answer from the engine. Others are
        answered meanwhile, and the slow one gets every byte.
        """
        slow = asyncio.create_task(self._read_slowly())
        who = caller.Caller(sample.LARGE_KEY)
        for number in range(BESIDE):
            reply = await who.chat(self.host, 'desk-large', f'{number}')
            self.assertEqual(reply.status, harness.OK)
        await who.close()
        self.assertFalse(slow.done())
        body = await slow
        self.assertTrue(body.endswith(b'data: [DONE]\n\n\r\n0\r\n\r\n'))

    async def _call(self, number: int) -> tuple[int, int]:
        """Send requests one after the other; some are cancelled."""
        rng = random.Random(number)
        who = caller.Caller(sample.LARGE_KEY)
        whole = 0
        for index in range(EACH):
            prompt = f'{number}-{index}'
            sending = asyncio.create_task(
                who.chat(self.host, 'desk-small', prompt, stream=True)
            )
            if rng.random() < CANCELLED_SHARE:
                await asyncio.sleep(rng.random() * LONGEST_WAIT_S)
                sending.cancel()
            try:
                reply = await sending
            except asyncio.CancelledError:
                continue
            self.assertEqual(reply.status, harness.OK, reply)
            self.assertTrue(invariants.is_own(reply, prompt), reply)
            whole += 1
        await who.close()
        return whole, EACH - whole

    async def _read_slowly(self) -> bytes:
        body = json.dumps(
            {
                'model': 'desk-large',
                'stream': True,
                'max_tokens': BIG_TOKENS // 16,
                'messages': [{'role': 'user', 'content': 'slow'}],
            }
        )
        host, _, port = self.host.rpartition(':')
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=SMALL_READ
        )
        head = (
            f'POST {caller.CHAT} HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {sample.LARGE_KEY}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body.encode())
        received = b''
        for _ in range(BESIDE):
            received += await reader.read(SMALL_READ)
            await asyncio.sleep(LONGEST_WAIT_S)
        while not received.endswith(b'\r\n0\r\n\r\n'):
            received += await reader.read(1024 * SMALL_READ)
        writer.close()
        return received


if __name__ == '__main__':
    unittest.main()
