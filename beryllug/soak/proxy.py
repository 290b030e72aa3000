"""A proxy on loopback whose connections can be delayed, silenced and reset."""

import asyncio
import contextlib
from dataclasses import dataclass, field

CHUNK = 65536
# Seconds between two looks at whether a link that is cut is whole again.
POLL_S = 0.01


@dataclass(slots=True)
class Link:
    """What a proxy does to its connections.

    Attributes:
        delay_s: Seconds that bytes take longer, in each direction.
        is_cut_up: Whether bytes to the server are held up.
        is_cut_down: Whether bytes from the server are held up.
    """

    delay_s: float = 0.0
    is_cut_up: bool = False
    is_cut_down: bool = False


@dataclass(slots=True, eq=False)
class _Pair:
    """Both sides of a connection; a silent one passes nothing more on."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    is_silent: bool = False


class Proxy:
    """Passes connections on to one address.

    Attributes:
        address: Where it listens, as ``ip:port``.
        link: What it does to connections now.
    """

    def __init__(self, target: str) -> None:
        """Make a proxy to a target; `start` opens it."""
        self.address = ''
        self.link = Link()
        self._target = target
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen and return the address."""
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
        """Cut all present connections."""
        for pair in list(self._pairs):
            _abort(pair)

    def silence(self) -> None:
        """Let all present connections pass nothing more, without a reset."""
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
            await self._join(pair, reader, writer)
        except OSError:
            # The server refuses, or one side broke off: so does the other.
            return
        finally:
            _abort(pair)
            self._pairs.discard(pair)

    async def _join(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self._target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        pair.writers.append(far_writer)
        ways = (
            asyncio.create_task(self._pass(pair, reader, far_writer, True)),
            asyncio.create_task(self._pass(pair, far_reader, writer, False)),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for way in ways:
                way.cancel()

    async def _pass(
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
