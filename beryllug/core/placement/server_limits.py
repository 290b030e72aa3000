"""Limits on requests a second that backend servers name in their answers.

A limit holds for all processes together, from the first answer that names it
to the first answer that no longer does. Answers overtake one another, so one
without a limit ends it only if its request was sent after the limit was heard.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

# Seconds for which the end of a limit is remembered, so that an older word of
# the limit, told by another process, does not bring it back; as long may such
# a word be told.
ENDED_S = 10.0
# Seconds by which the word of another process must be newer. Each hop adds the
# time of a message to its age; without this a word that goes round would seem
# new for ever.
HOP_S = 0.25
# Seconds for which the limit of a server that is not listed is remembered: its
# entry may lapse for a moment.
UNLISTED_S = 60.0


class Word(NamedTuple):
    """What a server was last known to say.

    Attributes:
        per_s: Requests a second that it takes; None where it names no limit.
        at: Monotonic second of which this is known.
    """

    per_s: float | None
    at: float


@dataclass(slots=True)
class Limits:
    """What servers say, by instance; changed by the functions here only."""

    words: dict[str, Word] = field(default_factory=dict)


def read(text: str) -> float | None:
    """Return a limit in requests a second; None where it is no limit."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def take(limits: Limits, instance: str, word: Word) -> bool:
    """Take what a server says; returns whether that differs from before.

    An older word changes nothing, nor does the end of a limit that is unknown.
    """
    before = limits.words.get(instance)
    if before is None:
        if word.per_s is not None:
            limits.words[instance] = word
        return word.per_s is not None
    if word.at <= before.at:
        return False
    limits.words[instance] = word
    return word.per_s != before.per_s


def take_told(limits: Limits, instance: str, word: Word) -> bool:
    """Take what another process has heard of a server, likewise."""
    before = limits.words.get(instance)
    if before is not None and word.at <= before.at + HOP_S:
        return False
    return take(limits, instance, word)


def per_s(limits: Limits, instance: str) -> float | None:
    """Return the limit of a server; None where there is none."""
    word = limits.words.get(instance)
    return word and word.per_s


def limited(limits: Limits) -> frozenset[str]:
    """Return the servers that have a limit."""
    return frozenset(
        instance
        for instance, word in limits.words.items()
        if word.per_s is not None
    )


def forget(limits: Limits, listed: frozenset[str], now: float) -> None:
    """Forget limits that ended long ago, or whose servers are gone."""
    limits.words = {
        instance: word
        for instance, word in limits.words.items()
        if now - word.at < _kept_s(word, is_listed=instance in listed)
    }


def _kept_s(word: Word, *, is_listed: bool) -> float:
    if word.per_s is None:
        return ENDED_S
    return math.inf if is_listed else UNLISTED_S
