"""Refusals: why a request got no answer, and whether it ran.

A caller may safely repeat a request that was `not_run`, but must not repeat
one whose run is `unknown`. So `not_run` is reported only if no byte of the
request can have reached a backend server, or if the server itself stated it.
"""

import types
from enum import StrEnum
from typing import Any, NamedTuple


class Run(StrEnum):
    """Whether the request ran on a backend server."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Code(StrEnum):
    """Stable machine-readable reasons for a refusal."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    NOT_ALLOWED = 'not_allowed'
    NOT_FOUND = 'not_found'
    WITHDRAWN = 'withdrawn'
    OVER_LIMIT = 'over_limit'
    DEADLINE = 'deadline'
    NO_SERVER = 'no_server'
    CUT_OFF = 'cut_off'
    KEY_REUSED = 'idempotency_key_reused'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    BACKEND_FAILED = 'backend_failed'
    SUSPECT = 'suspected_of_crashes'
    JOURNAL_UNAVAILABLE = 'journal_unavailable'
    STOPPING = 'stopping'


STATUSES = types.MappingProxyType(
    {
        Code.BAD_REQUEST: 400,
        Code.UNAUTHENTICATED: 401,
        Code.NOT_ALLOWED: 403,
        Code.NOT_FOUND: 404,
        Code.WITHDRAWN: 410,
        Code.OVER_LIMIT: 429,
        Code.DEADLINE: 503,
        Code.NO_SERVER: 503,
        Code.CUT_OFF: 503,
        Code.KEY_REUSED: 422,
        Code.IN_PROGRESS: 409,
        Code.OUTCOME_UNKNOWN: 502,
        Code.BACKEND_FAILED: 502,
        Code.SUSPECT: 422,
        Code.JOURNAL_UNAVAILABLE: 503,
        Code.STOPPING: 503,
    }
)


class Refusal(NamedTuple):
    """Why a request is refused.

    Attributes:
        code: Machine-readable reason.
        message: Explanation for people.
        run: Whether it ran.
        retry_after_s: Seconds after which a retry can succeed; None if a
            retry cannot help.
    """

    code: Code
    message: str
    run: Run = Run.NOT_RUN
    retry_after_s: float | None = None


class RefusedError(Exception):
    """Carries a refusal to the code that writes the response."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal; its message is the exception's text."""
        super().__init__(refusal.message)
        self.refusal = refusal


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return STATUSES[refusal.code]


def headers_of(refusal: Refusal) -> dict[str, str]:
    """Return the headers of a refusal: Retry-After in whole seconds."""
    if refusal.retry_after_s is None:
        return {}
    return {'retry-after': str(max(1, round(refusal.retry_after_s)))}


def body_of(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the JSON body, in the form that OpenAI clients expect."""
    return {
        'error': {
            'code': refusal.code.value,
            'type': refusal.code.value,
            'message': refusal.message,
            'run': refusal.run.value,
            'retry_after_s': refusal.retry_after_s,
            'request_id': request_id,
        }
    }
