"""What control processes decide while the platform is down.

The owner of a shard goes on granting from memory while all hold:

- each candidate of its lease has promised to take no lease for a while, and
  finds the platform down too;
- a candidate has a copy of the intent;
- its last renewal is not so long past that others than candidates may take
  the lease.

A new owner asks the candidates for copies before it serves. Where none can
have been made, it need not ask; where some may be lost, it refuses keys that
it does not know for a time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import journal_data, lease_data, outage_data

MAX_COPIES = 20000
COPY_KEPT_S = 7200.0
QUARANTINE_S = 300.0


@dataclass(slots=True)
class Promises:
    """Promises that this process got, by candidate, with their ends."""

    until: dict[str, float] = field(default_factory=dict)


def promised(
    promises: Promises, name: str, sent_at: float, terms: lease_data.Terms
) -> None:
    """Take in a promise; it counts from before it was asked for."""
    promises.until[name] = sent_at + terms.promise_s - terms.margin_s


def covered_until(
    promises: Promises, candidates: Iterable[lease_data.Candidate]
) -> float:
    """Return until when no candidate takes a lease; -inf when one may."""
    ends = [
        promises.until.get(candidate.name, float('-inf'))
        for candidate in candidates
    ]
    return min(ends, default=float('-inf'))


@dataclass(slots=True)
class ShardCopies:
    """Copies of one shard's intents.

    Attributes:
        fencing: Fencing token of the owner that sent them.
        closed: Highest token of an owner that gathered; copies of earlier
            owners are refused from then on.
        since: When the last copy came, monotonic seconds.
        rows: The intents by request id.
    """

    fencing: int = 0
    closed: int = 0
    since: float = 0.0
    rows: dict[str, journal_data.Row] = field(default_factory=dict)


@dataclass(slots=True)
class Copies:
    """Copies that this process keeps for others, by shard."""

    shards: dict[int, ShardCopies] = field(default_factory=dict)


def count(copies: Copies) -> int:
    """Return the number of rows that are kept."""
    return sum(len(shard.rows) for shard in copies.shards.values())


def keep(copies: Copies, ask: outage_data.CopyAsk, now: float) -> bool:
    """Keep copies; False when there are too many, or a new owner gathered."""
    shard = copies.shards.setdefault(ask.shard, ShardCopies())
    late = ask.fencing <= shard.closed or ask.fencing < shard.fencing
    if late or count(copies) + len(ask.rows) > MAX_COPIES:
        return False
    shard.fencing = ask.fencing
    shard.since = now
    shard.rows.update((row.request_id, row) for row in ask.rows)
    return True


def flushed(copies: Copies, ask: outage_data.FlushedAsk) -> None:
    """Drop the copies of an owner that made its rows durable."""
    shard = copies.shards.get(ask.shard)
    if shard is not None and shard.fencing <= ask.fencing:
        shard.rows.clear()


def gather(
    copies: Copies, ask: outage_data.GatherAsk
) -> tuple[journal_data.Row, ...]:
    """Return the copies of a shard for its new owner, and keep them still.

    They are dropped when that owner says that they are durable.
    """
    shard = copies.shards.setdefault(ask.shard, ShardCopies())
    shard.closed = max(shard.closed, ask.fencing - 1)
    return tuple(shard.rows.values())


def expire(copies: Copies, now: float) -> None:
    """Drop copies that nobody claimed for long."""
    for shard in copies.shards.values():
        if now - shard.since > COPY_KEPT_S:
            shard.rows.clear()


class Answer(NamedTuple):
    """A candidate's reply to a gathering, None when it gave none."""

    candidate: lease_data.Candidate
    reply: outage_data.GatherReply | None


def must_gather(before: lease_data.Lease | None, own: Answer) -> bool:
    """Tell whether a new owner has to ask others before it serves.

    Granting from memory takes a promise of every candidate that the lease
    lists. Where this process is listed with this start and promised nothing,
    there was none.

    Args:
        before: The lease as it was taken.
        own: This process as a candidate, and what it would answer itself.
    """
    if before is None or not before.holder:
        return False
    return before.unflushed or not _excludes(before, own)


def is_complete(before: lease_data.Lease, answers: Iterable[Answer]) -> bool:
    """Tell whether no copy can be missing.

    Either all candidates answered with the start that is listed, or one of
    them shows that nothing was granted from memory.
    """
    given = list(answers)
    shown = not before.unflushed and any(
        _excludes(before, answer) for answer in given
    )
    return shown or all(
        answer.reply is not None
        and answer.reply.started == answer.candidate.started
        for answer in given
    )


def _excludes(before: lease_data.Lease, answer: Answer) -> bool:
    """Tell whether a candidate shows that nothing was granted from memory."""
    reply = answer.reply
    if reply is None or reply.promised:
        return False
    started = lease_data.Candidate(answer.candidate.name, reply.started)
    return started in before.candidates


def unclaimed(
    shards: Mapping[int, ShardCopies],
) -> dict[int, int]:
    """Return the number of copies by shard, for a dump."""
    return {shard: len(kept.rows) for shard, kept in shards.items()}
