"""Answers a resend with the stored answer of its first try."""

from beryllug.core import journal_data, refusal
from beryllug.drivers import http_server
from beryllug.entry import answers, delivery

RETRY_AFTER_S = 1.0


async def replay_first(
    stored_answers: answers.Answers,
    row: journal_data.Row,
    exchange: http_server.Exchange,
) -> None:
    """Answer a resend with the stored answer of its first try.

    Raises:
        RefusedError: The first try has no answer, or it is unreadable now.
    """
    if row.answer is None:
        run = refusal.Run.UNKNOWN
        if row.state is journal_data.OutcomeState.FAILED:
            run = refusal.Run.RAN
        raise refusal.RefusedError(
            refusal.Refusal(
                refusal.Code.OUTCOME_UNKNOWN,
                f'the first try, {row.request_id}, ended without an answer',
                run,
            )
        )
    body = await stored_answers.fetch(row.answer)
    if body is None:
        raise refusal.RefusedError(
            refusal.Refusal(
                refusal.Code.JOURNAL_UNAVAILABLE,
                f'the answer of {row.request_id} can not be read now',
                refusal.Run.RAN,
                RETRY_AFTER_S,
            )
        )
    await delivery.replay(row, row.answer, body, exchange)
