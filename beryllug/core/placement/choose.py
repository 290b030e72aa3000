"""Choice of the backend server for one attempt.

A prompt goes where its shared part was probably read before: reading 13,000
tokens again takes 200 ms and more. All processes find that server by the same
rendezvous hash and none has to be told. A server with too many of our requests
is passed over, so a popular prompt spreads. A plain call goes to the least
busy server, the own availability zone first.
"""

from collections.abc import Iterable, Sequence

from beryllug.core import balance_data, ejection, rendezvous, server_load
from beryllug.core.placement import servers_data

# Requests of ours by which a server may be above the mean of its service and
# still get a prompt that it has read: under it a queue is not to be feared.
LEAST_BOUND = 4.0
BOUND_RATIO = 1.5
# Requests that another availability zone counts like: its round trip of about
# 3 ms is a fifth of a short call's work.
REMOTE_LOAD = 1.5


def choose(
    state: balance_data.BalanceState,
    servers: Iterable[servers_data.Server],
    wish: servers_data.Wish,
    zone: str,
    now: float,
) -> servers_data.Server | None:
    """Return the server for an attempt; None where there is none.

    Args:
        state: What this process saw of each server.
        servers: All listed servers.
        wish: What is asked.
        zone: Availability zone of this process.
        now: The present second.
    """
    fitting = [
        server
        for server in servers
        if server.service == wish.service
        and server.state is servers_data.State.READY
        and server.instance not in wish.excluded
    ]
    allowed = [
        server
        for server in fitting
        if wish.versions is None or server.version in wish.versions
    ]
    usable = _sound(state, allowed or fitting, now)
    if not usable:
        return None
    if wish.prefix:
        return _with_prefix(state, usable, wish.prefix, now)
    return min(usable, key=lambda server: _load(state, server, zone, now))


def _sound(
    state: balance_data.BalanceState,
    servers: Sequence[servers_data.Server],
    now: float,
) -> Sequence[servers_data.Server]:
    """Leave out servers that fail; all of them where none is sound.

    When every server seems to fail, the cause is rather on our side, and
    sending nothing would turn a short break into a long one.
    """
    sound = [
        server
        for server in servers
        if not ejection.is_out(server_load.track(state, server.instance), now)
    ]
    return sound or servers


def _with_prefix(
    state: balance_data.BalanceState,
    usable: Sequence[servers_data.Server],
    prefix: str,
    now: float,
) -> servers_data.Server:
    loads = {
        server.instance: server_load.load_of(
            server_load.track(state, server.instance), now
        )
        for server in usable
    }
    mean = sum(loads.values()) / len(loads)
    bound = max(LEAST_BOUND, mean * BOUND_RATIO + 1)
    ranked = sorted(
        usable,
        key=lambda each: rendezvous.score(prefix, each.instance),
        reverse=True,
    )
    for server in ranked:
        if loads[server.instance] < bound:
            return server
    return min(usable, key=lambda each: loads[each.instance])


def _load(
    state: balance_data.BalanceState,
    server: servers_data.Server,
    zone: str,
    now: float,
) -> tuple[float, int]:
    seen = server_load.track(state, server.instance)
    remote = 0 if server.zone == zone else REMOTE_LOAD
    tie = rendezvous.score(zone, server.instance)
    return (server_load.load_of(seen, now) + remote, tie)
