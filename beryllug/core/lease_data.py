"""Records of leases.

A lease is an object of the platform. Whoever holds it may act alone for its
name, for a time that both sides count on their own monotonic clocks.
"""

from typing import NamedTuple


class Candidate(NamedTuple):
    """A process that may take a lease from its holder.

    Attributes:
        name: Its name in the fleet.
        started: Number of its start, by which a later start is told apart.
    """

    name: str
    started: int


class Lease(NamedTuple):
    """Content of a lease object.

    Attributes:
        holder: Name of the holding process, empty when given back.
        fencing: Fencing token; it grows at each change of holder.
        renewals: Renewals of this holder, so that each changes the object.
        boot: Random id of the holder's process start, by which a process
            tells its own write from one of an earlier process of its name.
        address: Where the holder is reached, ``ip:port``.
        candidates: Who may take it when it lapses; others must wait much
            longer. None means anyone.
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
        fencing: Fencing token, to be sent with every act under the lease.
        valid_until: Second of the monotonic clock until which it holds.
    """

    name: str
    holder: str
    fencing: int
    valid_until: float


class Owner(NamedTuple):
    """The process that wants leases.

    Attributes:
        name: Its name in the fleet.
        boot: Random id of this process start.
        address: Where it is reached.
    """

    name: str
    boot: str
    address: str


class Terms(NamedTuple):
    """Durations of leases, in seconds.

    Attributes:
        lease_s: How long a lease holds without renewal.
        margin_s: Taken off by the holder and added by a taker, against
            clocks that run unlike.
        renew_s: Time between two renewals.
        poll_s: Time between two reads by a process that waits for it.
        stagger_s: How much longer each less preferred process waits.
        fallback_s: How much longer a process waits that is no candidate.
        promise_s: How long a promise not to take leases holds; shorter than
            a lease, so that a process that forgot it by a restart has not
            watched a lease for long enough to take it.
    """

    lease_s: float
    margin_s: float
    renew_s: float
    poll_s: float
    stagger_s: float
    fallback_s: float
    promise_s: float


# Shares of the time that a lease holds.
MARGIN = 0.1
RENEWAL = 0.25
POLL = 0.15
STAGGER = 0.08
PROMISE = 0.8
FALLBACK = 150


def terms(lease_s: float) -> Terms:
    """Derive all durations from the time a lease holds."""
    return Terms(
        lease_s=lease_s,
        margin_s=lease_s * MARGIN,
        renew_s=lease_s * RENEWAL,
        poll_s=lease_s * POLL,
        stagger_s=lease_s * STAGGER,
        fallback_s=lease_s * FALLBACK,
        promise_s=lease_s * PROMISE,
    )


class Standing(NamedTuple):
    """How a process stands to a lease it wants.

    Attributes:
        rank: Place among the live processes that want it, 0 the preferred.
        candidates: Who may take it from this process.
        unflushed: Whether this process has granted, or may have to gather,
            what the platform does not have.
        may_take: False while it promised not to take leases.
    """

    rank: int
    candidates: tuple[Candidate, ...] = ()
    unflushed: bool = False
    may_take: bool = True


class Given(NamedTuple):
    """Tells the process that is preferred next that a lease was given back.

    It spares the time until that process would have read the lease.
    """

    name: str
