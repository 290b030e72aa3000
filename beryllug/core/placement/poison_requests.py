"""Detection of requests that crash every backend server that runs them.

Retried by any process, such a poison request takes down one server of a service
after the other. A broken connection alone is weak evidence: servers reset
connections and keep running. A server loss is therefore attributed to a request
only if its connection broke there and the server was lost within seconds, and
the request is refused after three such losses without a successful answer in
between. A server is lost if it refuses connections then, if its entry is
dropped, or if a peer says so. Processes report losses to one another; the order
of reports does not matter.

The product's own entry point uses `core.suspects` instead, where each request
has a record and a control process decides who may retry it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

# Seconds between the end of a run and the latest detection that its server is
# gone: the platform drops an entry after three missed heartbeats of 1.2 s.
DETECTED_WITHIN_S = 6.0
# Server losses after which a request is refused. A harmless request that shared
# its server with a crashing one is rarely affected three times.
MOST_LOST = 3
# Seconds for which it is refused, counted from the last loss. After that one
# process after the other retries it, which costs at most one server each time.
REFUSED_S = 60.0
MAX_TRACKED = 500


class Loss(NamedTuple):
    """A server that was lost while a request ran on it."""

    fingerprint: str
    instance: str


@dataclass(slots=True)
class Crashers:
    """Server losses that are attributed to requests.

    Attributes:
        ended: Requests that a server ran to no answer, by instance, with the
            second at which the run ended.
        lost: Servers that were lost, with the second.
        losses: Lost servers by request fingerprint, with the second of the
            loss.
        untold: Losses that are not reported to peers yet.
    """

    ended: dict[str, dict[str, float]] = field(default_factory=dict)
    lost: dict[str, float] = field(default_factory=dict)
    losses: dict[str, dict[str, float]] = field(default_factory=dict)
    untold: list[Loss] = field(default_factory=list)


def run_ended(state: Crashers, loss: Loss, now: float) -> None:
    """Record that a server has run a request to no answer.

    Its connection broke, or its answer was discarded: a server may crash under
    what it has begun to run, after its answer is no longer wanted.
    """
    at_server = state.ended.pop(loss.instance, {})
    at_server.pop(loss.fingerprint, None)
    at_server[loss.fingerprint] = now
    state.ended[loss.instance] = at_server
    _forget_ended(at_server, now)
    while _is_outdated(next(iter(state.ended.values())), now):
        state.ended.pop(next(iter(state.ended)))


def is_lost(state: Crashers, instance: str) -> bool:
    """Return whether a server is known to be lost."""
    return instance in state.lost


def record_server_lost(
    state: Crashers, instance: str, now: float
) -> list[Loss]:
    """Record that a server is gone; returns the attributed losses."""
    state.lost.setdefault(instance, now)
    _trim(state.lost)
    at_server = state.ended.pop(instance, {})
    found = [
        Loss(fingerprint, instance)
        for fingerprint, at in at_server.items()
        if now - at <= DETECTED_WITHIN_S
    ]
    take(state, found, now)
    state.untold.extend(found)
    return found


def take(state: Crashers, reported: Iterable[Loss], now: float) -> None:
    """Record losses, found by this process or reported by a peer."""
    for fingerprint, instance in reported:
        state.lost.setdefault(instance, now)
        known = state.losses.pop(fingerprint, {})
        known.setdefault(instance, now)
        state.losses[fingerprint] = known
    _trim(state.lost)
    _trim(state.losses)


def pop_unreported(state: Crashers) -> tuple[Loss, ...]:
    """Return the losses that were not reported to peers yet, and clear them."""
    untold = tuple(state.untold)
    state.untold.clear()
    return untold


def answered(state: Crashers, fingerprint: str) -> None:
    """Record a successful answer: the request does not crash servers."""
    state.losses.pop(fingerprint, None)
    for at_server in state.ended.values():
        at_server.pop(fingerprint, None)


def refused_s(state: Crashers, fingerprint: str, now: float) -> float:
    """Return the seconds for which a request is refused; 0 if it is not."""
    lost_at = state.losses.get(fingerprint, {})
    if len(lost_at) < MOST_LOST:
        return 0
    return max(max(lost_at.values()) + REFUSED_S - now, 0)


def _forget_ended(at_server: dict[str, float], now: float) -> None:
    """Forget the first runs of a server while they ended too long ago."""
    while now - next(iter(at_server.values())) > DETECTED_WITHIN_S:
        at_server.pop(next(iter(at_server)))


def _is_outdated(at_server: dict[str, float], now: float) -> bool:
    """Return whether all runs of a server ended too long ago."""
    latest = max(at_server.values(), default=float('-inf'))
    return now - latest > DETECTED_WITHIN_S


def _trim(known: dict[str, Any]) -> None:
    while len(known) > MAX_TRACKED:
        known.pop(next(iter(known)))
