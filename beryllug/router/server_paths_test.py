"""Connections to backend servers: direct, and through peers."""

import asyncio
import contextlib
import os
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from beryllug.drivers import answer_timeouts, http_link
from beryllug.kernel import log_lines
from beryllug.router import server_paths

HOST = '127.0.0.1'
PEER = 'peer'
# Seconds that a connect may take in all, with a margin for a busy machine.
PROMPT_S = 2 * server_paths.OPEN_TIMEOUT_S


class RecordedLines(log_lines.LineWriter):
    """Keeps the lines instead of writing them."""

    def __init__(self) -> None:
        """Start without lines."""
        super().__init__(os.open(os.devnull, os.O_WRONLY))
        self.records: list[tuple[str, dict[str, Any]]] = []

    def write(self, event: str, **fields: Any) -> None:
        """Keep a line."""
        self.records.append((event, fields))

    def events(self) -> list[str]:
        """Return the names of the lines."""
        return [event for event, _ in self.records]


class _Relays:
    """Connects as a peer would."""

    def __init__(self) -> None:
        self.opened: list[http_link.Link] = []
        self.is_reached = True

    async def open(self, address: str) -> http_link.Link:
        if not self.is_reached:
            raise ConnectionRefusedError('no peer reaches it')
        link = http_link.Link(address, via=PEER)
        await http_link.connect(link)
        self.opened.append(link)
        return link


class Case(NamedTuple):
    """How the own connect goes, whether a peer connects, and the outcome."""

    name: str
    dial: Callable[[str], Awaitable[http_link.Link]]
    is_relayed: bool
    via: str | None


async def _refuse(address: str) -> http_link.Link:
    raise ConnectionRefusedError(address)


async def _hang(address: str) -> http_link.Link:
    await asyncio.Event().wait()
    raise AssertionError(address)


async def _dial_late(address: str) -> http_link.Link:
    await asyncio.sleep(1.5 * server_paths.HEAD_START_S)
    return await http_link.open_link(address)


CASES = (
    Case('direct', http_link.open_link, is_relayed=True, via=''),
    Case('refused', _refuse, is_relayed=True, via=PEER),
    Case('hangs', _hang, is_relayed=True, via=PEER),
    Case('late', _dial_late, is_relayed=True, via=PEER),
    Case('late, no peer', _dial_late, is_relayed=False, via=''),
    Case('refused to all', _refuse, is_relayed=False, via=None),
    Case('hangs for all', _hang, is_relayed=False, via=None),
)


class PathsTest(unittest.IsolatedAsyncioTestCase):
    """Connects to listening servers over links that fail."""

    async def asyncSetUp(self) -> None:
        self.lines = RecordedLines()
        self.paths = server_paths.ServerPaths(
            self.lines, answer_timeouts.AnswerTimeouts()
        )
        self.state = self.paths.verdicts.state
        self.late: list[http_link.Link] = []
        self.relays = _Relays()
        self.paths.relays = self.relays
        self.servers = [
            await asyncio.start_server(_ignore, HOST, 0) for _ in range(3)
        ]
        self.addresses = [
            f'{HOST}:{server.sockets[0].getsockname()[1]}'
            for server in self.servers
        ]
        self.paths.listed = lambda: self.addresses

    async def asyncTearDown(self) -> None:
        await self.paths.stop(0)
        for server in self.servers:
            server.close()
            await server.wait_closed()

    async def test_ways(self) -> None:
        """A caller fails though one of the two ways to a server works."""
        for case, address in zip(CASES, self.addresses * 3, strict=False):
            with self.subTest(case.name):
                self.paths.dial = case.dial
                self.relays.is_reached = case.is_relayed
                self.assertEqual(await self._via(address), case.via)
                self.state.cut.clear()
                self.state.is_isolated = False

    async def test_isolated(self) -> None:
        """Each server costs a failed connect, though all links are cut."""
        self.paths.dial = _refuse
        for address in self.addresses[:2]:
            self.assertEqual(await self._via(address), PEER)
        self.paths.dial = _hang
        started = asyncio.get_running_loop().time()
        self.assertEqual(await self._via(self.addresses[2]), PEER)
        took_s = asyncio.get_running_loop().time() - started
        self.assertLess(took_s, server_paths.HEAD_START_S)
        self.assertEqual(
            self.lines.events(),
            [
                'server_unreached',
                'server_path_cut',
                'server_unreached',
                'server_path_cut',
                'isolated',
            ],
        )

    async def test_restored(self) -> None:
        """Requests go through peers long after the links are back."""
        self.paths.dial = _refuse
        for address in self.addresses[:2]:
            await self._via(address)
        self.paths.dial = http_link.open_link
        async with asyncio.timeout(10 * server_paths.PROBE_INTERVAL_S):
            while self.paths.is_cut(self.addresses[0]):
                await asyncio.sleep(0.01)
        self.assertEqual(await self._via(self.addresses[0]), '')
        self.assertIn('rejoined', self.lines.events())

    async def test_servers_replaced(self) -> None:
        """Requests go through peers for good once the cut servers are gone."""
        self.paths.dial = _refuse
        for address in self.addresses[:2]:
            await self._via(address)
        self.paths.dial = http_link.open_link
        self.addresses = self.addresses[2:]
        async with asyncio.timeout(10 * server_paths.PROBE_INTERVAL_S):
            while self.paths.is_cut(self.addresses[0]):
                await asyncio.sleep(0.01)

    async def test_no_peer_while_cut(self) -> None:
        """A link that is taken for cut is not tried, and no peer is left."""
        self.paths.dial = _refuse
        for address in self.addresses[:2]:
            await self._via(address)
        self.relays.is_reached = False
        self.paths.dial = http_link.open_link
        self.assertEqual(await self._via(self.addresses[2]), '')

    async def test_caller_leaves(self) -> None:
        """Connections that nobody waits for any more stay open."""
        self.paths.dial = _hang
        opening = asyncio.create_task(self.paths.open(self.addresses[0]))
        await asyncio.sleep(server_paths.HEAD_START_S / 2)
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
        await asyncio.sleep(2 * server_paths.HEAD_START_S)
        self.assertEqual(self.relays.opened, [])

    async def test_late_connect(self) -> None:
        """A connect that lost to the peer's stays open, unused."""
        self.paths.dial = self._dial_late
        self.assertEqual(await self._via(self.addresses[0]), PEER)
        await asyncio.sleep(server_paths.CONNECT_TIMEOUT_S)
        self.assertTrue(self.late[0].transport.is_closing())
        self.assertFalse(self.paths.is_cut(self.addresses[0]))

    async def test_changes_logged(self) -> None:
        """A server out of reach is logged once, and once when it is back."""
        self.relays.is_reached = False
        address = self.addresses[0]
        for dial in (
            _refuse,
            _refuse,
            http_link.open_link,
            http_link.open_link,
        ):
            self.paths.dial = dial
            await self._via(address)
        self.assertEqual(
            self.lines.events(),
            ['server_unreached', 'not_relayed', 'server_reached'],
        )

    async def _dial_late(self, address: str) -> http_link.Link:
        link = await _dial_late(address)
        self.late.append(link)
        return link

    async def _via(self, address: str) -> str | None:
        """Open and close a link; return its way, None if there is none."""
        try:
            async with asyncio.timeout(PROMPT_S):
                link = await self.paths.open(address)
        except OSError:
            return None
        link.abort()
        return link.via


async def _ignore(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Accept a connection until its peer closes it."""
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


if __name__ == '__main__':
    unittest.main()
