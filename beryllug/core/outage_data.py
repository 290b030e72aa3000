"""Messages between control processes while the platform is unreachable."""

from typing import NamedTuple

from beryllug.core import journal_data


class HeldLease(NamedTuple):
    """A lease that a process believes it holds."""

    name: str
    fencing: int


class PromiseRequest(NamedTuple):
    """Ask a candidate to acquire no lease for a while.

    Attributes:
        boot: Random id of the sender's process start.
        promise_s: How long, in seconds.
        leases: The leases that the sender holds.
    """

    boot: str
    promise_s: float
    leases: tuple[HeldLease, ...]


class PromiseReply(NamedTuple):
    """The promises of a candidate.

    Attributes:
        started: Number of its start. A restarted candidate does not know
            which leases it acquired before, so only a promise from the start
            that the lease lists counts.
        names: Leases that it promised not to acquire; none when it can reach
            the platform. Leases that it acquired itself, or of which it
            knows a later holder, are left out.
    """

    started: int
    names: tuple[str, ...] = ()


class CopyRequest(NamedTuple):
    """Intents of a shard that the platform does not have yet.

    Attributes:
        shard: The shard.
        fencing: Fencing token of its owner.
        rows: The intents.
    """

    shard: int
    fencing: int
    rows: tuple[journal_data.Row, ...]


class CopyReply(NamedTuple):
    """Whether the copies were stored."""

    kept: bool


class FlushedRequest(NamedTuple):
    """All copied rows of a shard are now durable."""

    shard: int
    fencing: int


class GatherRequest(NamedTuple):
    """A new owner asks for rows that the platform may not have.

    Attributes:
        shard: The shard.
        fencing: Fencing token of the new owner; the receiver stores no more
            copies from earlier owners.
        boot: Start id of the earlier owner, to which promises may have been
            made.
    """

    shard: int
    fencing: int
    boot: str


class GatherReply(NamedTuple):
    """The copies and promises of a candidate.

    Attributes:
        started: Number of its start.
        promised: Whether it ever promised anything to the earlier owner.
        rows: Copies, and unflushed rows from its own time as owner.
    """

    started: int
    promised: bool
    rows: tuple[journal_data.Row, ...] = ()
