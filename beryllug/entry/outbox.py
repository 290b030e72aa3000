"""The outbox: rows sent from an entry to the request journal.

An intent is requested before a dispatch. An outcome is a billing record: if no
control process makes it durable in time, it stays here, counted in the dump,
and is resent until one does.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from absl import logging

from beryllug.core import journal_data, rpc_data
from beryllug.drivers import methods, rpc
from beryllug.entry import batcher, control_calls

CALL_TIMEOUT_S = 5.0
INTENT_TIMEOUT_S = 8.0
RESEND_INTERVAL_S = 0.5
STOP_POLL_S = 0.05
MAX_RESEND = 512
RETRY_AFTER_S = 2.0


class Outbox:
    """Service 'outbox' of an entry process."""

    def __init__(self, calls: control_calls.ControlCalls) -> None:
        """Create an empty outbox over the calls to control processes."""
        self._calls = calls
        self._pending: dict[str, journal_data.Row] = {}
        self._task: asyncio.Task[None] | None = None
        self._intent_batcher = batcher.Batcher(self._send_intents)
        self._outcome_batcher = batcher.Batcher(self._send_outcomes)

    async def start(self) -> None:
        """Start resending pending rows."""
        self._task = asyncio.create_task(self._resend_loop())

    async def stop(self, grace_s: float) -> None:
        """Wait for pending rows to be sent, within the grace period."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        while self._pending and loop.time() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        if self._pending:
            logging.error('event=outcomes_lost rows=%d', len(self._pending))
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the number of pending rows and the time of the oldest."""
        oldest = min((row.at for row in self._pending.values()), default=None)
        return {'owed': len(self._pending), 'oldest_at': oldest}

    async def begin(self, row: journal_data.Row) -> journal_data.Grant:
        """Ask the owner of the shard to make an intent durable."""
        return await self._intent_batcher.submit(row)

    async def finish(self, row: journal_data.Row, wait_s: float) -> bool:
        """Make an outcome durable, waiting a bounded time.

        Returns:
            Whether it is durable. If not, it stays pending and is resent.
        """
        self._pending[row.request_id] = row
        try:
            async with asyncio.timeout(wait_s):
                durable = await self._outcome_batcher.submit(row)
        except (rpc.RpcError, TimeoutError):
            return False
        if durable:
            self._pending.pop(row.request_id, None)
        return durable

    async def lookup(
        self, request: rpc_data.LookupRequest
    ) -> rpc_data.LookupReply:
        """Look up the latest row of a kind under a key."""
        try:
            return await self._calls.call(
                methods.LOOKUP, request, CALL_TIMEOUT_S
            )
        except rpc.RpcError:
            return rpc_data.LookupReply(None, available=False)

    async def _send_intents(
        self, rows: Sequence[journal_data.Row]
    ) -> Sequence[journal_data.Grant]:
        batch = rpc_data.IntentBatch(tuple(rows))
        try:
            reply = await self._calls.call(
                methods.BEGIN, batch, INTENT_TIMEOUT_S
            )
        except rpc.RpcError as exc:
            logging.warning('event=begin_failed error=%s', exc)
            return [self._withdraw(row) for row in rows]
        return reply.grants

    async def _send_outcomes(
        self, rows: Sequence[journal_data.Row]
    ) -> Sequence[bool]:
        batch = rpc_data.OutcomeBatch(tuple(rows))
        ack = await self._calls.call(methods.FINISH, batch, CALL_TIMEOUT_S)
        return ack.durable

    def _withdraw(self, row: journal_data.Row) -> journal_data.Grant:
        """Withdraw an intent whose grant did not arrive.

        The intent may be durable although it will never run. Without an
        outcome, every resend under its key would get "unknown". This process
        knows that it was not run and records that in the journal.
        """
        self._pending[row.request_id] = row._replace(
            kind=journal_data.RowKind.OUTCOME,
            state=journal_data.OutcomeState.NOT_RUN,
        )
        return journal_data.Grant(
            journal_data.GrantKind.UNAVAILABLE,
            row.request_id,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _resend_loop(self) -> None:
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            rows = list(self._pending.values())[:MAX_RESEND]
            if rows:
                await self._resend_rows(rows)

    async def _resend_rows(self, rows: list[journal_data.Row]) -> None:
        try:
            durable = await self._send_outcomes(rows)
        except rpc.RpcError:
            return
        for row, done in zip(rows, durable, strict=True):
            if done:
                self._pending.pop(row.request_id, None)
