"""Records about orders to model engines.

Seconds are of the monotonic clock of the process that decides; the wall clock
of a load report is converted before it comes here.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import config_data, view_data


class Terms(NamedTuple):
    """Durations in seconds, and bounds, of the orders to one pool.

    Attributes:
        write_s: Longest time that a sender lets an order take.
        settle_s: How long a new sender waits before its first order to
            engines that ignore fencing tokens.
        grace_s: How long a version must have been withdrawn before it is
            unloaded: until then an entry process that was cut off may send
            work of it.
        longest_s: After this time a withdrawn version counts as without work
            although its server was never seen idle.
        repeat_s: Time before the first repetition of an order; it doubles.
        at_once: Least bound on loads under way in a pool.
    """

    write_s: float
    settle_s: float
    grace_s: float
    longest_s: float
    repeat_s: float = 5.0
    at_once: int = 4


class Sight(NamedTuple):
    """What is known of one live engine of a pool.

    Attributes:
        server_id: The engine.
        address: Where orders go.
        loaded: Versions that it reported as loaded.
        busy: Requests that ran or waited there, of whatever version.
        seen_at: When that was measured.
    """

    server_id: str
    address: str
    loaded: frozenset[config_data.VersionRef]
    busy: int
    seen_at: float


@dataclass(frozen=True, slots=True, order=True)
class Load:
    """The version shall be loaded on the server."""

    server_id: str
    ref: config_data.VersionRef


@dataclass(frozen=True, slots=True, order=True)
class Unload:
    """The version shall not be loaded on the server."""

    server_id: str
    ref: config_data.VersionRef


@dataclass(frozen=True, slots=True, order=True)
class Assert:
    """The version, which is loaded, shall stay so.

    It shows the engine the newest fencing token. Without it an engine for
    which the new sender has nothing to do would still obey the old one.
    """

    server_id: str
    ref: config_data.VersionRef


Step = Load | Unload | Assert


class Tried(NamedTuple):
    """An order that was sent and whose effect was not seen yet.

    Attributes:
        sent_at: Before the last time it was sent.
        attempts: How often it was sent.
        read_back: Whether a later report must be seen before it is repeated:
            it was, or may have been, carried out.
    """

    sent_at: float
    attempts: int
    read_back: bool


class World(NamedTuple):
    """What the desired state of a pool follows from.

    Attributes:
        document: The document in force.
        rollouts: State of each roll-out.
        sights: The live engines of the pool that reported.
    """

    document: config_data.Document
    rollouts: tuple[view_data.RolloutStatus, ...]
    sights: tuple[Sight, ...]


@dataclass(slots=True)
class Book:
    """What one sender remembers while it holds the lease of a pool.

    Attributes:
        fencing: Its fencing token.
        since: When it first acted under it.
        withdrawn: When it first saw each withdrawn version as such.
        tried: Orders whose effect was not seen yet.
        asserted: Engines that accepted an order with its token.
        superseded: Whether an engine showed a higher token.
    """

    fencing: int
    since: float
    withdrawn: dict[config_data.VersionRef, float] = field(default_factory=dict)
    tried: dict[Step, Tried] = field(default_factory=dict)
    asserted: set[str] = field(default_factory=set)
    superseded: bool = False
