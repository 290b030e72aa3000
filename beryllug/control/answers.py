"""Service 'answers': large answers stored as objects of the platform.

An answer is written once under its request's id, split into parts of a size
that the platform accepts. Writes are idempotent: an existing object holds the
same answer.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.core import answer_data, answer_name, rpc_data
from beryllug.drivers import methods, object_api, object_data, rpc

PREFIX = 'beryllug/answers/'
EXPIRY_LEASE = 'answers'
EXPIRE_INTERVAL_S = 600.0
# Limits the platform writes of a pass, however many answers have expired.
DELETE_INTERVAL_S = 0.1
EXPIRED_DAYS_CHECKED = 3
PART_BYTES = 900000
FIRST_PART = 0


class Leases(Protocol):
    """The methods of the lease service that are used here."""

    def keep_acquiring(self, name: str) -> None:
        """Start to acquire a lease and keep it."""

    def held(self, name: str, now: float) -> object | None:
        """Return a proof that a lease is held now, or None."""


class Answers:
    """Service 'answers' of a control process."""

    def __init__(
        self,
        api: object_api.ObjectApi,
        leases: Leases,
        retention_s: float,
    ) -> None:
        """Initialize the service.

        Args:
            api: The platform.
            leases: The lease service; only the holder of one lease in the
                fleet deletes expired answers.
            retention_s: Minimum time for which answers are kept.
        """
        self._api = api
        self._leases = leases
        self._retention_s = retention_s
        self._counts = {'stored': 0, 'fetched': 0, 'failed': 0, 'expired': 0}
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the RPC methods."""
        server.unary(methods.STORE_ANSWER, self.store)
        server.unary(methods.FETCH_ANSWER, self.fetch)

    async def start(self) -> None:
        """Start to delete answers that are older than the retention."""
        self._leases.keep_acquiring(EXPIRY_LEASE)
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Stop deletions; the next lease holder continues them."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return counts of calls."""
        return dict(self._counts)

    async def store(self, request: answer_data.AnswerBody) -> rpc_data.Empty:
        """Store an answer; `ok` is False if the platform fails."""
        parts = [
            request.body[start : start + PART_BYTES]
            for start in range(0, len(request.body), PART_BYTES)
        ]
        count = len(parts)
        # The first part holds the number of parts and is written last: a
        # reader that finds it also finds all others.
        for number in reversed(range(count)):
            head = f'{count}\n'.encode() if number == FIRST_PART else b''
            key = _key(request.name, number)
            if not await self._write(key, head + parts[number]):
                self._counts['failed'] += 1
                return rpc_data.Empty(ok=False)
        self._counts['stored'] += 1
        return rpc_data.Empty()

    async def fetch(
        self, request: answer_data.AnswerKey
    ) -> answer_data.AnswerBody:
        """Return a stored answer; `found` is False if there is none.

        Raises:
            RpcError: Reading from the platform failed.
        """
        try:
            body = await self._read(request.name)
        except object_data.ObjectApiError as exc:
            raise rpc.RpcError('UNAVAILABLE', str(exc)) from exc
        self._counts['fetched'] += 1
        found = body is not None
        return answer_data.AnswerBody(request.name, body or b'', found)

    async def expire(self, now: float) -> None:
        """Delete the answers of days that are older than the retention.

        Args:
            now: Wall-clock time in seconds.

        Raises:
            ObjectApiError: A platform call failed.
        """
        days = answer_name.expired_days(
            now, self._retention_s, EXPIRED_DAYS_CHECKED
        )
        for day in days:
            listing = await self._api.list_keys(f'{PREFIX}{day}/')
            for entry in listing.entries:
                await self._api.delete(entry.key, entry.version)
                self._counts['expired'] += 1
                await asyncio.sleep(DELETE_INTERVAL_S)

    async def _run(self) -> None:
        while True:
            if self._leases.held(EXPIRY_LEASE, time.monotonic()) is not None:
                try:
                    await self.expire(time.time())
                except object_data.ObjectApiError as exc:
                    logging.warning('event=answers_not_expired error=%s', exc)
            await asyncio.sleep(EXPIRE_INTERVAL_S)

    async def _read(self, name: str) -> bytes | None:
        first = await self._api.read(_key(name, FIRST_PART))
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
