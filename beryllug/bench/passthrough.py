"""A minimal pass-through proxy on asyncio and h11, as the cost baseline.

``python -m beryllug.bench.passthrough LISTEN BACKEND`` forwards each request
to one server and streams the answer back. The cost of an entry process above
this baseline is the cost of routing.
"""

import asyncio
import sys
from typing import Any

import h11

READ_SIZE = 65536


async def _read_events(
    conn: h11.Connection, reader: asyncio.StreamReader
) -> Any:
    """Return all available events, reading until there is at least one."""
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


async def _copy_message(
    source: tuple[h11.Connection, asyncio.StreamReader],
    target: tuple[h11.Connection, asyncio.StreamWriter],
) -> bool:
    """Copy one message; return False if the connection was closed."""
    while True:
        events = await _read_events(*source)
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
    backend_reader, backend_writer = await asyncio.open_connection(
        host, int(port)
    )
    client = h11.Connection(h11.SERVER)
    backend = h11.Connection(h11.CLIENT)
    try:
        while await _copy_message((client, reader), (backend, backend_writer)):
            await _copy_message((backend, backend_reader), (client, writer))
            client.start_next_cycle()
            backend.start_next_cycle()
    except ConnectionError:
        return
    finally:
        writer.close()
        backend_writer.close()


async def _main() -> None:
    host, _, port = sys.argv[1].rpartition(':')
    server = await asyncio.start_server(_serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main())
