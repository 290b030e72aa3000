"""A backend server that closes its connections at one place of an answer."""

import asyncio
import contextlib
import re
from dataclasses import dataclass, field

from beryllug.platform import names

HEAD_END = b'\r\n\r\n'
LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
ATTEMPT = re.compile(
    rf'{names.ATTEMPT}: (\S+)'.encode('latin-1'), re.IGNORECASE
)


@dataclass(slots=True)
class CuttingServer:
    """Sends the given bytes of each answer, then closes the connection.

    Attributes:
        answer: A whole answer; `ID` in it becomes the id of the request.
        sent: The bytes of it that are sent before a connection is closed.
        whole: Number of requests on a connection that are answered whole.
        earlier: Bytes that are sent, instead, of the first answers.
        cuts: Answers that were cut.
        address: Its address, once started.
    """

    answer: bytes
    sent: bytes
    whole: int = 0
    earlier: list[bytes] = field(default_factory=list)
    cuts: int = 0
    address: str = ''
    _server: asyncio.Server | None = field(default=None)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        return self.address

    def stop(self) -> None:
        """Stop listening, and close what is open."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            for _ in range(self.whole):
                await self._answer(reader, writer, self.answer)
            if self.earlier:
                await self._answer(reader, writer, self.earlier.pop())
            else:
                await self._answer(reader, writer, self.sent)
                self.cuts += 1
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        self._writers.discard(writer)

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answer: bytes,
    ) -> None:
        head = await reader.readuntil(HEAD_END)
        length = LENGTH.search(head)
        if length is not None:
            await reader.readexactly(int(length.group(1)))
        attempt = ATTEMPT.search(head)
        attempt_id = attempt.group(1) if attempt else b''
        writer.write(answer.replace(b'ID', attempt_id))
        await writer.drain()
