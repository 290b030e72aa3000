"""The configuration of a control process, and which updates it accepts.

A process accepts only a higher revision, whatever the source. This rule
prevents a stale replica of the platform, a peer that was disconnected or a
delayed old message from restoring a withdrawn version.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from beryllug.core import config_data, document_parts

NEVER = float('-inf')


class ProcessConfig(NamedTuple):
    """The complete configuration that one process uses.

    Attributes:
        revision: Its revision, 0 before the first.
        digests: Digests of its parts, in order.
        chunks: The bytes of these parts, by digest.
        records: The parsed records of these parts, by digest.
        document: The document that consists of these parts.
    """

    revision: int = 0
    digests: tuple[str, ...] = ()
    chunks: Mapping[str, bytes] = {}
    records: Mapping[str, document_parts.Records] = {}
    document: config_data.Document = config_data.Document()


class Splice(NamedTuple):
    """The change from one list of digests to another.

    Attributes:
        head: Number of unchanged digests at the start.
        tail: Number of unchanged digests at the end.
        added: The new digests between them.
    """

    head: int
    tail: int
    added: tuple[str, ...]


class Contact(NamedTuple):
    """Times of the last contact with others, in monotonic seconds."""

    platform_at: float = NEVER
    peer_at: float = NEVER


def build_config(
    revision: int,
    chunks: Mapping[str, bytes],
    before: ProcessConfig,
) -> ProcessConfig:
    """Build a configuration from its parts.

    Args:
        revision: Its revision.
        chunks: The bytes of its parts by digest, in order.
        before: The previous configuration; parts that it shares with the new
            one are not parsed again.

    Raises:
        ValueError: The bytes are not a document.
    """
    records = {
        digest: before.records.get(digest) or document_parts.parse(chunk)
        for digest, chunk in chunks.items()
    }
    document = document_parts.join(records.values())
    return ProcessConfig(revision, tuple(chunks), chunks, records, document)


def newer(held: ProcessConfig, offered: ProcessConfig) -> ProcessConfig:
    """Return the configuration to use: the offered one only if newer."""
    return offered if offered.revision > held.revision else held


def may_accept(contact: Contact, now: float, cut_off_s: float) -> bool:
    """Return whether new work may be accepted.

    A process that reaches neither the platform nor any peer cannot learn of a
    withdrawal. It continues for a bounded time, which limits how long a
    withdrawn version is exposed. An outage of the platform alone has no
    effect: while a peer responds, the two exchange what each of them knows.

    Args:
        contact: Times of the last contact.
        now: Seconds of the monotonic clock.
        cut_off_s: How long the process may continue without any contact.
    """
    return now - max(contact) <= cut_off_s


def splice(old: Sequence[str], new: Sequence[str]) -> Splice:
    """Return the change from one list of digests to another."""
    shorter = min(len(old), len(new))
    head = 0
    while head < shorter and old[head] == new[head]:
        head += 1
    tail = 0
    max_tail = shorter - head
    for before, after in zip(reversed(old), reversed(new)):
        if before != after or tail == max_tail:
            break
        tail += 1
    return Splice(head, tail, tuple(new[head : len(new) - tail]))


def apply_splice(old: Sequence[str], change: Splice) -> tuple[str, ...]:
    """Apply a change to a list of digests."""
    end = len(old) - change.tail
    return (*old[: change.head], *change.added, *old[end:])
