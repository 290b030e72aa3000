"""Copies of cached prompt prefixes between model runners.

Handles a shared prompt that is requested more often than the runners that have
it cached can serve. Prefilling 13,300 shared tokens takes the largest model
0.7 s at any other runner; copying them takes 5 to 32 ms. The bytes are billed,
so a prefix is copied only for an answer that would otherwise begin after its
target.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple, TypeVar

from beryllug.core.placement import backlog, copied_prompts, servers_data
from beryllug.core.routes import routes_data

# Shared tokens below which nothing is copied: the largest model prefills them
# in 0.2 s, the uncertainty of an expected time to the first event.
MIN_SHARED_TOKENS = 4000
# Seconds by which an answer may begin later than expected, from prompts that
# other processes have sent since their last report: its greatest age. Without
# this margin 0.91 of the answers of a replay begin in time, with half of it
# 0.93, with all of it 0.965; without copies 0.89.
UNREPORTED_S = 0.5
# Late answers in a row after which nothing is copied from a runner, and for how
# many seconds: it has lost its cache, or its link is slow.
MAX_LATE = 3
STOP_S = 10.0
# Runners of which late answers or copies in progress are remembered: several
# times as many as a service has.
MAX_RUNNERS = 1000
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1000000
Value = TypeVar('Value', int, float)


class Source(NamedTuple):
    """A runner that very likely has a shared prefix cached.

    Attributes:
        server: The runner.
        uncached: Fraction of the shared tokens that it may lack.
        age_s: Seconds since it answered with the prefix; the longest for which
            it counts if this process has seen no answer.
    """

    server: servers_data.Server
    uncached: float
    age_s: float


class Copy(NamedTuple):
    """A copy that lets an answer begin within its target.

    Attributes:
        source: The runner that has the prefix cached, as far as known.
        expected: When the receiver is expected to answer with the copy.
        saved_s: Seconds of prefill that the copy saves.
        copy_s: Seconds that it takes, with the copies before it.
        copied_bytes: Its bytes, if the receiver has none of the prefix.
    """

    source: Source
    expected: backlog.Expected
    saved_s: float
    copy_s: float
    copied_bytes: int


class Need(NamedTuple):
    """An attempt whose answer may begin late without a copy.

    Attributes:
        engine: Capacity of the service's runners.
        prompt: Its prompt.
        due_s: Seconds left until its answer is due to begin.
        without_s: Seconds until it is expected to begin without a copy.
    """

    engine: routes_data.Engine
    prompt: backlog.Prompt
    due_s: float
    without_s: float


NO_COPIES: Mapping[str, Copy] = MappingProxyType({})


@dataclass(slots=True)
class Transfers:
    """What this process knows of copies.

    Attributes:
        late: Late answers in a row after copies from a runner.
        stopped_until: Until when nothing is copied from a runner.
        busy_until: Until when a runner's link is busy with copies.
    """

    late: dict[str, int] = field(default_factory=dict)
    stopped_until: dict[str, float] = field(default_factory=dict)
    busy_until: dict[str, float] = field(default_factory=dict)


def need(
    engine: routes_data.Engine | None,
    wish: servers_data.Requirements,
    without_s: float,
) -> Need | None:
    """Return what an attempt needs; None if it may use no copy.

    Args:
        engine: Capacity of the service's runners.
        wish: Requirements of the attempt.
        without_s: Seconds until the answer is expected to begin without copies.
    """
    prompt, due_s = wish.prompt, wish.target_left_s
    if engine is None or prompt is None or due_s is None:
        return None
    is_possible = (
        engine.may_copy and engine.kv_token_bytes > 0 and engine.link_mbps > 0
    )
    if not is_possible or prompt.shared_tokens < MIN_SHARED_TOKENS:
        return None
    if without_s + UNREPORTED_S <= due_s:
        return None
    return Need(engine, prompt, due_s, without_s)


def sources(
    state: Transfers,
    reading: backlog.Backlog,
    servers: Iterable[servers_data.Server],
    prompt: backlog.Prompt,
    preferred: str,
    now: float,
) -> list[Source]:
    """Return the runners that very likely have a prompt's prefix cached.

    Args:
        state: What this process knows of copies.
        reading: Prompts that runners have processed, as far as known.
        servers: Runners that may be copied from.
        prompt: The prompt.
        preferred: Instance that all processes prefer for it.
        now: The present second.
    """
    found = []
    for server in servers:
        uncached = backlog.uncached_fraction(
            reading,
            server.instance,
            prompt,
            now,
            is_preferred=server.instance == preferred,
        )
        if uncached < 1 and not is_stopped(state, server.instance, now):
            read_at = reading.read_at.get((server.instance, prompt.key), now)
            age_s = backlog.KEPT_S if uncached else now - read_at
            found.append(Source(server, uncached, age_s))
    return found


def plan(
    state: Transfers,
    wanted: Need,
    receiver: servers_data.Server,
    estimate: backlog.Expected,
    found: Iterable[Source],
    now: float,
) -> Copy | None:
    """Return the best copy to a runner; None if the answer stays late.

    The receiver must run the source's version of the same service: cached
    tokens are valid for the same weights only.

    Args:
        state: What this process knows of copies.
        wanted: What the attempt needs.
        receiver: The runner that would answer.
        estimate: When it is expected to answer without a copy.
        found: Runners that very likely have the prefix cached.
        now: The present second.
    """
    copies = [
        _copy(state, wanted, receiver, estimate, source, now)
        for source in found
        if source.uncached < estimate.uncached_fraction
        and source.server.instance != receiver.instance
        and source.server.service == receiver.service
        and source.server.version == receiver.version
    ]
    # An answer that is only at risk of being late must gain the margin.
    is_late = wanted.without_s > wanted.due_s
    most_s = wanted.due_s if is_late else wanted.without_s - UNREPORTED_S
    in_time = [
        copy
        for copy in copies
        if copy.expected.first_s <= most_s and copy.saved_s > copy.copy_s
    ]
    # Traffic between zones is billed by the byte as well.
    return min(
        in_time,
        key=lambda copy: (
            copy.source.uncached,
            copy.source.server.zone != receiver.zone,
            copy.source.age_s,
            copy.source.server.instance,
        ),
        default=None,
    )


def begin(state: Transfers, copy: Copy, receiver: str, now: float) -> None:
    """Record that a copy is requested; copies at a runner follow each other."""
    until = now + copy.copy_s
    _remember(state.busy_until, copy.source.server.instance, until)
    _remember(state.busy_until, receiver, until)


def answer_began(
    state: Transfers, copy: Copy, late_s: float, now: float
) -> bool:
    """Record an answer after a copy; returns whether copies now stop.

    An answer that is late by more than the copy saves has probably been
    prefilled: the source had nothing, or was gone.

    Args:
        state: What this process knows of copies.
        copy: The copy.
        late_s: Seconds since the answer was expected; infinite if it was given
            up.
        now: The present second.
    """
    source = copy.source.server.instance
    if late_s <= copy.saved_s:
        state.late.pop(source, None)
        return False
    late = state.late.pop(source, 0) + 1
    if late < MAX_LATE:
        _remember(state.late, source, late)
        return False
    _remember(state.stopped_until, source, now + STOP_S)
    return True


def is_stopped(state: Transfers, instance: str, now: float) -> bool:
    """Return whether nothing is copied from a runner at present."""
    until = state.stopped_until.get(instance)
    if until is None:
        return False
    if until > now:
        return True
    state.stopped_until.pop(instance)
    return False


def _copy(
    state: Transfers,
    wanted: Need,
    receiver: servers_data.Server,
    estimate: backlog.Expected,
    source: Source,
    now: float,
) -> Copy:
    copied = estimate.uncached_fraction - source.uncached
    copied_tokens = round(copied * wanted.prompt.shared_tokens)
    copied_bytes = copied_tokens * wanted.engine.kv_token_bytes
    bits_per_s = wanted.engine.link_mbps * BITS_PER_MEGABIT
    free_at = max(
        state.busy_until.get(instance, now)
        for instance in (source.server.instance, receiver.instance)
    )
    copy_s = max(free_at - now, 0) + copied_bytes * BITS_PER_BYTE / bits_per_s
    after = copied_prompts.after_copy(estimate, wanted.prompt, source.uncached)
    return Copy(
        source,
        after._replace(read_s=after.read_s + copy_s),
        estimate.read_s - after.read_s,
        copy_s,
        copied_bytes,
    )


def _remember(known: dict[str, Value], instance: str, value: Value) -> None:
    """Store a value as the newest one, and drop the oldest beyond a bound."""
    known.pop(instance, None)
    known[instance] = value
    while len(known) > MAX_RUNNERS:
        known.pop(next(iter(known)))
