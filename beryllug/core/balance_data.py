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
        smoothed: Their mean over the last seconds.
        smoothed_at: When `smoothed` was last brought up to date.
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
    smoothed: float = 0.0
    smoothed_at: float = 0.0
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
class LeastCost:
    """The server where the first token is expected soonest.

    Costs are in units of a first token on an idle server without a cached
    prefix.

    Attributes:
        cached: Cost where the prompt's prefix is probably cached.
        queue: Cost of each request above the knee.
        knee: Part of a server's slots above which a request may have to wait
            for one, reports being as late as they are.
        remote: Cost of another availability zone.
        others: How many requests of other entry processes are taken to have
            followed each of ours since a server's last report. They read the
            same report and prefer the same server: half of their number.
        lenience: Slowness that is taken for chance. Below it the times of
            single answers say less of a server than our own count does.
    """

    cached: float = 0.3
    queue: float = 1.0
    knee: float = 0.9
    remote: float = 0.02
    others: float = 3.0
    lenience: float = 2.0


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less loaded of two random servers: a baseline."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each server in turn: a baseline."""


@dataclass(frozen=True, slots=True)
class LeastConnections:
    """The server with the fewest requests of ours: a baseline."""


BalancePolicy = LeastCost | TwoChoices | RoundRobin | LeastConnections


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
