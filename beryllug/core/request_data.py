"""What a decision needs to know of one request.

The entry builds a `Facts` when a request has been read and hands it to every
deciding function, so that none of them sees HTTP, a socket or the prompt.
"""

from enum import IntEnum
from typing import NamedTuple

from beryllug.core import config_data

URGENT_TOTAL_MS = 5000
NORMAL_TOTAL_MS = 60000
MS = 1000


class Priority(IntEnum):
    """Order in which engines serve what waits; lower goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Facts(NamedTuple):
    """One request, as the deciding functions see it.

    Attributes:
        request_id: Unique id of the request.
        account_id: The client account.
        request_class: Class whose targets hold, as ``lookup``.
        asked: Model, cascade or service that the caller named.
        session_key: Session of the caller, or the request id without one.
        prefix_key: Digest of the start of the prompt, or empty.
        tokens_in: Estimated tokens of the prompt.
        tokens_out: Most tokens of the answer.
        repeatable: False for a request that is not idempotent.
        arrived_at: Second of the process's clock at which it was read.
        targets: Service targets of its class.
    """

    request_id: str
    account_id: str
    request_class: str
    asked: str
    session_key: str
    prefix_key: str
    tokens_in: int
    tokens_out: int
    repeatable: bool
    arrived_at: float
    targets: config_data.Targets


def priority(targets: config_data.Targets) -> Priority:
    """Return the priority that a class's targets call for.

    It follows from the declared targets and not from the name of the class,
    so operators can add classes without a change here.
    """
    if targets.total_ms <= URGENT_TOTAL_MS:
        return Priority.URGENT
    if targets.total_ms <= NORMAL_TOTAL_MS:
        return Priority.NORMAL
    return Priority.BULK


def first_token_by(facts: Facts) -> float:
    """Return the second by which the first token is owed."""
    return facts.arrived_at + facts.targets.first_token_ms / MS


def complete_by(facts: Facts) -> float:
    """Return the second by which the whole answer is owed."""
    return facts.arrived_at + facts.targets.total_ms / MS
