"""A loopback proxy whose connections can be delayed, stalled and reset."""

import asyncio
import contextlib
from dataclasses import dataclass, field

CHUNK = 65536
# Interval at which a connection that is held back checks its link.
POLL_S = 0.01


@dataclass(slots=True)
class Link:
    """What a proxy does to its connections.

    Attributes:
        delay_s: Seconds by which bytes are delayed, in each direction.
        is_cut_up: Whether bytes to the server are held back.
        is_cut_down: Whether bytes from the server are held back.
    """

    delay_s: float = 0.0
    is_cut_up: bool = False
    is_cut_down: bool = False


@dataclass(slots=True, eq=False)
class _Pair:
    """Both sides of a connection; a silent pair forwards nothing more."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    is_silent: bool = False


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: The address on which it listens, as ``ip:port``.
        link: What it currently does to connections.
    """

    def __init__(self, target: str) -> None:
        """Create a proxy to a target; `start` opens it."""
        self.address = ''
        self.link = Link()
        self._target = target
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        return self.address

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all current connections."""
        for pair in list(self._pairs):
            _abort(pair)

    def silence(self) -> None:
        """Stall all current connections without a reset."""
        for pair in self._pairs:
            pair.is_silent = True

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pair = _Pair([writer])
        self._pairs.add(pair)
        try:
            await self._forward_both(pair, reader, writer)
        except OSError:
            # If the server refuses or one side fails, the other is closed, too.
            return
        finally:
            _abort(pair)
            self._pairs.discard(pair)

    async def _forward_both(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self._target.rpartition(':')
        server_reader, server_writer = await asyncio.open_connection(
            host, int(port)
        )
        pair.writers.append(server_writer)
        directions = (
            asyncio.create_task(
                self._forward(pair, reader, server_writer, True)
            ),
            asyncio.create_task(
                self._forward(pair, server_reader, writer, False)
            ),
        )
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for direction in directions:
                direction.cancel()

    async def _forward(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_up: bool,
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK)
            if self.link.delay_s:
                await asyncio.sleep(self.link.delay_s)
            while pair.is_silent or self._is_cut(is_up):
                await asyncio.sleep(POLL_S)
            if not chunk:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    def _is_cut(self, is_up: bool) -> bool:
        return self.link.is_cut_up if is_up else self.link.is_cut_down


def _abort(pair: _Pair) -> None:
    for writer in pair.writers:
        writer.transport.abort()
