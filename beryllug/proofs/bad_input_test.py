"""Tests that the entry process rejects bad input and runs nothing.

Real processes run; what the backend servers ran is read from their records.
"""

import asyncio
import unittest

from beryllug.drivers import http_server_test
from beryllug.standins import caller, harness, records, sample

KEY = sample.LARGE_KEY.encode()
HOLDS = '/v1/services/booking/holds'
SLOW_CLIENTS = 50
HEADER_INTERVAL_S = 0.02
TIMEOUT_S = 20.0

# A smuggled hold, which runs if a server parses it as a separate request.
SMUGGLED_HOLD = (
    b'POST /v1/services/booking/holds HTTP/1.1\r\nhost: x\r\n'
    b'authorization: Bearer %b\r\nidempotency-key: hidden\r\n'
    b'content-type: application/json\r\ncontent-length: 13\r\n\r\n'
    b'{"slot":"s0"}' % KEY
)
BODIES: tuple[tuple[str, bytes], ...] = (
    ('empty', b''),
    ('no JSON', b'{"model":'),
    ('no object', b'["desk-large"]'),
    ('null', b'null'),
    ('no UTF-8', b'{"model":"\xff\xfe","messages":[]}'),
    ('no model', b'{"messages":[{"role":"user","content":"a"}]}'),
    ('model is a number', b'{"model":1,"messages":[]}'),
    ('model is a list', b'{"model":["desk-large"],"messages":[]}'),
    ('no messages', b'{"model":"desk-large"}'),
    ('messages are text', b'{"model":"desk-large","messages":"a"}'),
    ('deep list', b'{"model":"desk-large","messages":%b' % (b'[' * 90000)),
    ('deep object', b'{"model":%b' % (b'{"a":' * 90000)),
    ('long model', b'{"model":"%b","messages":[]}' % (b'a' * 90000)),
    ('stream is text', b'{"model":"desk-large","stream":"x","messages":'
     b'[{"role":"user","content":"a"}]}'),
    ('huge number', b'{"model":"desk-large","max_tokens":%b,"messages":'
     b'[{"role":"user","content":"a"}]}' % (b'9' * 400)),
)  # fmt: skip


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """Sends bad input to one entry host."""

    async def asyncSetUp(self) -> None:
        """Start the deployment with a short timeout for reading requests."""
        plan = sample.plan(1)._replace(entry_settings=('read_s = 0.5',))
        self.fleet = harness.Fleet(plan)
        await self.fleet.start()
        self.caller = caller.Caller(sample.LARGE_KEY)
        self.host = self.fleet.hosts[0].callers

    async def asyncTearDown(self) -> None:
        """Stop the deployment."""
        await self.caller.close()
        await self.fleet.stop()

    async def test_refused(self) -> None:
        """Malformed, oversized and smuggled requests run nothing.

        A client sends an invalid request, or appends a hold to a request with
        ambiguous framing. The request is rejected, the appended hold does not
        run, and the next caller is served.
        """
        operators = self.fleet.hosts[0].entry_operators
        for title, raw, _ in http_server_test.REFUSED:
            request = raw.replace(http_server_test.HIDDEN, SMUGGLED_HOLD)
            for address in (self.host, operators):
                with self.subTest(title, address=address):
                    answer = await self._exchange(address, request)
                    self.assertRegex(answer, b'^HTTP/1.1 (4[0-9]{2}|501) ')
                    self.assertEqual(answer.count(b'HTTP/1.1'), 1)
        await self._check_serves(1)

    async def test_bodies(self) -> None:
        """Invalid chat bodies are rejected with the run state "not_run"."""
        for title, body in BODIES:
            with self.subTest(title):
                answer = await self._exchange(self.host, _chat(body))
                self.assertRegex(answer, b'^HTTP/1.1 4[0-9]{2} ')
                self.assertRegex(answer, b'"run": ?"not_run"')
        await self._check_serves(1)

    async def test_slow(self) -> None:
        """Slow clients time out without affecting other callers.

        Each slow client keeps sending header lines and never completes its
        request. It gets a 408 when the read timeout expires, and no other
        caller is refused meanwhile.
        """
        slow = [
            asyncio.create_task(self._send_slowly())
            for _ in range(SLOW_CLIENTS)
        ]
        served = 0
        async with asyncio.timeout(TIMEOUT_S):
            while not all(task.done() for task in slow):
                reply = await self._hold(served)
                self.assertEqual(reply.status, 201, reply)
                served += 1
        answers = await asyncio.gather(*slow)
        self.assertEqual({answer[:12] for answer in answers}, {b'HTTP/1.1 408'})
        await self._check_serves(served + 1)

    async def _check_serves(self, count: int) -> None:
        """Check that a hold is served and brings the runs to this count."""
        reply = await self._hold(count)
        self.assertEqual(reply.status, 201, reply)
        ran = records.plain_runs_of(self.fleet)
        self.assertEqual(len(ran), count)
        self.assertEqual(records.engine_runs_of(self.fleet), [])

    async def _hold(self, number: int) -> caller.Reply:
        return await self.caller.ask(
            self.host,
            'POST',
            HOLDS,
            {'slot': f's{number}'},
            idempotency_key=f'k{number}',
        )

    async def _exchange(self, address: str, raw: bytes) -> bytes:
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(raw)
            writer.write_eof()
            async with asyncio.timeout(TIMEOUT_S):
                return await reader.read()
        finally:
            writer.close()

    async def _send_slowly(self) -> bytes:
        host, _, port = self.host.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'POST %b HTTP/1.1\r\n' % HOLDS.encode())
        answered = asyncio.create_task(reader.readline())
        while not answered.done():
            writer.write(b'a: b\r\n')
            await asyncio.sleep(HEADER_INTERVAL_S)
        writer.close()
        return await answered


def _chat(body: bytes) -> bytes:
    return (
        b'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
        b'authorization: Bearer %b\r\ncontent-type: application/json\r\n'
        b'content-length: %d\r\n\r\n%b' % (KEY, len(body), body)
    )


if __name__ == '__main__':
    unittest.main()
