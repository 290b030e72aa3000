"""Which backend servers this process can connect to by itself.

A connect that fails says that the server is down or that the link between the
two is cut. If a peer connects to the same server meanwhile, it is the link.
Connections to such a server then go through peers, until connects of this
process succeed again. When the links to several servers are cut and none is
known to work, this process is isolated: it is assumed to reach no server.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Seconds by which a peer's connect may precede the failure of the own one: the
# two are tried side by side.
MAX_LEAD_S = 1.0
# Servers with cut links, and no connect since, that make a process isolated.
MIN_CUT = 2
# Connects in a row that end a cut. Hysteresis: on a link that loses most
# packets, single connects succeed.
MIN_CONNECTS = 2


@dataclass(frozen=True, slots=True)
class PathCut:
    """A server can be connected to through peers only."""

    address: str


@dataclass(frozen=True, slots=True)
class PathRestored:
    """A server can be connected to directly again."""

    address: str


@dataclass(frozen=True, slots=True)
class Isolated:
    """This process is assumed to reach no server."""


@dataclass(frozen=True, slots=True)
class Rejoined:
    """This process reaches servers again."""


Change = PathCut | PathRestored | Isolated | Rejoined


@dataclass(slots=True)
class Reachability:
    """Connects to backend servers.

    Attributes:
        connected_at: Second of the last connect that succeeded, or of the
            start of this process.
        failing: Seconds since which connects to an address have failed.
        relayed_at: Seconds at which a peer connected to an address that this
            process had trouble with.
        cut: Connects in a row that have succeeded since the link to an
            address was cut.
        is_isolated: Whether no server is assumed to be reached.
        successes: Connects in a row that have succeeded while isolated.
    """

    connected_at: float
    failing: dict[str, float] = field(default_factory=dict)
    relayed_at: dict[str, float] = field(default_factory=dict)
    cut: dict[str, int] = field(default_factory=dict)
    is_isolated: bool = False
    successes: int = 0


def is_cut(state: Reachability, address: str) -> bool:
    """Return whether the link to a server is assumed to be cut."""
    return state.is_isolated or address in state.cut


def connected(
    state: Reachability, address: str, now: float
) -> tuple[Change, ...]:
    """Record a connect of this process."""
    state.connected_at = now
    state.failing.pop(address, None)
    if state.is_isolated:
        return _connected_isolated(state)
    if address not in state.cut:
        return ()
    successes = state.cut.pop(address) + 1
    if successes == MIN_CONNECTS:
        return (PathRestored(address),)
    state.cut[address] = successes
    return ()


def failed(state: Reachability, address: str, now: float) -> tuple[Change, ...]:
    """Record a failed connect of this process."""
    state.failing.setdefault(address, now)
    state.successes = 0
    return _judge(state, address)


def relayed(
    state: Reachability, address: str, now: float
) -> tuple[Change, ...]:
    """Record that a peer has connected to a server for this process."""
    state.relayed_at[address] = now
    return _judge(state, address)


def forget(state: Reachability, listed: Iterable[str]) -> None:
    """Forget all servers but the listed ones."""
    kept = frozenset(listed)
    for known in (state.failing, state.relayed_at, state.cut):
        for address in known.keys() - kept:
            known.pop(address)


def _judge(state: Reachability, address: str) -> tuple[Change, ...]:
    failing_since = state.failing.get(address)
    relayed_at = state.relayed_at.get(address)
    if failing_since is None or relayed_at is None:
        return ()
    is_known = address in state.cut
    if not is_known and relayed_at < failing_since - MAX_LEAD_S:
        return ()
    state.cut[address] = 0
    if is_known:
        return ()
    changes: tuple[Change, ...] = (PathCut(address),)
    without_connect = [
        each
        for each in state.cut
        if state.failing.get(each, state.connected_at) > state.connected_at
    ]
    if state.is_isolated or len(without_connect) < MIN_CUT:
        return changes
    state.is_isolated = True
    state.successes = 0
    return (*changes, Isolated())


def _connected_isolated(state: Reachability) -> tuple[Change, ...]:
    state.successes += 1
    if state.successes < MIN_CONNECTS:
        return ()
    state.is_isolated = False
    # Links that are still cut show at the next connect.
    state.cut.clear()
    return (Rejoined(),)
