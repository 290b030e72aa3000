"""Decide when to read, renew, acquire and release a lease.

Only monotonic clocks are used. The holder counts from before its renewal was
sent: the renewal cannot have taken effect earlier. A process that waits for
the lease counts from after its read returned: the holder's last renewal
cannot have been sent later. Both allow a margin, and the lease is acquired
by a conditional write that fails if the object has changed since the read,
so the holder's validity ends before the next holder's begins.
"""

from dataclasses import dataclass, field

from beryllug.core import lease_data

# Processes of this rank or a higher one do not read the lease. This bounds
# the reads of a lease whatever the size of the fleet.
MAX_OBSERVERS = 3


@dataclass(frozen=True, slots=True)
class Read:
    """Read the lease object."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write the lease if the object still has the expected version."""

    lease: lease_data.Lease
    expected_version: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until this second of the monotonic clock."""

    until: float


Action = Read | Write | Wait


@dataclass(slots=True)
class LeaseState:
    """What a process knows about one lease.

    Attributes:
        name: Name of the lease.
        version: Last seen version of the object; 0 if it does not exist.
        lease: Its content.
        seen_since: When this version was first seen, or seen again after a
            period in which the platform could not be read.
        read_at: When the object was last read or written.
        known: False until it was read, and after a conflict or an unknown
            result of a write.
        unknown_result_since: When the first write with unknown result was sent;
            None when there is none.
        fencing: Fencing token while this process holds it, or 0.
        valid_until: Second until which this process holds it.
        renewed_at: When the last write that took effect was sent.
        releasing: Whether it is being released.
        acquiring: Whether a write that acquires it is in flight, or has an
            unknown result.
        before: The lease as it was before this process acquired it.
        listed: Candidates in writes with unknown result.
    """

    name: str
    version: int = 0
    lease: lease_data.Lease | None = None
    seen_since: float = 0.0
    read_at: float = float('-inf')
    known: bool = False
    unknown_result_since: float | None = None
    fencing: int = 0
    valid_until: float = float('-inf')
    renewed_at: float = float('-inf')
    releasing: bool = False
    acquiring: bool = False
    before: lease_data.Lease | None = None
    listed: set[lease_data.Candidate] = field(default_factory=set)


def token(
    state: LeaseState, owner: lease_data.Owner, now: float
) -> lease_data.Token | None:
    """Return the token of the lease, or None when it is not held now."""
    if not state.fencing or now >= state.valid_until:
        return None
    return lease_data.Token(
        state.name, owner.name, state.fencing, state.valid_until
    )


def decide(
    state: LeaseState,
    owner: lease_data.Owner,
    timings: lease_data.LeaseTimings,
    claim: lease_data.LeaseClaim,
    now: float,
) -> Action:
    """Choose what to do next about a lease.

    Args:
        state: What is known about it.
        owner: This process.
        timings: Durations.
        claim: Rank and candidates of this process for it.
        now: Second of the monotonic clock.
    """
    if not state.known:
        return Read()
    if state.fencing:
        return _decide_holder(state, timings, claim, now)
    if claim.rank >= MAX_OBSERVERS or state.releasing:
        return Wait(now + timings.lease_s)
    return _decide_waiter(state, owner, timings, claim, now)


def sending(state: LeaseState, write: Write) -> None:
    """Record that a write is about to be sent."""
    state.listed.update(write.lease.candidates)
    if not state.fencing:
        state.acquiring = True
        state.before = state.lease


def candidates(state: LeaseState) -> tuple[lease_data.Candidate, ...]:
    """Return the processes that may acquire a held lease from this process.

    Renewals with unknown result may have listed others.
    """
    known = state.lease.candidates if state.lease else ()
    return tuple(dict.fromkeys((*known, *state.listed)))


def outage_limit(state: LeaseState, timings: lease_data.LeaseTimings) -> float:
    """Return until when only candidates can acquire the lease."""
    return state.renewed_at + timings.fallback_s - timings.margin_s


def record_read(
    state: LeaseState,
    owner: lease_data.Owner,
    timings: lease_data.LeaseTimings,
    version: int,
    lease: lease_data.Lease | None,
    now: float,
) -> None:
    """Record the object as it was read; `now` is after the read."""
    if version < state.version:
        # A lagging replica: acting on it would give up a held lease, or
        # start to count from an old renewal.
        return
    changed = version != state.version
    if changed or now - state.read_at > timings.lease_s / 2:
        state.seen_since = now
    state.version = version
    state.lease = lease
    state.read_at = now
    state.known = True
    if state.unknown_result_since is None:
        state.acquiring = False
    if lease is None or not _is_own(lease, owner):
        _set_not_held(state)
    elif changed and state.unknown_result_since is not None:
        _set_held(state, timings, lease, state.unknown_result_since)


def record_write(
    state: LeaseState,
    timings: lease_data.LeaseTimings,
    write: Write,
    version: int,
    sent_at: float,
    now: float,
) -> None:
    """Record that a write took effect; `sent_at` is before it was sent."""
    state.version = version
    state.lease = write.lease
    state.seen_since = now
    state.read_at = now
    state.unknown_result_since = None
    state.acquiring = False
    state.listed.clear()
    if write.lease.holder:
        _set_held(state, timings, write.lease, sent_at)
    else:
        _set_not_held(state)


def record_conflict(state: LeaseState) -> None:
    """Record that a write found another version; a read must come next."""
    state.known = False


def record_unknown_result(state: LeaseState, sent_at: float) -> None:
    """Record that a write may have taken effect.

    The sending time of the first such write is kept: if a later one finds a
    changed object, the change may be the first write's, and other processes
    may already count from it.
    """
    state.known = False
    if state.unknown_result_since is None:
        state.unknown_result_since = sent_at


def _decide_holder(
    state: LeaseState,
    timings: lease_data.LeaseTimings,
    claim: lease_data.LeaseClaim,
    now: float,
) -> Action:
    lease = state.lease
    assert lease is not None
    if state.releasing:
        released = lease_data.Lease('', lease.fencing)
        return Write(released, state.version)
    due = state.renewed_at + timings.renew_s
    if now < due:
        return Wait(due)
    renewed = lease._replace(
        renewals=lease.renewals + 1,
        candidates=_next_candidates(claim, lease),
        unflushed=claim.unflushed,
    )
    return Write(renewed, state.version)


def _next_candidates(
    claim: lease_data.LeaseClaim, lease: lease_data.Lease | None
) -> tuple[lease_data.Candidate, ...]:
    """Return the processes that may acquire a lease from now on.

    While rows may exist in a candidate's memory only, the previous
    candidates stay listed: the next holder must ask them too.
    """
    earlier: tuple[lease_data.Candidate, ...] = ()
    if claim.unflushed and lease is not None:
        earlier = lease.candidates
    return tuple(dict.fromkeys((*claim.candidates, *earlier)))


def _is_candidate(
    lease: lease_data.Lease | None, owner: lease_data.Owner
) -> bool:
    """Tell whether a process may acquire a lease as soon as it expires."""
    if lease is None or not lease.holder or not lease.candidates:
        return True
    names = {candidate.name for candidate in lease.candidates}
    return owner.name in names or owner.name == lease.holder


def _decide_waiter(
    state: LeaseState,
    owner: lease_data.Owner,
    timings: lease_data.LeaseTimings,
    claim: lease_data.LeaseClaim,
    now: float,
) -> Action:
    read_due = state.read_at + timings.poll_s
    if now >= read_due:
        # A lease is acquired only right after it was read unchanged: a
        # process that was paused must not act on a read before the pause.
        return Read()
    due = _acquire_due(state, owner, timings, claim)
    if now < due or not claim.may_take:
        return Wait(min(max(due, now + timings.poll_s), read_due))
    lease = state.lease
    held = lease is not None and bool(lease.holder)
    acquired = lease_data.Lease(
        owner.name,
        fencing=lease.fencing + 1 if lease else 1,
        boot=owner.boot,
        address=owner.address,
        candidates=_next_candidates(claim._replace(unflushed=held), lease),
        unflushed=held,
    )
    return Write(acquired, state.version)


def _acquire_due(
    state: LeaseState,
    owner: lease_data.Owner,
    timings: lease_data.LeaseTimings,
    claim: lease_data.LeaseClaim,
) -> float:
    """Return from when a process may acquire a lease that is unchanged."""
    lease = state.lease
    due = state.seen_since + claim.rank * timings.stagger_s
    if lease is None or not lease.holder:
        return due
    due += timings.lease_s + timings.margin_s
    if not _is_candidate(lease, owner):
        # During a platform outage the holder continues on promises of the
        # candidates alone. Other processes wait longer than the holder may
        # continue that way.
        due += timings.fallback_s
    return due


def _set_held(
    state: LeaseState,
    timings: lease_data.LeaseTimings,
    lease: lease_data.Lease,
    sent_at: float,
) -> None:
    state.fencing = lease.fencing
    state.renewed_at = sent_at
    state.valid_until = sent_at + timings.lease_s - timings.margin_s


def _set_not_held(state: LeaseState) -> None:
    state.fencing = 0
    state.valid_until = float('-inf')


def _is_own(lease: lease_data.Lease, owner: lease_data.Owner) -> bool:
    return (lease.holder, lease.boot) == (owner.name, owner.boot)
