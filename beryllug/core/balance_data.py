"""Records for the choice of a backend server.

`Fleet` is built once per view and never changes. `BalanceState` holds what
this process itself observed of the servers; only its routing service changes
it.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import config_data, view_data


class Member(NamedTuple):
    """A live backend server with the data that the choice needs.

    Attributes:
        server: The server.
        seed: Hash of its id, for the hashing of prefixes.
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
        live: Number of all its live servers.
    """

    pool: config_data.Pool
    members: tuple[Member, ...]
    live: int


Fleet = dict[str, PoolFleet]


@dataclass(slots=True)
class ServerStats:
    """What this process observed of one backend server.

    Attributes:
        in_flight: Requests of this process on the server.
        smoothed: Exponentially weighted mean of `in_flight`.
        smoothed_at: When `smoothed` was last updated.
        changes: Times of the dispatches (+1) and ends (-1) of this process's
            requests that the last report may not contain.
        change: Sum of the signs in `changes`.
        reported: Load in the last report; None before the first.
        reported_at: When that was measured, by this process's clock.
        loaded: Model versions that were loaded then.
        slowness: Smoothed ratio of measured to expected time to first token.
        samples: Number of answers in `slowness`.
        failures: Consecutive failures.
        ejections: Ejections since the server was last healthy.
        ejected_until: Time until which the server gets no request.
        returning: Whether it was ejected and has not answered since; it then
            gets one request at a time.
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
    """What is known of each server.

    Attributes:
        server_stats: Observations by server id; `server_load.keep_only` drops
            those of servers that are no longer listed.
        turns: Index of the next round-robin choice, by pool.
    """

    server_stats: dict[str, ServerStats] = field(default_factory=dict)
    turns: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeastCost:
    """Chooses the server with the lowest expected time to the first token.

    The unit of cost is the time to the first token on an idle server without
    a cached prefix.

    Attributes:
        cached_cost: Cost where the prompt's prefix is probably cached.
        queueing_cost: Cost of each request above the threshold.
        queueing_threshold: Fraction of a server's slots above which a request
            may have to wait for a slot. Below 1 because reports are late.
        remote: Cost of another availability zone.
        others: Assumed requests of other entry processes for each request of
            this one since a server's last report. They read the same report
            and prefer the same server; set to half of their number.
        slowness_tolerance: Slowness that is treated as random variation.
            Below it the times of single answers tell less about a server than
            the count of this process's own requests.
    """

    cached_cost: float = 0.3
    queueing_cost: float = 1.0
    queueing_threshold: float = 0.9
    remote: float = 0.02
    others: float = 3.0
    slowness_tolerance: float = 2.0


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Chooses the less loaded of two random servers: a baseline."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Chooses the servers in turn: a baseline."""


@dataclass(frozen=True, slots=True)
class LeastConnections:
    """Chooses the server with the fewest own requests: a baseline."""


BalancePolicy = LeastCost | TwoChoices | RoundRobin | LeastConnections


class Pick(NamedTuple):
    """The requirements of one choice.

    Attributes:
        pool: Name of the pool.
        version: The model version to run; None for a plain service.
        prefix_key: Digest of the start of the prompt, or empty.
        excluded: Ids of the servers on which this request already failed.
    """

    pool: str
    version: config_data.VersionRef | None = None
    prefix_key: str = ''
    excluded: frozenset[str] = frozenset()
