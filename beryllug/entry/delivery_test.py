"""Tests of the stream relay: end held back, no byte lost."""

import time
import unittest
from collections.abc import AsyncIterator, Sequence
from typing import Any, cast

from beryllug.core import config_data, request_data
from beryllug.drivers import http_data
from beryllug.entry import call_data, delivery

TEXT = b'data: {"a":"data: [DON"}\n\ndata: {"usage":{}}\n\ndata: [DONE]\n\n'
CUTS = tuple(range(1, len(TEXT)))
NEVER = len(TEXT) + 1
PIECES = (TEXT[:20], TEXT[20:40], TEXT[40:])
BODY_END = TEXT.index(b'data: [DONE]\n\n')


class _Incoming:
    def __init__(self, pieces: Sequence[bytes], broken: bool) -> None:
        self._pieces = pieces
        self._broken = broken

    async def chunks(self) -> AsyncIterator[bytes]:
        for piece in self._pieces:
            yield piece
        if self._broken:
            raise http_data.BrokenError('reset')


class _Exchange:
    def __init__(self, gone_after: int) -> None:
        self.sent = b''
        self.ended = False
        self.aborted = False
        self._gone_after = gone_after

    async def send(self, chunk: bytes) -> None:
        if len(self.sent) >= self._gone_after:
            raise ConnectionResetError
        self.sent += chunk

    async def finish(self, last: bytes) -> None:
        self.sent += last
        self.ended = True

    def abort(self) -> None:
        self.aborted = True


class StreamRelayTest(unittest.IsolatedAsyncioTestCase):
    """The forwarded bytes do not depend on how the stream is chunked."""

    async def test_every_cut(self) -> None:
        """The end is held back wherever a chunk splits the end marker."""
        for place in CUTS:
            with self.subTest(place):
                relay, exchange = _relay(repeatable=True)
                await relay.forward(_incoming((TEXT[:place], TEXT[place:])))
                self.assertEqual(exchange.sent, TEXT[:BODY_END])
                await relay.finish()
                self.assertEqual(exchange.sent, TEXT)

    async def test_single_bytes(self) -> None:
        """Chunks of one byte are forwarded."""
        relay, exchange = _relay(repeatable=True)
        await relay.forward(_incoming([bytes([byte]) for byte in TEXT]))
        self.assertTrue(relay.tail.reached_end())
        await relay.finish()
        self.assertEqual(exchange.sent, TEXT)

    async def test_resumed(self) -> None:
        """After an engine reset, the stream resumes at its exact byte."""
        for place in CUTS:
            with self.subTest(place):
                relay, exchange = _relay(repeatable=True)
                with self.assertRaises(http_data.BrokenError):
                    await relay.forward(_incoming((TEXT[:place],), broken=True))
                self.assertEqual(relay.tail.size, place)
                await relay.forward(_incoming((TEXT[place:],)))
                await relay.finish()
                self.assertEqual(exchange.sent, TEXT)

    async def test_caller_goes(self) -> None:
        """The client disconnects during the answer.

        The answer of a repeatable request is abandoned. A non-repeatable one
        is read to its end and collected, since the client cannot get it by
        another run.
        """
        for repeatable, kept in ((True, b''), (False, TEXT)):
            with self.subTest(repeatable=repeatable):
                relay, _ = _relay(repeatable, gone_after=10)
                await relay.forward(_incoming(PIECES))
                self.assertTrue(relay.caller_gone)
                self.assertEqual(relay.is_abandoned, repeatable)
                self.assertEqual(bytes(relay.collected_body), kept)

    async def test_broken_is_cut(self) -> None:
        """A partial answer does not look complete to its client."""
        relay, exchange = _relay(repeatable=True)
        await relay.forward(_incoming((TEXT[:20],)))
        await relay.fail(b'data: {"error":{}}\n\n')
        self.assertTrue(exchange.aborted)
        self.assertFalse(exchange.ended)


def _relay(
    repeatable: bool, gone_after: int = NEVER
) -> tuple[delivery.StreamRelay, _Exchange]:
    exchange = _Exchange(gone_after)
    call = make_call('r', repeatable=repeatable)
    made = delivery.StreamRelay(call, cast('Any', exchange), keep=False)
    return made, exchange


def _incoming(pieces: Sequence[bytes], broken: bool = False) -> Any:
    return _Incoming(pieces, broken)


def make_call(
    body_hash: str, *, repeatable: bool = True, within_s: float = 60
) -> call_data.Call:
    """Return a small call for tests."""
    facts = request_data.Facts(
        request_id=body_hash,
        account_id='a',
        request_class='draft',
        asked='m',
        session_key='s',
        prefix_key='',
        tokens_in=1,
        tokens_out=1,
        repeatable=repeatable,
        arrived_at=0,
        targets=config_data.Targets('draft', 1, 1),
    )
    return call_data.Call(
        facts=facts,
        account=config_data.Account('a', (), ()),
        method='POST',
        target='/',
        body=b'',
        content_type='',
        body_hash=body_hash,
        idempotency_key='',
        session_id='',
        session_token='',
        stream=True,
        deadline=time.monotonic() + within_s,
        wall=0,
    )


if __name__ == '__main__':
    unittest.main()
