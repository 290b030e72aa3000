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
from typing import NamedTuple

from beryllug.core import balance_data, ejection, server_load, view_data

SUBSET = 16
MASK = 0xFFFFFFFF
MIX = 2654435761
MIX_SHIFT = 15


class _Option(NamedTuple):
    """A member that may be chosen, with its load and cost."""

    member: balance_data.Member
    load: int
    cost: float


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
    match policy:
        case balance_data.TwoChoices():
            options = _options(state, pool, usable, policy, now)
            return _two_choices(options, pick, policy, rng)
        case balance_data.LeastConnections():
            return min(
                usable,
                key=lambda member: (
                    server_load.track(state, member.server.server_id).in_flight,
                    rng.random(),
                ),
            ).server
        case balance_data.RoundRobin():
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


def _options(
    state: balance_data.BalanceState,
    pool: balance_data.PoolFleet,
    usable: Sequence[balance_data.Member],
    policy: balance_data.TwoChoices,
    now: float,
) -> list[_Option]:
    slots = pool.pool.concurrency
    options = []
    for member in usable:
        seen = server_load.track(state, member.server.server_id)
        load = server_load.load_of(seen, now)
        cost = seen.slowness * (load + 1) / slots
        if member.remote:
            cost += policy.remote_cost
        options.append(_Option(member, load, cost))
    return options


def _two_choices(
    options: Sequence[_Option],
    pick: balance_data.Pick,
    policy: balance_data.TwoChoices,
    rng: random.Random,
) -> view_data.BackendServer:
    if pick.prefix_key:
        near = _with_prefix(options, pick.prefix_key, policy)
        if near is not None:
            return near.member.server
    if len(options) == 1:
        return options[0].member.server
    first, second = rng.sample(options, 2)
    better = first if first.cost <= second.cost else second
    return better.member.server


def _with_prefix(
    options: Sequence[_Option],
    prefix_key: str,
    policy: balance_data.TwoChoices,
) -> _Option | None:
    """Return the server that owns a prefix unless it is loaded.

    The bound on its load keeps one popular prefix from making one server hot
    while the others idle.
    """
    key = zlib.crc32(prefix_key.encode())
    owner = max(options, key=lambda option: _weight(key, option.member.seed))
    mean = sum(option.cost for option in options) / len(options)
    if owner.cost <= mean * (1 + policy.affinity_slack):
        return owner
    return None


def _weight(key: int, seed: int) -> int:
    mixed = ((key ^ seed) * MIX) & MASK
    return ((mixed ^ (mixed >> MIX_SHIFT)) * MIX) & MASK
