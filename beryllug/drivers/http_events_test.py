"""Tests that a connection with costly bytes leaves others their turns."""

import asyncio
import unittest
from typing import NamedTuple

import h11

from beryllug.drivers import http_data, http_events, http_link, http_reader

HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
SMALL_CHUNK = b'1\r\ny\r\n'
LAST_CHUNK = b'0\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Fewer than a connection may parse at once.
CHUNKS = 1500
BURST = http_events.BURST_S * http_events.EVENTS_PER_S
LIMITS = http_data.Limits()


class Row(NamedTuple):
    """The time of the turn before, events parsed since, the next turn."""

    title: str
    due: float
    events: int
    next_at: float


NOW = 100.0
ROWS = (
    Row('first turn', 0, 0, NOW - http_events.BURST_S),
    Row('the whole burst', 0, int(BURST), NOW),
    Row('more than it may', NOW, int(BURST), NOW + http_events.BURST_S),
    Row(
        'idle for long',
        NOW - 50,
        20,
        NOW - http_events.BURST_S + 20 / http_events.EVENTS_PER_S,
    ),
)


class _Transport(asyncio.Transport):
    """A transport that takes no bytes."""

    def pause_reading(self) -> None:
        """Do nothing: all bytes are here."""

    def resume_reading(self) -> None:
        """Do nothing: all bytes are here."""


class PaceTest(unittest.TestCase):
    """How many events a connection may parse."""

    def test_rows(self) -> None:
        for row in ROWS:
            with self.subTest(row.title):
                at = http_events.next_turn_at(row.due, NOW, row.events)
                self.assertAlmostEqual(at, row.next_at)


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """Other tasks run while the bytes of one connection are parsed."""

    async def asyncSetUp(self) -> None:
        self.turns = 0
        self.task = asyncio.create_task(self._count_turns())
        self.link = http_link.Link()
        self.link.connection_made(_Transport())

    async def asyncTearDown(self) -> None:
        self.task.cancel()

    async def test_answer(self) -> None:
        """An answer in chunks of a byte stops all other connections."""
        self.link.data_received(HEAD + SMALL_CHUNK * CHUNKS + LAST_CHUNK)
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method='GET', target='/', headers=[('host', '')])
        )
        parser.send(h11.EndOfMessage())
        reader = http_events.EventReader(self.link, parser)
        count = 0
        while not isinstance(await reader.next_event(), h11.EndOfMessage):
            count += 1
        self.assertEqual(count, CHUNKS + 1)
        self.assertGreaterEqual(
            self.turns, CHUNKS // http_events.EVENTS_PER_TURN
        )

    async def test_interim(self) -> None:
        """Informational responses stop all other connections."""
        self.link.data_received(INTERIM * CHUNKS + HEAD)
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method='GET', target='/', headers=[('host', '')])
        )
        parser.send(h11.EndOfMessage())
        reader = http_events.EventReader(self.link, parser)
        event = await reader.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await reader.next_event()
        self.assertIsInstance(event, h11.Response)
        self.assertGreaterEqual(
            self.turns, CHUNKS // http_events.EVENTS_PER_TURN
        )

    async def test_request(self) -> None:
        """A caller whose body comes in chunks of a byte stops all others."""
        self.link.data_received(REQUEST + SMALL_CHUNK * CHUNKS + LAST_CHUNK)
        reader = http_reader.RequestReader(self.link, LIMITS, '')
        req = await reader.read()
        assert req is not None
        self.assertEqual(len(req.body), CHUNKS)
        self.assertGreaterEqual(
            self.turns, CHUNKS // http_events.EVENTS_PER_TURN
        )

    async def _count_turns(self) -> None:
        while True:
            self.turns += 1
            await asyncio.sleep(0)


if __name__ == '__main__':
    unittest.main()
