"""Which processes are asked to forward a connection to a backend server.

Processes of one availability zone often lose their links together, so those
that are asked for one connection are in different zones.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from beryllug.core.peering import members

# Processes that are asked for one connection.
MAX_ASKED = 3
# Seconds for which a process that did not forward is not asked again, as long
# as there are others.
PAUSE_S = 1.0
# Processes of a zone that did not forward, and none that did since, after which
# others are asked first, and seconds for which this holds.
MIN_ZONE_FAILURES = 4
ZONE_PAUSE_S = 5.0


Key = TypeVar('Key')


class Target(NamedTuple):
    """What a connection is wanted for.

    Attributes:
        zone: Availability zone of this process.
        server: Address of the server.
    """

    zone: str
    server: str


@dataclass(slots=True)
class RelayState:
    """What became of connections that processes were asked for.

    Attributes:
        failed_at: Seconds at which processes did not forward, by address.
        forwarded_at: Seconds at which they last did.
        unreached_at: Seconds at which processes did not reach a server, by
            their address and the server's.
        refused_at: Seconds at which they refused to forward, or were out of
            reach themselves.
    """

    failed_at: dict[str, float] = field(default_factory=dict)
    forwarded_at: dict[str, float] = field(default_factory=dict)
    unreached_at: dict[tuple[str, str], float] = field(default_factory=dict)
    refused_at: dict[str, float] = field(default_factory=dict)


def choose(
    state: RelayState,
    known: members.Members,
    target: Target,
    now: float,
    rng: random.Random,
) -> list[str]:
    """Return the addresses to ask, the best one first.

    Those in the own availability zone go first, as traffic between zones is
    billed by the byte.

    Args:
        state: Which processes did not forward.
        known: The processes of the fleet.
        target: What is asked for.
        now: The present second.
        rng: Spreads the connections over the processes.
    """
    _forget(state, now)
    peers = [each for each in known.known.values() if each.notes]
    lost = _lost_zones(state, peers)
    rng.shuffle(peers)
    peers.sort(
        key=lambda peer: (
            (peer.notes, target.server) in state.unreached_at
            or peer.notes in state.refused_at,
            peer.zone in lost,
            peer.zone != target.zone,
        )
    )
    return [peer.notes for peer in _spread(peers)]


def forwarded(state: RelayState, address: str, now: float) -> None:
    """Record that a process has forwarded a connection."""
    state.failed_at.pop(address, None)
    state.refused_at.pop(address, None)
    state.forwarded_at[address] = now


def unreached(state: RelayState, address: str, server: str, now: float) -> None:
    """Record that a process did not reach a server."""
    state.unreached_at[address, server] = now
    state.failed_at[address] = now


def failed(state: RelayState, address: str, now: float) -> None:
    """Record that a process does not forward connections."""
    state.refused_at[address] = now
    state.failed_at[address] = now


def _lost_zones(
    state: RelayState, peers: Iterable[members.KnownPeer]
) -> set[str]:
    """Return the zones of which many have failed since one has forwarded."""
    failures: dict[str, list[float]] = {}
    successes: dict[str, float] = {}
    for peer in peers:
        failed_at = state.failed_at.get(peer.notes)
        if failed_at is not None:
            failures.setdefault(peer.zone, []).append(failed_at)
        forwarded_at = state.forwarded_at.get(peer.notes, float('-inf'))
        before = successes.get(peer.zone, float('-inf'))
        successes[peer.zone] = max(before, forwarded_at)
    return {
        zone
        for zone, times in failures.items()
        if sum(at > successes[zone] for at in times) >= MIN_ZONE_FAILURES
    }


def _forget(state: RelayState, now: float) -> None:
    """Forget what is over."""
    for known in (state.failed_at, state.forwarded_at):
        _drop_until(known, now - ZONE_PAUSE_S)
    _drop_until(state.unreached_at, now - PAUSE_S)
    _drop_until(state.refused_at, now - PAUSE_S)


def _drop_until(times: dict[Key, float], until: float) -> None:
    old = tuple(key for key, at in times.items() if at < until)
    for key in old:
        times.pop(key)


def _spread(
    ranked: Iterable[members.KnownPeer],
) -> list[members.KnownPeer]:
    """Return the first of each zone, then the first of all others."""
    firsts: dict[str, members.KnownPeer] = {}
    others: list[members.KnownPeer] = []
    for peer in ranked:
        if firsts.setdefault(peer.zone, peer) is not peer:
            others.append(peer)
    return [*firsts.values(), *others][:MAX_ASKED]
