"""Serves the stored answer of an earlier request by its id.

The answer of a non-repeatable request outlives the client connection. A fetch
returns the same bytes and runs nothing.
"""

import asyncio

from beryllug.core import (
    journal_data,
    refusal,
    request_id,
    rpc_data,
    view_index,
)
from beryllug.drivers import http_data, http_server
from beryllug.entry import intake, flow_dependencies, recovery, replays

PREFIX = '/v1/requests/'
RETRY_AFTER_S = 1.0
RECOVERY_S = 30.0


class FetchFlow:
    """Serves ``GET /v1/requests/ID``."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps
        self._recovery = recovery.Recovery(deps)

    async def serve(
        self,
        req: http_data.Request,
        index: view_index.ViewIndex,
        exchange: http_server.Exchange,
    ) -> None:
        """Return the stored answer of a request of the same account.

        Raises:
            RefusedError: The request is unknown, running or unanswered.
        """
        account = intake.authenticate(req, index)
        wanted_id = req.target[len(PREFIX) :].partition('?')[0]
        if not request_id.is_valid(wanted_id):
            raise _not_found(wanted_id)
        row = await self._find(account.account_id, wanted_id)
        # An id of another account must not differ from one that does not exist.
        if row is None or row.account_id != account.account_id:
            raise _not_found(wanted_id)
        await replays.replay_first(self._deps.answers, row, exchange)

    async def _find(
        self, account_id: str, wanted_id: str
    ) -> journal_data.Row | None:
        outcome = await self._lookup(
            account_id, wanted_id, journal_data.RowKind.OUTCOME
        )
        if outcome is not None:
            return outcome
        intent = await self._lookup(
            account_id, wanted_id, journal_data.RowKind.INTENT
        )
        if intent is None:
            return None
        deadline = asyncio.get_running_loop().time() + RECOVERY_S
        found = await self._recovery.find(account_id, wanted_id, deadline)
        if found is None:
            raise _unfinished(wanted_id)
        return found

    async def _lookup(
        self, account_id: str, wanted_id: str, kind: journal_data.RowKind
    ) -> journal_data.Row | None:
        family = request_id.family_of(wanted_id)
        request = rpc_data.LookupRequest(account_id, family, kind)
        reply = await self._deps.outbox.lookup(request)
        if not reply.available:
            raise _unavailable()
        row = reply.row
        return row if row and row.request_id == wanted_id else None


def _unfinished(wanted_id: str) -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.IN_PROGRESS,
            f'{wanted_id} has no outcome yet',
            refusal.Run.RAN,
            RETRY_AFTER_S,
        )
    )


def _unavailable() -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.JOURNAL_UNAVAILABLE,
            'the journal can not be read now',
            refusal.Run.UNKNOWN,
            RETRY_AFTER_S,
        )
    )


def _not_found(wanted_id: str) -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(refusal.Code.NOT_FOUND, f'no request {wanted_id!r}')
    )
