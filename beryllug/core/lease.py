"""When to read, renew, take and give back a lease.

No wall clock decides. The holder counts from before its renewal was sent:
the renewal cannot have taken effect earlier. A taker counts from after its
read returned: the holder's last renewal cannot have been sent later. Both
allow a margin, and the taker writes on the condition that the object has not
changed since, so the holder's time is over before the taker's begins.
"""

from dataclasses import dataclass, field

from beryllug.core import lease_data

# Waiting processes beyond these ranks do not even read the lease: it bounds
# the reads of a lease whatever the size of the fleet.
OBSERVERS = 3


@dataclass(frozen=True, slots=True)
class Read:
    """Read the lease object."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write the lease on the condition of the object's version."""

    lease: lease_data.Lease
    expected_version: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until this second of the monotonic clock."""

    until: float


Action = Read | Write | Wait


@dataclass(slots=True)
class LeaseState:
    """What a process knows of one lease.

    Attributes:
        name: Name of the lease.
        version: Version of the object that was last seen; 0 is absent.
        lease: Its content.
        seen_since: When this version was first seen, or seen again after a
            time in which the platform could not be read.
        read_at: When the object was last read or written.
        known: False until it was read, and after a write went wrong.
        unsure_since: When the first write was sent whose effect is not
            known; None when there is none.
        fencing: Fencing token while this process holds it, or 0.
        valid_until: Second until which it holds.
        renewed_at: When the last write that took effect was sent.
        releasing: Whether it is being given back.
        taking: Whether a write that takes it is under way, or its effect is
            not known.
        before: The lease as it was when this process took it.
        listed: Candidates in writes of which the effect is not known.
    """

    name: str
    version: int = 0
    lease: lease_data.Lease | None = None
    seen_since: float = 0.0
    read_at: float = float('-inf')
    known: bool = False
    unsure_since: float | None = None
    fencing: int = 0
    valid_until: float = float('-inf')
    renewed_at: float = float('-inf')
    releasing: bool = False
    taking: bool = False
    before: lease_data.Lease | None = None
    listed: set[lease_data.Candidate] = field(default_factory=set)


def token(
    state: LeaseState, owner: lease_data.Owner, now: float
) -> lease_data.Token | None:
    """Return the proof of the lease, or None when it is not held now."""
    if not state.fencing or now >= state.valid_until:
        return None
    return lease_data.Token(
        state.name, owner.name, state.fencing, state.valid_until
    )


def decide(
    state: LeaseState,
    owner: lease_data.Owner,
    terms: lease_data.Terms,
    standing: lease_data.Standing,
    now: float,
) -> Action:
    """Choose what to do next about a lease.

    Args:
        state: What is known of it.
        owner: This process.
        terms: Durations.
        standing: How this process stands to it.
        now: Second of the monotonic clock.
    """
    if not state.known:
        return Read()
    if state.fencing:
        return _decide_holder(state, terms, standing, now)
    if standing.rank >= OBSERVERS or state.releasing:
        return Wait(now + terms.lease_s)
    return _decide_waiter(state, owner, terms, standing, now)


def sending(state: LeaseState, write: Write) -> None:
    """Take in that a write is about to be sent."""
    state.listed.update(write.lease.candidates)
    if not state.fencing:
        state.taking = True
        state.before = state.lease


def candidates(state: LeaseState) -> tuple[lease_data.Candidate, ...]:
    """Return who may take a held lease from this process.

    Renewals of which the effect is not known may have listed others.
    """
    known = state.lease.candidates if state.lease else ()
    return tuple(dict.fromkeys((*known, *state.listed)))


def outage_limit(state: LeaseState, terms: lease_data.Terms) -> float:
    """Return until when no process that is no candidate takes the lease."""
    return state.renewed_at + terms.fallback_s - terms.margin_s


def observed(
    state: LeaseState,
    owner: lease_data.Owner,
    terms: lease_data.Terms,
    version: int,
    lease: lease_data.Lease | None,
    now: float,
) -> None:
    """Take in the object as it was read; `now` is after the read."""
    if version < state.version:
        # A replica that lags: acting on it would give up a held lease, or
        # begin to count from a renewal that is long past.
        return
    changed = version != state.version
    if changed or now - state.read_at > terms.lease_s / 2:
        state.seen_since = now
    state.version = version
    state.lease = lease
    state.read_at = now
    state.known = True
    if state.unsure_since is None:
        state.taking = False
    if lease is None or not _is_own(lease, owner):
        _lose(state)
    elif changed and state.unsure_since is not None:
        _hold(state, terms, lease, state.unsure_since)


def written(
    state: LeaseState,
    terms: lease_data.Terms,
    write: Write,
    version: int,
    sent_at: float,
    now: float,
) -> None:
    """Take in that a write took effect; `sent_at` is before it was sent."""
    state.version = version
    state.lease = write.lease
    state.seen_since = now
    state.read_at = now
    state.unsure_since = None
    state.taking = False
    state.listed.clear()
    if write.lease.holder:
        _hold(state, terms, write.lease, sent_at)
    else:
        _lose(state)


def conflicted(state: LeaseState) -> None:
    """Take in that a write met another version: read before all else."""
    state.known = False


def unsure(state: LeaseState, sent_at: float) -> None:
    """Take in that a write may have taken effect.

    The first such write stays the one that counts: if a later one then meets
    a changed object, the change may be the first write's, from whose sending
    others may have begun to count.
    """
    state.known = False
    if state.unsure_since is None:
        state.unsure_since = sent_at


def _decide_holder(
    state: LeaseState,
    terms: lease_data.Terms,
    standing: lease_data.Standing,
    now: float,
) -> Action:
    lease = state.lease
    assert lease is not None
    if state.releasing:
        given = lease_data.Lease('', lease.fencing)
        return Write(given, state.version)
    due = state.renewed_at + terms.renew_s
    if now < due:
        return Wait(due)
    renewed = lease._replace(
        renewals=lease.renewals + 1,
        candidates=_candidates(standing, lease),
        unflushed=standing.unflushed,
    )
    return Write(renewed, state.version)


def _candidates(
    standing: lease_data.Standing, lease: lease_data.Lease | None
) -> tuple[lease_data.Candidate, ...]:
    """Return who may take a lease from now on.

    While rows may stand in a candidate's memory only, the earlier
    candidates stay listed: the next holder must ask them too.
    """
    earlier: tuple[lease_data.Candidate, ...] = ()
    if standing.unflushed and lease is not None:
        earlier = lease.candidates
    return tuple(dict.fromkeys((*standing.candidates, *earlier)))


def _may_take(lease: lease_data.Lease | None, owner: lease_data.Owner) -> bool:
    """Tell whether a process needs to wait no longer than a lease holds."""
    if lease is None or not lease.holder or not lease.candidates:
        return True
    names = {candidate.name for candidate in lease.candidates}
    return owner.name in names or owner.name == lease.holder


def _decide_waiter(
    state: LeaseState,
    owner: lease_data.Owner,
    terms: lease_data.Terms,
    standing: lease_data.Standing,
    now: float,
) -> Action:
    read_due = state.read_at + terms.poll_s
    if now >= read_due:
        # A lease is taken only right after it was seen unchanged: a process
        # that was paused must not act on what it saw before the pause.
        return Read()
    due = _take_due(state, owner, terms, standing)
    if now < due or not standing.may_take:
        return Wait(min(max(due, now + terms.poll_s), read_due))
    lease = state.lease
    held = lease is not None and bool(lease.holder)
    taken = lease_data.Lease(
        owner.name,
        fencing=lease.fencing + 1 if lease else 1,
        boot=owner.boot,
        address=owner.address,
        candidates=_candidates(standing._replace(unflushed=held), lease),
        unflushed=held,
    )
    return Write(taken, state.version)


def _take_due(
    state: LeaseState,
    owner: lease_data.Owner,
    terms: lease_data.Terms,
    standing: lease_data.Standing,
) -> float:
    """Return from when a process may take a lease that stays unchanged."""
    lease = state.lease
    due = state.seen_since + standing.rank * terms.stagger_s
    if lease is None or not lease.holder:
        return due
    due += terms.lease_s + terms.margin_s
    if not _may_take(lease, owner):
        # In an outage the holder goes on under promises of the candidates
        # alone. Others leave it more time than it then allows itself.
        due += terms.fallback_s
    return due


def _hold(
    state: LeaseState,
    terms: lease_data.Terms,
    lease: lease_data.Lease,
    sent_at: float,
) -> None:
    state.fencing = lease.fencing
    state.renewed_at = sent_at
    state.valid_until = sent_at + terms.lease_s - terms.margin_s


def _lose(state: LeaseState) -> None:
    state.fencing = 0
    state.valid_until = float('-inf')


def _is_own(lease: lease_data.Lease, owner: lease_data.Owner) -> bool:
    return (lease.holder, lease.boot) == (owner.name, owner.boot)
