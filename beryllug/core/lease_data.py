"""Records of leases.

A lease is an object of the platform. Only its holder may act for its name,
for a duration that the holder and the waiting processes each count on their
own monotonic clocks.
"""

from typing import NamedTuple


class Candidate(NamedTuple):
    """A process that may acquire a lease from its holder.

    Attributes:
        name: Its name in the fleet.
        started: Number of its start; it differs after a restart.
    """

    name: str
    started: int


class Lease(NamedTuple):
    """Content of a lease object.

    Attributes:
        holder: Name of the holding process, empty when released.
        fencing: Fencing token; it grows at each change of holder.
        renewals: Renewals of this holder, so that each changes the object.
        boot: Random id of the holder's process start; distinguishes its
            writes from those of an earlier process of the same name.
        address: Address of the holder, ``ip:port``.
        candidates: Processes that may acquire it when it expires; others
            must wait much longer. If empty, any process may.
        unflushed: Whether the holder may have granted requests whose rows
            the platform does not have, and some candidate has copies.
    """

    holder: str
    fencing: int
    renewals: int = 0
    boot: str = ''
    address: str = ''
    candidates: tuple[Candidate, ...] = ()
    unflushed: bool = False


class Token(NamedTuple):
    """Proof of a held lease.

    Attributes:
        name: Name of the lease.
        holder: Name of the holding process.
        fencing: Fencing token, to be sent with every operation under the
            lease.
        valid_until: Second of the monotonic clock until which it is valid.
    """

    name: str
    holder: str
    fencing: int
    valid_until: float


class Owner(NamedTuple):
    """The process that acquires leases.

    Attributes:
        name: Its name in the fleet.
        boot: Random id of this process start.
        address: Its address.
    """

    name: str
    boot: str
    address: str


class LeaseTimings(NamedTuple):
    """Durations of leases, in seconds.

    Attributes:
        lease_s: How long a lease is valid without renewal.
        margin_s: Subtracted by the holder and added by a waiting process,
            against clocks that run at different rates.
        renew_s: Time between two renewals.
        poll_s: Time between two reads by a process that waits for it.
        stagger_s: Additional wait for each rank after the preferred process.
        fallback_s: Additional wait of a process that is not a candidate.
        promise_s: How long a promise not to acquire leases is valid; shorter
            than a lease, so that a process that lost the promise in a
            restart has not watched a lease for long enough to acquire it.
    """

    lease_s: float
    margin_s: float
    renew_s: float
    poll_s: float
    stagger_s: float
    fallback_s: float
    promise_s: float


# Durations as multiples of the lease duration.
MARGIN = 0.1
RENEWAL = 0.25
POLL = 0.15
STAGGER = 0.08
PROMISE = 0.8
FALLBACK = 150


def lease_timings(lease_s: float) -> LeaseTimings:
    """Derive all durations from the lease duration."""
    return LeaseTimings(
        lease_s=lease_s,
        margin_s=lease_s * MARGIN,
        renew_s=lease_s * RENEWAL,
        poll_s=lease_s * POLL,
        stagger_s=lease_s * STAGGER,
        fallback_s=lease_s * FALLBACK,
        promise_s=lease_s * PROMISE,
    )


class LeaseClaim(NamedTuple):
    """Claim of a process to a lease that it wants.

    Attributes:
        rank: Rank among the live processes that want it, 0 the preferred.
        candidates: Processes that may acquire it from this process.
        unflushed: Whether this process has granted, or may have to gather,
            requests whose rows the platform does not have.
        may_take: False while it promised not to acquire leases.
    """

    rank: int
    candidates: tuple[Candidate, ...] = ()
    unflushed: bool = False
    may_take: bool = True


class LeaseReleased(NamedTuple):
    """Tells the next preferred process that a lease was released.

    Otherwise that process would notice only at its next read of the lease.
    """

    name: str
