"""Rows of the request journal and the messages about them.

A shard of the journal belongs to one control process at a time. A
non-idempotent request has two rows: an intent, durable before dispatch, and
an outcome. Every other request has an outcome only. The outcome is also the
billing record.
"""

from enum import StrEnum
from typing import NamedTuple


class RowKind(StrEnum):
    """What a row of the journal records."""

    INTENT = 'intent'
    OUTCOME = 'outcome'
    SESSION = 'session'
    SUSPECT = 'suspect'


class OutcomeState(StrEnum):
    """How a request ended."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class StageUse(NamedTuple):
    """Usage of one stage of a request: a line item of its billing record."""

    model: str
    version: str
    server_id: str
    tokens_in: int
    tokens_out: int
    cost_micro: int


class StoredAnswer(NamedTuple):
    """An answer kept for a resend or a later fetch.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: The body, or empty when it is stored in a separate object.
        object_key: Key of the object that holds the body, or empty.
    """

    status: int
    content_type: str
    body: bytes
    object_key: str = ''


class Row(NamedTuple):
    """One row of the journal.

    Attributes:
        kind: What it records.
        request_id: Unique id of the request and of its billing record.
        account_id: The client account.
        shard_key: Idempotency key or request id; with the account it
            selects the shard.
        body_hash: Hex digest of the request, to refuse a key used twice for
            different requests.
        at: Seconds of the wall clock.
        entry: Name of the entry process that took the request.
        state: How it ended; None for an intent.
        stages: Usage, one item per stage.
        answer: The kept answer, if any.
        note: Other details, such as the pinned version of a session row.
        longest_s: Seconds after which the run of an intent must have ended;
            0 when not stated.
    """

    kind: RowKind
    request_id: str
    account_id: str
    shard_key: str
    body_hash: str
    at: float
    entry: str
    state: OutcomeState | None = None
    stages: tuple[StageUse, ...] = ()
    answer: StoredAnswer | None = None
    note: str = ''
    longest_s: float = 0.0


class GrantKind(StrEnum):
    """Answer of a shard's owner to an intent."""

    GRANTED = 'granted'
    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'
    UNAVAILABLE = 'unavailable'


class Grant(NamedTuple):
    """The owner's answer to one intent.

    Attributes:
        kind: GRANTED allows one dispatch; RUNNING, FINISHED and UNKNOWN tell
            of an earlier attempt under the same key; MISMATCH that the key was
            used for another request; UNAVAILABLE that nothing was written.
        request_id: Id of the first attempt, which the caller is told.
        first: The outcome row of the first attempt when it has finished.
        valid_s: Seconds for which GRANTED may be used, counted from when
            the intent was sent.
        retry_after_s: Seconds after which a retry may succeed, for UNAVAILABLE.
        doubtful: With UNAVAILABLE, that the owner's reply was lost and the
            intent may be durable. The entry then cancels it by an outcome
            NOT_RUN; otherwise every resend would get UNKNOWN.
        is_owner: False where a process that received a forwarded intent does
            not own its shard; the forwarding process then asks the owner.
    """

    kind: GrantKind
    request_id: str
    first: Row | None = None
    valid_s: float = 0.0
    retry_after_s: float = 0.0
    doubtful: bool = False
    is_owner: bool = True
