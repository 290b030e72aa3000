"""What a backend server states about itself in the headers of an answer.

Each header is parsed here into a record of its own, so that the
platform adapter is not the only place that knows it; users match on the record.
"""

import math
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

from beryllug.core.placement import full_servers, server_limits

LEAVES = '1'
STAYS = '0'
# Statuses by which a server refuses a request because of its load.
REFUSAL_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
# Maximum back-off in seconds: the stated number may be wrong.
MAX_BACK_OFF_S = 3600.0


class HeaderValues(NamedTuple):
    """Unparsed header values by which a server states something.

    Attributes:
        limit: Requests a second that it takes from all processes together.
        leaving: Whether it is about to stop.
        retry_after: Seconds for which it wants no requests from the sender.
        brittle: Requests that it may turn away in a second, from all processes
            together, without falling over.
    """

    limit: str = ''
    leaving: str = ''
    retry_after: str = ''
    brittle: str = ''


@dataclass(frozen=True, slots=True)
class RateLimit:
    """It takes this many requests a second; None where it states no limit."""

    per_s: float | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """It is about to stop and takes no new requests."""


@dataclass(frozen=True, slots=True)
class BackOff:
    """It refuses, and wants no request of this process for `seconds`."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Brittle:
    """It falls over if it turns away more requests in a second than this.

    None where it bears any number.
    """

    per_s: float | None


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A header with a value that cannot be parsed.

    Attributes:
        what: Which header it is.
        text: Its value.
    """

    what: str
    text: str


Statement = RateLimit | Leaving | BackOff | Brittle | Unreadable


def read(
    texts: HeaderValues, status: int, *, is_sealed: bool
) -> tuple[Statement, ...]:
    """Return what an answer states about its server.

    Args:
        texts: The headers.
        status: The answer's HTTP status.
        is_sealed: Whether the answer is complete and from the server itself:
            only then does a missing header mean that nothing is stated.
    """
    return (
        *_limit(texts.limit, is_sealed=is_sealed),
        *_leaving(texts.leaving),
        *(_back_off(texts.retry_after) if status in REFUSAL_STATUSES else ()),
        *_brittle(texts.brittle, is_sealed=is_sealed),
    )


def _limit(text: str, *, is_sealed: bool) -> tuple[Statement, ...]:
    if not text:
        return (RateLimit(None),) if is_sealed else ()
    per_s = server_limits.read(text)
    if per_s is None:
        return (Unreadable('limit', text),)
    return (RateLimit(per_s),)


def _brittle(text: str, *, is_sealed: bool) -> tuple[Statement, ...]:
    if not text:
        return (Brittle(None),) if is_sealed else ()
    per_s = full_servers.read(text)
    if per_s is None:
        return (Unreadable('brittle', text),)
    return (Brittle(per_s),)


def _leaving(text: str) -> tuple[Statement, ...]:
    # A repeated header is joined by a comma.
    stated = {part.strip() for part in text.split(',')}
    if LEAVES in stated:
        return (Leaving(),)
    if text and stated != {STAYS}:
        return (Unreadable('leaving', text),)
    return ()


def _back_off(text: str) -> tuple[Statement, ...]:
    if not text:
        return ()
    try:
        seconds = max(float(part) for part in text.split(','))
    except ValueError:
        return (Unreadable('retry-after', text),)
    if not math.isfinite(seconds) or seconds < 0:
        return (Unreadable('retry-after', text),)
    return (BackOff(min(seconds, MAX_BACK_OFF_S)),)
