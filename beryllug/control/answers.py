"""Service 'answers': large answers kept as objects of the platform.

An answer is written once under its request's id, in parts that the platform
takes. Writing it again changes nothing: what is there is the same answer.
"""

import asyncio
from typing import Any

from beryllug.core import rpc_data
from beryllug.drivers import methods, object_api, object_data, rpc

PREFIX = 'beryllug/answers/'
PART_BYTES = 900000
FIRST = 0


class Answers:
    """Service 'answers' of a control process."""

    def __init__(self, api: object_api.ObjectApi) -> None:
        """Bind the platform."""
        self._api = api
        self._counts = {'stored': 0, 'fetched': 0, 'failed': 0}

    def serve(self, server: rpc.RpcServer) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.STORE_ANSWER, self.store)
        server.unary(methods.FETCH_ANSWER, self.fetch)

    async def start(self) -> None:
        """Do nothing: it works when it is called."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no state."""

    def dump(self) -> dict[str, Any]:
        """Return counts of calls."""
        return dict(self._counts)

    async def store(self, ask: rpc_data.AnswerBody) -> rpc_data.Empty:
        """Keep an answer; `ok` is False when the platform can't now."""
        parts = [
            ask.body[start : start + PART_BYTES]
            for start in range(0, len(ask.body), PART_BYTES)
        ]
        count = len(parts)
        # The first part, which states the count, is written last: a reader
        # that finds it finds all the others.
        for number in reversed(range(count)):
            head = f'{count}\n'.encode() if number == FIRST else b''
            key = _key(ask.request_id, number)
            if not await self._write(key, head + parts[number]):
                self._counts['failed'] += 1
                return rpc_data.Empty(ok=False)
        self._counts['stored'] += 1
        return rpc_data.Empty()

    async def fetch(self, ask: rpc_data.AnswerKey) -> rpc_data.AnswerBody:
        """Return a kept answer; `found` is False where there is none.

        Raises:
            RpcError: The platform can't be read.
        """
        try:
            body = await self._read(ask.request_id)
        except object_data.ObjectApiError as exc:
            raise rpc.RpcError('UNAVAILABLE', str(exc)) from exc
        self._counts['fetched'] += 1
        found = body is not None
        return rpc_data.AnswerBody(ask.request_id, body or b'', found)

    async def _read(self, request_id: str) -> bytes | None:
        first = await self._api.read(_key(request_id, FIRST))
        if first is None:
            return None
        count, _, start = first.value.partition(b'\n')
        keys = [_key(request_id, number) for number in range(1, int(count))]
        rest = await asyncio.gather(*map(self._api.read, keys))
        parts = [part.value for part in rest if part is not None]
        if len(parts) < len(rest):
            return None
        return b''.join((start, *parts))

    async def _write(self, key: str, value: bytes) -> bool:
        try:
            await self._api.write(key, value, 0)
        except object_data.ConflictError:
            return True
        except object_data.ObjectApiError:
            return False
        return True


def _key(request_id: str, number: int) -> str:
    return f'{PREFIX}{request_id}/{number}'
