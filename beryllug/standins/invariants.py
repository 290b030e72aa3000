"""Invariants, checked against the records of the external services."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from beryllug.core import config_data, journal_data
from beryllug.parsing import chat_response
from beryllug.standins import (
    caller,
    engine_responses,
    harness,
    records,
    traffic,
)

OK = 200
CREATED = 201
BAD_REQUEST = 400
REQUEST_ID = 'x-beryllug-request-id'
REPLAYED = 'x-beryllug-replayed'


class Report(NamedTuple):
    """Request counts of a run and its invariant violations."""

    requests: int
    answered: int
    refused: int
    broken: int
    billed: int
    codes: dict[str, int]
    violations: tuple[str, ...]

    def line(self) -> str:
        """Render as one line."""
        return (
            f'requests={self.requests} answered={self.answered} '
            f'refused={self.refused} broken={self.broken} '
            f'billed={self.billed} violations={len(self.violations)} '
            f'codes={self.codes}'
        )


def check(
    fleet: harness.Fleet,
    sent: Sequence[traffic.Sent],
    document: config_data.Document,
) -> Report:
    """Check every invariant over all sent requests.

    Args:
        fleet: The deployment; all pending journal rows must be flushed.
        sent: Every request with its response.
        document: A document that permits whatever any document used in the
            run permitted.

    Returns:
        Counts and violations.
    """
    bills = records.outcome_rows(fleet)
    violations = [
        *_billed_once(bills),
        *_answers_are_billed(sent, bills),
        *_answers_are_own(sent),
        *_runs_are_allowed(fleet, document),
        *_ran_at_most_once(fleet, sent),
        *_not_run_claims_hold(fleet, sent),
    ]
    answered = sum(_is_answer(item) for item in sent)
    broken = sum(item.reply.status == 0 for item in sent)
    return Report(
        requests=len(sent),
        answered=answered,
        refused=len(sent) - answered - broken,
        broken=broken,
        billed=len(bills),
        codes=dict(Counter(_code(item) for item in sent if _code(item))),
        violations=tuple(violations),
    )


def _billed_once(
    bills: dict[str, list[journal_data.Row]],
) -> Iterable[str]:
    for request_id, rows in bills.items():
        if len(rows) > 1:
            yield f'{request_id} is billed {len(rows)} times'


def _answers_are_billed(
    sent: Sequence[traffic.Sent], bills: dict[str, list[journal_data.Row]]
) -> Iterable[str]:
    for item in sent:
        if not _is_answer(item):
            continue
        request_id = item.reply.headers[REQUEST_ID]
        states = {row.state for row in bills.get(request_id, ())}
        if journal_data.OutcomeState.DONE not in states:
            yield f'{request_id} was answered but has no bill: {states}'


def is_complete_response(reply: caller.Reply, prompt: str) -> bool:
    """Return whether a text response is complete and answers this prompt.

    A cascade stage runs under the request id followed by the stage number.
    """
    request_id = reply.headers[REQUEST_ID]
    text = chat_response.extract_text(reply.body)
    return any(
        engine_responses.is_complete(text, run_id, prompt)
        for run_id in (request_id, f'{request_id}.0')
    )


def _answers_are_own(sent: Sequence[traffic.Sent]) -> Iterable[str]:
    """Check that each response has its request's id and a valid hash."""
    for item in sent:
        is_text = _is_answer(item) and item.kind not in {'lookup', 'hold'}
        if is_text and not is_complete_response(item.reply, item.prompt):
            request_id = item.reply.headers[REQUEST_ID]
            yield f'{request_id} got an answer that is not its own or not whole'


def _runs_are_allowed(
    fleet: harness.Fleet, document: config_data.Document
) -> Iterable[str]:
    allowed = {
        account.account_id: account.allowed for account in document.accounts
    }
    for run in records.engine_runs_of(fleet):
        patterns = allowed.get(run.account_id, ())
        wanted = {
            (run.model, run.version),
            (run.model, config_data.ANY_VERSION),
        }
        if wanted.isdisjoint(patterns):
            yield f'{run.request_id} ran on {run.model}@{run.version}'


def _ran_at_most_once(
    fleet: harness.Fleet, sent: Sequence[traffic.Sent]
) -> Iterable[str]:
    holds = Counter(
        run.idempotency_key
        for run in records.plain_runs_of(fleet)
        if run.idempotency_key
    )
    for key, count in holds.items():
        if count > 1:
            yield f'the hold under {key} ran {count} times'
    reports = {
        engine_responses.digest(item.prompt)
        for item in sent
        if item.kind == 'report'
    }
    runs = Counter(
        run.prompt_hash
        for run in records.engine_runs_of(fleet)
        if run.prompt_hash in reports
    )
    for prompt_hash, count in runs.items():
        if count > 1:
            yield f'the report of prompt {prompt_hash} ran {count} times'


def _not_run_claims_hold(
    fleet: harness.Fleet, sent: Sequence[traffic.Sent]
) -> Iterable[str]:
    ran = {run.request_id for run in records.plain_runs_of(fleet)}
    ran.update(run.request_id for run in records.engine_runs_of(fleet))
    for item in sent:
        request_id = item.reply.headers.get(REQUEST_ID, '')
        not_run = item.reply.error().get('run') == 'not_run'
        if item.reply.status >= BAD_REQUEST and not_run and request_id in ran:
            yield f'{request_id} was refused as not run, but ran'


def _is_answer(item: traffic.Sent) -> bool:
    return item.reply.status in {OK, CREATED}


def _code(item: traffic.Sent) -> str:
    """Return request kind and error code, or empty without an error."""
    code = item.reply.error().get('code', '')
    return f'{item.kind}/{code}' if code else ''
