"""What servers may expect of a router that they have told something.

The arrivals of one server at one router's hands are held against what the
server has said to that router before.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from beryllug.standins import platform_runner

# Seconds after a refusal in which requests may still be under way, and the
# requests that a router may send to a server before it may come back.
UNDER_WAY_S = 0.5
MOST_IN_BACKOFF = 2


class Breach(NamedTuple):
    """A request that should not have reached its server.

    Attributes:
        attempt_id: Its id.
        said_at: Monotonic second at which the server had said so.
        at: Monotonic second at which it came.
    """

    attempt_id: str
    said_at: float
    at: float


def after_leaving(
    arrivals: Iterable[platform_runner.Arrival], drain_s: float
) -> list[Breach]:
    """Return requests that came too long after the server said it leaves.

    Args:
        arrivals: What one router sent, in its order.
        drain_s: Seconds in which requests may still come.
    """
    said_at = float('inf')
    breaches = []
    for each in arrivals:
        if each.at > said_at + drain_s:
            breaches.append(Breach(each.attempt_id, said_at, each.at))
        if each.answered.is_leaving:
            said_at = min(said_at, each.at)
    return breaches


def during_backoff(
    arrivals: Sequence[platform_runner.Arrival],
) -> list[Breach]:
    """Return requests beyond those that may come before the time to come back.

    Args:
        arrivals: What one router sent, in its order.
    """
    breaches: dict[str, Breach] = {}
    for said in arrivals:
        retry_after_s = said.answered.retry_after_s
        if retry_after_s is None:
            continue
        came = [
            each
            for each in arrivals
            if said.at + UNDER_WAY_S < each.at < said.at + retry_after_s
        ]
        for each in came[MOST_IN_BACKOFF:]:
            breach = Breach(each.attempt_id, said.at, each.at)
            breaches.setdefault(each.attempt_id, breach)
    return list(breaches.values())
