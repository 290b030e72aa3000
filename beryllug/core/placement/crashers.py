"""Requests that crash each backend server that runs them.

Sent again and again, by any process, such a request takes a service down one
server after the other. A broken connection alone says little: servers reset
connections and live on. So a request is held against a server only if its
connection broke there and the server was lost within seconds, and it is
refused once that has happened at three servers without a good answer between.
Processes tell one another of losses, which add up in any order.

The product's own door keeps `core.suspects` for it, where each request has a
record and a control process decides who may try it again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

# Seconds between a connection that broke and its server's being found gone:
# the platform drops an entry after three missed heartbeats of 1.2 s.
FOUND_WITHIN_S = 6.0
# Servers that a request may cost before it is refused. A request that shared
# its server with one that crashes is innocent; it seldom does so three times.
MOST_LOST = 3
# Seconds for which it is refused, from the last loss on. Then one process
# after the other tries it again, which costs a server at most each time.
REFUSED_S = 60.0
MOST_KNOWN = 500


class Loss(NamedTuple):
    """A server that was lost while a request ran on it."""

    fingerprint: str
    instance: str


@dataclass(slots=True)
class Crashers:
    """What is known of requests that servers were lost under.

    Attributes:
        broken: Requests whose connection broke, by instance, with the second.
        losses: Servers lost by fingerprint, with the second of the loss.
        untold: Losses that peers are still to be told of.
    """

    broken: dict[str, dict[str, float]] = field(default_factory=dict)
    losses: dict[str, dict[str, float]] = field(default_factory=dict)
    untold: list[Loss] = field(default_factory=list)


def broke(state: Crashers, loss: Loss, now: float) -> None:
    """Note that a request's connection to a server broke."""
    at_server = state.broken.pop(loss.instance, {})
    at_server[loss.fingerprint] = now
    state.broken[loss.instance] = at_server
    _trim(state.broken)


def lost(state: Crashers, instance: str, now: float) -> list[Loss]:
    """Take that a server is gone; returns whom it is held against."""
    at_server = state.broken.pop(instance, {})
    found = [
        Loss(fingerprint, instance)
        for fingerprint, at in at_server.items()
        if now - at <= FOUND_WITHIN_S
    ]
    take(state, found, now)
    state.untold.extend(found)
    return found


def take(state: Crashers, told: Iterable[Loss], now: float) -> None:
    """Take losses, of this process or told by a peer."""
    for fingerprint, instance in told:
        known = state.losses.pop(fingerprint, {})
        known.setdefault(instance, now)
        state.losses[fingerprint] = known
    _trim(state.losses)


def tell(state: Crashers) -> tuple[Loss, ...]:
    """Return what peers are to be told of, once."""
    untold = tuple(state.untold)
    state.untold.clear()
    return untold


def answered(state: Crashers, fingerprint: str) -> None:
    """Take a good answer: the request does not crash servers."""
    state.losses.pop(fingerprint, None)


def refused_s(state: Crashers, fingerprint: str, now: float) -> float:
    """Return the seconds for which a request is refused; 0 if it is not."""
    known = state.losses.get(fingerprint, {})
    if len(known) < MOST_LOST:
        return 0
    return max(max(known.values()) + REFUSED_S - now, 0)


def _trim(known: dict[str, dict[str, float]]) -> None:
    while len(known) > MOST_KNOWN:
        known.pop(next(iter(known)))
