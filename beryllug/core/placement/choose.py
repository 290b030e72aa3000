"""Choice of the backend server for one attempt.

A prompt goes to the model runner where its answer is expected to begin first,
by the queue there and by whether its shared part is cached. The runner that all
processes prefer for a shared part, by rendezvous hash, is assumed to have
cached it. A plain call goes to the least loaded server, preferably in the
process's own availability zone.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from beryllug.core import balance_data, ejection, rendezvous, server_load
from beryllug.core.placement import (
    backlog,
    kv_memory,
    prefix_transfer,
    servers_data,
    streams,
    suspicion,
)

# Load that a server in another availability zone is charged, in requests: the
# round trip of about 3 ms is a fifth of a short call's work.
REMOTE_ZONE_LOAD = 1.5
# Seconds that a prompt is charged in another availability zone, and for each
# byte sent there or back: traffic between zones is billed by the byte. Both are
# small compared with latency targets, so no prompt waits noticeably longer.
REMOTE_ZONE_S = 0.01
REMOTE_BYTE_S = 0.000008
# Bytes of an answer token, with the framing of an event of several tokens.
BYTES_PER_TOKEN = 15
# Seconds that each shared token is charged, beyond its prefill time, at a
# runner that does not have it cached: it displaces another prompt from that
# runner's cache and is billed like a new token. So prompts do not leave their
# preferred runner for every short wait.
REFILL_S = 0.00006
# Fraction of the queued prefill work, overtaken by a priority prompt, that
# counts against it: it does not delay the prompt's first event, but the later
# ones, since runners prefill in chunks between the tokens of all streams.
PREEMPTED_FRACTION = 0.3
# Costs of a suspicion point: two broken connections outweigh the preference for
# the own zone, and a stream that breaks costs its prompt's prefill once more.
SUSPICION_LOAD = 1.0
SUSPICION_S = 0.25


class Known(NamedTuple):
    """What this process and its peers know of the servers.

    Attributes:
        reading: Pending prefill work of model runners.
        failures: Failures of requests at servers.
        streams: Requests that are running at model runners.
        memory: Use of the KV caches of model runners; None if it does not
            count.
        copies: Copies of the prompt's prefix that an attempt may use, by
            runner.
        draw_name: Name of this process, by which it draws among equally loaded
            servers; empty if all processes of a zone choose the same one.
    """

    reading: backlog.Backlog
    failures: suspicion.Suspicion
    streams: streams.Streams
    memory: kv_memory.Memory | None = None
    copies: Mapping[str, prefix_transfer.Copy] = prefix_transfer.NO_COPIES
    draw_name: str = ''


class _RemoteCost(NamedTuple):
    """The process's own zone, and the cost of every other zone."""

    zone: str
    seconds: float


def choose(
    state: balance_data.BalanceState,
    known: Known,
    servers: Iterable[servers_data.Server],
    wish: servers_data.Requirements,
    zone: str,
    now: float,
) -> servers_data.Server | None:
    """Return the server for an attempt; None where there is none.

    Args:
        state: Load and failures that this process observed at each server.
        known: What this process and its peers know of the servers.
        servers: All listed servers.
        wish: Requirements of the attempt.
        zone: Availability zone of this process.
        now: The present second.
    """
    usable = without_ejected(state, fitting(servers, wish), now)
    if not usable:
        return None
    if wish.prompt is not None:
        remote_zone_s = REMOTE_ZONE_S + _transfer_bytes(wish) * REMOTE_BYTE_S
        return _choose_for_prompt(
            known, usable, wish, _RemoteCost(zone, remote_zone_s), now
        )
    # A hash of the time draws another server for each request. A fixed server
    # by process would get up to twice its part in a small zone.
    drawn = f'{known.draw_name} {now}' if known.draw_name else zone

    return min(
        usable,
        key=lambda server: (
            _call_load(state, known, server, zone, now),
            rendezvous.score(drawn, server.instance),
        ),
    )


