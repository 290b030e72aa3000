"""Choice of the backend server for one attempt.

Servers that leave get nothing. Among the live ones of a bounded subset, those
that fail or lag are out, the one that probably has the prompt's prefix cached
is taken unless it is loaded above the mean, and otherwise the cheaper of two
drawn at random: many entry hosts that all took the least loaded one would pile
onto it together until the next report.
"""

import random
import zlib
from collections.abc import Sequence

from beryllug.core import balance_data, ejection, server_load, view_data

SUBSET = 16
MASK = 0xFFFFFFFF
MIX = 2654435761
MIX_SHIFT = 15


def build_fleet(
    view: view_data.View, entry: str, zone: str, subset: int = SUBSET
) -> balance_data.Fleet:
    """Index the live servers of a view by pool.

    Args:
        view: The view.
        entry: Name of this process, which decides its subsets.
        zone: Availability zone of this process.
        subset: Most servers of one pool that this process uses.

    Returns:
        For each declared pool the members that this process may choose from.
    """
    fleet = {}
    for pool in view.document.pools:
        live = [
            server
            for server in view.servers
            if server.pool == pool.name
            and server.state is view_data.ServerState.LIVE
        ]
        members = tuple(
            balance_data.Member(
                server,
                zlib.crc32(server.server_id.encode()),
                server.zone != zone,
            )
            for server in _subset(live, entry, zone, subset)
        )
        fleet[pool.name] = balance_data.PoolFleet(pool, members, len(live))
    return fleet


def choose(
    state: balance_data.BalanceState,
    fleet: balance_data.Fleet,
    pick: balance_data.Pick,
    policy: balance_data.BalancePolicy,
    now: float,
    rng: random.Random,
) -> view_data.BackendServer | None:
    """Choose the server for an attempt, or None when there is none.

    The caller counts the choice with `server_load.dispatched` before it awaits.
    """
    pool = fleet.get(pick.pool)
    if pool is None:
        return None
    usable = _usable(state, pool, pick, now)
    if not usable:
        return None
    rng.shuffle(usable)
    match policy:
        case balance_data.LeastCost():
            costs = _costs(state, pool, usable, pick, policy, now)
            return usable[costs.index(min(costs))].server
        case balance_data.TwoChoices():
            return _least_loaded(state, usable[:2], now).server
        case balance_data.LeastConnections():
            return min(
                usable,
                key=lambda member: (
                    server_load.track(state, member.server.server_id).in_flight
                ),
            ).server
        case balance_data.RoundRobin():
            usable.sort(key=lambda member: member.server.server_id)
            turn = state.turns.get(pick.pool, rng.randrange(len(usable)))
            state.turns[pick.pool] = turn + 1
            return usable[turn % len(usable)].server


def _subset(
    live: Sequence[view_data.BackendServer], entry: str, zone: str, size: int
) -> list[view_data.BackendServer]:
    """Take the servers of a pool that an entry uses, the own zone's first.

    A rendezvous hash, so that a server that comes or goes changes only its
    own place, and each server has about equally many entries.
    """

    return sorted(
        live,
        key=lambda server: (server.zone != zone, _place(entry, server)),
    )[:size]


def _place(entry: str, server: view_data.BackendServer) -> int:
    return zlib.crc32(f'{entry}\0{server.server_id}'.encode())


def _usable(
    state: balance_data.BalanceState,
    pool: balance_data.PoolFleet,
    pick: balance_data.Pick,
    now: float,
) -> list[balance_data.Member]:
    usable = [
        member
        for member in pool.members
        if member.server.server_id not in pick.excluded
        and not ejection.is_out(
            server_load.track(state, member.server.server_id), now
        )
    ]
    if pick.version is None:
        return usable
    ready = [
        member
        for member in usable
        if pick.version
        in server_load.track(state, member.server.server_id).loaded
    ]
    return ready or usable


def _least_loaded(
    state: balance_data.BalanceState,
    members: Sequence[balance_data.Member],
    now: float,
) -> balance_data.Member:
    return min(
        members,
        key=lambda member: server_load.load_of(
            server_load.track(state, member.server.server_id), now
        ),
    )


def _costs(
    state: balance_data.BalanceState,
    pool: balance_data.PoolFleet,
    usable: Sequence[balance_data.Member],
    pick: balance_data.Pick,
    policy: balance_data.LeastCost,
    now: float,
) -> list[float]:
    owner = _prefix_owner(usable, pick.prefix_key)
    costs = []
    for member in usable:
        seen = server_load.track(state, member.server.server_id)
        load = server_load.load_of(seen, now, policy.others)
        first = policy.cached if member is owner else 1
        cost = _cost(first, load, pool.pool.concurrency, policy)
        slow = max(seen.slowness / policy.lenience, 1)
        costs.append(slow * cost + policy.remote * member.remote)
    return costs


def _cost(
    first: float, load: float, slots: int, policy: balance_data.LeastCost
) -> float:
    """Return the expected time to a first token, in the policy's unit."""
    waiting = max(0, load + 1 - policy.knee * slots)
    return first * (1 + load / slots) + policy.queue * waiting


def _prefix_owner(
    usable: Sequence[balance_data.Member], prefix_key: str
) -> balance_data.Member | None:
    """Return the server that has a prefix cached if any has.

    Every entry finds the same one by a rendezvous hash and none has to be
    told; cache events come late and with gaps.
    """
    if not prefix_key:
        return None
    key = zlib.crc32(prefix_key.encode())
    return max(usable, key=lambda member: _weight(key, member.seed))


def _weight(key: int, seed: int) -> int:
    mixed = ((key ^ seed) * MIX) & MASK
    return ((mixed ^ (mixed >> MIX_SHIFT)) * MIX) & MASK
