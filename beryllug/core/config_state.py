"""What a control process holds of the configuration, and what it takes.

A process takes a higher revision and nothing else, from whomever it comes.
That one rule keeps a stale replica of the platform, a peer that was away and
an old message that arrives late from bringing a withdrawn version back.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from beryllug.core import config_data, document_parts

NEVER = float('-inf')


class Held(NamedTuple):
    """A whole configuration in force at one process.

    Attributes:
        revision: Its revision, 0 before the first.
        digests: Digests of its parts, in order.
        chunks: The bytes of these parts, by digest.
        records: What these parts hold, by digest.
        document: The document they make.
    """

    revision: int = 0
    digests: tuple[str, ...] = ()
    chunks: Mapping[str, bytes] = {}
    records: Mapping[str, document_parts.Records] = {}
    document: config_data.Document = config_data.Document()


class Splice(NamedTuple):
    """How a list of digests follows from another.

    Attributes:
        head: How many stay at the start.
        tail: How many stay at the end.
        added: What stands between them.
    """

    head: int
    tail: int
    added: tuple[str, ...]


class Contact(NamedTuple):
    """When this process last heard from others, in monotonic seconds."""

    platform_at: float = NEVER
    peer_at: float = NEVER


def hold(
    revision: int,
    chunks: Mapping[str, bytes],
    before: Held,
) -> Held:
    """Put a configuration together.

    Args:
        revision: Its revision.
        chunks: The bytes of its parts by digest, in order.
        before: What was held before; parts that it shares with the new
            configuration are not parsed again.

    Raises:
        ValueError: The bytes are no document.
    """
    records = {
        digest: before.records.get(digest) or document_parts.parse(chunk)
        for digest, chunk in chunks.items()
    }
    document = document_parts.join(records.values())
    return Held(revision, tuple(chunks), chunks, records, document)


def newer(held: Held, offered: Held) -> Held:
    """Return which of two configurations is to be in force."""
    return offered if offered.revision > held.revision else held


def may_accept(contact: Contact, now: float, cut_off_s: float) -> bool:
    """Tell whether new work may be taken.

    A process that reaches neither the platform nor any peer can't learn of
    a withdrawal. It goes on for a bounded time, so the withdrawn version is
    exposed no longer than that. An outage of the platform alone changes
    nothing: while a peer answers, the two share what either of them knows.

    Args:
        contact: Whom this process heard from last.
        now: Seconds of the monotonic clock.
        cut_off_s: How long it may go on without hearing from anyone.
    """
    return now - max(contact) <= cut_off_s


def splice(old: Sequence[str], new: Sequence[str]) -> Splice:
    """Return how one list of digests follows from another."""
    shorter = min(len(old), len(new))
    head = 0
    while head < shorter and old[head] == new[head]:
        head += 1
    tail = 0
    most = shorter - head
    for before, after in zip(reversed(old), reversed(new)):
        if before != after or tail == most:
            break
        tail += 1
    return Splice(head, tail, tuple(new[head : len(new) - tail]))


def spliced(old: Sequence[str], change: Splice) -> tuple[str, ...]:
    """Return the list that follows from another by a splice."""
    end = len(old) - change.tail
    return (*old[: change.head], *change.added, *old[end:])
