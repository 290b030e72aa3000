"""Stored answers: small ones in the outcome row, large ones in the platform.

The answer of a non-repeatable call must survive the client connection and
the loss of this host. It is stored before its outcome row is written, or held
in memory and retried while the platform is unavailable.
"""

import asyncio
import time
from typing import Any

from absl import logging

from beryllug.core import answer_data, answer_name, journal_data
from beryllug.drivers import methods, rpc
from beryllug.entry import control_calls

INLINE_BYTES = 4096
STORE_TIMEOUT_S = 3.0
FETCH_TIMEOUT_S = 3.0
RESEND_INTERVAL_S = 0.5
MAX_PENDING_BYTES = 16777216


class Answers:
    """Service 'answers' of an entry process."""

    def __init__(self, calls: control_calls.ControlCalls) -> None:
        """Use the given calls to control processes."""
        self._calls = calls
        self._pending: dict[str, bytes] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start retrying answers that could not be stored."""
        self._task = asyncio.create_task(self._resend_loop())

    async def stop(self, grace_s: float) -> None:
        """Store the pending answers within the grace period."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        while self._pending and loop.time() < deadline:
            await self._store_pending()
            await asyncio.sleep(RESEND_INTERVAL_S if self._pending else 0)
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the number and total size of answers not stored yet."""
        size = sum(len(body) for body in self._pending.values())
        return {'owed': len(self._pending), 'owed_bytes': size}

    async def store(
        self,
        request_id: str,
        status: int,
        content_type: str,
        body: bytes,
    ) -> journal_data.StoredAnswer:
        """Store an answer and return its entry for the outcome row."""
        if len(body) <= INLINE_BYTES:
            return journal_data.StoredAnswer(status, content_type, body)
        name = answer_name.make(request_id, time.time())
        if not await self._store(name, body):
            self._add_pending(name, body)
        return journal_data.StoredAnswer(status, content_type, b'', name)

    async def fetch(self, answer: journal_data.StoredAnswer) -> bytes | None:
        """Return the body of a stored answer, None if it is unavailable."""
        if not answer.object_key:
            return answer.body
        pending = self._pending.get(answer.object_key)
        if pending is not None:
            return pending
        request = answer_data.AnswerKey(answer.object_key)
        try:
            reply = await self._calls.call(
                methods.FETCH_ANSWER, request, FETCH_TIMEOUT_S
            )
        except rpc.RpcError:
            return None
        return reply.body if reply.found else None

    async def _store(self, name: str, body: bytes) -> bool:
        request = answer_data.AnswerBody(name, body)
        try:
            reply = await self._calls.call(
                methods.STORE_ANSWER, request, STORE_TIMEOUT_S
            )
        except rpc.RpcError as exc:
            logging.warning('event=answer_store_failed error=%s', exc)
            return False
        return reply.ok

    def _add_pending(self, name: str, body: bytes) -> None:
        """Keep a body in memory, within a bound, until it is stored."""
        size = sum(len(pending) for pending in self._pending.values())
        if size + len(body) > MAX_PENDING_BYTES:
            logging.error('event=answer_dropped name=%s', name)
            return
        self._pending[name] = body

    async def _resend_loop(self) -> None:
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            await self._store_pending()

    async def _store_pending(self) -> None:
        for name, body in list(self._pending.items()):
            if not await self._store(name, body):
                return
            self._pending.pop(name, None)
