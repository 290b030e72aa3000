"""Records about the choice of a backend server.

`Fleet` is built once a view and never changes. `BalanceState` is what this
process itself saw of the servers; only its routing service changes it.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import config_data, view_data


class Member(NamedTuple):
    """A live backend server with what its choice needs.

    Attributes:
        server: The server.
        seed: A stable number of its name, for hashing prefixes.
        remote: Whether it is in another availability zone.
    """

    server: view_data.BackendServer
    seed: int
    remote: bool


class PoolFleet(NamedTuple):
    """The live servers of one pool that this process uses.

    Attributes:
        pool: The declared pool.
        members: The bounded subset of its live servers.
        live: Count of all its live servers.
    """

    pool: config_data.Pool
    members: tuple[Member, ...]
    live: int


Fleet = dict[str, PoolFleet]


@dataclass(slots=True)
class Track:
    """What this process saw of one backend server.

    Attributes:
        in_flight: Our requests on it.
        changes: Times and signs of our dispatches and ends that its last
            report may not contain.
        change: Sum of these signs.
        reported: Load by its last report.
        reported_at: When that was measured, by our clock.
        loaded: Versions it had loaded then.
        slowness: Smoothed ratio of seen to expected time to first token.
        samples: Answers that went into `slowness`.
        failures: Failures in a row.
        ejections: Ejections since it was last sound.
        ejected_until: Second until which it gets no request.
        returning: Whether it came back from an ejection and must prove
            itself with few requests first.
    """

    in_flight: int = 0
    changes: deque[tuple[float, int]] = field(default_factory=deque)
    change: int = 0
    reported: int | None = None
    reported_at: float = 0.0
    loaded: frozenset[config_data.VersionRef] = frozenset()
    slowness: float = 1.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    returning: bool = False


@dataclass(slots=True)
class BalanceState:
    """Tracks by server id; kept only for servers of the present fleet."""

    tracks: dict[str, Track] = field(default_factory=dict)
    turns: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The cheaper of two random servers, with affinity to prompt prefixes.

    Attributes:
        affinity_slack: How far above the mean load the server that has the
            prefix cached may be and still be taken.
        remote_cost: Cost of another zone, in parts of a server's slots.
    """

    affinity_slack: float = 0.25
    remote_cost: float = 0.1


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each server in turn: a baseline."""


@dataclass(frozen=True, slots=True)
class LeastConnections:
    """The server with the fewest requests of ours: a baseline."""


BalancePolicy = TwoChoices | RoundRobin | LeastConnections


class Pick(NamedTuple):
    """What is asked of a choice.

    Attributes:
        pool: Name of the pool.
        version: The version to run, or None for a plain service.
        prefix_key: Digest of the start of the prompt, or empty.
        excluded: Servers that this request already failed on.
    """

    pool: str
    version: config_data.VersionRef | None = None
    prefix_key: str = ''
    excluded: frozenset[str] = frozenset()
