"""Decisions of control processes while the platform is unreachable.

The owner of a shard continues to grant from memory while all of these hold:

- each candidate of its lease has promised to acquire no lease for a while,
  and cannot reach the platform either;
- a candidate has a copy of the intent;
- its last renewal is recent enough that only candidates may acquire the
  lease.

A new owner asks the candidates for copies before it serves. If none can have
been made, it does not ask; if some may be lost, it refuses unknown keys for
a while.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from beryllug.core import journal_data, lease_data, outage_data

MAX_COPIES = 20000
COPY_TTL_S = 7200.0
QUARANTINE_S = 300.0


@dataclass(slots=True)
class Promises:
    """Promises received by this process, by lease and candidate.

    Attributes:
        until: When each expires, monotonic seconds.
    """

    until: dict[tuple[str, lease_data.Candidate], float] = field(
        default_factory=dict
    )


def record_promise(
    promises: Promises,
    name: str,
    reply: outage_data.PromiseReply,
    sent_at: float,
    timings: lease_data.LeaseTimings,
) -> None:
    """Record a promise; it counts from before the request was sent.

    Args:
        promises: The promises so far.
        name: Name of the candidate.
        reply: Its reply.
        sent_at: When the request was sent.
        timings: Durations.
    """
    candidate = lease_data.Candidate(name, reply.started)
    end = sent_at + timings.promise_s - timings.margin_s
    for lease_name in reply.names:
        promises.until[lease_name, candidate] = end


def promised_until(
    promises: Promises,
    lease_name: str,
    candidates: Iterable[lease_data.Candidate],
) -> float:
    """Return until when no candidate acquires a lease; -inf when one may.

    A promise counts only from the process start that the lease lists.
    Otherwise a candidate that acquired the lease, was killed and restarted
    could promise without knowing of it, and two owners would grant the same
    keys.
    """
    ends = [
        promises.until.get((lease_name, candidate), float('-inf'))
        for candidate in candidates
    ]
    return min(ends, default=float('-inf'))


def forget_ended(promises: Promises, now: float) -> None:
    """Remove expired promises."""
    promises.until = {
        key: end for key, end in promises.until.items() if end > now
    }


@dataclass(slots=True)
class ShardCopies:
    """Copies of one shard's intents.

    Attributes:
        fencing: Fencing token of the owner that sent them.
        closed: Highest fencing token whose copies are refused, because a
            later owner has gathered the copies.
        since: When the last copy arrived, monotonic seconds.
        rows: The intents by request id.
    """

    fencing: int = 0
    closed: int = 0
    since: float = 0.0
    rows: dict[str, journal_data.Row] = field(default_factory=dict)


@dataclass(slots=True)
class Copies:
    """Copies that this process stores for other owners, by shard."""

    shards: dict[int, ShardCopies] = field(default_factory=dict)


def count(copies: Copies) -> int:
    """Return the number of stored rows."""
    return sum(len(shard.rows) for shard in copies.shards.values())


def store_copies(
    copies: Copies, request: outage_data.CopyRequest, now: float
) -> bool:
    """Store copies; False if there are too many or a new owner gathered."""
    shard = copies.shards.setdefault(request.shard, ShardCopies())
    is_stale = (
        request.fencing <= shard.closed or request.fencing < shard.fencing
    )
    if is_stale or count(copies) + len(request.rows) > MAX_COPIES:
        return False
    shard.fencing = request.fencing
    shard.since = now
    shard.rows.update((row.request_id, row) for row in request.rows)
    return True


def drop_flushed(copies: Copies, request: outage_data.FlushedRequest) -> None:
    """Remove the copies of an owner that made its rows durable."""
    shard = copies.shards.get(request.shard)
    if shard is not None and shard.fencing <= request.fencing:
        shard.rows.clear()


def gather(
    copies: Copies, request: outage_data.GatherRequest
) -> tuple[journal_data.Row, ...]:
    """Return the copies of a shard for its new owner, and keep them.

    They are removed when that owner confirms that they are durable.
    """
    shard = copies.shards.setdefault(request.shard, ShardCopies())
    shard.closed = max(shard.closed, request.fencing - 1)
    return tuple(shard.rows.values())


def expire(copies: Copies, now: float) -> None:
    """Remove copies that have not been gathered or flushed in time."""
    for shard in copies.shards.values():
        if now - shard.since > COPY_TTL_S:
            shard.rows.clear()


Replies = Mapping[str, outage_data.GatherReply]


def must_gather(
    before: lease_data.Lease | None,
    own: lease_data.Candidate,
    reply: outage_data.GatherReply,
) -> bool:
    """Tell whether a new owner must ask other processes before it serves.

    Granting from memory needs a promise of every candidate that the lease
    lists. If this process is listed with this start and promised nothing,
    nothing was granted from memory.

    Args:
        before: The lease before this process acquired it.
        own: This process, with this start.
        reply: The reply that this process itself would send.
    """
    if before is None or not before.holder:
        return False
    return before.unflushed or not _proves_no_copies(before, own, reply)


def is_complete(before: lease_data.Lease, replies: Replies) -> bool:
    """Tell whether no copy can be missing.

    Either every candidate replied with its listed start, so that no memory
    was lost, or one of the replies proves that there are no copies.

    Args:
        before: The lease before this process acquired it.
        replies: Replies by name of the candidate, including this process.
    """
    received = [
        (candidate, replies[candidate.name])
        for candidate in before.candidates
        if candidate.name in replies
    ]
    no_copies = any(_proves_no_copies(before, *answer) for answer in received)
    if no_copies and not before.unflushed:
        return True
    unchanged = [reply.started == listed.started for listed, reply in received]
    return all(unchanged) and len(received) == len(before.candidates)


def _proves_no_copies(
    before: lease_data.Lease,
    candidate: lease_data.Candidate,
    reply: outage_data.GatherReply,
) -> bool:
    """Tell whether a reply proves that nothing was granted from memory."""
    current = candidate._replace(started=reply.started)
    return not reply.promised and current in before.candidates


def copy_counts(
    shards: Mapping[int, ShardCopies],
) -> dict[int, int]:
    """Return the number of copies by shard, for the dump."""
    return {
        shard: len(shard_copies.rows) for shard, shard_copies in shards.items()
    }
