"""Connections that one process forwards to a server for another."""

import asyncio
import contextlib
import functools
import time
import unittest
from http import HTTPStatus
from typing import NamedTuple

from beryllug.drivers import (
    fleet_key,
    http_client,
    http_data,
    http_link,
    http_server,
    relay,
    relay_frames,
    relay_server,
)

HOST = '127.0.0.1'
KEYS = fleet_key.KeyRing(('fleet-key',))
OTHER_KEYS = fleet_key.KeyRing(('another-key',))
LONG_S = 30.0
# Seconds within which the end of one side reaches the other.
PASSED_ON_S = 0.5
BODY = bytes(1_000_000)


UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nwhole'
WITH_LENGTH = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
FRAMED = relay_frames.of_bytes(UNFRAMED)
HEAD_END = b'\r\n\r\n'


class Sent(NamedTuple):
    """What a relay sends before its connection ends, and what that means.

    Attributes:
        title: What happens.
        is_framed: Whether it agrees to send frames.
        parts: What it sends, in parts that arrive apart.
        means: The body of the answer, or the error.
    """

    title: str
    is_framed: bool
    parts: tuple[bytes, ...]
    means: bytes | type[http_data.BrokenError]


SENT = (
    Sent('the server ends', True, (FRAMED, relay_frames.END), b'whole'),
    Sent('with the head', True, (FRAMED + relay_frames.END,), b'whole'),
    Sent(
        'split everywhere',
        True,
        tuple(bytes((byte,)) for byte in FRAMED + relay_frames.END),
        b'whole',
    ),
    Sent('killed', True, (FRAMED,), http_data.RelayLostError),
    Sent('killed in a frame', True, (FRAMED[:-2],), http_data.RelayLostError),
    Sent('killed before', True, (), http_data.RelayLostError),
    Sent(
        'broken by the server',
        True,
        (FRAMED, relay_frames.BROKEN),
        http_data.BrokenError,
    ),
    Sent('no frame', True, (b'\x09' * 5,), http_data.RelayLostError),
    Sent('an older release', False, (UNFRAMED,), http_data.RelayLostError),
    Sent('with a length', False, (WITH_LENGTH,), b'whole'),
)


