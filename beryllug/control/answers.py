"""Service 'answers': large answers kept as objects of the platform.

An answer is written once under its request's id, in parts that the platform
takes. Writing it again changes nothing: what is there is the same answer.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.core import answer_data, answer_name, rpc_data
from beryllug.drivers import methods, object_api, object_data, rpc

PREFIX = 'beryllug/answers/'
LEASE = 'answers'
EXPIRE_EVERY_S = 600.0
# A pass takes few of the platform's writes, however much has expired.
DELETE_EVERY_S = 0.1
LOOKED_BACK = 3
PART_BYTES = 900000
FIRST = 0


class Leases(Protocol):
    """What is needed of the leases."""

    def want(self, name: str) -> None:
        """Try to hold a lease from now on."""

    def held(self, name: str, now: float) -> object | None:
        """Return a proof that a lease is held now, or None."""


class Answers:
    """Service 'answers' of a control process."""

    def __init__(
        self,
        api: object_api.ObjectApi,
        held: Leases,
        retention_s: float,
    ) -> None:
        """Bind the platform and the leases.

        Args:
            api: The platform.
            held: One process of the fleet holds the lease to expire answers.
            retention_s: How long answers are kept at the least.
        """
        self._api = api
        self._leases = held
        self._retention_s = retention_s
        self._counts = {'stored': 0, 'fetched': 0, 'failed': 0, 'expired': 0}
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: rpc.RpcServer) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.STORE_ANSWER, self.store)
        server.unary(methods.FETCH_ANSWER, self.fetch)

    async def start(self) -> None:
        """Start to expire what is older than the retention."""
        self._leases.want(LEASE)
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop expiring; what is left is found by the next holder."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return counts of calls."""
        return dict(self._counts)

    async def store(self, ask: answer_data.AnswerBody) -> rpc_data.Empty:
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
            key = _key(ask.name, number)
            if not await self._write(key, head + parts[number]):
                self._counts['failed'] += 1
                return rpc_data.Empty(ok=False)
        self._counts['stored'] += 1
        return rpc_data.Empty()

    async def fetch(self, ask: answer_data.AnswerKey) -> answer_data.AnswerBody:
        """Return a kept answer; `found` is False where there is none.

        Raises:
            RpcError: The platform can't be read.
        """
        try:
            body = await self._read(ask.name)
        except object_data.ObjectApiError as exc:
            raise rpc.RpcError('UNAVAILABLE', str(exc)) from exc
        self._counts['fetched'] += 1
        found = body is not None
        return answer_data.AnswerBody(ask.name, body or b'', found)

    async def expire(self, now: float) -> None:
        """Delete the answers of days that are past the retention.

        Args:
            now: Wall-clock second.

        Raises:
            ObjectApiError: The platform can't be used.
        """
        days = answer_name.expired_days(now, self._retention_s, LOOKED_BACK)
        for day in days:
            listing = await self._api.list_keys(f'{PREFIX}{day}/')
            for entry in listing.entries:
                await self._api.delete(entry.key, entry.version)
                self._counts['expired'] += 1
                await asyncio.sleep(DELETE_EVERY_S)

    async def _run(self) -> None:
        while True:
            if self._leases.held(LEASE, time.monotonic()) is not None:
                try:
                    await self.expire(time.time())
                except object_data.ObjectApiError as exc:
                    logging.warning('event=answers_not_expired error=%s', exc)
            await asyncio.sleep(EXPIRE_EVERY_S)

    async def _read(self, name: str) -> bytes | None:
        first = await self._api.read(_key(name, FIRST))
        if first is None:
            return None
        count, _, start = first.value.partition(b'\n')
        keys = [_key(name, number) for number in range(1, int(count))]
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


def _key(name: str, number: int) -> str:
    return f'{PREFIX}{name}/{number}'
