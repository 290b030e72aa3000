"""Intents and outcomes of calls: run at most once, billed once.

A non-repeatable call needs an intent from the owner of its journal shard
before its first byte is sent. Every call that ran ends in one outcome row,
which is its billing record.
"""

import time
import types
from collections.abc import Sequence
from typing import Any

from beryllug.core import (
    journal_data,
    refusal,
    request_id,
)
from beryllug.entry import intent_reply, call_data, outbox

OUTCOME_TIMEOUT_S = 2.0
RUNNING_RETRY_S = 1.0
MS = 1000
STATE_BY_RUN = types.MappingProxyType(
    {
        refusal.Run.NOT_RUN: journal_data.OutcomeState.NOT_RUN,
        refusal.Run.RAN: journal_data.OutcomeState.FAILED,
        refusal.Run.UNKNOWN: journal_data.OutcomeState.UNKNOWN,
    }
)


class Bills:
    """Service 'bills' of an entry process."""

    def __init__(self, entry: str, rows: outbox.Outbox) -> None:
        """Use the given outbox for rows of this entry process."""
        self._entry = entry
        self._outbox = rows
        self._counts = {state.value: 0 for state in journal_data.OutcomeState}

    async def start(self) -> None:
        """Do nothing: no background task is needed."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the outbox delivers the pending rows."""

    def dump(self) -> dict[str, Any]:
        """Return the number of outcomes by state."""
        return {'outcomes': dict(self._counts)}

    async def begin(
        self, call: call_data.Call, note: str
    ) -> intent_reply.IntentReply:
        """Request an intent, the permission to run a call once.

        Args:
            call: A non-repeatable call.
            note: Data for a later recovery, such as the version it runs on.

        Returns:
            Permission to run, or the state of its first try.

        Raises:
            RefusedError: It may not run now, and there is no first try.
        """
        total_s = call.facts.targets.total_ms / MS
        row = self._row(call, journal_data.RowKind.INTENT, note)._replace(
            longest_s=total_s + OUTCOME_TIMEOUT_S
        )
        grant = await self._outbox.begin(row)
        match grant.kind:
            case journal_data.GrantKind.GRANTED:
                return intent_reply.MayRun()
            case journal_data.GrantKind.FINISHED if grant.first:
                return intent_reply.Finished(grant.first)
            case (
                journal_data.GrantKind.RUNNING | journal_data.GrantKind.UNKNOWN
            ):
                return intent_reply.Unfinished(
                    grant.request_id, _refusal(grant)
                )
            case _:
                raise refusal.RefusedError(_refusal(grant))

    async def finish_for_lost_entry(
        self,
        intent: journal_data.Row,
        use: journal_data.StageUse,
        answer: journal_data.StoredAnswer,
    ) -> journal_data.Row:
        """Write the outcome of a try whose entry process is gone.

        If that process still writes its own outcome, the owner of the shard
        keeps the first of the two, so the call is billed once.
        """
        state = journal_data.OutcomeState.DONE
        self._counts[state.value] += 1
        row = intent._replace(
            kind=journal_data.RowKind.OUTCOME,
            at=time.time(),
            entry=self._entry,
            state=state,
            stages=(use,),
            answer=answer,
        )
        await self._outbox.finish(row, OUTCOME_TIMEOUT_S)
        return row

    async def finish(
        self,
        call: call_data.Call,
        state: journal_data.OutcomeState,
        stages: Sequence[journal_data.StageUse],
        answer: journal_data.StoredAnswer | None = None,
    ) -> bool:
        """Write the outcome of a call; return whether it is durable."""
        self._counts[state.value] += 1
        row = self._row(call, journal_data.RowKind.OUTCOME, '')._replace(
            state=state, stages=tuple(stages), answer=answer
        )
        return await self._outbox.finish(row, OUTCOME_TIMEOUT_S)

    async def refuse(
        self,
        call: call_data.Call,
        refused: refusal.Refusal,
        earlier_stages: Sequence[journal_data.StageUse] = (),
    ) -> None:
        """Write the outcome of a refused call, if it needs one.

        A call that has no intent and did not run gets no row: it is not
        billed, and no resend looks it up.

        Args:
            call: The call.
            refused: The error returned to the client.
            earlier_stages: Usage of cascade stages that ran before.
        """
        state = STATE_BY_RUN[refused.run]
        not_run = state is journal_data.OutcomeState.NOT_RUN
        if not_run and earlier_stages:
            state = journal_data.OutcomeState.FAILED
        elif not_run and call.facts.repeatable:
            return
        await self.finish(call, state, earlier_stages)

    def _row(
        self, call: call_data.Call, kind: journal_data.RowKind, note: str
    ) -> journal_data.Row:
        return journal_data.Row(
            kind=kind,
            request_id=call.request_id,
            account_id=call.account.account_id,
            shard_key=request_id.family_of(call.request_id),
            body_hash=call.body_hash,
            at=time.time(),
            entry=self._entry,
            note=note,
        )


def _refusal(grant: journal_data.Grant) -> refusal.Refusal:
    """Return the client error for an intent that was not granted."""
    match grant.kind:
        case journal_data.GrantKind.RUNNING:
            return refusal.Refusal(
                refusal.Code.IN_PROGRESS,
                f'the first try is running as {grant.request_id}',
                refusal.Run.RAN,
                RUNNING_RETRY_S,
            )
        case journal_data.GrantKind.UNKNOWN:
            return refusal.Refusal(
                refusal.Code.OUTCOME_UNKNOWN,
                f'the first try, {grant.request_id}, may or may not have run',
                refusal.Run.UNKNOWN,
            )
        case journal_data.GrantKind.MISMATCH:
            return refusal.Refusal(
                refusal.Code.KEY_REUSED,
                'the idempotency key was used for another request',
            )
        case _:
            return refusal.Refusal(
                refusal.Code.JOURNAL_UNAVAILABLE,
                'requests that may run only once are not taken now',
                retry_after_s=grant.retry_after_s,
            )