def fitting(
    servers: Iterable[servers_data.Server], wish: servers_data.Requirements
) -> list[servers_data.Server]:
    """Return the eligible servers for an attempt.

    Servers of other versions are returned only if there is none of an allowed
    one, and the request is not bound to those.
    """
    found = [
        server
        for server in servers
        if server.service == wish.service
        and server.state is servers_data.State.READY
        and server.instance not in wish.excluded
    ]
    allowed = [
        server
        for server in found
        if wish.versions is None or server.version in wish.versions
    ]
    return allowed if wish.is_bound else allowed or found


def without_ejected(
    state: balance_data.BalanceState,
    servers: Sequence[servers_data.Server],
    now: float,
) -> Sequence[servers_data.Server]:
    """Leave out ejected servers, unless all of them are ejected.

    If every server seems to fail, the cause is more likely on this side, and
    sending nothing would turn a short outage into a long one.
    """
    healthy = [
        server for server in servers if not is_ejected(state, server, now)
    ]
    return healthy or servers


def is_ejected(
    state: balance_data.BalanceState, server: servers_data.Server, now: float
) -> bool:
    """Return whether this process sends a server nothing for a while."""
    return ejection.is_ejected(
        server_load.stats_of(state, server.instance), now
    )


def preferred_instance(servers: Sequence[servers_data.Server], key: str) -> str:
    """Return the instance that all processes prefer for a shared prompt.

    The hash is of the name, so that a restarted server gets its own prompts
    back and those of the other servers stay where they are cached.
    """
    return max(
        servers, key=lambda server: rendezvous.score(key, server.name)
    ).instance


def _transfer_bytes(wish: servers_data.Requirements) -> int:
    """Return the expected bytes of a request and its answer."""
    return wish.body_bytes + wish.tokens_out * BYTES_PER_TOKEN


def _choose_for_prompt(
    known: Known,
    usable: Sequence[servers_data.Server],
    wish: servers_data.Requirements,
    remote_cost: _RemoteCost,
    now: float,
) -> servers_data.Server:
    prompt = wish.prompt
    assert prompt is not None
    preferred = preferred_instance(usable, prompt.key)

    def cost_s(server: servers_data.Server) -> float:  # noqa: WPS430
        is_home = server.instance == preferred
        estimate = backlog.expected(
            known.reading, server.instance, prompt, now, is_preferred=is_home
        )
        copy = known.copies.get(server.instance)
        if copy is not None:
            estimate = copy.expected
        others_s = streams.cost_s(
            known.streams, server.instance, server.slots, estimate.read_s, now
        )
        refill_s = estimate.uncached_fraction * prompt.shared_tokens * REFILL_S
        remote_s = 0 if server.zone == remote_cost.zone else remote_cost.seconds
        points = suspicion.points_of(known.failures, server.instance, now)
        later_s = estimate.preempted_s * PREEMPTED_FRACTION
        own_s = estimate.first_s + later_s + points * SUSPICION_S
        return own_s + others_s + refill_s + remote_s

    return min(with_room(known.memory, usable, wish, now), key=cost_s)


def with_room(
    memory: kv_memory.Memory | None,
    servers: Sequence[servers_data.Server],
    wish: servers_data.Requirements,
    now: float,
) -> Sequence[servers_data.Server]:
    """Return the servers with room in their KV cache, or all if none has."""
    if memory is None or wish.prompt is None:
        return servers
    tokens = kv_memory.held_tokens(wish.prompt, wish.tokens_out, 1)
    roomy = [
        server
        for server in servers
        if kv_memory.has_room(
            memory,
            server.instance,
            memory.capacities.get(server.service, 0),
            tokens,
            now,
        )
    ]
    return roomy or servers


def _call_load(
    state: balance_data.BalanceState,
    known: Known,
    server: servers_data.Server,
    zone: str,
    now: float,
) -> float:
    tracked = server_load.stats_of(state, server.instance)
    remote = 0 if server.zone == zone else REMOTE_ZONE_LOAD
    points = suspicion.points_of(known.failures, server.instance, now)
    return server_load.load_of(tracked, now) + remote + points * SUSPICION_LOAD
