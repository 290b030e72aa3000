"""Data types of orders to model engines.

Times are seconds of the monotonic clock of the deciding process; wall-clock
times of load reports are converted before.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import config_data, view_data


class OrderLimits(NamedTuple):
    """Durations in seconds, and limits, of the orders to one pool.

    Attributes:
        write_s: Timeout of sending an order.
        settle_s: How long a new sender waits before its first order to
            engines that ignore fencing tokens.
        grace_s: Minimum time from the withdrawal of a version to its unload.
            Until then a partitioned entry process may send requests for it.
        longest_s: Time after the grace period at which a withdrawn version
            counts as drained although its server was never seen idle.
        repeat_s: Delay before an order is first repeated; doubled each time.
        at_once: Limit on concurrent loads in a small pool; large pools may
            have more.
    """

    write_s: float
    settle_s: float
    grace_s: float
    longest_s: float
    repeat_s: float = 5.0
    at_once: int = 4


class EngineReport(NamedTuple):
    """The latest report of one live engine of a pool.

    Attributes:
        server_id: The engine.
        address: Where orders are sent.
        loaded: Versions that it reported as loaded.
        busy: Number of running and waiting requests, of any version.
        seen_at: When that was measured.
    """

    server_id: str
    address: str
    loaded: frozenset[config_data.VersionRef]
    busy: int
    seen_at: float


@dataclass(frozen=True, slots=True, order=True)
class Load:
    """Load the version on the server."""

    server_id: str
    ref: config_data.VersionRef


@dataclass(frozen=True, slots=True, order=True)
class Unload:
    """Unload the version from the server."""

    server_id: str
    ref: config_data.VersionRef


@dataclass(frozen=True, slots=True, order=True)
class Assert:
    """Keep the version, which is already loaded on the server.

    This sends the newest fencing token to the engine. Otherwise an engine for
    which a new sender has no orders would still accept those of the old one.
    """

    server_id: str
    ref: config_data.VersionRef


EngineOrder = Load | Unload | Assert


class SentOrder(NamedTuple):
    """An order that was sent and whose effect was not reported yet.

    Attributes:
        sent_at: Time just before it was last sent.
        attempts: How often it was sent.
        read_back: Whether a later report is needed before it is repeated,
            since it was or may have been executed.
    """

    sent_at: float
    attempts: int
    read_back: bool


class PoolSnapshot(NamedTuple):
    """The inputs that determine the orders to a pool.

    Attributes:
        document: The current configuration document.
        rollouts: State of each roll-out.
        engine_reports: The latest reports of the live engines of the pool.
    """

    document: config_data.Document
    rollouts: tuple[view_data.RolloutStatus, ...]
    engine_reports: tuple[EngineReport, ...]


@dataclass(slots=True)
class SenderState:
    """The state of one sender while it holds the lease of a pool.

    Attributes:
        fencing: Its fencing token.
        since: When it first used this token.
        withdrawn: When it first saw each withdrawn version as withdrawn.
        tried: Sent orders whose effect was not reported yet.
        asserted: Engines that accepted an order with its token.
        superseded: Whether an engine reported a higher token.
    """

    fencing: int
    since: float
    withdrawn: dict[config_data.VersionRef, float] = field(default_factory=dict)
    tried: dict[EngineOrder, SentOrder] = field(default_factory=dict)
    asserted: set[str] = field(default_factory=set)
    superseded: bool = False
