"""Choice of the backend server for one attempt.

Servers that are leaving get no requests. Each process considers a bounded
subset of the live servers of a pool, without the ejected ones. `LeastCost`
takes the server with the lowest expected time to the first token, which
depends on the load, the server's slowness, its zone and whether it probably
has the prompt's prefix cached. Many entry hosts read the same load report, so
all of them taking the least loaded server would overload it until the next
report; the load therefore includes an estimate of dispatches since then.
"""

import random
import zlib
from collections.abc import Sequence

from beryllug.core import balance_data, ejection, server_load, view_data

SUBSET_SIZE = 16
UINT32_MASK = 0xFFFFFFFF
HASH_MULTIPLIER = 2654435761
HASH_SHIFT = 15


def build_fleet(
    view: view_data.View, entry: str, zone: str, subset: int = SUBSET_SIZE
) -> balance_data.Fleet:
    """Index the live servers of a view by pool.

    Args:
        view: The view.
        entry: Name of this process, which determines its subsets.
        zone: Availability zone of this process.
        subset: Maximum number of servers of one pool that it uses.

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
            for server in _select_subset(live, entry, zone, subset)
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
    """Choose the server for an attempt; None if no server is usable.

    The caller must count the choice in `server_load` before it awaits.
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
                    server_load.stats_of(
                        state, member.server.server_id
                    ).in_flight
                ),
            ).server
        case balance_data.RoundRobin():
            usable.sort(key=lambda member: member.server.server_id)
            next_index = state.turns.get(pick.pool, rng.randrange(len(usable)))
            state.turns[pick.pool] = next_index + 1
            return usable[next_index % len(usable)].server


def _select_subset(
    live: Sequence[view_data.BackendServer], entry: str, zone: str, size: int
) -> list[view_data.BackendServer]:
    """Return the servers of a pool that an entry uses, own zone first.

    Uses rendezvous hashing: a server that is added or removed leaves the order
    of the others as it is, and each server gets about equally many entries.
    """

    return sorted(
        live,
        key=lambda server: (server.zone != zone, _subset_rank(entry, server)),
    )[:size]


def _subset_rank(entry: str, server: view_data.BackendServer) -> int:
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
        and not ejection.is_ejected(
            server_load.stats_of(state, member.server.server_id), now
        )
    ]
    if pick.version is None:
        return usable
    with_version = [
        member
        for member in usable
        if pick.version
        in server_load.stats_of(state, member.server.server_id).loaded
    ]
    return with_version or usable


def _least_loaded(
    state: balance_data.BalanceState,
    members: Sequence[balance_data.Member],
    now: float,
) -> balance_data.Member:
    return min(
        members,
        key=lambda member: server_load.load_of(
            server_load.stats_of(state, member.server.server_id), now
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
        stats = server_load.stats_of(state, member.server.server_id)
        load = server_load.load_of(stats, now, policy.others)
        first_token_cost = policy.cached_cost if member is owner else 1
        cost = _expected_cost(
            first_token_cost, load, pool.pool.concurrency, policy
        )
        slow_factor = max(stats.slowness / policy.slowness_tolerance, 1)
        costs.append(slow_factor * cost + policy.remote * member.remote)
    return costs


def _expected_cost(
    first_token_cost: float,
    load: float,
    slot_count: int,
    policy: balance_data.LeastCost,
) -> float:
    """Return the expected time to the first token, in the policy's unit."""
    waiting = max(0, load + 1 - policy.queueing_threshold * slot_count)
    return (
        first_token_cost * (1 + load / slot_count)
        + policy.queueing_cost * waiting
    )


def _prefix_owner(
    usable: Sequence[balance_data.Member], prefix_key: str
) -> balance_data.Member | None:
    """Return the server that has a prefix cached if any has.

    Every entry finds the same server by rendezvous hashing, without messages;
    cache events arrive late and with gaps.
    """
    if not prefix_key:
        return None
    key = zlib.crc32(prefix_key.encode())
    return max(usable, key=lambda member: _owner_score(key, member.seed))


def _owner_score(key: int, seed: int) -> int:
    hashed = ((key ^ seed) * HASH_MULTIPLIER) & UINT32_MASK
    return ((hashed ^ (hashed >> HASH_SHIFT)) * HASH_MULTIPLIER) & UINT32_MASK
