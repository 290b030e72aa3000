"""The floor: a bare pass-through on asyncio and h11, without any decision.

``python -m beryllug.bench.passthrough LISTEN BACKEND`` forwards each request
to one server and its answer back as it comes. What an entry process costs
above this is what its decisions cost.
"""

import asyncio
import sys
from typing import Any

import h11

READ_SIZE = 65536


async def _events(conn: h11.Connection, reader: asyncio.StreamReader) -> Any:
    """Read until there is something, and return all events of it."""
    found: list[Any] = []
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            if found:
                return found
            conn.receive_data(await reader.read(READ_SIZE))
        else:
            found.append(event)
            if event is h11.PAUSED or isinstance(
                event, h11.EndOfMessage | h11.ConnectionClosed
            ):
                return found


async def _copy(
    source: tuple[h11.Connection, asyncio.StreamReader],
    target: tuple[h11.Connection, asyncio.StreamWriter],
) -> bool:
    """Copy one message; returns False when the connection was closed."""
    while True:
        events = await _events(*source)
        for event in events:
            if isinstance(event, h11.ConnectionClosed):
                return False
            target[1].write(target[0].send(event) or b'')
        await target[1].drain()
        if isinstance(events[-1], h11.EndOfMessage):
            return True


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    host, _, port = sys.argv[2].rpartition(':')
    back_reader, back_writer = await asyncio.open_connection(host, int(port))
    front = h11.Connection(h11.SERVER)
    back = h11.Connection(h11.CLIENT)
    try:
        while await _copy((front, reader), (back, back_writer)):
            await _copy((back, back_reader), (front, writer))
            front.start_next_cycle()
            back.start_next_cycle()
    except ConnectionError:
        return
    finally:
        writer.close()
        back_writer.close()


async def _main() -> None:
    host, _, port = sys.argv[1].rpartition(':')
    server = await asyncio.start_server(_serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main())
