"""Servers that fall over if they turn too many requests away.

Such a server states how many requests it may turn away in a second for want of
room, sent by all processes together. One refusal says that it is full to all of
them: it is told at once, and they send nothing for a while, so that even with
one or two refusals each time the server stays within its number. It is not sent
more than it runs at once, either, as far as the processes know what runs there.
"""

from dataclasses import dataclass, field

# Part of the refusals in a second that are used up: while a refusal is told,
# more requests are on their way.
USED_FRACTION = 1 / 3
# Bounds on the seconds for which a full server is sent nothing. The minimum
# covers the way of a message, the maximum keeps servers in use that bear next
# to nothing.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class FullServers:
    """Brittle servers, and those that are full.

    Attributes:
        brittle: Requests that a server may turn away in a second, by instance.
        until: Seconds until which a server is sent nothing, by instance.
    """

    brittle: dict[str, float] = field(default_factory=dict)
    until: dict[str, float] = field(default_factory=dict)


def read(text: str) -> float | None:
    """Return the stated number; None if it can't be parsed."""
    try:
        stated = [int(part) for part in text.split(',')]
    except ValueError:
        return None
    return min(stated) if min(stated) >= 0 else None


def observe(state: FullServers, instance: str, per_s: float | None) -> bool:
    """Record what an answer states; return whether it is new."""
    before = state.brittle.get(instance)
    if per_s is None:
        state.brittle.pop(instance, None)
    else:
        state.brittle[instance] = per_s
    return before != per_s


def pause_s(per_s: float) -> float:
    """Return for how long a server is sent nothing after a refusal."""
    allowed = per_s * USED_FRACTION
    if not allowed:
        return MAX_PAUSE_S
    return min(max(1 / allowed, MIN_PAUSE_S), MAX_PAUSE_S)


def refused(
    state: FullServers, instance: str, spread: float, now: float
) -> float:
    """Record that a brittle server had no room.

    Args:
        state: The known servers.
        instance: The server.
        spread: A number from 0 to 1 by which this process waits longer: if all
            came back at once, the server would turn most of them away.
        now: The present second.

    Returns:
        Seconds for which it is sent nothing, if that has just begun; else 0.
    """
    per_s = state.brittle.get(instance)
    if per_s is None or left_s(state, instance, now) > 0:
        return 0
    seconds = pause_s(per_s)
    pause(state, instance, seconds, spread, now)
    return seconds


def pause(
    state: FullServers,
    instance: str,
    seconds: float,
    spread: float,
    now: float,
) -> None:
    """Send a server nothing for a while; see `refused`."""
    bounded = min(seconds, MAX_PAUSE_S) * (1 + spread)
    until = state.until.get(instance, now)
    state.until[instance] = max(until, now + bounded)


def left_s(state: FullServers, instance: str, now: float) -> float:
    """Return the seconds for which a server is sent nothing."""
    return max(state.until.get(instance, now) - now, 0)


def has_room(
    state: FullServers, instance: str, slots: int, running: int, now: float
) -> bool:
    """Return whether a server may be sent one more request.

    Args:
        state: The known servers.
        instance: The server.
        slots: Requests that it runs at once; 0 if unknown.
        running: Requests that are known to run there, of all processes.
        now: The present second.
    """
    if left_s(state, instance, now) > 0:
        return False
    return not slots or instance not in state.brittle or running < slots


def forget(state: FullServers, listed: frozenset[str], now: float) -> None:
    """Forget pauses that are over, and servers that are not listed."""
    state.until = {
        instance: until
        for instance, until in state.until.items()
        if until > now
    }
    for instance in state.brittle.keys() - listed:
        state.brittle.pop(instance)
