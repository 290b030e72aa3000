"""Choice of the backend server for one attempt.

A prompt goes to the model runner where its answer is expected to begin first:
after what is waiting there, and the sooner if its shared part was read there
before. The runner that all processes prefer for a shared part, by rendezvous
hash, is taken to have read it. A plain call goes to the least busy server, the
own availability zone first.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from beryllug.core import balance_data, ejection, rendezvous, server_load
from beryllug.core.placement import (
    backlog,
    servers_data,
    streams,
    suspicion,
)

# Requests that another availability zone counts like: its round trip of about
# 3 ms is a fifth of a short call's work.
REMOTE_LOAD = 1.5
# Seconds that another availability zone counts like for a prompt, and each
# byte that goes there or comes back: links between zones are paid by the byte.
# Both are small against a target, so none waits noticeably longer.
REMOTE_S = 0.01
REMOTE_BYTE_S = 0.000008
# Bytes of a token of an answer, with what frames an event of several.
TOKEN_BYTES = 15
# Seconds that each token, which some runner keeps and another would have to
# read again, counts like beyond the reading itself: it takes the room of
# another prompt in that runner's memory, and is paid like one that is new.
# Prompts do not leave their home for every short wait.
AGAIN_S = 0.00006
# Part of the reading that waits behind a prompt which is read first: it does
# not delay its first event, but those after it, since runners read in chunks
# between the tokens of all streams.
BEHIND_PART = 0.3
# What a point of suspicion counts like: two broken connections outweigh the
# own zone, and a stream that breaks costs its prompt's reading once more.
POINT_LOAD = 1.0
POINT_S = 0.25


class Known(NamedTuple):
    """What this process and its peers know of the servers.

    Attributes:
        reading: What model runners have still to read.
        failures: What servers did to requests.
        streams: What model runners run.
    """

    reading: backlog.Backlog
    failures: suspicion.Suspicion
    streams: streams.Streams


class _Away(NamedTuple):
    """The own availability zone, and what each other one counts like."""

    zone: str
    seconds: float


def choose(
    state: balance_data.BalanceState,
    known: Known,
    servers: Iterable[servers_data.Server],
    wish: servers_data.Wish,
    zone: str,
    now: float,
) -> servers_data.Server | None:
    """Return the server for an attempt; None where there is none.

    Args:
        state: What this process saw of each server.
        known: What this process and its peers know of the servers.
        servers: All listed servers.
        wish: What is asked.
        zone: Availability zone of this process.
        now: The present second.
    """
    usable = _sound(state, fitting(servers, wish), now)
    if not usable:
        return None
    if wish.prompt is not None:
        away_s = REMOTE_S + _transfer_bytes(wish) * REMOTE_BYTE_S
        return _for_prompt(known, usable, wish.prompt, _Away(zone, away_s), now)
    return min(
        usable, key=lambda server: _load(state, known, server, zone, now)
    )


def fitting(
    servers: Iterable[servers_data.Server], wish: servers_data.Wish
) -> list[servers_data.Server]:
    """Return the servers that fit an attempt.

    Of the versions that it may run on, or of any where none of these is there.
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
    return allowed or found


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


def home(servers: Sequence[servers_data.Server], key: str) -> str:
    """Return the instance that all processes prefer for a shared prompt.

    By name, so that a server which starts again gets its own prompts back and
    those of the others stay where they were read.
    """
    return max(
        servers, key=lambda server: rendezvous.score(key, server.name)
    ).instance


def _transfer_bytes(wish: servers_data.Wish) -> int:
    """Return the bytes that a request and its answer are expected to have."""
    return wish.body_bytes + wish.tokens_out * TOKEN_BYTES


def _for_prompt(
    known: Known,
    usable: Sequence[servers_data.Server],
    prompt: backlog.Prompt,
    away: _Away,
    now: float,
) -> servers_data.Server:
    preferred = home(usable, prompt.key)

    def cost_s(server: servers_data.Server) -> float:  # noqa: WPS430
        is_home = server.instance == preferred
        due = backlog.expected(
            known.reading, server.instance, prompt, now, is_home=is_home
        )
        others_s = streams.cost_s(
            known.streams, server.instance, server.slots, due.read_s, now
        )
        again_s = due.unread_part * prompt.shared_tokens * AGAIN_S
        remote_s = 0 if server.zone == away.zone else away.seconds
        points = suspicion.points_of(known.failures, server.instance, now)
        later_s = due.behind_s * BEHIND_PART
        own_s = due.first_s + later_s + points * POINT_S
        return own_s + others_s + again_s + remote_s

    return min(usable, key=cost_s)


def _load(
    state: balance_data.BalanceState,
    known: Known,
    server: servers_data.Server,
    zone: str,
    now: float,
) -> tuple[float, int]:
    seen = server_load.track(state, server.instance)
    remote = 0 if server.zone == zone else REMOTE_LOAD
    tie = rendezvous.score(zone, server.instance)
    points = suspicion.points_of(known.failures, server.instance, now)
    load = server_load.load_of(seen, now) + remote + points * POINT_LOAD
    return (load, tie)
