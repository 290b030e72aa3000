"""What a backend server states of itself in the head of an answer.

Each header is read here into a record of its own, so that none is known to
the adapter alone; who acts on it matches on the record.
"""

from dataclasses import dataclass
from typing import NamedTuple

from beryllug.core.placement import server_limits

LEAVES = '1'
STAYS = '0'


class Texts(NamedTuple):
    """The headers by which a server states something, as they came.

    Attributes:
        limit: Requests a second that it takes from all processes together.
        leaving: Whether it is about to stop.
    """

    limit: str = ''
    leaving: str = ''


@dataclass(frozen=True, slots=True)
class RateLimit:
    """It takes so many requests a second; None where it names no limit."""

    per_s: float | None


@dataclass(frozen=True, slots=True)
class Leaving:
    """It is about to stop and takes no new requests."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A header says something that can't be read.

    Attributes:
        what: What it is about.
        text: What stands there.
    """

    what: str
    text: str


Statement = RateLimit | Leaving | Unreadable


def read(texts: Texts, *, is_sealed: bool) -> tuple[Statement, ...]:
    """Return what an answer states of its server.

    Args:
        texts: The headers.
        is_sealed: Whether the answer is whole and the server's own: only such
            a one tells by the lack of a header that nothing is stated.
    """
    return (*_limit(texts.limit, is_sealed=is_sealed), *_leaving(texts.leaving))


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
