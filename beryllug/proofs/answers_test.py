"""Tests that each caller gets only the full response to its own request."""

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
REQUESTS_PER_CALLER = 25
CANCELLED_SHARE = 0.25
MAX_DELAY_S = 0.05
TOKEN_S = 0.001
LONG_STREAM_TOKENS = 32000
SMALL_READ_BYTES = 512
CONCURRENT_REQUESTS = 40


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """One entry host, so that all responses share its few connections."""

    async def asyncSetUp(self) -> None:
        """Start the deployment."""
        engine_cfg = engine_worker.EngineCfg(
            concurrency=sample.CONCURRENCY, token_s=TOKEN_S
        )
        servers = tuple(
            server._replace(engine=engine_cfg if server.engine else None)
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
        """Stop the deployment."""
        await self.fleet.stop()

    async def test_cancelled_beside_others(self) -> None:
        """Cancelled requests leak no data into later responses.

        A quarter of the requests are cancelled after a random delay. This
        leaves unread responses on connections to the engines, which must not
        be delivered to the next user of the connection. Each response carries
        its request id and its own hash.
        """
        counts = await asyncio.gather(
            *(self._send_requests(number) for number in range(CALLERS))
        )
        await scenario.settle(self.fleet)
        answered = sum(complete for complete, _ in counts)
        cancelled = sum(aborted for _, aborted in counts)
        self.assertEqual(answered + cancelled, CALLERS * REQUESTS_PER_CALLER)
        self.assertGreater(cancelled, CALLERS)
        bills = records.outcome_rows(self.fleet)
        self.assertEqual({len(rows) for rows in bills.values()}, {1})
        done = journal_data.OutcomeState.DONE
        states = [found[0].state for found in bills.values()]
        self.assertGreaterEqual(states.count(done), answered)
        print(  # noqa: WPS421
            f'answers: {answered} whole and own, {cancelled} cancelled, '
            f'{len(bills)} bills'
        )

    async def test_cancelled_at_engine(self) -> None:
        """A caller disconnects mid-stream; the engine cancels its run."""
        client = caller.Caller(sample.LARGE_KEY)
        sending = asyncio.create_task(
            client.chat(
                self.host,
                'desk-large',
                'long',
                stream=True,
                max_tokens=LONG_STREAM_TOKENS,
            )
        )

        async def is_running() -> bool:  # noqa: WPS430
            runs = records.engine_runs_of(self.fleet)
            return any(run.tokens_out for run in runs)

        await harness.wait_for(is_running, harness.READY_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await client.close()

        async def is_cancelled() -> bool:  # noqa: WPS430
            states = [run.state for run in records.engine_runs_of(self.fleet)]
            return states == [engine_runs.RunState.CANCELLED]

        await harness.wait_for(is_cancelled, harness.READY_S)
        await scenario.settle(self.fleet)
        rows = [
            row
            for found in records.outcome_rows(self.fleet).values()
            for row in found
        ]
        self.assertEqual(
            [row.state for row in rows], [journal_data.OutcomeState.CANCELLED]
        )
        self.assertGreater(rows[0].stages[0].tokens_out, 0)

    async def test_slow_reader(self) -> None:
        """A slow reader of a long stream delays no other request.

        Backpressure makes the entry process pause reading that one response
        from the engine. Other requests are answered meanwhile, and the slow
        reader receives every byte.
        """
        slow_read = asyncio.create_task(self._read_slowly())
        client = caller.Caller(sample.LARGE_KEY)
        for number in range(CONCURRENT_REQUESTS):
            reply = await client.chat(self.host, 'desk-large', f'{number}')
            self.assertEqual(reply.status, harness.OK)
        await client.close()
        self.assertFalse(slow_read.done())
        body = await slow_read
        self.assertTrue(body.endswith(b'data: [DONE]\n\n\r\n0\r\n\r\n'))

    async def _send_requests(self, number: int) -> tuple[int, int]:
        """Send requests sequentially and cancel some of them.

        Returns:
            The numbers of complete and of cancelled requests.
        """
        rng = random.Random(number)
        client = caller.Caller(sample.LARGE_KEY)
        complete = 0
        for index in range(REQUESTS_PER_CALLER):
            prompt = f'{number}-{index}'
            sending = asyncio.create_task(
                client.chat(self.host, 'desk-small', prompt, stream=True)
            )
            if rng.random() < CANCELLED_SHARE:
                await asyncio.sleep(rng.random() * MAX_DELAY_S)
                sending.cancel()
            try:
                reply = await sending
            except asyncio.CancelledError:
                continue
            self.assertEqual(
                reply.status, harness.OK, (reply, self._entry_log(reply))
            )
            self.assertTrue(
                invariants.is_complete_response(reply, prompt), reply
            )
            complete += 1
        await client.close()
        return complete, REQUESTS_PER_CALLER - complete

    def _entry_log(self, reply: caller.Reply) -> str:
        """Return the end of the entry process's log if a request failed."""
        if reply.status == harness.OK:
            return ''
        processes = self.fleet.processes
        return '\n'.join(
            processes.log(name)
            for name in processes.names()
            if name.startswith('entry')
        )

    async def _read_slowly(self) -> bytes:
        body = json.dumps(
            {
                'model': 'desk-large',
                'stream': True,
                'max_tokens': LONG_STREAM_TOKENS // 16,
                'messages': [{'role': 'user', 'content': 'slow'}],
            }
        )
        host, _, port = self.host.rpartition(':')
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=SMALL_READ_BYTES
        )
        head = (
            f'POST {caller.CHAT} HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {sample.LARGE_KEY}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body.encode())
        received = b''
        for _ in range(CONCURRENT_REQUESTS):
            received += await reader.read(SMALL_READ_BYTES)
            await asyncio.sleep(MAX_DELAY_S)
        while not received.endswith(b'\r\n0\r\n\r\n'):
            received += await reader.read(1024 * SMALL_READ_BYTES)
        writer.close()
        return received


if __name__ == '__main__':
    unittest.main()
