"""What the decision functions need to know about a request.

The entry builds a `Facts` when a request has been read and passes it to every
decision function, so that none of them depends on HTTP, sockets or the prompt.
"""

from enum import IntEnum
from typing import NamedTuple

from beryllug.core import config_data

URGENT_TOTAL_MS = 5000
NORMAL_TOTAL_MS = 60000
MS = 1000


class Priority(IntEnum):
    """Priority of queued requests in the engines; lower is served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class Facts(NamedTuple):
    """One request, as the decision functions see it.

    Attributes:
        request_id: Unique id of the request.
        account_id: The client account.
        request_class: Class whose targets apply, such as ``lookup``.
        asked: Model, cascade or service that the caller named.
        session_key: Session of the caller, or the request id without one.
        prefix_key: Digest of the start of the prompt, or empty.
        tokens_in: Estimated tokens of the prompt.
        tokens_out: Maximum tokens of the answer.
        repeatable: False for a request that is not idempotent.
        arrived_at: Time of the process's clock at which it was read.
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
    """Return the priority that follows from the targets of a class.

    It depends on the declared targets and not on the name of the class, so
    operators can add classes without a change here.
    """
    if targets.total_ms <= URGENT_TOTAL_MS:
        return Priority.URGENT
    if targets.total_ms <= NORMAL_TOTAL_MS:
        return Priority.NORMAL
    return Priority.BULK


def first_token_by(facts: Facts) -> float:
    """Return the time by which the first token is due."""
    return facts.arrived_at + facts.targets.first_token_ms / MS


def complete_by(facts: Facts) -> float:
    """Return the time by which the whole answer is due."""
    return facts.arrived_at + facts.targets.total_ms / MS
