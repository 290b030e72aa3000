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

from beryllug.core import journal_data, lease_data, outage_data

MAX_COPIES = 20000
COPY_KEPT_S = 7200.0
QUARANTINE_S = 300.0


@dataclass(slots=True)
class Promises:
    """Promises that this process got, by lease and candidate.

    Attributes:
        until: When each ends, monotonic seconds.
    """

    until: dict[tuple[str, lease_data.Candidate], float] = field(
        default_factory=dict
    )


def promised(
    promises: Promises,
    name: str,
    reply: outage_data.PromiseReply,
    sent_at: float,
    terms: lease_data.Terms,
) -> None:
    """Take in a promise; it counts from before it was asked for.

    Args:
        promises: The promises so far.
        name: Name of the candidate.
        reply: Its reply.
        sent_at: When it was asked.
        terms: Durations.
    """
    candidate = lease_data.Candidate(name, reply.started)
    end = sent_at + terms.promise_s - terms.margin_s
    for lease_name in reply.names:
        promises.until[lease_name, candidate] = end


def covered_until(
    promises: Promises,
    lease_name: str,
    candidates: Iterable[lease_data.Candidate],
) -> float:
    """Return until when no candidate takes a lease; -inf when one may.

    A candidate counts with the start that the lease lists. One that took
    the lease, was killed and started anew could else promise in good faith,
    and two owners would grant the same keys.
    """
    ends = [
        promises.until.get((lease_name, candidate), float('-inf'))
        for candidate in candidates
    ]
    return min(ends, default=float('-inf'))


def forget_ended(promises: Promises, now: float) -> None:
    """Forget promises that have ended."""
    promises.until = {
        key: end for key, end in promises.until.items() if end > now
    }


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


Replies = Mapping[str, outage_data.GatherReply]


def must_gather(
    before: lease_data.Lease | None,
    own: lease_data.Candidate,
    reply: outage_data.GatherReply,
) -> bool:
    """Tell whether a new owner has to ask others before it serves.

    Granting from memory takes a promise of every candidate that the lease
    lists. Where this process is listed with this start and promised nothing,
    there was none.

    Args:
        before: The lease as it was taken.
        own: This process, with this start.
        reply: What it would answer itself.
    """
    if before is None or not before.holder:
        return False
    return before.unflushed or not _excludes(before, own, reply)


def is_complete(before: lease_data.Lease, replies: Replies) -> bool:
    """Tell whether no copy can be missing.

    Either every candidate replied with the start that is listed, so that it
    has lost nothing, or one of them shows that there are no copies.

    Args:
        before: The lease as it was taken.
        replies: Replies by the name of the candidate, this process's too.
    """
    given = [
        (candidate, replies[candidate.name])
        for candidate in before.candidates
        if candidate.name in replies
    ]
    none_made = any(_excludes(before, *answer) for answer in given)
    if none_made and not before.unflushed:
        return True
    same = [reply.started == listed.started for listed, reply in given]
    return all(same) and len(given) == len(before.candidates)


def _excludes(
    before: lease_data.Lease,
    candidate: lease_data.Candidate,
    reply: outage_data.GatherReply,
) -> bool:
    """Tell whether a candidate shows that nothing was granted from memory."""
    present = candidate._replace(started=reply.started)
    return not reply.promised and present in before.candidates


def unclaimed(
    shards: Mapping[int, ShardCopies],
) -> dict[int, int]:
    """Return the number of copies by shard, for a dump."""
    return {shard: len(kept.rows) for shard, kept in shards.items()}