class _Access:
    """Connects to one server."""

    def __init__(self, listed: str) -> None:
        self.listed = listed
        self.status: HTTPStatus | None = None

    def refusal(self, address: str) -> HTTPStatus | None:
        if address != self.listed:
            return HTTPStatus.FORBIDDEN
        return self.status

    async def connect(self, address: str) -> http_link.Link:
        return await http_link.open_link(address)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A server, a relay before it, and a client of the relay."""

    async def asyncSetUp(self) -> None:
        self.cancelled = asyncio.Event()
        self.received: list[http_data.Request] = []
        self.server = http_server.HttpServer(
            self._handle,
            http_data.Limits(body_bytes=2 * len(BODY)),
            cancel_on_disconnect=True,
        )
        port = await self.server.start(HOST, 0)
        self.address = f'{HOST}:{port}'
        self.access = _Access(self.address)
        listener = await asyncio.start_server(_drop, HOST, 0)
        relay_port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        self.relay_address = f'{HOST}:{relay_port}'
        self.relay = relay_server.RelayServer(
            self.relay_address, KEYS, self.access
        )
        await self.relay.start()
        self.client = http_client.HttpClient(opener=self._open)

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.relay.stop(0)
        await self.server.stop(0)

    async def test_round_trip(self) -> None:
        """Long bodies pass both ways; no connection is kept."""
        post = http_data.Outgoing('POST', '/echo', {}, BODY)
        for _ in range(2):
            incoming, body = await self.client.call(self.address, post, 5)
            self.assertEqual((incoming.status, body), (200, BODY))
            self.assertEqual(incoming.via, self.relay_address)
        self.assertEqual(self.client.idle_connections, 0)
        self.assertEqual(self.relay.forwarded, 2)

    async def test_refused(self) -> None:
        """Nobody but the fleet is connected, and to listed servers only."""
        cases = (
            (self.address, OTHER_KEYS, None, HTTPStatus.FORBIDDEN),
            (f'{HOST}:9', KEYS, None, HTTPStatus.FORBIDDEN),
            (
                self.address,
                KEYS,
                HTTPStatus.SERVICE_UNAVAILABLE,
                HTTPStatus.SERVICE_UNAVAILABLE,
            ),
        )
        for address, keys, refusal, status in cases:
            with self.subTest(address=address, status=status):
                self.access.status = refusal
                self.assertEqual(await self._ask(address, keys), status)
        self.assertEqual(self.relay.forwarded, 0)

    async def test_server_down(self) -> None:
        """A server that refuses is told from a relay that does not ask it."""
        await self.server.stop(0)
        status = await self._ask(self.address, KEYS)
        self.assertEqual(status, HTTPStatus.BAD_GATEWAY)

    async def test_no_relay(self) -> None:
        """What is no relay, or an older release, is an error of the network."""
        talker = await asyncio.start_server(_talk, HOST, 0)
        port = talker.sockets[0].getsockname()[1]
        with self.assertRaises(OSError):
            await relay.open_link(f'{HOST}:{port}', self.address, KEYS)
        talker.close()
        await talker.wait_closed()

    async def test_caller_leaves(self) -> None:
        """A server goes on working after the asking process has left."""
        get = http_data.Outgoing('GET', '/wait', {})
        request = asyncio.create_task(self.client.call(self.address, get))
        while not self.received:
            await asyncio.sleep(0)
        request.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await request
        await asyncio.wait_for(self.cancelled.wait(), PASSED_ON_S)

    async def test_server_breaks_off(self) -> None:
        """An answer that is cut off does not look complete."""
        get = http_data.Outgoing('GET', '/break', {})
        with self.assertRaises(http_data.BrokenError):
            await self.client.call(self.address, get, 5)

    async def test_strangers(self) -> None:
        """Bytes that are no request end the connection, and nothing else."""
        for payload in (b'', b'\x16\x03\x01\x02', b'GET / HTTP/1.1\r\n\r\n'):
            with self.subTest(payload):
                reader, writer = await asyncio.open_connection(
                    HOST, int(self.relay_address.rpartition(':')[2])
                )
                writer.write(payload)
                writer.write_eof()
                with contextlib.suppress(ConnectionError):
                    await asyncio.wait_for(reader.read(), PASSED_ON_S)
                writer.close()
        await self.test_round_trip()

    async def test_ends(self) -> None:
        """An answer without a length is complete as its relay is killed."""
        for sent in SENT:
            with self.subTest(sent.title):
                self.assertEqual(await self._receive(sent), sent.means)

    async def test_older_asks(self) -> None:
        """A process of an older release gets frames that it can't read."""
        reader, writer = await asyncio.open_connection(
            HOST, int(self.relay_address.rpartition(':')[2])
        )
        signature = KEYS.sign(relay.signed_method(self.address), time.time())
        writer.write(
            f'CONNECT {self.address} HTTP/1.1\r\nhost: {self.address}\r\n'
            f'{fleet_key.METADATA_KEY}: {signature}\r\n\r\n'.encode()
        )
        head = await reader.readuntil(HEAD_END)
        self.assertEqual(head.count(b'\r\n'), 2, head)
        writer.write(b'GET /short HTTP/1.1\r\nhost: x\r\n\r\n')
        answer = await reader.readuntil(HEAD_END)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        writer.close()

    async def test_stop(self) -> None:
        """Stopping ends what is forwarded."""
        get = http_data.Outgoing('GET', '/wait', {})
        request = asyncio.create_task(self.client.call(self.address, get))
        while not self.received:
            await asyncio.sleep(0)
        await self.relay.stop(0)
        with self.assertRaises(http_data.BrokenError):
            await request
        await asyncio.wait_for(self.cancelled.wait(), PASSED_ON_S)

    async def _receive(self, sent: Sent) -> bytes | type[http_data.BrokenError]:
        """Return what an answer means that a stand-in of a relay forwards."""

        await self.relay.stop(0)
        host, _, port = self.relay_address.rpartition(':')
        stand_in = await asyncio.start_server(
            functools.partial(_forward, sent), host, int(port)
        )
        get = http_data.Outgoing('GET', '/', {})
        try:
            _, body = await self.client.call(self.address, get, 5)
        except http_data.BrokenError as exc:
            return type(exc)
        finally:
            stand_in.close()
            await stand_in.wait_closed()
        return body

    async def _ask(self, address: str, keys: fleet_key.KeyRing) -> int:
        try:
            link = await relay.open_link(self.relay_address, address, keys)
        except relay.RefusedError as exc:
            return exc.status
        link.abort()
        return HTTPStatus.OK

    async def _open(self, address: str) -> http_link.Link:
        return await relay.open_link(self.relay_address, address, KEYS)

    async def _handle(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        self.received.append(req)
        if req.target == '/wait':
            try:
                await asyncio.sleep(LONG_S)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if req.target == '/break':
            await exchange.start(200, {})
            await exchange.send(b'part')
            exchange.abort()
            return
        await exchange.respond(200, req.body)


async def _forward(
    sent: Sent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Forward an answer as a relay does that is lost after some bytes."""
    await reader.readuntil(HEAD_END)
    writer.write(b'HTTP/1.1 200 OK\r\n')
    if sent.is_framed:
        field = f'{relay_frames.FIELD}: {relay_frames.VERSION}\r\n'
        writer.write(field.encode())
    writer.write(b'\r\n')
    await reader.readuntil(HEAD_END)
    for part in sent.parts:
        writer.write(part)
        await asyncio.sleep(0)
    writer.close()


def _drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close an accepted connection."""
    writer.close()


def _talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send bytes that are no HTTP."""
    writer.write(b'\x00hello')
    writer.close()


if __name__ == '__main__':
    unittest.main()
