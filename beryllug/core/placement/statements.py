"""What a backend server states of itself in the head of an answer.

Each header is read here into a record of its own, so that none is known to
the adapter alone; who acts on it matches on the record.
"""

import math
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

from beryllug.core.placement import server_limits

LEAVES = '1'
STAYS = '0'
# Statuses by which a server refuses a request for what it has to do.
REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
# Most seconds that a process stays away: a number may be wrong.
MOST_BACK_OFF_S = 3600.0


class Texts(NamedTuple):
    """The headers by which a server states something, as they came.

    Attributes:
        limit: Requests a second that it takes from all processes together.
        leaving: Whether it is about to stop.
        retry_after: Seconds for which it wants nothing from the sender.
    """

    limit: str = ''
    leaving: str = ''
    retry_after: str = ''


@dataclass(frozen=True, slots=True)
class RateLimit:
    """It takes so many requests a second; None where it names no limit."""

    per_s: float | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """It is about to stop and takes no new requests."""


@dataclass(frozen=True, slots=True)
class BackOff:
    """It refuses, and wants no request of this process for so long."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A header says something that can't be read.

    Attributes:
        what: What it is about.
        text: What stands there.
    """

    what: str
    text: str


Statement = RateLimit | Leaving | BackOff | Unreadable


def read(
    texts: Texts, status: int, *, is_sealed: bool
) -> tuple[Statement, ...]:
    """Return what an answer states of its server.

    Args:
        texts: The headers.
        status: The answer's HTTP status.
        is_sealed: Whether the answer is whole and the server's own: only such
            a one tells by the lack of a header that nothing is stated.
    """
    return (
        *_limit(texts.limit, is_sealed=is_sealed),
        *_leaving(texts.leaving),
        *(_back_off(texts.retry_after) if status in REFUSALS else ()),
    )


def _limit(text: str, *, is_sealed: bool) -> tuple[Statement, ...]:
    if not text:
        return (RateLimit(None),) if is_sealed else ()
    per_s = server_limits.read(text)
    if per_s is None:
        return (Unreadable('limit', text),)
    return (RateLimit(per_s),)


def _leaving(text: str) -> tuple[Statement, ...]:
    # A header that comes twice is joined by a comma.
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
    return (BackOff(min(seconds, MOST_BACK_OFF_S)),)
