"""Answer a resend with the answer of its first try."""

from beryllug.core import journal_data, refusal
from beryllug.drivers import http_server
from beryllug.entry import answers, delivery

RETRY_AFTER_S = 1.0


async def replay_first(
    kept: answers.Answers,
    first: journal_data.Row,
    exchange: http_server.Exchange,
) -> None:
    """Answer a resend with the answer of its first try.

    Raises:
        RefusedError: The first try has no answer to give.
    """
    if first.answer is None:
        run = refusal.Run.UNKNOWN
        if first.state is journal_data.OutcomeState.FAILED:
            run = refusal.Run.RAN
        raise refusal.RefusedError(
            refusal.Refusal(
                refusal.Code.OUTCOME_UNKNOWN,
                f'the first try, {first.request_id}, ended without an answer',
                run,
            )
        )
    body = await kept.fetch(first.answer)
    if body is None:
        raise refusal.RefusedError(
            refusal.Refusal(
                refusal.Code.JOURNAL_UNAVAILABLE,
                f'the answer of {first.request_id} can not be read now',
                refusal.Run.RAN,
                RETRY_AFTER_S,
            )
        )
    await delivery.replay(first, first.answer, body, exchange)
