"""Checks that a router honours what backend servers announced to it.

Compares the requests that one router sent to one server with what the server
had previously announced to that router.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from beryllug.standins import platform_runner

# Seconds after a refusal during which requests may still be in flight, and
# the requests that a router may send to a server before its retry time.
IN_FLIGHT_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2


class Violation(NamedTuple):
    """A request that should not have reached its server.

    Attributes:
        attempt_id: Id of the attempt.
        announced_at: Monotonic time of the server's announcement, in seconds.
        at: Monotonic time at which the request arrived, in seconds.
    """

    attempt_id: str
    announced_at: float
    at: float


def find_after_leaving(
    arrivals: Iterable[platform_runner.ReceivedRequest], drain_s: float
) -> list[Violation]:
    """Return requests that arrived too long after the server began to leave.

    Args:
        arrivals: Requests from one router, in order of arrival.
        drain_s: Seconds during which requests may still arrive.
    """
    said_at = float('inf')
    violations = []
    for arrival in arrivals:
        if arrival.at > said_at + drain_s:
            violations.append(
                Violation(arrival.attempt_id, said_at, arrival.at)
            )
        if arrival.answered.is_leaving:
            said_at = min(said_at, arrival.at)
    return violations


def find_during_backoff(
    arrivals: Sequence[platform_runner.ReceivedRequest],
) -> list[Violation]:
    """Return excess requests that arrived before the server's retry time.

    Args:
        arrivals: Requests from one router, in order of arrival.
    """
    violations: dict[str, Violation] = {}
    for notice in arrivals:
        retry_after_s = notice.answered.retry_after_s
        if retry_after_s is None:
            continue
        received = [
            arrival
            for arrival in arrivals
            if notice.at + IN_FLIGHT_S < arrival.at < notice.at + retry_after_s
        ]
        for arrival in received[MAX_REQUESTS_IN_BACKOFF:]:
            violation = Violation(arrival.attempt_id, notice.at, arrival.at)
            violations.setdefault(arrival.attempt_id, violation)
    return list(violations.values())
