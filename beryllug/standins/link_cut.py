"""A network partition between one process and all backend servers.

New connections hang or are refused; open ones hang, are reset, or live on. The
store, callers and other processes are not affected.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from beryllug.drivers import http_link

# Seconds after which the kernel ends a connection whose peer is silent.
DEAD_PEER_S = 3.0


class Mode(StrEnum):
    """What a partition does to connections."""

    HANG = 'hang'
    RESET = 'reset'
    REFUSE = 'refuse'


class _CuttableLink(http_link.Link):
    """A link that holds back bytes in both directions while it is silent."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.is_silent = False
        self._held: list[Callable[[], object]] = []
        self._timer: asyncio.TimerHandle | None = None

    def silence(self) -> None:
        self.is_silent = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(DEAD_PEER_S, self._expire)

    def restore(self) -> None:
        self.is_silent = False
        if self._timer is not None:
            self._timer.cancel()
        held = self._held
        self._held = []
        for deliver in held:
            deliver()

    def data_received(self, data: bytes) -> None:
        if self.is_silent:
            self._held.append(lambda: self.data_received(data))
        else:
            super().data_received(data)

    def eof_received(self) -> bool:
        if self.is_silent:
            self._held.append(self.eof_received)
            return True
        return super().eof_received()

    def write(self, payload: bytes) -> None:
        if self.is_silent and not self.transport.is_closing():
            self._held.append(lambda: self.write(payload))
        else:
            super().write(payload)

    def _expire(self) -> None:
        self._held.clear()
        self.is_silent = False
        self.connection_lost(TimeoutError('the peer is silent'))
        self.transport.abort()


class LinkCut:
    """Opens the links of one process to backend servers, and cuts them.

    Attributes:
        mode: What the present partition does; None without one.
    """

    def __init__(self) -> None:
        """Start without a partition."""
        self.mode: Mode | None = None
        self._links: set[_CuttableLink] = set()
        self._ended = asyncio.Event()

    async def dial(self, address: str) -> http_link.Link:
        """Connect to a server.

        Raises:
            OSError: It refuses, or the partition does.
        """
        if self.mode is Mode.HANG:
            await self._ended.wait()
        if self.mode is not None:
            raise ConnectionRefusedError(f'{address} is cut off')
        link = _CuttableLink(address)
        await http_link.connect(link)
        self._links.add(link)
        return link

    def cut(self, mode: Mode) -> None:
        """Begin a partition."""
        self.mode = mode
        self._ended.clear()
        links = [each for each in self._links if not each.ended]
        self._links = set(links)
        for link in links:
            if mode is Mode.HANG:
                link.silence()
            elif mode is Mode.RESET:
                link.connection_lost(ConnectionResetError('reset'))
                link.transport.abort()

    def restore(self) -> None:
        """End the partition."""
        self.mode = None
        self._ended.set()
        for link in self._links:
            link.restore()
