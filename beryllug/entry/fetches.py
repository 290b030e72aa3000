"""Fetch the answer of an earlier request by its id.

An answer of a request that may run only once outlives its caller's
connection. Fetching it again gives the same bytes and is no new request.
"""

from beryllug.core import (
    journal_data,
    refusal,
    request_id,
    rpc_data,
    view_index,
)
from beryllug.drivers import http_data, http_server
from beryllug.entry import answers, intake, outbox, replays

PREFIX = '/v1/requests/'
RETRY_AFTER_S = 1.0


class FetchFlow:
    """Serves ``GET /v1/requests/ID``."""

    def __init__(self, rows: outbox.Outbox, kept: answers.Answers) -> None:
        """Bind the journal and the kept answers."""
        self._outbox = rows
        self._answers = kept

    async def serve(
        self,
        req: http_data.Request,
        index: view_index.ViewIndex,
        exchange: http_server.Exchange,
    ) -> None:
        """Give the kept answer of a request of the same account.

        Raises:
            RefusedError: There is none, it is running, or it is unknown.
        """
        account = intake.authenticate(req, index)
        wanted = req.target[len(PREFIX) :].partition('?')[0]
        if not request_id.is_valid(wanted):
            raise _not_found(wanted)
        row = await self._find(account.account_id, wanted)
        # Another account's id must look just like one that never was.
        if row is None or row.account_id != account.account_id:
            raise _not_found(wanted)
        await replays.replay_first(self._answers, row, exchange)

    async def _find(
        self, account_id: str, wanted: str
    ) -> journal_data.Row | None:
        family = request_id.family_of(wanted)
        for kind in (journal_data.RowKind.OUTCOME, journal_data.RowKind.INTENT):
            ask = rpc_data.LookupAsk(account_id, family, kind)
            reply = await self._outbox.lookup(ask)
            if not reply.available:
                raise _unavailable()
            if reply.row is not None and reply.row.request_id == wanted:
                return _finished(reply.row)
        return None


def _finished(row: journal_data.Row) -> journal_data.Row:
    if row.kind is journal_data.RowKind.OUTCOME:
        return row
    raise refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.IN_PROGRESS,
            f'{row.request_id} has no outcome yet',
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


def _not_found(wanted: str) -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(refusal.Code.NOT_FOUND, f'no request {wanted!r}')
    )
