"""A client of the platform on one connection, and what it has seen."""

import asyncio
import time

from deployment import read_head


class Seen:
    """What a client got for one request.

    Attributes:
        status: The status, or 0 without an answer.
        headers: The headers of the answer.
        body: The bytes of the body so far.
        is_complete: Whether the answer has ended as HTTP says it does.
        error: How the connection ended otherwise.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''
        self.took_s = 0.0


async def send(writer, method, path, headers, body=b''):
    """Write one request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
    await writer.drain()


async def receive(reader, seen):
    """Read one answer into a record."""
    head = await read_head(reader)
    if head is None:
        seen.error = 'closed without an answer'
        return
    seen.status = int(head[0].split(' ')[1])
    seen.headers = head[1]
    if head[1].get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            seen.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                seen.is_complete = True
                return
    else:
        length = int(head[1].get('content-length', 0))
        seen.body += await reader.readexactly(length)
        seen.is_complete = True


async def ask(address, method, path, headers, body=b'', within_s=30.0):
    """Send a request on a new connection and read its answer."""
    seen = Seen()
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            await send(writer, method, path, headers, body)
            await receive(reader, seen)
    except asyncio.IncompleteReadError:
        seen.error = 'the connection ended within the answer'
    except TimeoutError:
        seen.error = 'no more in time'
    except OSError as exc:
        seen.error = f'{type(exc).__name__}'
    finally:
        if writer is not None:
            writer.close()
    seen.took_s = time.monotonic() - began
    return seen
