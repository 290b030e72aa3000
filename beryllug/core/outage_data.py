"""Messages between control processes while the platform is down."""

from typing import NamedTuple

from beryllug.core import journal_data


class HeldLease(NamedTuple):
    """A lease that a process holds, as far as it knows."""

    name: str
    fencing: int


class PromiseAsk(NamedTuple):
    """Ask a candidate to take no lease for a while.

    Attributes:
        boot: Random id of the asking process's start.
        promise_s: For how long.
        leases: The leases that the asker holds.
    """

    boot: str
    promise_s: float
    leases: tuple[HeldLease, ...]


class PromiseReply(NamedTuple):
    """What a candidate promised.

    Attributes:
        started: Number of its start. A candidate that was started anew does
            not know what it took before, so only the start counts that the
            lease lists.
        names: Leases that it promised to leave alone; none when it reaches
            the platform. It leaves out those that it took itself, or of
            which it knows a later holder.
    """

    started: int
    names: tuple[str, ...] = ()


class CopyAsk(NamedTuple):
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
    """Whether the copies are kept."""

    kept: bool


class FlushedAsk(NamedTuple):
    """All rows of a shard are durable that its owner had copied."""

    shard: int
    fencing: int


class GatherAsk(NamedTuple):
    """A new owner asks for what the platform may not have.

    Attributes:
        shard: The shard.
        fencing: Fencing token of the new owner; who answers takes no copy
            from an earlier owner any more.
        boot: Id of the earlier owner's start, to which promises may have
            been given.
    """

    shard: int
    fencing: int
    boot: str


class GatherReply(NamedTuple):
    """What a candidate knows.

    Attributes:
        started: Number of its start.
        promised: Whether it ever promised anything to the earlier owner.
        rows: Copies, and unflushed rows of its own time as owner.
    """

    started: int
    promised: bool
    rows: tuple[journal_data.Row, ...] = ()
