"""Messages between control processes while the platform is down."""

from typing import NamedTuple

from beryllug.core import journal_data


class PromiseAsk(NamedTuple):
    """Ask a candidate to take no lease for a while.

    Attributes:
        boot: Random id of the asking process's start.
        promise_s: For how long.
    """

    boot: str
    promise_s: float


class PromiseReply(NamedTuple):
    """Whether the platform is down for the candidate too, and it promised."""

    given: bool


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
